package platform

import (
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// A dial succeeds as its timeout expires. Whichever the actor handles first, there is one attempt: a request line that
// was written may have been executed, so that attempt continues; one that was not written is not written any more.
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
				t.Fatalf("the engine commands %T, want the end of the attempt", timeout)
			}
			if cmd, ok := c.pendingCommand(); ok {
				t.Fatalf("the engine commands %T before the attempt has ended", cmd)
			}
			if dialFirst {
				c.handle(dialed)
			}
			c.execute(t.Context(), timeout)
			if !dialFirst {
				c.handle(dialed) // Too late.
				c.handle(c.startNextAttempt())
			}
			c.handle(<-c.events) // The acceptance.
			if cmd := <-c.commands; !isCommand[establishCommand](cmd) {
				t.Errorf("the engine commands %T, want to establish", cmd)
			}
			if n := len(s1.receivedLines()) + len(s2.receivedLines()); n != 1 {
				t.Errorf("%d request lines were sent, want one", n)
			}
		})
	}
}

// An attempt's acceptance crosses its timeout: the engine takes what the connection has reported, and the client is
// served.
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

// A room server begins to drain, is removed, is missing in a snapshot of the list, or changes its address or start time
// while it is being dialed. Nothing is sent there, and the request goes to another server at once.
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
				t.Errorf("%d lines went to the server that left, %d to the other", n, m)
			}
		})
	}
}

// Room servers that restart while one of them is being dialed are not ejected for the cancelled dial.
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
		t.Errorf("%d room servers are ejected", n)
	}
}

// A client that sends more while its server is being dialed gets ERR, and its request is not forwarded, whether the
// reader has read the additional data or not.
func TestDataDuringDialFails(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]bool{"unread": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			c := b.newManualConn(t)
			dialed := c.submitAndDial()
			c.client.send("more")
			waitUntil(t, "more", func() bool { _, sentMore := c.clientState(); return sentMore })
			if read {
				c.text.R.Peek(1)
				c.earlyDataRead.Store(true)
			}
			c.handle(dialed)
			c.execute(t.Context(), <-c.commands)
			c.client.wantLine("ERR\r\n")
			if n := len(s.receivedLines()); n > 0 {
				t.Errorf("%d lines were forwarded", n)
			}
		})
	}
}
