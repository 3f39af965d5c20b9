package line

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// probeOnce asks a stand-in room server that the probes' first line is left to.
func probeOnce(t *testing.T, s *subchannel, a *answerer) (decide.Code, decide.Report) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	in := a.instance()
	return s.probe(probeOrder{ctx, 1, core.Subchannel{ID: in.ID, Instance: in.Name, Address: in.Address}})
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
