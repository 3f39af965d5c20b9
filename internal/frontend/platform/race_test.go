package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// These tests force two things that end an attempt, a request or a connection to come together, in the order that does
// harm: a channel's actor is taken through its turns by hand, or a stand-in holds back until the other side has happened.

// manualConn is a channel on real sockets whose actor the test plays: what the core orders and what the readers bring waits
// until the test takes it.
type manualConn struct {
	*clientConn
	t        *testing.T
	balancer *testBalancer
	client   *testClient
}

func (b *testBalancer) newManualConn(t *testing.T) *manualConn {
	t.Helper()
	conn, far := newTCPPair(t)
	c := b.frontend.newClientConn(conn)
	c.call = b.engine.Accept(c, core.Traits{Descriptor: true})
	h := &manualConn{clientConn: c, t: t, balancer: b, client: far}
	t.Cleanup(func() { // before the balancer's own end
		c.closeUpstream(false)
		close(c.done)
		b.engine.ClientClosed(c.call)
	})
	return h
}

// submitAndDial lets the request reach the core, which orders the first attempt, and has the dial's news, which wait.
func (h *manualConn) submitAndDial() dialedEvent {
	h.t.Helper()
	h.requestSubmitted = true
	h.submitRequest(strings.TrimRight(newRequestLine(), "\r\n"), time.Now())
	return h.startNextAttempt()
}

func (h *manualConn) startNextAttempt() dialedEvent {
	h.t.Helper()
	o := <-h.commands
	if !isCommand[startAttemptCommand](o) {
		h.t.Fatalf("the core orders %T, want an attempt", o)
	}
	h.execute(h.t.Context(), o)
	n, ok := (<-h.events).(dialedEvent)
	if !ok || n.err != nil {
		h.t.Fatalf("the dial brings %+v", n)
	}
	return n
}

// pendingCommand tells what the core has ordered by now, if anything.
func (h *manualConn) pendingCommand() (o command, any bool) {
	h.balancer.waitForEngine()
	select {
	case o = <-h.commands:
		return o, true
	default:
		return o, false
	}
}

// waitForEngine waits until the core has done what it was told before.
func (b *testBalancer) waitForEngine() { b.engine.CurrentSnapshot(20 * time.Second) }

// newWaitingClient is a client whose request the core has, and cannot send on.
func (b *testBalancer) newWaitingClient(t *testing.T) *testClient {
	t.Helper()
	c := b.newClient(t)
	c.send(newRequestLine())
	waitUntil(t, "the request", func() bool { return b.engine.CurrentSnapshot(20*time.Second).Waiting == 1 })
	return c
}

// newBacklogClient is a client whose request lies in the listener's backlog, until the pause is over.
func (b *testBalancer) newBacklogClient(t *testing.T) *testClient {
	t.Helper()
	b.waitForEngine()
	b.pause.Pause()
	waitUntil(t, "the pause", func() bool { return len(b.frontend.descriptors) == 0 })
	c := b.newClient(t)
	c.send(newRequestLine())
	return c
}

// waitUntil waits for what is sure to come.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

func (s *fakeServer) deltaWithState(state decide.State) core.EndpointUpdate {
	in := s.endpoint()
	in.State = state
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{in}}
}

func (s *fakeServer) deltaInZone(zone string) core.EndpointUpdate {
	in := s.endpoint()
	in.Zone = zone
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{in}}
}

var largeBudget = DescriptorBudget{Total: 300, DialReserve: 50}

// setNotIdempotent makes the class one that must not run twice.
func setNotIdempotent(s *decide.Settings) { s.Classes[0].Idempotency = decide.NotIdempotent }

// A dial comes up as its time-out falls due. Whichever the actor takes first, there is one attempt: what was written may
// have run, and goes on; what was not is not written any more.
func TestDialCrossesTimeout(t *testing.T) {
	t.Parallel()
	for _, written := range []bool{true, false} {
		s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
		b := newTestBalancerWithSettings(t, largeBudget, func(s *decide.Settings) { setNotIdempotent(s); s.ConnectTimeout = 50 * time.Millisecond }, s1, s2)
		h := b.newManualConn(t)
		dialled := h.submitAndDial()
		o := <-h.commands // the time-out
		if !isCommand[cancelAttemptCommand](o) {
			t.Fatalf("the core orders %T, want to give up", o)
		}
		if o, more := h.pendingCommand(); more {
			t.Fatalf("the core orders %T before the attempt has ended", o)
		}
		if written {
			h.handle(dialled)
		}
		h.execute(t.Context(), o)
		if !written {
			h.handle(dialled) // too late
			h.handle(h.startNextAttempt())
		}
		h.handle(<-h.events) // UP
		if o := <-h.commands; !isCommand[establishCommand](o) {
			t.Errorf("written %v: the core orders %T, want to stand", written, o)
		}
		if n := len(s1.receivedLines()) + len(s2.receivedLines()); n != 1 {
			t.Errorf("written %v: %d lines went out, want one", written, n)
		}
	}
}

// The attempt's answer crosses its time-out: the core takes what the channel has told, and the client is served.
func TestResponseCrossesTimeout(t *testing.T) {
	t.Parallel()
	b := newTestBalancerWithSettings(t, largeBudget, setNotIdempotent, newFakeServer(t, "s-1", serveEcho))
	h := b.newManualConn(t)
	h.handle(h.submitAndDial())
	h.handle(<-h.events) // UP: the core is told
	h.execute(t.Context(), cancelAttemptCommand{0, decide.TimedOut})
	h.execute(t.Context(), <-h.commands)
	h.client.wantLine("UP receipt-1\r\n")
}

// A room server is told to drain, is gone, is left out of a whole list, or comes back elsewhere or anew, while a dial to it
// is on its way: nothing is sent there, and the request goes elsewhere at once.
func TestDialCancelledByEndpointUpdate(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*core.EndpointUpdate){
		"draining":  func(r *core.EndpointUpdate) { r.Endpoints[0].State = decide.Draining },
		"gone":      func(r *core.EndpointUpdate) { r.Endpoints[0].State = decide.Removed },
		"elsewhere": func(r *core.EndpointUpdate) { r.Endpoints[0].Address = "127.0.0.1:1" },
		"anew":      func(r *core.EndpointUpdate) { r.Endpoints[0].Started = time.Now() },
		"left out":  func(r *core.EndpointUpdate) { r.Kind, r.Endpoints = decide.ListSnapshot, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, s1)
			h := b.newManualConn(t)
			dialled := h.submitAndDial()
			r := s1.deltaWithState(decide.Ready)
			change(&r)
			b.engine.EndpointsUpdated(r)
			b.engine.EndpointsUpdated(s2.deltaWithState(decide.Ready))
			if o, any := h.pendingCommand(); any {
				h.execute(t.Context(), o)
			}
			h.handle(dialled)
			h.handle(h.startNextAttempt())
			if n, m := len(s1.receivedLines()), len(s2.receivedLines()); n > 0 {
				t.Errorf("%d lines went to the room server that left, %d to the other", n, m)
			}
		})
	}
}

// Room servers that come back elsewhere as a dial to one is on its way are not to blame for it.
func TestCancelledDialEjectsNoServer(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
	b := newTestBalancer(t, s1, s2)
	h := b.newManualConn(t)
	dialled := h.submitAndDial()
	for _, s := range []*fakeServer{s1, s2} {
		r := s.deltaWithState(decide.Ready)
		r.Endpoints[0].Started = time.Now()
		b.engine.EndpointsUpdated(r)
	}
	o, _ := h.pendingCommand()
	h.execute(t.Context(), o)
	h.handle(dialled)
	if n := b.engine.CurrentSnapshot(20 * time.Second).Ejected; n > 0 {
		t.Errorf("%d room servers are left out", n)
	}
}

// A connection that was open before the start is not opened at a room server past its grace, and one within it not later
// than its end.
func TestRestoreEndsWithDrainGrace(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancerWithSettings(t, largeBudget, func(s *decide.Settings) { s.Safety.DrainGrace = 30 * time.Millisecond }, s)
	h := b.newManualConn(t)
	b.engine.EndpointsUpdated(s.deltaWithState(decide.Draining))
	h.requestSubmitted = true
	h.submitRequest(strings.TrimRight(newRequestLine(), "\r\n")+",at=s-1", time.Now())
	b.waitForEngine()
	var dialled dialedEvent
	o, any := h.pendingCommand()
	if any { // it was within the grace still
		h.execute(t.Context(), o)
		dialled = (<-h.events).(dialedEvent)
		h.execute(t.Context(), <-h.commands) // at its end
		h.handle(dialled)
	}
	for range 2 { // no other follows, and each would within this
		time.Sleep(beyondRestoreRetry)
		if o, any := h.pendingCommand(); any {
			t.Fatalf("the core orders %T", o)
		}
	}
	if n := len(s.receivedLines()); n > 0 {
		t.Errorf("%d lines went to the room server that drains", n)
	}
}

// beyondRestoreRetry is longer than the core's pause between dials for a connection that was open before the start.
const beyondRestoreRetry = 300 * time.Millisecond

// closeClient ends a client's connection, and waits until our side of it has heard.
func (h *manualConn) closeClient(reset bool) {
	h.t.Helper()
	closeClientConn(h.client, reset)
	waitUntil(h.t, "the client's end", func() bool { left, _ := h.clientState(); return left })
}

func closeClientConn(c *testClient, reset bool) {
	if reset {
		c.conn.SetLinger(0)
	}
	c.conn.Close()
}

// A client leaves while the dial for its request is on its way. The actor hears of the connection first.
func TestClientClosesDuringDial(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{false, true} {
		s := newFakeServer(t, "s-1", serveEcho)
		b := newTestBalancer(t, s)
		h := b.newManualConn(t)
		dialled := h.submitAndDial()
		h.closeClient(reset)
		if h.handle(dialled) {
			t.Errorf("reset %v: the actor goes on without its client", reset)
		}
		h.closeUpstream(false)
		if n := len(s.receivedLines()); n > 0 {
			t.Errorf("reset %v: %d requests of a client that has left were sent on", reset, n)
		}
	}
}

// One that sends more while the dial is on its way is answered, and nothing is sent on for it: what came is no client's
// form, whether the reader has taken it or not.
func TestDataDuringDialFails(t *testing.T) {
	t.Parallel()
	for _, read := range []bool{false, true} {
		s := newFakeServer(t, "s-1", serveEcho)
		b := newTestBalancer(t, s)
		h := b.newManualConn(t)
		dialled := h.submitAndDial()
		h.client.send("more")
		waitUntil(t, "more", func() bool { _, more := h.clientState(); return more })
		if read {
			h.text.R.Peek(1)
			h.earlyDataRead.Store(true)
		}
		h.handle(dialled)
		h.execute(t.Context(), <-h.commands)
		h.client.wantLine("ERR\r\n")
		if n := len(s.receivedLines()); n > 0 {
			t.Errorf("read %v: %d lines were sent on", read, n)
		}
	}
}

// A client leaves where its request waits in the real front: nothing is sent on, nor tried again.
func TestClientClosesWhileWaiting(t *testing.T) {
	t.Parallel()
	ends := map[string]bool{"fin": false, "rst": true}
	// gone waits until the core has heard that one left.
	gone := func(t *testing.T, b *testBalancer) {
		waitUntil(t, "the client's end", func() bool { return b.engine.CurrentSnapshot(20*time.Second).ClientsLeft == 1 })
	}
	for name, reset := range ends {
		t.Run("for a room server/"+name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t)
			c := b.newWaitingClient(t)
			closeClientConn(c, reset)
			gone(t, b)
			s := newFakeServer(t, "s-1", serveEcho)
			b.engine.EndpointsUpdated(s.deltaWithState(decide.Ready)) // a request that waits is placed in this turn
			wantNoEarlierRequest(t, b, s)
		})
		t.Run("for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 12, DialReserve: 4}, s)
			waitUntil(t, "the accepting side's descriptor", func() bool { return len(b.frontend.descriptors) == 1 })
			for range cap(b.frontend.descriptors) - 1 { // it waits for a client with its own; none is left for the dial
				b.frontend.descriptors <- struct{}{}
			}
			c := b.newWaitingClient(t)
			closeClientConn(c, reset)
			gone(t, b)
			for len(b.frontend.descriptors) > 1 {
				b.frontend.releaseDescriptor()
			}
			wantNoEarlierRequest(t, b, s)
		})
		t.Run("for the answer/"+name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			s1 := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) { neverRespond(conn, r); close(over) })
			s2 := newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, s1)
			c := b.newClient(t)
			c.send(newRequestLine())
			waitUntil(t, "the attempt", func() bool { return len(s1.receivedLines()) == 1 })
			b.engine.EndpointsUpdated(s2.deltaWithState(decide.Ready))
			closeClientConn(c, reset)
			<-over
			gone(t, b)
			b.engine.EndpointsUpdated(s1.deltaWithState(decide.Draining)) // for the one who comes next
			wantNoEarlierRequest(t, b, s2)
		})
		t.Run("unread/"+name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			c := b.newBacklogClient(t)
			closeClientConn(c, reset)
			b.pause.Resume()
			waitUntil(t, "the client's end", func() bool {
				s := b.engine.CurrentSnapshot(20 * time.Second)
				return s.Clients == 0 && len(b.frontend.descriptors) == 1
			})
			wantNoEarlierRequest(t, b, s)
		})
		for _, text := range []string{strings.TrimRight(newRequestLine(), "\r\n"), newRequestLine() + "x"} {
			t.Run("half a line, or more than one/"+name, func(t *testing.T) {
				t.Parallel()
				s := newFakeServer(t, "s-1", serveEcho)
				b := newTestBalancer(t, s)
				c := b.newClient(t)
				c.send(text)
				closeClientConn(c, reset)
				wantNoEarlierRequest(t, b, s)
			})
		}
	}
}

// wantNoEarlierRequest checks that a room server has heard of nobody but one who comes now.
func wantNoEarlierRequest(t *testing.T, b *testBalancer, s *fakeServer) {
	t.Helper()
	c := b.newClient(t)
	line := newRequestLine()
	c.send(line)
	c.wantLine("UP receipt-1\r\n")
	for _, got := range s.receivedLines() {
		if !strings.HasPrefix(got, line[:21]) {
			t.Errorf("sent on: %q", got)
		}
	}
}

// What became of an attempt, by the effect of its class, from the room server's socket to the client's: nothing runs twice
// that must not, and a client hears that trying again is harmless only where it is.
func TestRetriesByIdempotency(t *testing.T) {
	t.Parallel()
	keyed := func(scope decide.KeyScope, window time.Duration) func(*decide.Settings) {
		return func(s *decide.Settings) {
			s.Classes[0].Idempotency, s.Classes[0].KeyScope, s.Classes[0].DedupWindow = decide.IdempotentByKey, scope, window
		}
	}
	closed := func(conn net.Conn, _ *bufio.Reader) { conn.(*net.TCPConn).SetLinger(0) }
	const up, busy, err = "UP", "BUSY", "ERR"
	effects := map[string]struct {
		set   func(*decide.Settings)
		again string // the answer where the first attempt may have run
		lost  string // the same where it hung until its time-out
	}{
		"safe":                          {func(*decide.Settings) {}, up, up},
		"unsafe":                        {setNotIdempotent, err, err},
		"keyed everywhere":              {keyed(decide.ScopeAll, 5*time.Second), up, busy},
		"keyed in the zone":             {keyed(decide.ScopeZone, 5*time.Second), err, err},
		"keyed in the cell":             {keyed(decide.ScopeCell, 5*time.Second), err, err},
		"keyed, its window is over":     {keyed(decide.ScopeAll, time.Nanosecond), busy, busy},
		"keyed, over before a dial can": {func(s *decide.Settings) { keyed(decide.ScopeAll, time.Second)(s); s.ConnectTimeout = time.Second }, busy, busy},
	}
	for effect, e := range effects {
		for name, o := range map[string]struct {
			treat func(net.Conn, *bufio.Reader)
			want  string
		}{
			"busy": {respond("BUSY inflight=3\r\n"), up}, "refused": {nil, up}, "reset": {closed, e.again}, "ends": {respond(""), e.again},
			"error": {respond("ERR\r\n"), e.again}, "half an answer": {respond("UP rec"), e.again}, "moves": {respond("MOVE\r\n"), e.again},
			"no answer": {respond("WHAT\r\n"), e.again}, "spoilt": {respond("BUSY \x00\xff\r\n"), e.again}, "two": {respond("ERR\r\nBUSY\r\n"), e.again},
			"hangs": {neverRespond, e.lost},
		} {
			t.Run(effect+"/"+name, func(t *testing.T) {
				t.Parallel()
				// Own zone first: the attempt that fails is the first, the other zone's server would be the next.
				bad, good := newFakeServer(t, "s-1", o.treat), newFakeServer(t, "s-2", serveEcho)
				if o.treat == nil {
					bad.listener.Close()
				}
				b := newTestBalancerWithSettings(t, largeBudget, e.set, bad)
				b.engine.EndpointsUpdated(good.deltaInZone("b"))
				b.waitForEngine()
				c := b.newClient(t)
				c.send(newRequestLine())
				line, _ := c.r.ReadString('\n')
				if got, _, _ := strings.Cut(strings.TrimSpace(line), " "); got != o.want {
					t.Errorf("answered %q, want %s", line, o.want)
				}
				if n := len(good.receivedLines()); (n == 1) != (o.want == up) {
					t.Errorf("%d lines went to the next server", n)
				}
			})
		}
	}
}

// A planned stop that finds attempts out at a room server that hangs: the answer says that trying again is harmless only
// where it is, and when to come back only where the settings allow.
func TestDrainAnswersByIdempotency(t *testing.T) {
	t.Parallel()
	for _, o := range []struct {
		set        func(*decide.Settings)
		want, late string
	}{
		{func(s *decide.Settings) { setNotIdempotent(s); s.MaxAttempts = 1 }, "ERR\r\n", "BUSY 1000\r\n"},
		{func(s *decide.Settings) { s.MaxRetryAfter, s.MaxAttempts = 0, 1 }, "BUSY\r\n", "BUSY\r\n"},
	} {
		s := newFakeServer(t, "s-1", neverRespond)
		b := newTestBalancerWithSettings(t, largeBudget, o.set, s)
		c := b.newClient(t)
		c.send(newRequestLine())
		waitUntil(t, "the attempt", func() bool { return len(s.receivedLines()) == 1 })
		b.engine.Drain(time.Second, nil)
		c.wantLine(o.want)
		late := b.newClient(t) // it comes after the last step, and nothing is sent for it
		late.send(newRequestLine())
		late.wantLine(o.late)
	}
}

// A stop is not over while a client waits to be accepted, or its line to be read.
func TestDrainWaitsForBacklog(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	c := b.newBacklogClient(t)
	looked := make(chan bool, 1000)
	over := b.engine.Drain(20*time.Second, func() bool {
		waits := b.frontend.ClientsWaiting(b.listener)
		looked <- waits
		return waits
	})
	if !<-looked { // as soon as the stop might be over
		t.Error("the client that waits is not seen")
	}
	b.waitForEngine()
	select {
	case <-over:
		t.Error("the stop is over before the client is accepted")
	default:
	}
	b.pause.Resume()
	c.wantLine("UP receipt-1\r\n")
	c.conn.Close()
	<-over
}

// The line has come and lies unread in an accepted channel as the stop might be over.
func TestDrainWaitsForUnreadRequest(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	h := b.newManualConn(t)
	h.client.send(newRequestLine())
	waitUntil(t, "the line", func() bool { return hasUnreadData(h.clientConn.conn) })
	over := b.engine.Drain(20*time.Second, nil)
	o := <-h.commands // drop it if it says nothing
	if !h.execute(t.Context(), o) {
		t.Fatal("a request that has come is dropped")
	}
	b.waitForEngine()
	select {
	case <-over:
		t.Fatal("the stop is over with a request unread")
	default:
	}
	h.frontend.readers.Go(h.readClient)
	h.handle(<-h.events) // the line
	h.handle(h.startNextAttempt())
	for served := false; !served; {
		select {
		case n := <-h.events:
			h.handle(n)
		case o := <-h.commands:
			served = isCommand[establishCommand](o)
			h.execute(t.Context(), o)
		}
	}
	h.client.wantLine("UP receipt-1\r\n")
}

// What lies unread as the stop might be over is a health check's question: it is answered, and holds the stop up no longer.
func TestDrainDoesNotWaitForHealthChecks(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	h := b.newManualConn(t)
	h.client.send("PING\r\n")
	waitUntil(t, "the line", func() bool { return hasUnreadData(h.clientConn.conn) })
	over := b.engine.Drain(1900*time.Millisecond, nil) // less than a channel that says nothing may stay
	if !h.execute(t.Context(), <-h.commands) {
		t.Fatal("a line that has come is dropped")
	}
	h.frontend.readers.Go(h.readClient)
	h.client.wantLine("BUSY\r\n")
	select {
	case o := <-h.commands:
		if h.execute(t.Context(), o) {
			t.Fatal("a health check that was answered stays")
		}
	case <-over:
		t.Error("the stop waited for its whole time")
	}
}

// A move finds a line half read: the client gets it whole, then MOVE. One that follows the room server's own end sends none.
func TestMigrateBetweenLines(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	front := New(b.engine, testNames, largeBudget, b.frontend.log) // it accepts nothing
	for _, o := range []struct{ before, after, want string }{
		{"re he", "llo\r\n", "re hello\r\nMOVE\r\n"}, {"re he", "", "MOVE\r\n"}, {"re hello\r\n", "", "re hello\r\nMOVE\r\n"},
		{"BYE\r\n", "", "BYE\r\n"}, {"MOVE\r\n", "", "MOVE\r\n"},
	} {
		ours, client := newTCPPair(t)
		near, room := newTCPPair(t)
		c := front.newClientConn(ours)
		c.call = b.engine.Accept(c, core.Traits{})
		front.descriptors <- struct{}{}
		up := &upstreamConn{conn: near, text: textproto.NewConn(near), cancel: func() {}}
		c.upstream, c.established = up, true
		room.send(o.before)
		up.text.R.Peek(len(o.before)) // it is read, and not passed on yet
		c.execute(context.Background(), migrateCommand{})
		room.send(o.after)
		front.readers.Go(func() { c.relayToClient(up) })
		if !c.handle(<-c.events) {
			t.Errorf("%q: the actor ended before its client did", o.before)
		}
		if got, err := io.ReadAll(client.r); err != nil || string(got) != o.want {
			t.Errorf("%q, then %q: the client reads %q, %v, want %q", o.before, o.after, got, err, o.want)
		}
	}
}

// isCommand tells whether a command is of a kind.
func isCommand[T command](cmd command) bool {
	_, yes := cmd.(T)
	return yes
}
