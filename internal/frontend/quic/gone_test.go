package quic

import (
	"net"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// gives is the Initial with which a client gives its connection up (RFC 9000, section 10.2.3).
func (c *standInClient) gives() []byte {
	c.t.Helper()
	k, err := initialKeys(c.first, clientSide)
	if err != nil {
		c.t.Fatal(err)
	}
	payload := make([]byte, minInitial-64)
	copy(payload, []byte{frameClose, connectionRefused, 0, 0})
	raw := sealInitial(k, c.first, c.own, payload)
	return append(raw, make([]byte, minInitial-len(raw))...)
}

// A client gives up while its request waits for a room server: nothing is sent on, nor for its close when that comes again.
func TestClientGivesUpWhileItWaits(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	b := newBalancer(t, "127.0.0.1:0", ids, nil)
	c := newClient(t, b.front.Addr())
	c.conn.Write(c.initial)
	eventually(t, "the request", func() bool { return b.module.CurrentSnapshot(time.Second).Waiting == 1 })
	c.conn.Write(c.gives())
	eventually(t, "its end", func() bool { return b.module.CurrentSnapshot(time.Second).ClientsLeft == 1 })
	c.conn.Write(c.gives())
	s := newServer(t, "s-1", ids, accepts)
	b.module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{s.instance(decide.Ready)}})
	other := newClient(t, b.front.Addr())
	if closed, err := other.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("another client: %+v, %v", closed, err)
	}
	if n := b.module.CurrentSnapshot(time.Second); n.Attempts != 1 || n.Clients != 1 {
		t.Errorf("%d attempts, %d channels, want the other client's", n.Attempts, n.Clients)
	}
}

// The close is here, behind the order for an attempt: the attempt is not made.
func TestCloseCrossesTheAttempt(t *testing.T) {
	t.Parallel()
	ids := format(t, idKey)
	b := newBalancer(t, "127.0.0.1:0", ids, nil)
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newClient(t, b.front.Addr())
	fl := newFlow(b.front, c.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	fl.origCID, fl.clientCID = c.first, c.own
	fl.call = b.module.Accept(fl, core.Traits{})
	defer close(fl.done)
	for _, raw := range [][]byte{c.initial, c.gives()} {
		p, err := parsePacket(raw, ids.Len())
		if err != nil {
			t.Fatal(err)
		}
		fl.fromClient(datagram{fl.from, raw}, p)
	}
	fl.attempt(core.Attempt{Upstream: core.Upstream{Address: server.LocalAddr().String()}})
	fl.closeUp()
	server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := server.Read(make([]byte, 2048)); err == nil || !fl.over {
		t.Errorf("%d bytes were sent on, over %v", n, fl.over)
	}
}
