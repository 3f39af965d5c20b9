package quic

import (
	"net"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// closeDatagram returns a datagram with an Initial packet by which the client closes its connection before the
// handshake is complete (RFC 9000, section 10.2.3).
func (c *fakeClient) closeDatagram() []byte {
	c.t.Helper()
	return c.paddedInitial([]byte{frameConnectionClose, connectionRefused, 0, 0})
}

// If a client closes its connection while its request waits for a room server, no attempt is made for it. A
// repeated close, which arrives after the flow has ended, does not count as a new request.
func TestClientClosesWhileWaiting(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil)
	c := newFakeClient(t, b.frontend.Addr())
	c.conn.Write(c.initial)
	eventually(t, "the request waits", func() bool { return b.engine.CurrentSnapshot(time.Second).Waiting == 1 })
	c.conn.Write(c.closeDatagram())
	eventually(t, "the close is counted", func() bool { return b.engine.CurrentSnapshot(time.Second).ClientsLeft == 1 })
	c.conn.Write(c.closeDatagram())
	s := newFakeServer(t, "s-1", ids, accepts)
	b.engine.EndpointsUpdated(core.EndpointUpdate{
		Kind:      decide.ListDelta,
		Endpoints: []core.Endpoint{s.endpoint(decide.Ready)},
	})
	other := newFakeClient(t, b.frontend.Addr())
	if closed, err := other.open(5 * time.Second); err != nil || closed != nil {
		t.Fatalf("another client: %+v, %v", closed, err)
	}
	if n := b.engine.CurrentSnapshot(time.Second); n.Attempts != 1 || n.Clients != 1 {
		t.Errorf("%d attempts and %d connections, want 1 and 1, which are those of the other client", n.Attempts, n.Clients)
	}
}

// A client's close may still be queued when its flow handles the command to start an attempt. In this case the
// attempt is not made.
func TestCloseArrivesBeforeAttempt(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil)
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := newFakeClient(t, b.frontend.Addr())
	fl := newFlow(b.frontend, c.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	fl.originalID, fl.clientID = c.originalID, c.ownID
	fl.call = b.engine.Accept(fl, core.ConnTraits{})
	defer close(fl.done)
	for _, raw := range [][]byte{c.initial, c.closeDatagram()} {
		p, err := parsePacket(raw, ids.Len())
		if err != nil {
			t.Fatal(err)
		}
		fl.deliver(datagram{fl.routedFrom, raw}, p)
	}
	fl.startAttempt(core.Attempt{Upstream: core.Upstream{Address: server.LocalAddr().String()}})
	fl.closeUpstream()
	server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := server.Read(make([]byte, 2048)); err == nil || !fl.ended {
		t.Errorf("the server received %d bytes, want 0; flow ended: %v, want true", n, fl.ended)
	}
}
