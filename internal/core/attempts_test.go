package core

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// An attempt that is not answered ends before the next attempt of the request starts, and results that are reported
// for it later are ignored. An attempt whose request was not sent is not counted.
func TestAttemptsNeverOverlap(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"), readyEndpoint("s-2"))
	conn := &fakeClientConn{}
	c := openRequest(engine, conn, 3*time.Second)
	conn.wait(t, "attempt 0")
	first := conn.commands()
	conn.wait(t, first+", cancel 0") // the connect timeout
	nextSnapshot(engine)
	if got := conn.commands(); got != first+", cancel 0" {
		t.Errorf("commands are %q: the next attempt must not start before the end of attempt 0 is reported", got)
	}
	engine.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	conn.wait(t, first+", cancel 0, attempt 1")
	engine.AttemptAccepted(c, 0)
	engine.AttemptEnded(c, 0, decide.Reset, decide.NoLoadReport)
	engine.AttemptSent(c, 1)
	engine.AttemptAccepted(c, 1)
	engine.AttemptAccepted(c, 1)
	engine.ClientClosed(c)
	s := nextSnapshot(engine)
	if s.Served != 1 || s.Rejected+s.Failed+s.ClientsLeft > 0 || s.Attempts != 1 || s.Clients > 0 {
		t.Errorf("want one request served with one counted attempt, got snapshot %+v", s)
	}
	got := conn.commands()
	if !strings.HasSuffix(got, "attempt 1 s-1, establish 1") && !strings.HasSuffix(got, "attempt 1 s-2, establish 1") {
		t.Errorf("commands are %q, want them to end with attempt 1 and one establish", got)
	}
}

// When a server starts to drain, its attempts whose request was not sent are cancelled. To find them, the engine
// visits only the calls with a pending attempt, not the many calls with an established connection.
func TestOnlyPendingAttemptsAreCancelled(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 100, readyEndpoint("s-1"))
	for range 20 {
		conn := &fakeClientConn{}
		c := openRequest(engine, conn, 10*time.Second)
		conn.wait(t, "attempt 0")
		engine.AttemptAccepted(c, 0)
	}
	pending := &fakeClientConn{}
	openRequest(engine, pending, 10*time.Second)
	pending.wait(t, "attempt 0")
	visited := make(chan int, 1)
	engine.post(func() { visited <- len(engine.calls.attempting) })
	if n := <-visited; n != 1 {
		t.Errorf("a list change visits %d calls, want 1", n)
	}
	draining := readyEndpoint("s-1")
	draining.State = decide.Draining
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: []Endpoint{draining}})
	pending.wait(t, "attempt 0 s-1, cancel 0")
}
