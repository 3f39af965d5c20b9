package core

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// A planned stop migrates no established connection in the first half of its budget. After that it migrates them one
// at a time. If a rolling restart migrated all connections immediately, their clients might find no balancer, because
// the balancer stopped before may not be serving again yet.
func TestDrainMigratesLate(t *testing.T) {
	t.Parallel()
	const clients, budget = 8, 3 * time.Second
	engine := startEngine(t, 100, readyEndpoint("s-1"), readyEndpoint("s-2"))
	migrated := make(chan time.Time, clients)
	end := time.Now().Add(20 * time.Second)
	for range clients {
		conn := &fakeClientConn{}
		c := openRequest(engine, conn, time.Second)
		conn.wait(t, "attempt 0")
		engine.AttemptAccepted(c, 0)
		go func() {
			for !strings.HasSuffix(conn.commands(), "migrate") && time.Now().Before(end) {
				time.Sleep(5 * time.Millisecond)
			}
			migrated <- time.Now()
			engine.AttemptEnded(c, 0, decide.Cancelled, decide.NoLoadReport)
			engine.ClientClosed(c)
		}()
	}
	start := time.Now()
	drained := engine.Drain(budget, nil)
	first := <-migrated
	last := first
	for range clients - 1 {
		last = <-migrated
	}
	if d := first.Sub(start); d < budget/2 {
		t.Errorf("the first client was migrated after %v, want at least half of the budget of %v", d, budget)
	}
	if d := last.Sub(first); d < budget/20 {
		t.Errorf("all clients were migrated within %v, want the migrations spread over time", d)
	}
	<-drained
}

// A planned stop neither migrates resumable connections nor waits for their end, because the next process continues
// them.
func TestDrainKeepsResumableConnections(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	resumable, other := &fakeClientConn{}, &fakeClientConn{}
	a, b := engine.Accept(resumable, ConnTraits{Resumable: true}), openRequest(engine, other, time.Second)
	engine.RequestReceived(a, Request{Deadline: time.Now().Add(time.Second)})
	other.wait(t, "attempt 0")
	resumable.wait(t, "attempt 0")
	engine.AttemptAccepted(a, 0)
	engine.AttemptAccepted(b, 0)
	drained := engine.Drain(3*time.Second, nil)
	other.wait(t, "attempt 0 s-1, establish 0, migrate")
	engine.AttemptEnded(b, 0, decide.Cancelled, decide.NoLoadReport)
	engine.ClientClosed(b)
	<-drained
	if got := resumable.commands(); got != "attempt 0 s-1, establish 0" {
		t.Errorf("the resumable connection got the commands %q, want no migrate", got)
	}
}
