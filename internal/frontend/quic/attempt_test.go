package quic

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// If a room server rejects or ignores the request or has closed its port, another server is tried. The client sees no
// rejection and is accepted by one server only. At least five attempts for the four clients show that the impaired
// server was tried.
func TestRetryAtAnotherServer(t *testing.T) {
	t.Parallel()
	for name, impair := range map[string]func(*fakeServer){
		"rejects":     func(s *fakeServer) { s.setMode(rejects) },
		"ignores":     func(s *fakeServer) { s.setMode(ignores) },
		"port closed": func(s *fakeServer) { s.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids := newTestFormat(t, testIDKey)
			impaired, healthy := newFakeServer(t, "s-1", ids, accepts), newFakeServer(t, "s-2", ids, accepts)
			impair(impaired)
			b := newTestBalancer(t, "127.0.0.1:0", ids, nil, impaired.endpoint(decide.Ready),
				healthy.endpoint(decide.Ready))
			for i := range 4 {
				c := newFakeClient(t, b.frontend.Addr())
				if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
					t.Fatalf("client %d: %+v, %v", i, closed, err)
				}
				if response, err := c.call("hello"); err != nil || response != "s-2 hello" {
					t.Errorf("client %d: %q, %v", i, response, err)
				}
			}
			if accepted, _, _ := healthy.counts(); accepted != 4 {
				t.Errorf("the healthy server accepted %d of 4 clients", accepted)
			}
			eventually(t, "all clients are counted as served", func() bool { return b.engine.Snapshot().Served == 4 })
			if s := b.engine.Snapshot(); s.Rejected+s.Failed > 0 || s.Attempts < 5 {
				t.Errorf("unexpected counters: %+v", s.Counters)
			}
		})
	}
}

// If no room server accepts a client, its request is rejected once, within Config.Timeout. A repeated Initial packet
// gets the same answer and causes no attempt.
func TestRejectedOnce(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s1, s2 := newFakeServer(t, "s-1", ids, ignores), newFakeServer(t, "s-2", ids, rejects)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s1.endpoint(decide.Ready), s2.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	closed, err := c.open(5 * time.Second)
	if err != nil || closed == nil || closed.code != connectionRefused ||
		!strings.HasPrefix(closed.reason, "retry-after=") {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	eventually(t, "the rejection is counted", func() bool { return b.engine.Snapshot().Rejected == 1 })
	attempts := b.engine.Snapshot().Attempts
	if again, err := c.open(5 * time.Second); err != nil || again == nil || *again != *closed {
		t.Errorf("answer to the repeated Initial packet: %+v, %v, want the same as before", again, err)
	}
	time.Sleep(1100 * time.Millisecond) // until the engine has published another snapshot
	if s := b.engine.Snapshot(); s.Rejected != 1 || s.Served+s.Failed > 0 || s.Attempts != attempts {
		t.Errorf("unexpected counters: %+v", s.Counters)
	}
	if accepted, _, _ := s1.counts(); accepted > 0 {
		t.Errorf("the server that ignores Initial packets accepted %d clients", accepted)
	}
}

// While the frontend has Config.MaxFlows flows, a further client is rejected.
func TestMaxFlows(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, nil)
	s := newFakeServer(t, "s-1", ids, accepts)
	limitFlows := func(cfg *Config) { cfg.MaxFlows = 2 }
	b := newTestBalancer(t, "127.0.0.1:0", ids, limitFlows, s.endpoint(decide.Ready))
	for i := range 3 {
		closed, err := newFakeClient(t, b.frontend.Addr()).open(5 * time.Second)
		if err != nil || (closed != nil) != (i == 2) {
			t.Errorf("client %d: %+v, %v", i, closed, err)
		}
	}
}

// If the room server of an established connection closes its port, the client gets a stateless reset.
func TestServerFailsWhileEstablished(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	if _, err := c.call("hello"); err != nil {
		t.Fatal(err)
	}
	s.conn.Close()
	raw := shortPacket(c.serverID, 1+len(c.serverID)+40)
	response, err := c.exchange(raw, 500*time.Millisecond, 5*time.Second)
	token := resetToken(testResetKey, c.serverID)
	if err != nil || !bytes.HasSuffix(response, token[:]) {
		t.Fatalf("response %x, %v", response, err)
	}
	eventually(t, "the connection is closed", func() bool { return b.engine.Snapshot().Clients == 0 })
}

// A connection without traffic ends after Config.Idle.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, nil)
	s := newFakeServer(t, "s-1", ids, accepts)
	shortIdle := func(cfg *Config) { cfg.Idle = time.Second }
	b := newTestBalancer(t, "127.0.0.1:0", ids, shortIdle, s.endpoint(decide.Ready))
	newFakeClient(t, b.frontend.Addr()).mustOpen()
	eventually(t, "the connection is open", func() bool { return b.engine.Snapshot().Clients == 1 })
	eventually(t, "the connection is closed", func() bool { return b.engine.Snapshot().Clients == 0 })
}

// Guards against a process that passes its memory limit because hundreds of clients, or their room servers, send
// datagrams of 60 KB, which wait in queues: larger ones than maxDatagramSize are dropped in both directions, those of
// that size are forwarded.
func TestLargeDatagramsAreDropped(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	fits := strings.Repeat("x", maxDatagramSize-100) // the fake server puts its name before the text
	if response, err := c.call(fits); err != nil || response != "s-1 "+fits {
		t.Fatalf("a datagram that fits: %.20q, %v", response, err)
	}
	for _, size := range []int{maxDatagramSize, 60000} {
		raw := append(shortPacket(c.serverID, 1+len(c.serverID)), bytes.Repeat([]byte("x"), size)...)
		if response, err := c.exchange(raw, 50*time.Millisecond, 200*time.Millisecond); err == nil {
			t.Errorf("a datagram of %d bytes was answered with %d bytes", len(raw), len(response))
		}
	}
	if largest, from := s.largestDatagram(); largest > maxDatagramSize {
		t.Errorf("the room server received a datagram of %d bytes", largest)
	} else if _, err := s.conn.WriteToUDPAddrPort(make([]byte, maxDatagramSize+1), from); err != nil {
		t.Fatal(err)
	}
	if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
		t.Errorf("after a large datagram from the room server: %.20q, %v", response, err)
	}
}
