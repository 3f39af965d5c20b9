package quic

import (
	"errors"
	"net"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"golang.org/x/sys/unix"
)

// Guards against a request that is run twice: a room server's port that closes after it has received the request is no
// proof that the request was never executed, though the kernel reports the connection as refused. Only requests that
// may be repeated are sent to another room server.
func TestPortClosesAfterFirstDatagram(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		class decide.Class
		zone  string
		again bool
	}{
		"idempotent":                 {decide.Class{Idempotency: decide.Idempotent}, "a", true},
		"not idempotent":             {decide.Class{Idempotency: decide.NotIdempotent}, "a", false},
		"deduplicated":               {deduplicated(decide.ScopeAll, 5*time.Second), "b", true},
		"deduplicated in the zone":   {deduplicated(decide.ScopeZone, 5*time.Second), "a", true},
		"deduplicated in other zone": {deduplicated(decide.ScopeZone, 5*time.Second), "b", false},
		"after its window":           {deduplicated(decide.ScopeZone, time.Millisecond), "a", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ids := newTestFormat(t, testIDKey)
			first, second := newFakeServer(t, "s-1", ids, ignores), newFakeServer(t, "s-2", ids, accepts)
			b := newTestBalancerWithSettings(t, "127.0.0.1:0", ids, nil, settingsForClass(test.class),
				first.endpoint(decide.Ready))
			c := newFakeClient(t, b.frontend.Addr())
			c.write(c.initial)
			eventually(t, "the first datagram to arrive", func() bool { _, _, n := first.counts(); return n == 1 })
			first.conn.Close()
			b.addServer(second, test.zone)
			closed, err := c.open(5 * time.Second)
			if err != nil || (closed == nil) != test.again {
				t.Errorf("the answer is %+v, %v; want accepted elsewhere: %v", closed, err, test.again)
			}
			if closed != nil && closed.code != internalError {
				t.Errorf("closed with code %#x, want %#x: the request may have been executed", closed.code, internalError)
			}
			if accepted, _, _ := second.counts(); (accepted == 1) != test.again {
				t.Errorf("the second server has accepted %d clients", accepted)
			}
		})
	}
}

// A port that was closed from the start proves that the request was never executed, after one datagram and after
// several: whatever its class, another room server is tried.
func TestPortClosedFromStart(t *testing.T) {
	t.Parallel()
	for name, class := range map[string]decide.Class{
		"idempotent":     {Idempotency: decide.Idempotent},
		"not idempotent": {Idempotency: decide.NotIdempotent},
		"deduplicated":   deduplicated(decide.ScopeZone, time.Millisecond),
	} {
		for datagrams := 1; datagrams <= 3; datagrams += 2 {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				ids := newTestFormat(t, testIDKey)
				closed := newFakeServer(t, "s-1", ids, accepts)
				open := newFakeServer(t, "s-2", ids, accepts)
				closed.conn.Close()
				b := newTestBalancerWithSettings(t, "127.0.0.1:0", ids, nil, settingsForClass(class))
				c := newFakeClient(t, b.frontend.Addr())
				for range datagrams {
					c.write(c.initial)
				}
				eventually(t, "the request to wait", func() bool {
					return b.engine.CurrentSnapshot(time.Second).Waiting == 1
				})
				time.Sleep(20 * time.Millisecond) // the flow retains the other datagrams meanwhile
				b.addServer(closed, "a")
				eventually(t, "the attempt", func() bool {
					return b.engine.CurrentSnapshot(time.Second).Attempts == 1
				})
				b.addServer(open, "b")
				if answer, err := c.open(5 * time.Second); err != nil || answer != nil {
					t.Errorf("the answer is %+v, %v, want accepted at the second server", answer, err)
				}
			})
		}
	}
}

// Each datagram that is not delivered is counted once, also where the socket's own error was read before or was
// replaced by a later one. The first error after several datagrams that were delivered proves nothing.
func TestFailureCode(t *testing.T) {
	t.Parallel()
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialUDP("udp", nil, server.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := enableErrorQueue(conn); err != nil {
		t.Fatal(err)
	}
	up := &upstream{conn: conn}
	write := func() {
		if _, err := conn.Write([]byte("x")); err == nil {
			up.sent++
		} else if !isPortClosed(err) {
			t.Fatal(err)
		}
	}
	server.Close()
	for range 5 { // every second write reports the error of the one before
		write()
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNREFUSED) {
		t.Fatalf("read: %v, want ECONNREFUSED", err)
	}
	up.undelivered += countUndelivered(conn)
	if up.sent != 3 || up.undelivered != up.sent || up.failureCode() != decide.ConnectFailed {
		t.Errorf("%d of %d datagrams are undelivered: %v, want all, and ConnectFailed", up.undelivered, up.sent,
			up.failureCode())
	}
	up.sent++ // one that was delivered
	if code := up.failureCode(); code != decide.Reset {
		t.Errorf("with one delivered datagram the code is %v, want Reset", code)
	}
}

// A datagram that is too large for the path, or that a router could not forward, does not end the attempt.
func TestPathErrorsEndNothing(t *testing.T) {
	t.Parallel()
	for _, err := range []error{unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EMSGSIZE} {
		wrapped := error(&net.OpError{Err: err})
		if !isPathError(wrapped) || isPortClosed(wrapped) {
			t.Errorf("%v counts as a closed port", err)
		}
	}
}

// A room server accepts the request and its port closes before the engine has established the connection: the client is
// not left without an answer.
func TestPortClosesBetweenAcceptAndEstablish(t *testing.T) {
	t.Parallel()
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil, s.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	fl := newFlow(b.frontend, c.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	fl.originalID, fl.clientID, fl.clientDatagramSize = c.originalID, c.ownID, len(c.initial)
	fl.call = b.engine.Accept(fl, core.ConnTraits{})
	t.Cleanup(func() { close(fl.done); fl.closeUpstream(); b.engine.ClientClosed(fl.call) })
	address := s.conn.LocalAddr().String()
	fl.startAttempt(core.Attempt{Upstream: core.Upstream{ID: core.ServerID(s.name), Address: address}})
	fl.sendToServer(c.initial)
	fl.handleServerDatagram(<-fl.serverDatagrams)
	s.conn.Close()
	fl.sendToServer(c.initial)
	fl.handleServerDatagram(<-fl.serverDatagrams) // the error
	if fl.upstream == nil || fl.ended {
		t.Fatal("the attempt has ended though it was reported as accepted")
	}
	fl.establish(0)
	if !fl.ended || fl.upstream != nil {
		t.Error("the connection has not ended")
	}
	for range 2 { // what the room server had sent, and the end
		c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.conn.Read(make([]byte, 2048)); err != nil {
			t.Fatalf("the client got no answer: %v", err)
		}
	}
}

// deduplicated returns a class whose room servers drop repeats.
func deduplicated(scope decide.KeyScope, window time.Duration) decide.Class {
	return decide.Class{Idempotency: decide.IdempotentByKey, KeyScope: scope, DedupWindow: window}
}

// settingsForClass returns the usual settings for zones a and b, with another effect of the requests.
func settingsForClass(class decide.Class) decide.Settings {
	settings := testSettings()
	settings.Zones = []string{"a", "b"}
	usual := settings.Classes[0]
	class.Name, class.LatencyObjective, class.ClientTimeout = usual.Name, usual.LatencyObjective, usual.ClientTimeout
	settings.Classes = []decide.Class{class}
	return settings
}

// addServer adds a room server to the endpoint list.
func (b *testBalancer) addServer(s *fakeServer, zone string) {
	entry := s.endpoint(decide.Ready)
	entry.Zone = zone
	b.engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{entry}})
}

// write sends a datagram once.
func (c *fakeClient) write(raw []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(raw); err != nil {
		c.t.Fatal(err)
	}
}
