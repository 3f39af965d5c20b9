package core

import (
	"testing"
	"time"
)

// Requests are counted by class; a first line that is not a valid request is counted as malformed.
func TestCountsByClass(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 1, readyEndpoint("s-1"))
	first, second := &fakeClientConn{}, &fakeClientConn{}
	c := openRequest(engine, first, 5*time.Second)
	first.wait(t, "attempt 0")
	engine.AttemptSent(c, 0)
	engine.AttemptAccepted(c, 0)
	openRequest(engine, second, 5*time.Second)
	second.wait(t, "reject")
	engine.RequestMalformed(engine.Accept(&fakeClientConn{}, ConnTraits{}))
	s := engine.CurrentSnapshot(10 * time.Second)
	if got, want := s.Classes[0], (ClassCounters{Served: 1, Rejected: 1, Attempts: 1}); got != want {
		t.Errorf("class 0: %+v, want %+v", got, want)
	}
	if s.Malformed != 1 || s.Failed != 1 || s.Established != 1 || s.Waiting != 0 {
		t.Errorf("want one malformed request, which also counts as failed, and one established; got snapshot %+v", s)
	}
}
