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
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// What a fleet's room servers are, and their clients.
const (
	slowStartShare, overloadFactor    = 0.4, 4.0
	slowStartDuration, overloadWindow = 6 * time.Second, time.Second
	serverCapacity                    = 60.0 // connections that fill a warm one,
	meanConnLifetime                  = 5 * time.Second
)

// warmingServer is a stand-in room server that tells its load and notes when first lines come.
type warmingServer struct {
	address    string
	started    time.Time
	mu         sync.Mutex
	open       int
	admissions []time.Time
}

// capacityFactor is what it can do at a time of what it does when warm.
func (f *warmingServer) capacityFactor(at time.Time) float64 {
	return min(1, slowStartShare+(1-slowStartShare)*float64(at.Sub(f.started))/float64(slowStartDuration))
}

func startWarmingServer(t *testing.T, age time.Duration) *warmingServer {
	f := &warmingServer{started: time.Now().Add(-age)}
	f.address = startTCPServer(t, func(conn net.Conn) {
		stands := false
		for r := bufio.NewReader(conn); ; {
			text, err := r.ReadString('\n')
			f.mu.Lock()
			if err != nil {
				if stands {
					f.open--
				}
				f.mu.Unlock()
				return
			}
			switch {
			case strings.HasPrefix(text, "OPEN "):
				if now := time.Now(); now.Sub(f.started) < slowStartDuration {
					f.admissions = append(f.admissions, now)
				}
				stands = true
				f.open++
				text = "UP receipt\r\n"
			case strings.HasPrefix(text, "STATS"):
				load := float64(f.open) / (serverCapacity * f.capacityFactor(time.Now()))
				text = fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.3f\r\n", f.open, load)
			case strings.HasPrefix(text, "PING"):
				text = "PONG\r\n"
			}
			f.mu.Unlock()
			io.WriteString(conn, text)
		}
	})
	return f
}

// loadDuringSlowStart gives the largest number of first lines within a window, as a part of N + 2 x root of N + 2, N as it was at the
// window's start, and the part of the whole cold time's budget that is used.
func (f *warmingServer) loadDuringSlowStart() (most, use float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bears := overloadFactor * serverCapacity / meanConnLifetime.Seconds()
	for i, from := range f.admissions {
		n, all := bears*f.capacityFactor(from)*overloadWindow.Seconds(), 0.0
		for _, at := range f.admissions[i:] {
			if at.Before(from.Add(overloadWindow)) {
				all++
			}
		}
		most = max(most, all/(n+2*math.Sqrt(n)+2))
	}
	return most, float64(len(f.admissions)) / (bears * (1 + slowStartShare) / 2 * slowStartDuration.Seconds())
}

func freeAddressOn(t *testing.T, host string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func endpointJSON(id string, r *warmingServer) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","lifecycle":"active","startedAtMs":%d}`, id, r.address, r.started.UnixMilli())
}

// Guards a cold room server against the sum of many processes that share nothing. It joins under three times the clients
// that came before, through thirty of them, told their number or a tenth of it.
func TestSlowStartWithThirtyProcesses(t *testing.T) {
	for _, told := range []int{30, 3} {
		t.Run(fmt.Sprint("told ", told), func(t *testing.T) {
			t.Parallel()
			testSlowStartFleet(t, 30, told)
		})
	}
}

func testSlowStartFleet(t *testing.T, processes, told int) {
	const warm = 10
	var lines []string
	for i := range warm {
		lines = append(lines, endpointJSON(fmt.Sprint("s-", i), startWarmingServer(t, time.Hour)))
	}
	known := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(lines, ","))
	var joins string
	joined := make(chan struct{})
	lists := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, known+"\n")
		w.(http.Flusher).Flush()
		if req.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-joined:
			io.WriteString(w, joins+"\n")
			w.(http.Flusher).Flush()
			<-req.Context().Done()
		case <-req.Context().Done():
		}
	}))
	t.Cleanup(func() { lists.CloseClientConnections(); lists.Close() })

	var fleet []string
	var started []*process
	for i := range processes {
		// An address of its own, as ports of the usual one are taken by the connections of those that run already.
		dir, host := t.TempDir(), fmt.Sprintf("127.%d.%d.1", told, i+1)
		address := freeAddressOn(t, host)
		path := filepath.Join(dir, "config.json")
		raw, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": address, "seed": fmt.Sprintf("%x", i+1),
			"discovery": strings.TrimPrefix(lists.URL, "http://"), "known": json.RawMessage(known),
			"settings": map[string]any{"zone": "a", "areas": []string{"a"}, "balancers": told, "membership_mode": "subscribe",
				"profiles":  []any{map[string]any{"name": "solo-play", "aim_s": 0.3, "give_up_s": 2, "repeat": "idempotent"}},
				"limits":    map[string]any{"retry_after": true, "max_retry_after_s": 1.5, "may_probe": true, "most_tries": 3},
				"penalties": map[string]any{"probe": 0.0018},
				"rules": map[string]any{"must_ask_in_s": 10, "drain_grace_s": 0.5, "cold_share": slowStartShare,
					"cold_s": slowStartDuration.Seconds(), "fall_multiple": overloadFactor, "fall_s": overloadWindow.Seconds()}}})
		if err != nil {
			t.Fatal(err)
		}
		replaceFile(t, path, string(raw))
		p := &process{t: t, command: exec.Command(os.Args[0]), management: freeAddressOn(t, host)}
		p.command.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_MANAGEMENT="+p.management, "TMPDIR="+dir, "GOMAXPROCS=1")
		if err := p.command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.command.Process.Kill(); p.command.Wait() })
		fleet, started = append(fleet, address), append(started, p)
	}
	for _, p := range started {
		p.waitReady()
	}

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var clients sync.WaitGroup
	var served, refused, ids atomic.Int64
	// Their ports are taken elsewhere than those that other tests look for.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, byte(told), 200, 1)}}
	come := func(rng *rand.Rand) { // one client, until it is served or time is up
		life, address := time.Duration(rng.ExpFloat64()*float64(meanConnLifetime)), fleet[rng.IntN(len(fleet))]
		clients.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			fmt.Fprintf(conn, "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=2000\r\n", ids.Add(1))
			r := bufio.NewReader(conn)
			if line, _ := r.ReadString('\n'); !strings.HasPrefix(line, "UP ") {
				refused.Add(1)
				return
			}
			served.Add(1)
			conn.SetReadDeadline(time.Now().Add(life))
			r.ReadString('\n')
		})
	}
	rng := rand.New(rand.NewPCG(3, uint64(told)))
	run := func(d time.Duration, perSecond float64) {
		sent, began := 0, time.Now()
		for time.Since(began) < d {
			for ; float64(sent) < time.Since(began).Seconds()*perSecond; sent++ {
				come(rng)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	steady := 0.7 * warm * serverCapacity / meanConnLifetime.Seconds()
	run(2*meanConnLifetime, steady)
	cold := startWarmingServer(t, 0)
	joins = fmt.Sprintf(`{"generation":2,"instances":[%s]}`, endpointJSON("s-cold", cold))
	close(joined)
	run(slowStartDuration, 3*steady)
	stop()
	clients.Wait()
	most, use := cold.loadDuringSlowStart()
	t.Logf("%d processes, told %d: largest window %.2f of its allowance, budget used %.2f, %d requests; %d served, %d refused in all",
		processes, told, most, use, len(cold.admissions), served.Load(), refused.Load())
	if most > 1 {
		t.Errorf("the cold room server falls: %.2f of its allowance within %v", most, overloadWindow)
	}
	if len(cold.admissions) < 5 {
		t.Errorf("%d requests within its cold time", len(cold.admissions))
	}
}
