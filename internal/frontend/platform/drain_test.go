package platform

import (
	"strings"
	"testing"
	"time"

	"cottonplank/internal/core"
)

// A planned stop still serves new clients at first. It ends after all clients are migrated.
func TestDrain(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	old := b.newClient(t)
	old.send(newRequestLine())
	old.wantLine("UP receipt-1\r\n")
	drained := b.engine.Drain(3400*time.Millisecond, nil)
	late := b.newClient(t)
	late.send(newRequestLine())
	late.wantLine("UP receipt-1\r\n")
	old.wantLine("MOVE\r\n")
	old.wantEOF()
	late.wantLine("MOVE\r\n")
	late.wantEOF()
	old.conn.Close()
	late.conn.Close()
	select {
	case <-drained:
	case <-time.After(20 * time.Second):
		t.Fatal("timed out waiting for the end of the drain")
	}
}

// A lame duck answers health checks with BUSY at once, also on an open connection. It serves clients that still
// arrive, migrates all of them well within 4 s and rejects later ones. After LeaveLameDuck it serves clients again.
func TestLameDuck(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	check := b.newClient(t)
	check.send("PING\r\n")
	check.wantLine("PONG\r\n")
	var established []*testClient
	establishClient := func() {
		c := b.newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP receipt-1\r\n")
		established = append(established, c)
	}
	for range 5 {
		establishClient()
	}
	start := time.Now()
	if err := b.engine.EnterLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	check.send("PING\r\n")
	check.wantLine("BUSY\r\n")
	if s := b.engine.ServiceState(); s != core.LameDuck {
		t.Errorf("the service state is %v", s)
	}
	establishClient()
	for _, c := range established {
		c.wantLine("MOVE\r\n")
		c.wantEOF()
		c.conn.Close()
	}
	for {
		late := b.newClient(t)
		late.send(newRequestLine())
		line, err := late.r.ReadString('\n')
		if strings.HasPrefix(line, "BUSY ") {
			break
		}
		if err != nil || line != "UP receipt-1\r\n" { // Until the last step, late clients are served and then migrated.
			t.Fatalf("a late client reads %q, %v", line, err)
		}
		late.wantLine("MOVE\r\n")
		late.conn.Close()
	}
	if d := time.Since(start); d > 4*time.Second {
		t.Errorf("all clients are migrated only after %v", d)
	}
	if err := b.engine.LeaveLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	again := b.newClient(t)
	again.send("PING\r\n")
	again.wantLine("PONG\r\n")
	again.send(newRequestLine())
	again.wantLine("UP receipt-1\r\n")
}

// Descriptors that are reserved for another process are not used for clients, and can be reclaimed. While the listener
// is paused, the frontend serves the accepted connections but accepts no new ones. It answers health checks with PONG,
// because the other process accepts clients.
func TestServeBesideAnotherProcess(t *testing.T) {
	t.Parallel()
	budget := DescriptorBudget{Total: 16, DialReserve: 4}
	b := newTestBalancerWithBudget(t, budget, newFakeServer(t, "s-1", serveEcho))
	accepted := b.newClient(t)
	accepted.send("PING\r\n")
	accepted.wantLine("PONG\r\n")
	b.frontend.SetDescriptorReserve(14)
	b.frontend.SetDescriptorReserve(12) // Four are left. The connection, its dial and the next client need three.
	b.pause.Pause()
	b.frontend.SetReplaced(true)
	b.engine.Drain(20*time.Second, nil)
	accepted.send("PING\r\n")
	accepted.wantLine("PONG\r\n")
	accepted.send(newRequestLine())
	accepted.wantLine("UP receipt-1\r\n")
	other := b.newClient(t)
	other.send(newRequestLine())
	other.conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if line, err := other.r.ReadString('\n'); err == nil {
		t.Errorf("read %q from a frontend that is paused", line)
	}
	if n := len(b.frontend.descriptors); n > 16 {
		t.Errorf("%d descriptors are in use, want at most 16", n)
	}
	b.frontend.SetReplaced(false)
	b.frontend.SetDescriptorReserve(0)
	b.pause.Resume()
	other.conn.SetDeadline(time.Now().Add(20 * time.Second))
	other.wantLine("UP receipt-1\r\n")
}

// A drain does not end while a client waits in the listener's backlog.
func TestDrainWaitsForBacklog(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	c := b.newBacklogClient(t)
	checks := make(chan bool, 1000)
	drained := b.engine.Drain(20*time.Second, func() bool {
		waiting := b.frontend.ClientsWaiting(b.listener)
		checks <- waiting
		return waiting
	})
	if !<-checks { // The first check, made when nothing else delays the end of the drain.
		t.Error("ClientsWaiting does not report the waiting client")
	}
	b.waitForEngine()
	select {
	case <-drained:
		t.Error("the drain ended before the client was accepted")
	default:
	}
	b.pause.Resume()
	c.wantLine("UP receipt-1\r\n")
	c.conn.Close()
	<-drained
}

// A drain does not end while an accepted connection has an unread request line.
func TestDrainWaitsForUnreadRequest(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	c := b.newManualConn(t)
	c.client.send(newRequestLine())
	waitUntil(t, "the line to arrive", func() bool { return hasUnreadData(c.conn) })
	drained := b.engine.Drain(20*time.Second, nil)
	if !c.execute(t.Context(), <-c.commands) { // The command to close unused connections.
		t.Fatal("a connection whose request has arrived is closed")
	}
	b.waitForEngine()
	select {
	case <-drained:
		t.Fatal("the drain ended with a request unread")
	default:
	}
	c.frontend.readers.Go(c.readClient)
	c.handle(<-c.events) // The request line.
	c.handle(c.startNextAttempt())
	for established := false; !established; {
		select {
		case e := <-c.events:
			c.handle(e)
		case cmd := <-c.commands:
			established = isCommand[establishCommand](cmd)
			c.execute(t.Context(), cmd)
		}
	}
	c.client.wantLine("UP receipt-1\r\n")
}

// A health check that is unread when the drain could end is answered, and does not delay the drain further.
func TestDrainDoesNotWaitForHealthChecks(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	c := b.newManualConn(t)
	c.client.send("PING\r\n")
	waitUntil(t, "the line to arrive", func() bool { return hasUnreadData(c.conn) })
	drained := b.engine.Drain(1900*time.Millisecond, nil) // Shorter than the timeout of an idle connection.
	if !c.execute(t.Context(), <-c.commands) {
		t.Fatal("a connection whose line has arrived is closed")
	}
	c.frontend.readers.Go(c.readClient)
	c.client.wantLine("BUSY\r\n")
	select {
	case cmd := <-c.commands:
		if !c.execute(t.Context(), cmd) || c.handle(<-c.events) {
			t.Fatalf("a connection whose health check was answered is not closed after %T", cmd)
		}
	case <-drained:
		t.Error("the drain ended only when its budget was exhausted")
	}
}
