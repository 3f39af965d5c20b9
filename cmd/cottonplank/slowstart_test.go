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

// Parameters of the room servers and their clients.
const (
	warmServers              = 10
	slowStartInitialCapacity = 0.4 // fraction of the warm capacity
	slowStartDuration        = 6 * time.Second
	overloadFactor           = 4.0         // multiple of its present capacity that overloads a warming server
	overloadWindow           = time.Second // how long such a load has to last to overload it
	serverCapacity           = 60.0        // connections at which a warm server is at full load
	meanConnLifetime         = 5 * time.Second
)

// warmingServer is a room server that reports its load and records the arrival times of requests during its slow
// start.
type warmingServer struct {
	address string
	started time.Time

	mu         sync.Mutex // guards the fields below, which the connections' goroutines share
	open       int
	admissions []time.Time // arrival times of the requests during the slow start
}

// capacityFactor returns the server's capacity at a time as a fraction of its warm capacity.
func (s *warmingServer) capacityFactor(at time.Time) float64 {
	return min(1, slowStartInitialCapacity+
		(1-slowStartInitialCapacity)*float64(at.Sub(s.started))/float64(slowStartDuration))
}

// startWarmingServer starts a server whose reported start time is age ago.
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

// loadDuringSlowStart returns the largest load of the server in any overload window of its slow start: the number of
// requests divided by N + 2 sqrt(N) + 2. N is the number of requests that the server tolerates within the window at its
// capacity at the window's start; 2 sqrt(N) + 2 covers the random variation of arrivals. A load above 1 overloads the
// server. loadDuringSlowStart also returns the number of requests during the whole slow start, as a fraction of the
// number that the server tolerates, and as a count.
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
	budget := perSecond * (1 + slowStartInitialCapacity) / 2 * slowStartDuration.Seconds()
	return maxLoad, float64(len(s.admissions)) / budget, len(s.admissions)
}

// endpointJSON returns a server's entry in a discovery listing.
func endpointJSON(id string, s *warmingServer) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","lifecycle":"active","startedAtMs":%d}`, id, s.address,
		s.started.UnixMilli())
}

// Guards a room server in its slow start against overload by many balancers that do not exchange their load. Thirty
// processes run with a configured fleet size that is correct, or a tenth of the real one. When the room server joins,
// the rate of new clients rises to three times the rate before.
func TestSlowStartWithThirtyProcesses(t *testing.T) {
	for _, fleetSize := range []int{30, 3} {
		t.Run(fmt.Sprint("size ", fleetSize), func(t *testing.T) {
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
	t.Logf("%d processes, configured fleet size %d: largest load of a window %.2f, budget used %.2f, %d requests; "+
		"%d clients served, %d rejected", processes, fleetSize, maxLoad, budgetUsed, requests, clients.served.Load(),
		clients.rejected.Load())
	if maxLoad > 1 {
		t.Errorf("the warming server is overloaded: load %.2f within %v, want at most 1", maxLoad, overloadWindow)
	}
	if requests < 5 {
		t.Errorf("%d requests reached the server during its slow start, want at least 5", requests)
	}
}

// slowStartFleet is a fleet of balancer processes with a discovery service. Discovery lists warm servers and, after
// join, the joining server.
type slowStartFleet struct {
	t         *testing.T
	fleetSize int    // in the configuration of the processes
	known     string // listing of the warm servers
	discovery string
	delta     string        // lists the joining server; written before joined is closed
	joined    chan struct{} // closed by join
	addresses []string      // client addresses of the processes
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

// join starts a server at the beginning of its slow start and adds it to the list of discovery.
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
		// Each process has an IP address of its own. On a shared one, connections of the processes that already run
		// could take the port before this process listens.
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
			"rules": object{"must_ask_in_s": 10, "drain_grace_s": 0.5, "cold_share": slowStartInitialCapacity,
				"cold_s": slowStartDuration.Seconds(), "fall_multiple": overloadFactor, "fall_s": overloadWindow.Seconds()},
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return string(raw)
}

// randomClients connects clients to randomly chosen addresses, for random lifetimes, until ctx ends.
type randomClients struct {
	ctx       context.Context
	addresses []string
	dialer    net.Dialer
	rng       *rand.Rand // used only by the goroutine that calls connectFor
	running   sync.WaitGroup

	lastID, served, rejected atomic.Int64
}

func newRandomClients(ctx context.Context, addresses []string, fleetSize int) *randomClients {
	c := &randomClients{ctx: ctx, addresses: addresses, rng: rand.New(rand.NewPCG(3, uint64(fleetSize)))}
	// The clients' own IP address keeps them from taking ports that other tests have found free.
	c.dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, byte(fleetSize), 200, 1)}
	return c
}

// connectFor starts perSecond clients per second for a duration.
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

// connect sends one request and, if it is accepted, holds the connection for its lifetime.
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
