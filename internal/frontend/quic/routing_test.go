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

// During a hot restart the replacement process reads from the same socket. It routes a packet of an established
// connection by its connection ID to the room server that holds the connection. At the same time the previous process
// still forwards datagrams from that room server to the client.
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
	// The first of the two calls may still be routed by the previous process: the pause wakes its reader by a read
	// deadline, and a datagram that arrives before the reader runs is still returned. The reader's next read fails, so
	// this cannot happen twice.
	for range 2 {
		if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
			t.Fatalf("after the restart: %q, %v", response, err)
		}
	}
	eventually(t, "the connection is restored", func() bool { return replacement.engine.Snapshot().Restored == 1 })
	if s := replacement.engine.Snapshot(); s.Served != 1 || s.Failed > 0 {
		t.Errorf("unexpected counters of the replacement process: %+v", s)
	}
}

// duplicate returns a second file descriptor of a socket.
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

// Ten clients change their address every second, with plaintext and with encrypted connection IDs. The packets of
// each client are still routed to its room server.
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
					t.Errorf("%s received %d packets with connection IDs of other servers", s.name, unknown)
				}
			}
			eventually(t, "all clients are counted as served", func() bool { return b.engine.Snapshot().Served == clients })
			if s := b.engine.Snapshot(); accepted != clients || s.Rejected+s.Failed+s.Restored > 0 {
				t.Errorf("the servers accepted %d clients in total, counters %+v", accepted, s.Counters)
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

// A client that changes its connection ID while its room server drains is still routed to that server, whether or not
// its address changes too.
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
			t.Fatalf("after the change of the connection ID (of the address too: %v): %q, %v", changeAddress, response, err)
		}
	}
	if accepted, _, initials := s2.counts(); accepted+initials > 0 {
		t.Errorf("the other server accepted %d clients from %d Initial packets", accepted, initials)
	}
}

// After a restart the balancer has no flow for an established connection. It routes the connection ID to the room
// server that issued it, even if the server drains, and the decision module does not choose a server again.
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
		t.Errorf("the decision module chose a server again: %+v", s.Counters)
	}
	if accepted, _, initials := s2.counts(); accepted+initials > 0 {
		t.Errorf("the other server accepted %d clients from %d Initial packets", accepted, initials)
	}
}

// A datagram whose connection ID has another format, or encodes a room server that is not in the endpoint list, gets
// a stateless reset. The reset is smaller than the datagram.
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
				t.Errorf("%s: response to %d bytes is %x, want a smaller stateless reset", name, size, response)
			}
		}
		tooSmall := shortPacket(id, 1+len(id))
		if response, err := c.exchange(tooSmall, 200*time.Millisecond, 200*time.Millisecond); err == nil {
			t.Errorf("%s: a packet that is too small for a stateless reset got the response %x", name, response)
		}
	}
}

// Invalid packets, too small Initial datagrams and Initial packets that cannot be decrypted are dropped. A packet of
// an unsupported version gets a Version Negotiation packet.
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
			t.Errorf("%s: response %x, want none", name, response)
		}
	}
	otherVersion := clone(c.initial)
	otherVersion[4] = 0x7f
	response, err := c.exchange(otherVersion, 300*time.Millisecond, 5*time.Second)
	p, parseErr := parsePacket(response, 0)
	if err != nil || parseErr != nil || p.version != 0 || !bytes.Equal(p.destinationID, c.ownID) {
		t.Errorf("response to an unsupported version: %x, %v, want a Version Negotiation packet", response, err)
	}
	if _, _, initials := s.counts(); initials > 0 {
		t.Errorf("%d of the packets were forwarded to the server", initials)
	}
}
