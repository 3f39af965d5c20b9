package core

import (
	"errors"
	"testing"
	"time"
)

// LeaveLameDuck cancels all steps of the drain, so that clients stay connected. A lame duck also migrates resumable
// connections, because no process follows it that could keep them. Repeated calls of either method change nothing,
// and neither method changes a planned stop.
func TestLeaveLameDuckUndoesEnterLameDuck(t *testing.T) {
	t.Parallel()
	const timeout = 10 * time.Second
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	if err := engine.LeaveLameDuck(timeout); err != nil {
		t.Fatal(err)
	}
	conn := &fakeClientConn{}
	c := engine.Accept(conn, ConnTraits{Resumable: true})
	engine.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	conn.wait(t, "attempt 0")
	engine.AttemptAccepted(c, 0)
	for range 2 {
		if err := engine.EnterLameDuck(timeout); err != nil || engine.ServiceState() != LameDuck {
			t.Fatalf("after EnterLameDuck: state %v, error %v", engine.ServiceState(), err)
		}
	}
	for range 2 {
		if err := engine.LeaveLameDuck(timeout); err != nil || engine.ServiceState() != Serving {
			t.Fatalf("after LeaveLameDuck: state %v, error %v", engine.ServiceState(), err)
		}
	}
	time.Sleep(lameDuckMigrationEnd + 200*time.Millisecond)
	if got := conn.commands(); got != "attempt 0 s-1, establish 0" {
		t.Errorf("after LeaveLameDuck, the client got the commands %q, want no migrate", got)
	}
	if err := engine.EnterLameDuck(timeout); err != nil {
		t.Fatal(err)
	}
	conn.wait(t, "attempt 0 s-1, establish 0, migrate")
	engine.Drain(3*time.Second, nil)
	if err := engine.EnterLameDuck(timeout); err != nil || engine.ServiceState() != Stopping {
		t.Errorf("after EnterLameDuck in a planned stop: state %v, error %v", engine.ServiceState(), err)
	}
	if err := engine.LeaveLameDuck(timeout); !errors.Is(err, ErrStopping) || engine.ServiceState() != Stopping {
		t.Errorf("after LeaveLameDuck in a planned stop: state %v, error %v", engine.ServiceState(), err)
	}
}
