package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// probeOnce asks a stand-in room server that the probes' first line is left to.
func probeOnce(t *testing.T, s *probeConn, a *fakeServer) (decide.Code, decide.LoadReport) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	in := a.endpoint()
	return s.probe(probeRequest{ctx, 1, core.Upstream{ID: in.ID, Name: in.Name, Address: in.Address}})
}

func TestProbeResponses(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]struct {
		answer string
		code   decide.Code
		load   float64
	}{
		"report": {"PONG qps=3,inflight=7,x0=0.61\r\n", decide.OK, 0.61},
		"runs":   {"PONG\r\n", decide.OK, -1},
		"error":  {"ERR\r\n", decide.ServerError, -1},
		"odd":    {"PONG x0=NaN,inflight=,=\r\n", decide.OK, -1},
		"breaks": {"PO", decide.Reset, -1},
	} {
		a := newFakeServer(t, "s-1", respond(want.answer))
		s := &probeConn{prober: &Prober{ctx: context.Background()}}
		if code, report := probeOnce(t, s, a); code != want.code || report.Load != want.load {
			t.Errorf("%s: %v, %+v", name, code, report)
		}
		s.close()
	}
}

// The kept connection is used again, and a new one where the server has closed it.
func TestProbeConnectionIsReused(t *testing.T) {
	t.Parallel()
	a := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		for range 2 {
			io.WriteString(conn, "PONG x0=0.5\r\n")
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
		}
	})
	s := &probeConn{prober: &Prober{ctx: context.Background()}}
	defer s.close()
	for i := range 5 {
		if code, _ := probeOnce(t, s, a); code != decide.OK {
			t.Errorf("probe %d: %v", i, code)
		}
	}
	if n := len(a.receivedLines()); n != 3 {
		t.Errorf("%d connections for 5 probes, want 3", n)
	}
}

// Guards the descriptors of a small limit against a list longer than it: the connection that was used least goes.
func TestProbeConnectionLimit(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	b := newTestBalancer(t)
	p := NewProber(ctx, b.engine, 3)
	defer p.Wait()
	defer cancel()
	var all []*fakeServer
	for i := range 6 {
		all = append(all, newFakeServer(t, serverName(i), func(conn net.Conn, r *bufio.Reader) {
			for err := error(nil); err == nil; _, err = r.ReadString('\n') {
				io.WriteString(conn, "PONG x0=0.5\r\n")
			}
		}))
	}
	probe := func(i int) {
		in := all[i].endpoint()
		p.Probe(ctx, 1, core.Upstream{ID: in.ID, Name: in.Name, Address: in.Address})
		for end := time.Now().Add(10 * time.Second); len(all[i].receivedLines()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	for _, i := range []int{0, 1, 2, 0, 3, 4, 5} { // 0 is used again, so that 1 goes first
		probe(i)
		if len(p.conns) > 3 {
			t.Fatalf("%d are kept", len(p.conns))
		}
		if i == 3 && (p.conns[all[1].endpoint().ID] != nil || p.conns[all[0].endpoint().ID] == nil) {
			t.Error("another than the least used one went")
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		open := 0
		for _, a := range all {
			a.mu.Lock()
			open += a.open
			a.mu.Unlock()
		}
		if open == 3 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, 3 wanted", open)
		}
	}
}

func serverName(i int) string { return "s-" + strconv.Itoa(i) }
