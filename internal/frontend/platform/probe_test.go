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
func probeOnce(t *testing.T, s *subchannel, a *answerer) (decide.Code, decide.LoadReport) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	in := a.instance()
	return s.probe(probeOrder{ctx, 1, core.Upstream{ID: in.ID, Name: in.Name, Address: in.Address}})
}

func TestProbes(t *testing.T) {
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
		a := newServer(t, "s-1", say(want.answer))
		s := &subchannel{prober: &Prober{ctx: context.Background()}}
		if code, report := probeOnce(t, s, a); code != want.code || report.Load != want.load {
			t.Errorf("%s: %v, %+v", name, code, report)
		}
		s.close()
	}
}

// The kept connection is used again, and a new one where the server has closed it.
func TestProbeConnectionIsKept(t *testing.T) {
	t.Parallel()
	a := newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		for range 2 {
			io.WriteString(conn, "PONG x0=0.5\r\n")
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
		}
	})
	s := &subchannel{prober: &Prober{ctx: context.Background()}}
	defer s.close()
	for i := range 5 {
		if code, _ := probeOnce(t, s, a); code != decide.OK {
			t.Errorf("probe %d: %v", i, code)
		}
	}
	if n := len(a.lines()); n != 3 {
		t.Errorf("%d connections for 5 probes, want 3", n)
	}
}

// Guards the descriptors of a small limit against a list longer than it: the connection that was used least goes.
func TestFewProbeConnectionsAreKept(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	b := newBalancer(t)
	p := NewProber(ctx, b.module, 3)
	defer p.Wait()
	defer cancel()
	var all []*answerer
	for i := range 6 {
		all = append(all, newServer(t, name(i), func(conn net.Conn, r *bufio.Reader) {
			for err := error(nil); err == nil; _, err = r.ReadString('\n') {
				io.WriteString(conn, "PONG x0=0.5\r\n")
			}
		}))
	}
	probe := func(i int) {
		in := all[i].instance()
		p.Probe(ctx, 1, core.Upstream{ID: in.ID, Name: in.Name, Address: in.Address})
		for end := time.Now().Add(10 * time.Second); len(all[i].lines()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	for _, i := range []int{0, 1, 2, 0, 3, 4, 5} { // 0 is used again, so that 1 goes first
		probe(i)
		if len(p.subchannels) > 3 {
			t.Fatalf("%d are kept", len(p.subchannels))
		}
		if i == 3 && (p.subchannels[all[1].instance().ID] != nil || p.subchannels[all[0].instance().ID] == nil) {
			t.Error("another than the least used one went")
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		open := 0
		for _, a := range all {
			a.mu.Lock()
			open += a.out
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

func name(i int) string { return "s-" + strconv.Itoa(i) }
