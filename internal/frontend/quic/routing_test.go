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

var testIDKey = bytes.Repeat([]byte{3}, 16)

// During a hot restart the replacement process reads the same socket. It finds an established connection by its ID, at
// the room server that holds it, while the previous process still forwards what it gets from there.
func TestHotRestart(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s1, s2 := newFakeServer(t, "s-1", ids, accepts), newFakeServer(t, "s-2", ids, accepts)
	previous := newTestBalancer(t, "127.0.0.1:0", ids, nil, s1.endpoint(decide.Ready))
	c := newFakeClient(t, previous.frontend.Addr())
	c.mustOpen()
	shared := duplicate(t, previous.frontend.conn)
	previous.pause.Pause()
	replacement := newTestBalancer(t, "127.0.0.1:0", ids, func(cfg *Config) {
		cfg.Conn.Close()
		cfg.Conn = shared
	}, s1.endpoint(decide.Ready), s2.endpoint(decide.Ready))
	// A read that was in progress at the pause may still bring the previous process one datagram, but not two: the
	// deadline wakes its reader, which gets a datagram that arrives before it runs again.
	for range 2 {
		if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
			t.Fatalf("after the restart: %q, %v", response, err)
		}
	}
	eventually(t, "the connection is restored", func() bool { return replacement.engine.Snapshot().Restored == 1 })
	if s := replacement.engine.Snapshot(); s.Served != 1 || s.Failed > 0 {
		t.Errorf("%+v", s)
	}
}

// duplicate returns a second descriptor of a socket.
func duplicate(t *testing.T, conn *net.UDPConn) *net.UDPConn {
	t.Helper()
	file, err := conn.File()
	if err != nil {
		t.Fatal(err)
	}
	shared, err := net.FilePacketConn(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	return shared.(*net.UDPConn)
}

// Ten clients change their address every second. Each stays with its room server.
func TestAddressChangesEverySecond(t *testing.T) {
	t.Parallel()
	for name, key := range map[string][]byte{"plaintext": nil, "aes": testIDKey} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids := newTestFormat(t, key)
			servers := []*fakeServer{
				newFakeServer(t, "s-1", ids, accepts),
				newFakeServer(t, "s-2", ids, accepts),
				newFakeServer(t, "s-3", ids, accepts),
			}
			b := newTestBalancer(t, "127.0.0.1:0", ids, nil, servers[0].endpoint(decide.Ready),
				servers[1].endpoint(decide.Ready), servers[2].endpoint(decide.Ready))
			const clients = 10
			var running sync.WaitGroup
			for range clients {
				c := newFakeClient(t, b.frontend.Addr())
				running.Go(func() { callFromManyAddresses(t, c) })
			}
			running.Wait()
			accepted := 0
			for _, s := range servers {
				n, unknown, _ := s.counts()
				accepted += n
				if unknown > 0 {
					t.Errorf("%s got %d packets of other servers' clients", s.name, unknown)
				}
			}
			eventually(t, "all are counted", func() bool { return b.engine.Snapshot().Served == clients })
			if s := b.engine.Snapshot(); accepted != clients || s.Rejected+s.Failed+s.Restored > 0 {
				t.Errorf("servers accepted %d clients, the balancer counts %+v", accepted, s.Counters)
			}
		})
	}
}

// callFromManyAddresses opens a connection, changes its address each second, and checks that all responses come from
// the same room server.
func callFromManyAddresses(t *testing.T, c *fakeClient) {
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		t.Errorf("open: %+v, %v", closed, err)
		return
	}
	firstServer := ""
	for range 4 {
		for range 5 {
			response, err := c.call("hello")
			if err != nil {
				t.Errorf("call: %v", err)
				return
			}
			server, _, _ := strings.Cut(response, " ")
			if firstServer == "" {
				firstServer = server
			}
			if server != firstServer {
				t.Errorf("response from %s after %s", server, firstServer)
			}
			time.Sleep(200 * time.Millisecond)
		}
		c.changeAddress()
	}
}

// A client that changes its connection ID while its room server drains, with its address or without, stays there.
func TestNewIDDuringDrain(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s1, s2 := newFakeServer(t, "s-1", ids, accepts), newFakeServer(t, "s-2", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s1.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	b.engine.EndpointsUpdated(core.EndpointUpdate{
		Kind:      decide.ListSnapshot,
		Endpoints: []core.Endpoint{s1.endpoint(decide.Draining), s2.endpoint(decide.Ready)},
	})
	for _, changeAddress := range []bool{false, true, true} {
		response, err := c.call(newIDRequest)
		if err != nil {
			t.Fatal(err)
		}
		c.serverID = []byte(strings.TrimPrefix(response, "s-1 "))
		if changeAddress {
			c.changeAddress()
		}
		if response, err = c.call("hello"); err != nil || response != "s-1 hello" {
			t.Fatalf("after the change of the ID (and the address: %v): %q, %v", changeAddress, response, err)
		}
	}
	if accepted, _, initials := s2.counts(); accepted+initials > 0 {
		t.Errorf("the other server accepted %d clients from %d Initial packets", accepted, initials)
	}
}

// After a restart, a connection ID that the balancer has never seen leads to the server that issued it, even if the
// server drains. The decisions choose no server again.
func TestUnknownIDAfterRestart(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s1, s2 := newFakeServer(t, "s-1", ids, accepts), newFakeServer(t, "s-2", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s1.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	listen := b.frontend.Addr().String()
	b.stop()
	b = newTestBalancer(t, listen, ids, nil, s1.endpoint(decide.Draining), s2.endpoint(decide.Ready))
	if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
		t.Fatalf("after the restart: %q, %v", response, err)
	}
	eventually(t, "the connection is restored", func() bool { return b.engine.Snapshot().Restored == 1 })
	if s := b.engine.Snapshot(); s.Served != 1 {
		t.Errorf("the decisions chose a server again: %+v", s.Counters)
	}
	if accepted, _, initials := s2.counts(); accepted+initials > 0 {
		t.Errorf("the other server accepted %d clients from %d Initial packets", accepted, initials)
	}
}

// A datagram that no listed server can answer gets a stateless reset, which is smaller than the datagram.
func TestStatelessReset(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil)
	removed, err := ids.Encode(core.ServerID("s-gone"), make([]byte, 8))
	if err != nil {
		t.Fatal(err)
	}
	for name, id := range map[string][]byte{"other format": make([]byte, ids.Len()), "removed server": removed} {
		c := newFakeClient(t, b.frontend.Addr())
		for _, size := range []int{25, 60, 1000} {
			response, err := c.exchange(shortPacket(id, size), 300*time.Millisecond, 5*time.Second)
			if err != nil {
				t.Fatalf("%s, %d bytes: %v", name, size, err)
			}
			token := resetToken(testResetKey, id)
			if !bytes.HasSuffix(response, token[:]) || len(response) >= size || len(response) < minResetSize ||
				response[0]&(longHeader|fixedBit) != fixedBit {
				t.Errorf("%s: the response to %d bytes is %x", name, size, response)
			}
		}
		tooSmall := shortPacket(id, 1+len(id))
		if response, err := c.exchange(tooSmall, 200*time.Millisecond, 200*time.Millisecond); err == nil {
			t.Errorf("%s: a packet that is too small for a smaller reset got %x", name, response)
		}
	}
}

// Garbage, short Initial packets and Initial packets under other keys are dropped. Unsupported versions are negotiated.
func TestInvalidInitials(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	changed := clone(c.initial)
	changed[minInitialSize-100] ^= 1
	for name, raw := range map[string][]byte{
		"short":    c.initial[:minInitialSize-1],
		"changed":  changed,
		"one byte": {0xc0},
		"empty":    {},
	} {
		if response, err := c.exchange(raw, 100*time.Millisecond, 100*time.Millisecond); err == nil {
			t.Errorf("%s: response %x", name, response)
		}
	}
	otherVersion := clone(c.initial)
	otherVersion[4] = 0x7f
	response, err := c.exchange(otherVersion, 300*time.Millisecond, 5*time.Second)
	p, parseErr := parsePacket(response, 0)
	if err != nil || parseErr != nil || p.version != 0 || !bytes.Equal(p.destinationID, c.ownID) {
		t.Errorf("the response to an unsupported version is %x, %v", response, err)
	}
	if _, _, initials := s.counts(); initials > 0 {
		t.Errorf("%d of the packets were forwarded to the server", initials)
	}
}
