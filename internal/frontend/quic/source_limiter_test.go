package quic

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"cottonplank/decide"
)

// Guards against a client that keeps the frontend from all others: it sends first packets with ever new connection IDs
// from one socket at full speed. Only a few of them begin a request, and another client is served meanwhile.
func TestFloodOfNewIDsFromOneSocket(t *testing.T) {
	t.Parallel()
	const datagrams = 1000
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	limitFlows := func(cfg *Config) { cfg.MaxFlows = 4 * datagrams }
	b := newTestBalancer(t, "127.0.0.1:0", ids, limitFlows, s.endpoint(decide.Ready))
	var packets [][]byte
	for range datagrams {
		packets = append(packets, newFakeClient(t, b.frontend.Addr()).initial)
	}
	flooder := newFakeClient(t, b.frontend.Addr())
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	start := time.Now()
	for n, raw := range packets {
		flooder.write(raw)
		if n%100 == 0 {
			if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
				t.Fatalf("beside the flood: %q, %v", response, err)
			}
		}
	}
	other := newFakeClient(t, b.frontend.Addr())
	other.mustOpen()
	seconds := int(time.Since(start)/time.Second) + 2 // in the first and the last one the flood may use a whole limit
	const served = 2                                  // the other clients
	if accepted, _, _ := s.counts(); accepted > maxUnknownIDsPerSecond*seconds+served {
		t.Errorf("the room server accepted %d clients within %d s, want at most %d a second and %d others", accepted,
			seconds, maxUnknownIDsPerSecond, served)
	}
}

// Datagrams of a flow that another process holds are not limited, in whatever number.
func TestFlowsOfPeersAreNotLimited(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.Idempotent, accepts)
	c := newFakeClient(t, h.processes[0].frontend.Addr())
	c.mustOpen()
	previous, replacement := h.replace()
	h.serve(previous, replacement)
	for range 3 * maxUnknownIDsPerSecond {
		if _, err := c.call("hello"); err != nil {
			t.Fatal(err)
		}
	}
	source := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	counted := 0
	replacement.frontend.runInRouter(func() { counted = replacement.frontend.unknownIDLimit.counts[source] })
	if counted > 0 {
		t.Errorf("%d datagrams of the other process's flow were counted", counted)
	}
}

// Each source has its own limit, which begins anew every second. Beyond maxLimitedSources the rest share one, so that
// the table does not grow without end.
func TestSourceLimiter(t *testing.T) {
	t.Parallel()
	limiter := newSourceLimiter(2)
	now := time.Unix(1000, 0)
	source := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 443)
	}
	for n, want := range []bool{true, true, false} {
		if got := limiter.allow(source(1), now); got != want {
			t.Errorf("datagram %d: %v, want %v", n, got, want)
		}
	}
	if !limiter.allow(source(2), now) {
		t.Error("one source uses up the limit of another")
	}
	if now = now.Add(1001 * time.Millisecond); !limiter.allow(source(1), now) {
		t.Error("the limit does not begin anew")
	}
	allowed := 0
	for n := range 2 * maxLimitedSources {
		if limiter.allow(source(n), now) {
			allowed++
		}
	}
	if len(limiter.counts) > maxLimitedSources+1 || allowed > maxLimitedSources+limiter.perSecond {
		t.Errorf("%d sources are kept and %d datagrams allowed, want %d and %d at most", len(limiter.counts), allowed,
			maxLimitedSources+1, maxLimitedSources+limiter.perSecond)
	}
}
