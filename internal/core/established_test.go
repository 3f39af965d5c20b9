package core

import (
	"testing"
	"time"
)

// The client of a server that does not respond is migrated; the client of a server that responds is not. Without the
// migration, the client would wait until TCP reports an error, which may take long.
func TestUnresponsiveServerMigratesClient(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	unresponsive, healthy := &fakeClientConn{}, &fakeClientConn{}
	a, b := openRequest(engine, unresponsive, time.Second), openRequest(engine, healthy, time.Second)
	for i, c := range []*Call{a, b} {
		[]*fakeClientConn{unresponsive, healthy}[i].wait(t, "attempt 0 s-1")
		engine.AttemptAccepted(c, 0)
		engine.ResponseAwaited(c)
	}
	engine.ServerResponded(b)
	unresponsive.wait(t, "attempt 0 s-1, establish 0, migrate")
	if s := nextSnapshot(engine); s.Unresponsive != 1 || s.Migrations != 1 {
		t.Errorf("got counters %+v, want one unresponsive server and one migration", s.Counters)
	}
	if got := healthy.commands(); got != "attempt 0 s-1, establish 0" {
		t.Errorf("the client of the healthy server got the commands %q, want no migrate", got)
	}
}
