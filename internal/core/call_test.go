package core

import (
	"testing"
	"time"
)

// A client whose first line has started to arrive gets more time than a client that sends nothing. It is shed only
// after the clients that send nothing, and it delays the end of a planned stop. Otherwise slow clients would be closed
// together with the many clients that send nothing.
func TestStartedLinesAreWaitedFor(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	slow, silent := &fakeClientConn{}, &fakeClientConn{}
	c := engine.Accept(slow, ConnTraits{Descriptor: true})
	engine.FirstLineStarted(c)
	engine.Accept(silent, ConnTraits{Descriptor: true})
	time.Sleep(2 * minShedAge)
	engine.ShedIdle()
	silent.wait(t, "abort")
	drained := engine.Drain(20*time.Second, nil) // the budget is long, so that only the client delays the end
	time.Sleep(firstLineTimeout + 100*time.Millisecond)
	engine.FirstLineStarted(c) // must not restart the timeout
	select {
	case <-drained:
		t.Error("the planned stop was complete although a first line had started to arrive")
	default:
	}
	if got := slow.commands(); got != "" {
		t.Errorf("the slow client got the commands %q, want none", got)
	}
	slow.wait(t, "abort")
}
