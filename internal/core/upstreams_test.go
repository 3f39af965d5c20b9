package core

import (
	"testing"
	"time"

	"cottonplank/decide"
)

// A removed server stays in the table only while it has established connections. Otherwise the table would grow with
// each deployment of servers.
func TestRemovedUpstreamsAreDeleted(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"), readyEndpoint("s-2"))
	conn := &fakeClientConn{}
	c := openRequest(engine, conn, time.Second)
	conn.wait(t, "attempt 0")
	engine.AttemptAccepted(c, 0)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot})
	if s := nextDetailedSnapshot(engine); len(s.Upstreams) != 1 || s.Upstreams[0].Connections != 1 {
		t.Errorf("while the connection is open, the servers are %+v, want one with one connection", s.Upstreams)
	}
	engine.AttemptEnded(c, 0, decide.OK, decide.NoLoadReport)
	engine.ClientClosed(c)
	if s := nextDetailedSnapshot(engine); len(s.Upstreams) != 0 {
		t.Errorf("after the end of the connection, the servers are %+v, want none", s.Upstreams)
	}
}
