package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The room servers of the fleet and their clients.
const (
	warmServers       = 10
	slowStartShare    = 0.4 // capacity at the start, as a part of that when warm
	slowStartDuration = 6 * time.Second
	overloadFactor    = 4.0
	overloadWindow    = time.Second
	serverCapacity    = 60.0 // connections that saturate a warm server
	meanConnLifetime  = 5 * time.Second
)

// warmingServer is a room server that reports its load and records when it is sent requests.
type warmingServer struct {
	address string
	started time.Time

	mu         sync.Mutex // guards the fields below, which every connection's goroutine uses
	open       int
	admissions []time.Time // during the slow start
}

// capacityFactor is the server's capacity at a time, as a part of that when warm.
func (s *warmingServer) capacityFactor(at time.Time) float64 {
	return min(1, slowStartShare+(1-slowStartShare)*float64(at.Sub(s.started))/float64(slowStartDuration))
}

// startWarmingServer starts a server that claims to have run for age.
func startWarmingServer(t *testing.T, age time.Duration) *warmingServer {
	s := &warmingServer{started: time.Now().Add(-age)}
	s.address = startTCPServer(t, s.serve)
	return s
}

func (s *warmingServer) serve(conn net.Conn) {
	established := false
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			if established {
				s.connectionEnded()
			}
			return
		}
		if strings.HasPrefix(line, "OPEN ") {
			established = true
		}
		io.WriteString(conn, s.respond(line))
	}
}

func (s *warmingServer) connectionEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *warmingServer) respond(line string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(line, "OPEN "):
		if now := time.Now(); now.Sub(s.started) < slowStartDuration {
			s.admissions = append(s.admissions, now)
		}
		s.open++
		return "UP receipt\r\n"
	case strings.HasPrefix(line, "STATS"):
		load := float64(s.open) / (serverCapacity * s.capacityFactor(time.Now()))
		return fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.3f\r\n", s.open, load)
	case strings.HasPrefix(line, "PING"):
		return "PONG\r\n"
	default:
		return line
	}
}

// loadDuringSlowStart returns the largest number of requests within a window, as a part of what the server
// withstands: of N + 2 sqrt(N) + 2, where N is its budget at the start of the window. It also returns the part of the
// whole slow start's budget that was used, and the number of requests.
func (s *warmingServer) loadDuringSlowStart() (maxLoad, budgetUsed float64, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond := overloadFactor * serverCapacity / meanConnLifetime.Seconds()
	for i, from := range s.admissions {
		budget := perSecond * s.capacityFactor(from) * overloadWindow.Seconds()
		inWindow := 0.0
		for _, at := range s.admissions[i:] {
			if at.Before(from.Add(overloadWindow)) {
				inWindow++
			}
		}
		maxLoad = max(maxLoad, inWindow/(budget+2*math.Sqrt(budget)+2))
	}
	budget := perSecond * (1 + slowStartShare) / 2 * slowStartDuration.Seconds()
	return maxLoad, float64(len(s.admissions)) / budget, len(s.admissions)
}

// endpointJSON is a server's line in a discovery listing.
func endpointJSON(id string, s *warmingServer) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","lifecycle":"active","startedAtMs":%d}`, id, s.address,
		s.started.UnixMilli())
}

// Guards a room server in its slow start against the sum of many processes that share nothing. It joins under three
// times the clients that came before, through thirty processes, whose fleet size is configured right or a tenth of
// it.
func TestSlowStartWithThirtyProcesses(t *testing.T) {
	for _, fleetSize := range []int{30, 3} {
		t.Run(fmt.Sprint("told ", fleetSize), func(t *testing.T) {
			t.Parallel()
			testSlowStartFleet(t, 30, fleetSize)
		})
	}
}

func testSlowStartFleet(t *testing.T, processes, fleetSize int) {
	f := &slowStartFleet{t: t, fleetSize: fleetSize, joined: make(chan struct{})}
	f.startServers()
	f.startProcesses(processes)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := newRandomClients(ctx, f.addresses, fleetSize)

	usualRate := 0.7 * warmServers * serverCapacity / meanConnLifetime.Seconds()
	clients.connectFor(2*meanConnLifetime, usualRate)
	joining := f.join()
	clients.connectFor(slowStartDuration, 3*usualRate)
	stop()
	clients.running.Wait()

	maxLoad, budgetUsed, requests := joining.loadDuringSlowStart()
	t.Logf("%d processes, told %d: largest window %.2f of its allowance, budget used %.2f, %d requests; "+
		"%d served, %d rejected in all", processes, fleetSize, maxLoad, budgetUsed, requests, clients.served.Load(),
		clients.rejected.Load())
	if maxLoad > 1 {
		t.Errorf("the warming server is overloaded: %.2f of its allowance within %v", maxLoad, overloadWindow)
	}
	if requests < 5 {
		t.Errorf("%d requests within its slow start", requests)
	}
}

// slowStartFleet is processes whose discovery service lists warm servers, and another one once it has joined.
type slowStartFleet struct {
	t         *testing.T
	fleetSize int // as the processes are told
	known     string
	discovery string
	delta     string        // written before joined is closed
	joined    chan struct{} // closed when the other server is listed
	addresses []string      // of the processes, for clients
}

// startServers starts the warm servers and their discovery service.
func (f *slowStartFleet) startServers() {
	var endpoints []string
	for i := range warmServers {
		endpoints = append(endpoints, endpointJSON(fmt.Sprint("s-", i), startWarmingServer(f.t, time.Hour)))
	}
	f.known = fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(endpoints, ","))
	f.discovery = startHTTPServer(f.t, f.serveDiscovery)
}

func (f *slowStartFleet) serveDiscovery(w http.ResponseWriter, req *http.Request) {
	io.WriteString(w, f.known+"\n")
	w.(http.Flusher).Flush()
	if req.URL.Query().Get("watch") == "" {
		return
	}
	select {
	case <-f.joined:
		io.WriteString(w, f.delta+"\n")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	case <-req.Context().Done():
	}
}

// join starts a server and lists it.
func (f *slowStartFleet) join() *warmingServer {
	joining := startWarmingServer(f.t, 0)
	f.delta = fmt.Sprintf(`{"generation":2,"instances":[%s]}`, endpointJSON("s-cold", joining))
	close(f.joined)
	return joining
}

// startProcesses starts the processes and waits until they are ready.
func (f *slowStartFleet) startProcesses(n int) {
	f.t.Helper()
	var started []*process
	for i := range n {
		// An IP address of its own: ports of the usual one are taken by connections of the processes that run already.
		host := fmt.Sprintf("127.%d.%d.1", f.fleetSize, i+1)
		dir, address := f.t.TempDir(), freeAddressOn(f.t, host)
		path := filepath.Join(dir, "config.json")
		replaceFile(f.t, path, f.config(i, address))
		started = append(started, startProcess(f.t, freeAddressOn(f.t, host), serveEnvironment+"=1", "PROXY_CONFIG="+path,
			"TMPDIR="+dir, "GOMAXPROCS=1"))
		f.addresses = append(f.addresses, address)
	}
	for _, p := range started {
		p.waitReady()
	}
}

func (f *slowStartFleet) config(i int, listen string) string {
	f.t.Helper()
	type object = map[string]any
	raw, err := json.Marshal(object{
		"name": fmt.Sprint("n", i), "listen": listen, "seed": fmt.Sprintf("%x", i+1), "discovery": f.discovery,
		"known": json.RawMessage(f.known),
		"settings": object{
			"zone": "a", "areas": []string{"a"}, "balancers": f.fleetSize, "membership_mode": "subscribe",
			"profiles":  []any{object{"name": "solo-play", "aim_s": 0.3, "give_up_s": 2, "repeat": "idempotent"}},
			"limits":    object{"retry_after": true, "max_retry_after_s": 1.5, "may_probe": true, "most_tries": 3},
			"penalties": object{"probe": 0.0018},
			"rules": object{"must_ask_in_s": 10, "drain_grace_s": 0.5, "cold_share": slowStartShare,
				"cold_s": slowStartDuration.Seconds(), "fall_multiple": overloadFactor, "fall_s": overloadWindow.Seconds()},
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return string(raw)
}

// randomClients connect to random addresses and stay for random times, until ctx ends.
type randomClients struct {
	ctx       context.Context
	addresses []string
	dialer    net.Dialer
	rng       *rand.Rand // owned by connectFor's caller
	running   sync.WaitGroup

	lastID, served, rejected atomic.Int64
}

func newRandomClients(ctx context.Context, addresses []string, fleetSize int) *randomClients {
	c := &randomClients{ctx: ctx, addresses: addresses, rng: rand.New(rand.NewPCG(3, uint64(fleetSize)))}
	// Their ports are not of the IP addresses among which other tests look for free ones.
	c.dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, byte(fleetSize), 200, 1)}
	return c
}

// connectFor connects so many clients per second for a duration.
func (c *randomClients) connectFor(duration time.Duration, perSecond float64) {
	connected, began := 0, time.Now()
	for time.Since(began) < duration {
		for ; float64(connected) < time.Since(began).Seconds()*perSecond; connected++ {
			lifetime := time.Duration(c.rng.ExpFloat64() * float64(meanConnLifetime))
			address := c.addresses[c.rng.IntN(len(c.addresses))]
			c.running.Go(func() { c.connect(address, lifetime) })
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// connect sends one request and holds the connection for its lifetime.
func (c *randomClients) connect(address string, lifetime time.Duration) {
	conn, err := c.dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stopWatching := context.AfterFunc(c.ctx, func() { conn.Close() })
	defer stopWatching()
	fmt.Fprintf(conn, "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=2000\r\n", c.lastID.Add(1))
	reader := bufio.NewReader(conn)
	if line, _ := reader.ReadString('\n'); !strings.HasPrefix(line, "UP ") {
		c.rejected.Add(1)
		return
	}
	c.served.Add(1)
	conn.SetReadDeadline(time.Now().Add(lifetime))
	reader.ReadString('\n')
}
