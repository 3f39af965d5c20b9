package core

import (
	"strings"
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
	silent.wait(t, "close unused")
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
	slow.wait(t, "close unused")
}

// Guards against a request that is read and dropped: the engine may not know of it yet when it ends a connection that
// seems unused. Whatever the reason, it must use CloseUnused, which spares an arrived request, and repeat it while the
// connection stays open. After the final answer it must use Abort, which closes in any case.
func TestUnusedConnectionsAreNotAborted(t *testing.T) {
	t.Parallel()
	for reason, end := range map[string]func(*Engine, *Call){
		"first line is late":   func(*Engine, *Call) {},
		"line is not complete": func(engine *Engine, c *Call) { engine.FirstLineStarted(c) },
		"health check is late": func(engine *Engine, c *Call) { engine.HealthCheckReceived(c) },
		"shedding":             func(engine *Engine, _ *Call) { engine.ShedIdle() },
		"planned stop":         func(engine *Engine, _ *Call) { engine.Drain(20*time.Second, nil) },
	} {
		t.Run(reason, func(t *testing.T) {
			t.Parallel()
			engine := startEngine(t, 10, readyEndpoint("s-1"))
			conn := &fakeClientConn{}
			c := engine.Accept(conn, ConnTraits{Descriptor: true})
			time.Sleep(2 * minShedAge)
			end(engine, c)
			conn.wait(t, "close unused, close unused")
			engine.RequestReceived(c, Request{Deadline: time.Now().Add(30 * time.Second)})
			waitForCommand(t, conn, "attempt 0 s-1")
			engine.AttemptSent(c, 0)
			time.Sleep(2 * unusedCloseInterval)
			if got := conn.commands(); !strings.HasSuffix(got, "attempt 0 s-1") || strings.Contains(got, "abort") {
				t.Errorf("the commands are %q, want none after the attempt, and no abort", got)
			}
			engine.RequestMalformed(c)       // ends the request with a final answer
			waitForCommand(t, conn, "abort") // after the final answer and ConnTraits.Linger
		})
	}
}

// waitForCommand waits until the engine has sent a command.
func waitForCommand(t *testing.T, conn *fakeClientConn, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !strings.Contains(conn.commands(), want); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("commands are %q, want %q among them", conn.commands(), want)
		}
	}
}
