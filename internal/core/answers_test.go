package core

import (
	"strings"
	"testing"
	"time"
)

// A request gets exactly one final answer, whatever a frontend reports after it.
func TestOneFinalAnswer(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	conn := &fakeClientConn{}
	c := openRequest(engine, conn, 400*time.Millisecond)
	conn.wait(t, "attempt 0 s-1")
	engine.AttemptSent(c, 0)
	conn.wait(t, "attempt 0 s-1, cancel 0, reject")
	engine.AttemptAccepted(c, 0)
	engine.RequestMalformed(c)
	engine.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	engine.ClientClosed(c)
	if s := nextSnapshot(engine); s.Rejected != 1 || s.Served+s.Failed+s.ClientsLeft > 0 {
		t.Errorf("want one rejection only, got counters %+v, commands %q", s.Counters, conn.commands())
	}
	if n := strings.Count(conn.commands(), "reject"); n != 1 {
		t.Errorf("got %d rejections in commands %q, want 1", n, conn.commands())
	}
}

// A request beyond Config.MaxClients is rejected immediately; the request before it continues to wait for a server.
func TestRequestsPastMaxClientsAreRejected(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 1)
	first, second := &fakeClientConn{}, &fakeClientConn{}
	openRequest(engine, first, 5*time.Second)
	openRequest(engine, second, 5*time.Second)
	second.wait(t, "reject")
	if got := first.commands(); got != "" {
		t.Errorf("the first client got the commands %q, want none", got)
	}
}
