package quic

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

var idKey = bytes.Repeat([]byte{3}, 16)

// Another process reads the socket from now on: it finds the connection by its id, at the room server that holds it, and
// what the old one still gets from there reaches the client.
func TestSocketIsHandedOver(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s1, s2 := newServer(t, "s-1", ids, accepts), newServer(t, "s-2", ids, accepts)
	old := newBalancer(t, "127.0.0.1:0", ids, nil, s1.instance(decide.Ready))
	c := newClient(t, old.front.Addr())
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	f, err := old.front.conn.File()
	if err != nil {
		t.Fatal(err)
	}
	shared, err := net.FilePacketConn(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	old.pause.Pause()
	next := newBalancer(t, "127.0.0.1:0", ids, func(cfg *Config) {
		cfg.Conn.Close()
		cfg.Conn = shared.(*net.UDPConn)
	}, s1.instance(decide.Ready), s2.instance(decide.Ready))
	// A read that is under way when the pause comes may still bring the old one a datagram: its reader is woken by the
	// deadline, and finds one if that comes before it runs again. No second one.
	for range 2 {
		if answer, err := c.say("hello"); err != nil || answer != "s-1 hello" {
			t.Fatalf("after the hand-over: %q, %v", answer, err)
		}
	}
	eventually(t, "reopened", func() bool { return next.module.Snapshot().Restored == 1 })
	if s := next.module.Snapshot(); s.Served != 1 || s.Failed > 0 {
		t.Errorf("%+v", s)
	}
}

// Ten clients change their address every second: each stays with the server that took it.
func TestAddressChangesEverySecond(t *testing.T) {
	t.Parallel()
	for name, key := range map[string][]byte{"plaintext": nil, "aes": idKey} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids := format(t, key)
			servers := []*standInServer{newServer(t, "s-1", ids, accepts), newServer(t, "s-2", ids, accepts),
				newServer(t, "s-3", ids, accepts)}
			b := newBalancer(t, "127.0.0.1:0", ids, nil, servers[0].instance(decide.Ready),
				servers[1].instance(decide.Ready), servers[2].instance(decide.Ready))
			const clients = 10
			var all sync.WaitGroup
			for range clients {
				c := newClient(t, b.front.Addr())
				all.Go(func() { walk(t, c) })
			}
			all.Wait()
			taken := 0
			for _, s := range servers {
				n, foreign, _ := s.counts()
				taken += n
				if foreign > 0 {
					t.Errorf("%s got %d packets of others' clients", s.name, foreign)
				}
			}
			eventually(t, "snapshot", func() bool { return b.module.Snapshot().Served == clients })
			if s := b.module.Snapshot(); taken != clients || s.Rejected+s.Failed+s.Restored > 0 {
				t.Errorf("servers took %d clients, balancer says %+v", taken, s.Counters)
			}
		})
	}
}

// walk opens a connection and changes its address each second.
func walk(t *testing.T, c *standInClient) {
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Errorf("open: %+v, %v", closed, err)
		return
	}
	home := ""
	for range 4 {
		for range 5 {
			answer, err := c.say("hello")
			if err != nil {
				t.Errorf("say: %v", err)
				return
			}
			server, _, _ := strings.Cut(answer, " ")
			if home == "" {
				home = server
			}
			if server != home {
				t.Errorf("went from %s to %s", home, server)
			}
			time.Sleep(200 * time.Millisecond)
		}
		c.move()
	}
}

// An id that changes during a drain, with the address or without, stays on its server.
func TestNewIDDuringDrain(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s1, s2 := newServer(t, "s-1", ids, accepts), newServer(t, "s-2", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, nil, s1.instance(decide.Ready))
	c := newClient(t, b.front.Addr())
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	b.module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot,
		Endpoints: []core.Endpoint{s1.instance(decide.Draining), s2.instance(decide.Ready)}})
	for _, move := range []bool{false, true, true} {
		answer, err := c.say("new id")
		if err != nil {
			t.Fatal(err)
		}
		c.server = []byte(strings.TrimPrefix(answer, "s-1 "))
		if move {
			c.move()
		}
		if answer, err = c.say("hello"); err != nil || answer != "s-1 hello" {
			t.Fatalf("after the change of id (address too: %v): %q, %v", move, answer, err)
		}
	}
	if taken, _, initials := s2.counts(); taken+initials > 0 {
		t.Errorf("the other server took %d clients from %d Initials", taken, initials)
	}
}

// After a restart of the balancer an id that it never saw leads to the server that issued it, also while
// that one drains; no new placement is made.
func TestUnknownIDAfterRestart(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s1, s2 := newServer(t, "s-1", ids, accepts), newServer(t, "s-2", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, nil, s1.instance(decide.Ready))
	c := newClient(t, b.front.Addr())
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	listen := b.front.Addr().String()
	b.stop()
	b = newBalancer(t, listen, ids, nil, s1.instance(decide.Draining), s2.instance(decide.Ready))
	if answer, err := c.say("hello"); err != nil || answer != "s-1 hello" {
		t.Fatalf("after the restart: %q, %v", answer, err)
	}
	eventually(t, "reopened", func() bool { return b.module.Snapshot().Restored == 1 })
	if s := b.module.Snapshot(); s.Served != 1 {
		t.Errorf("a new placement was made: %+v", s.Counters)
	}
	if taken, _, initials := s2.counts(); taken+initials > 0 {
		t.Errorf("the other server took %d clients from %d Initials", taken, initials)
	}
}

// What no listed server can answer gets a stateless reset that is smaller than its cause.
func TestStatelessReset(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	b := newBalancer(t, "127.0.0.1:0", ids, nil)
	gone, err := ids.Encode(core.ServerID("s-gone"), make([]byte, 8))
	if err != nil {
		t.Fatal(err)
	}
	for name, id := range map[string][]byte{"undecodable": make([]byte, ids.Len()), "gone": gone} {
		c := newClient(t, b.front.Addr())
		for _, size := range []int{25, 60, 1000} {
			raw := append(append([]byte{fixedBit}, id...), make([]byte, size-1-len(id))...)
			answer, err := c.exchange(raw, 300*time.Millisecond, 5*time.Second)
			if err != nil {
				t.Fatalf("%s, %d bytes: %v", name, size, err)
			}
			token := resetToken(resetKey, id)
			if !bytes.HasSuffix(answer, token[:]) || len(answer) >= size || len(answer) < minReset ||
				answer[0]&(longForm|fixedBit) != fixedBit {
				t.Errorf("%s: answer to %d bytes is %x", name, size, answer)
			}
		}
		raw := append([]byte{fixedBit}, id...)
		if answer, err := c.exchange(raw, 200*time.Millisecond, 200*time.Millisecond); err == nil {
			t.Errorf("%s: a packet too small for a smaller reset got %x", name, answer)
		}
	}
}

// A server that refuses, hangs or is dead is left for another; the client hears of none of them, and each
// client is with one server in the end.
func TestAnotherServerTakesIt(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*standInServer){
		"refuses": func(s *standInServer) { s.set(refuses) },
		"hangs":   func(s *standInServer) { s.set(hangs) },
		"dead":    func(s *standInServer) { s.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids := format(t, idKey)
			bad, good := newServer(t, "s-1", ids, accepts), newServer(t, "s-2", ids, accepts)
			spoil(bad)
			b := newBalancer(t, "127.0.0.1:0", ids, nil, bad.instance(decide.Ready), good.instance(decide.Ready))
			for i := range 4 {
				c := newClient(t, b.front.Addr())
				if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
					t.Fatalf("client %d: %+v, %v", i, closed, err)
				}
				if answer, err := c.say("hello"); err != nil || answer != "s-2 hello" {
					t.Errorf("client %d: %q, %v", i, answer, err)
				}
			}
			if taken, _, _ := good.counts(); taken != 4 {
				t.Errorf("the good server took %d of 4 clients", taken)
			}
			eventually(t, "snapshot", func() bool { return b.module.Snapshot().Served == 4 })
			if s := b.module.Snapshot(); s.Rejected+s.Failed > 0 || s.Attempts < 5 {
				t.Errorf("balancer says %+v", s.Counters)
			}
		})
	}
}

// When no server takes it the client is refused once, within its deadline; a repeated Initial brings the same
// answer and no other attempt.
func TestRefusedOnce(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s1, s2 := newServer(t, "s-1", ids, hangs), newServer(t, "s-2", ids, refuses)
	b := newBalancer(t, "127.0.0.1:0", ids, nil, s1.instance(decide.Ready), s2.instance(decide.Ready))
	c := newClient(t, b.front.Addr())
	closed, err := c.open(5 * time.Second)
	if err != nil || closed == nil || closed.code != connectionRefused || !strings.HasPrefix(closed.reason, "retry-after=") {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	eventually(t, "snapshot", func() bool { return b.module.Snapshot().Rejected == 1 })
	attempts := b.module.Snapshot().Attempts
	if again, err := c.open(5 * time.Second); err != nil || again == nil || *again != *closed {
		t.Errorf("the second time: %+v, %v", again, err)
	}
	time.Sleep(1100 * time.Millisecond) // for another snapshot
	if s := b.module.Snapshot(); s.Rejected != 1 || s.Served+s.Failed > 0 || s.Attempts != attempts {
		t.Errorf("balancer says %+v", s.Counters)
	}
	if taken, _, _ := s1.counts(); taken > 0 {
		t.Errorf("the hanging server took %d clients", taken)
	}
}

// Garbage, short Initials and Initials under other keys are no requests.
func TestNoRequest(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s := newServer(t, "s-1", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, nil, s.instance(decide.Ready))
	c := newClient(t, b.front.Addr())
	spoilt := clone(c.initial)
	spoilt[minInitial-100] ^= 1
	for name, raw := range map[string][]byte{"short": c.initial[:minInitial-1], "spoilt": spoilt, "one byte": {0xc0},
		"empty": {}} {
		if answer, err := c.exchange(raw, 100*time.Millisecond, 100*time.Millisecond); err == nil {
			t.Errorf("%s: answered %x", name, answer)
		}
	}
	unknown := clone(c.initial)
	unknown[4] = 0x7f
	answer, err := c.exchange(unknown, 300*time.Millisecond, 5*time.Second)
	if p, perr := parsePacket(answer, 0); err != nil || perr != nil || p.version != 0 || !bytes.Equal(p.dcid, c.own) {
		t.Errorf("an unknown version was answered %x, %v", answer, err)
	}
	if _, _, initials := s.counts(); initials > 0 {
		t.Errorf("%d of these went on to the server", initials)
	}
}

// The flow table is bounded: past it a client is refused at once.
func TestFlowTableIsBounded(t *testing.T) {
	t.Parallel()
	ids := format(t, nil)
	s := newServer(t, "s-1", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, func(c *Config) { c.MaxFlows = 2 }, s.instance(decide.Ready))
	for i := range 3 {
		closed, err := newClient(t, b.front.Addr()).open(5 * time.Second)
		if err != nil || (closed != nil) != (i == 2) {
			t.Errorf("client %d: %+v, %v", i, closed, err)
		}
	}
}

// A server that dies under a standing connection: its client gets a stateless reset and may come again.
func TestServerDiesWhileStanding(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	s := newServer(t, "s-1", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, nil, s.instance(decide.Ready))
	c := newClient(t, b.front.Addr())
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	if _, err := c.say("hello"); err != nil {
		t.Fatal(err)
	}
	s.conn.Close()
	raw := append(append([]byte{fixedBit}, c.server...), make([]byte, 40)...)
	answer, err := c.exchange(raw, 500*time.Millisecond, 5*time.Second)
	token := resetToken(resetKey, c.server)
	if err != nil || !bytes.HasSuffix(answer, token[:]) {
		t.Fatalf("answer %x, %v", answer, err)
	}
	eventually(t, "closed", func() bool { return b.module.Snapshot().Clients == 0 })
}

// An idle connection ends by itself.
func TestIdleFlowEnds(t *testing.T) {
	t.Parallel()
	ids := format(t, nil)
	s := newServer(t, "s-1", ids, accepts)
	b := newBalancer(t, "127.0.0.1:0", ids, func(c *Config) { c.Idle = time.Second }, s.instance(decide.Ready))
	if closed, err := newClient(t, b.front.Addr()).open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("open: %+v, %v", closed, err)
	}
	eventually(t, "open", func() bool { return b.module.Snapshot().Clients == 1 })
	eventually(t, "closed", func() bool { return b.module.Snapshot().Clients == 0 })
}
