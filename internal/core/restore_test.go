package core

import (
	"testing"
	"time"

	"cottonplank/decide"
)

// The restore of a connection waits until its server is listed, and is retried after an attempt has failed. The
// connection is counted as established, and its end as well.
func TestRestoreConnectionRetries(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10)
	conn := &fakeClientConn{}
	c := engine.Accept(conn, ConnTraits{})
	engine.RestoreConnection(c, Request{}, ServerID("s-1"), 10*time.Second)
	engine.EndpointsUpdated(EndpointUpdate{
		Kind:      decide.ListSnapshot,
		Endpoints: []Endpoint{readyEndpoint("s-1"), readyEndpoint("s-2")},
	})
	conn.wait(t, "attempt 0 s-1")
	engine.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	conn.wait(t, "attempt 0 s-1, attempt 1 s-1")
	engine.AttemptAccepted(c, 1)
	conn.wait(t, "attempt 0 s-1, attempt 1 s-1, establish 1")
	engine.AttemptEnded(c, 1, decide.OK, decide.NoLoadReport)
	engine.ClientClosed(c)
	s := nextDetailedSnapshot(engine)
	connections := s.Upstreams[0].Connections + s.Upstreams[1].Connections
	if s.Restored != 1 || s.Served != 1 || s.Clients > 0 || connections > 0 {
		t.Errorf("want one restored request and no open connection, got snapshot %+v", s)
	}
}

// With a patience of 0, the restore fails immediately if the server is not listed.
func TestRestoreConnectionFailsAfterPatience(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10)
	conn := &fakeClientConn{}
	engine.RestoreConnection(engine.Accept(conn, ConnTraits{}), Request{}, ServerID("s-unlisted"), 0)
	conn.wait(t, "fail")
}
