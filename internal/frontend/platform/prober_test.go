package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cottonplank/decide"
)

// probeOnce probes a fake room server, which receives the probe as its request line.
func probeOnce(t *testing.T, conn *probeConn, server *fakeServer) (decide.Code, decide.LoadReport) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return conn.probe(probeRequest{ctx, 1, server.upstream()})
}

// A probe's outcome and load follow from the server's answer. An invalid load report does not make the probe fail.
func TestProbeResponses(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		response string
		code     decide.Code
		load     float64
	}{
		"load report":      {"PONG qps=3,inflight=7,x0=0.61\r\n", decide.OK, 0.61},
		"no report":        {"PONG\r\n", decide.OK, -1},
		"error":            {"ERR\r\n", decide.ServerError, -1},
		"malformed report": {"PONG x0=NaN,inflight=,=\r\n", decide.OK, -1},
		"half a line":      {"PO", decide.Reset, -1},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "s-1", respond(want.response))
			conn := &probeConn{prober: &Prober{ctx: context.Background()}}
			defer conn.close()
			if code, report := probeOnce(t, conn, server); code != want.code || report.Load != want.load {
				t.Errorf("probe returned %v, %+v", code, report)
			}
		})
	}
}

// A probe reuses the connection of the previous one. If the server has closed it, a new one is dialed.
func TestProbeConnectionIsReused(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		for range 2 {
			io.WriteString(conn, "PONG x0=0.5\r\n")
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
		}
	})
	conn := &probeConn{prober: &Prober{ctx: context.Background()}}
	defer conn.close()
	for i := range 5 {
		if code, _ := probeOnce(t, conn, server); code != decide.OK {
			t.Errorf("probe %d: %v", i, code)
		}
	}
	if n := len(server.receivedLines()); n != 3 {
		t.Errorf("%d connections for 5 probes, want 3", n)
	}
}

// If there are more room servers than allowed connections, the least recently used connection is closed.
func TestProbeConnectionLimit(t *testing.T) {
	t.Parallel()
	const maxConns = 3
	ctx, cancel := context.WithCancel(t.Context())
	prober := NewProber(ctx, newTestBalancer(t).engine, maxConns)
	defer prober.Wait()
	defer cancel()
	var servers []*fakeServer
	for i := range 6 {
		servers = append(servers, newFakeServer(t, serverName(i), func(conn net.Conn, r *bufio.Reader) {
			for err := error(nil); err == nil; _, err = r.ReadString('\n') {
				io.WriteString(conn, "PONG x0=0.5\r\n")
			}
		}))
	}
	for _, i := range []int{0, 1, 2, 0, 3, 4, 5} { // 0 is used twice, so 1 is closed first.
		prober.Probe(ctx, 1, servers[i].upstream())
		for end := time.Now().Add(10 * time.Second); len(servers[i].receivedLines()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if len(prober.conns) > maxConns {
			t.Fatalf("%d connections are open, more than the limit", len(prober.conns))
		}
		if i == 3 && (prober.conns[servers[1].endpoint().ID] != nil || prober.conns[servers[0].endpoint().ID] == nil) {
			t.Error("the connection that was closed is not the least recently used one")
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		open := 0
		for _, server := range servers {
			open += server.openConns()
		}
		if open == maxConns {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want %d", open, maxConns)
		}
	}
}
