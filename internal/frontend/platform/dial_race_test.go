package platform

import (
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// A dial succeeds at the moment when its timeout expires. Whichever event the actor handles first, only one request
// line is sent. If the line was written, the server may execute the request, so the attempt continues. If the line was
// not written before the timeout, it must not be written later.
func TestDialCrossesTimeout(t *testing.T) {
	t.Parallel()
	shortTimeout := func(settings *decide.Settings) {
		setNotIdempotent(settings)
		settings.ConnectTimeout = 50 * time.Millisecond
	}
	for name, dialFirst := range map[string]bool{"dial first": true, "timeout first": false} {
		t.Run(name, func(t *testing.T) {
			s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancerWithSettings(t, largeBudget, shortTimeout, s1, s2)
			c := b.newManualConn(t)
			dialed := c.submitAndDial()
			timeout := <-c.commands
			if !isCommand[cancelAttemptCommand](timeout) {
				t.Fatalf("the engine sent %T, want a cancelAttemptCommand", timeout)
			}
			if cmd, ok := c.pendingCommand(); ok {
				t.Fatalf("the engine sent %T before the attempt has ended", cmd)
			}
			if dialFirst {
				c.handle(dialed)
			}
			c.execute(t.Context(), timeout)
			if !dialFirst {
				c.handle(dialed) // The attempt was cancelled before.
				c.handle(c.startNextAttempt())
			}
			c.handle(<-c.events) // The acceptance.
			if cmd := <-c.commands; !isCommand[establishCommand](cmd) {
				t.Errorf("the engine sent %T, want an establishCommand", cmd)
			}
			if n := len(s1.receivedLines()) + len(s2.receivedLines()); n != 1 {
				t.Errorf("%d request lines were sent, want one", n)
			}
		})
	}
}

// A server accepts an attempt at the moment when the attempt times out. The acceptance was reported to the engine
// first, so the client is served.
func TestResponseCrossesTimeout(t *testing.T) {
	t.Parallel()
	b := newTestBalancerWithSettings(t, largeBudget, setNotIdempotent, newFakeServer(t, "s-1", serveEcho))
	c := b.newManualConn(t)
	c.handle(c.submitAndDial())
	c.handle(<-c.events) // The acceptance, which is reported to the engine.
	c.execute(t.Context(), cancelAttemptCommand{0, decide.TimedOut})
	c.execute(t.Context(), <-c.commands)
	c.client.wantLine("UP receipt-1\r\n")
}

// While a room server is being dialed, it begins to drain, is removed, is missing in a snapshot of the list, or
// changes its address or start time. Nothing is sent to it, and the request is sent to another server at once.
func TestDialCancelledByEndpointUpdate(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*core.EndpointUpdate){
		"draining":    func(update *core.EndpointUpdate) { update.Endpoints[0].State = decide.Draining },
		"removed":     func(update *core.EndpointUpdate) { update.Endpoints[0].State = decide.Removed },
		"new address": func(update *core.EndpointUpdate) { update.Endpoints[0].Address = "127.0.0.1:1" },
		"restarted":   func(update *core.EndpointUpdate) { update.Endpoints[0].Started = time.Now() },
		"unlisted":    func(update *core.EndpointUpdate) { update.Kind, update.Endpoints = decide.ListSnapshot, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, s1)
			c := b.newManualConn(t)
			dialed := c.submitAndDial()
			update := s1.deltaWithState(decide.Ready)
			change(&update)
			b.engine.EndpointsUpdated(update)
			b.engine.EndpointsUpdated(s2.deltaWithState(decide.Ready))
			if cmd, ok := c.pendingCommand(); ok {
				c.execute(t.Context(), cmd)
			}
			c.handle(dialed)
			c.handle(c.startNextAttempt())
			if n, m := len(s1.receivedLines()), len(s2.receivedLines()); n > 0 {
				t.Errorf("%d lines reached the server whose dial was cancelled, %d the other one", n, m)
			}
		})
	}
}

// Room servers that restart while one of them is being dialed are not ejected because of the cancelled dial.
func TestCancelledDialEjectsNoServer(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
	b := newTestBalancer(t, s1, s2)
	c := b.newManualConn(t)
	dialed := c.submitAndDial()
	for _, s := range []*fakeServer{s1, s2} {
		update := s.deltaWithState(decide.Ready)
		update.Endpoints[0].Started = time.Now()
		b.engine.EndpointsUpdated(update)
	}
	cmd, _ := c.pendingCommand()
	c.execute(t.Context(), cmd)
	c.handle(dialed)
	if n := b.snapshot().Ejected; n > 0 {
		t.Errorf("%d room servers are ejected, want none", n)
	}
}

// A client that sends more data while its server is being dialed gets ERR, and its request is not forwarded. This
// holds whether or not the reader has read the additional data.
func TestDataDuringDialFails(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]bool{"unread": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			c := b.newManualConn(t)
			dialed := c.submitAndDial()
			c.client.send("more")
			waitUntil(t, "the additional data", func() bool { _, sentMore := c.clientState(); return sentMore })
			if read {
				c.text.R.Peek(1)
				c.earlyDataRead.Store(true)
			}
			c.handle(dialed)
			c.execute(t.Context(), <-c.commands)
			c.client.wantLine("ERR\r\n")
			if n := len(s.receivedLines()); n > 0 {
				t.Errorf("%d lines were forwarded, want none", n)
			}
		})
	}
}
