package core

import (
	"testing"
	"time"
)

// A client whose first line has started to arrive gets more time than one that sends nothing, is shed after
// it, and holds up a planned stop. This protects slow clients among many that send nothing.
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
	drained := engine.Drain(20*time.Second, nil) // the budget is long: only the client holds it up
	time.Sleep(firstLineTimeout + 100*time.Millisecond)
	engine.FirstLineStarted(c) // must not renew the timeout
	select {
	case <-drained:
		t.Error("the planned stop was complete before the first line")
	default:
	}
	if got := slow.commands(); got != "" {
		t.Errorf("the slow client got %q", got)
	}
	slow.wait(t, "abort")
}
