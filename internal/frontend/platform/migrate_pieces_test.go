package platform

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// sendPieces sends pieces in turn, one at each interval, until the connection fails.
func sendPieces(conn net.Conn, interval time.Duration, pieces ...string) {
	for i := 0; ; i++ {
		if _, err := io.WriteString(conn, pieces[i%len(pieces)]); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// wantLinesBeforeMove reads everything up to the end of a connection. It fails the test unless that is a number of
// copies of line, at least atLeast, and then MOVE.
func (c *testClient) wantLinesBeforeMove(line string, atLeast int) {
	c.t.Helper()
	got, err := io.ReadAll(c.r)
	lines, moved := strings.CutSuffix(string(got), "MOVE\r\n")
	copies := strings.Count(lines, line)
	if err != nil || !moved || copies < atLeast || lines != strings.Repeat(line, copies) {
		c.t.Errorf("read %q, %v, want %q at least %d times and MOVE", got, err, line, atLeast)
	}
}

// Guards against a migration that waits for the end of one line after another and never sends MOVE, because each piece
// of the server's data ends within a line.
func TestMigrateEndsWhilePiecesArrive(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	frontend := New(b.engine, testNames, largeBudget, b.frontend.log) // Serve is not called.
	const line = "re hello\r\n"
	for name, test := range map[string]struct {
		pieces   []string
		interval time.Duration
		complete int // lines that the client must get before MOVE
	}{
		"a piece completes a line and begins the next": {[]string{"llo\r\nre he"}, 20 * time.Millisecond, 1},
		"a piece completes two lines":                  {[]string{"llo\r\n" + line + "re he"}, 20 * time.Millisecond, 2},
		"one byte at a time":                           {strings.Split("llo\r\nre he", ""), 10 * time.Millisecond, 1},
		"without a pause":                              {[]string{"llo\r\nre he"}, 0, 1},
		"a line takes longer than its time-out":        {strings.Split("llo\r\nre he", ""), 100 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, client, server := newInterruptedRelay(t, frontend, "re he")
			up := c.upstream
			relayEnded := make(chan struct{})
			frontend.readers.Go(func() { c.relayToClient(up); close(relayEnded) })
			go sendPieces(server.conn, test.interval, test.pieces...)
			select {
			case e := <-c.events:
				if !c.handle(e) {
					t.Error("the actor ended before its client did")
				}
			case <-relayEnded:
				t.Error("the relay ended without an event")
				c.conn.Close()
			}
			client.wantLinesBeforeMove(line, test.complete)
		})
	}
}

// serveInPieces accepts the request and sends lines in pieces, each of which ends within a line.
func serveInPieces(conn net.Conn, _ *bufio.Reader) {
	io.WriteString(conn, "UP receipt-1\r\nre he")
	sendPieces(conn, 20*time.Millisecond, "llo\r\nre he")
}

// Each way in which a migration is ordered sends MOVE to clients whose server's data arrives in pieces. Guards against
// connections that are cut off without MOVE at a planned restart.
func TestEveryMigrationSendsMoveWhilePiecesArrive(t *testing.T) {
	t.Parallel()
	for name, order := range map[string]func(t *testing.T, b *testBalancer){
		"planned stop": func(_ *testing.T, b *testBalancer) { b.engine.Drain(3400*time.Millisecond, nil) },
		"lame duck": func(t *testing.T, b *testBalancer) {
			if err := b.engine.EnterLameDuck(10 * time.Second); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t, newFakeServer(t, "s-1", serveInPieces))
			var clients []*testClient
			for range 5 {
				c := b.newClient(t)
				c.send(newRequestLine())
				c.wantLine("UP receipt-1\r\n")
				clients = append(clients, c)
			}
			order(t, b)
			for _, c := range clients {
				c.wantLinesBeforeMove("re hello\r\n", 1)
				c.conn.Close()
			}
		})
	}
}

// The connections that are moved off an overloaded server get MOVE while its data arrives in pieces.
func TestOverloadMigrationSendsMoveWhilePiecesArrive(t *testing.T) {
	t.Parallel()
	const clients = 6
	const migrated = 3 // At least: the load is to fall from 2 to 0.75, drawn with a fraction of a connection.
	server := newFakeServer(t, "s-1", serveInPieces)
	var overloaded atomic.Bool
	server.statsResponse = func() string {
		if overloaded.Load() {
			return "PONG x0=2\r\n"
		}
		return "PONG x0=0.1\r\n"
	}
	settings := newTestSettings(300*time.Millisecond, 2*time.Second)
	settings.ProbingAllowed = true
	b := startTestBalancer(t, testBalancerConfig{
		engine: core.Config{
			Known:      []core.Endpoint{server.endpoint()},
			MaxClients: 100,
			Log:        func(string) {},
			Settings:   settings,
		},
		budget:        largeBudget,
		maxProbeConns: 10,
	})
	moved := make(chan bool, clients)
	for range clients {
		c := b.newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP receipt-1\r\n")
		go func() {
			got, err := io.ReadAll(c.r)
			moved <- err == nil && strings.HasSuffix(string(got), "\r\nMOVE\r\n")
		}()
	}
	overloaded.Store(true)
	for range migrated {
		select {
		case ok := <-moved:
			if !ok {
				t.Error("a connection was cut off without MOVE")
			}
		case <-time.After(waitTimeout / 2):
			t.Fatal("timed out waiting for a migration")
		}
	}
}

// A session's client gets its new token and MOVE while its server's data arrives in pieces.
func TestMigrationSendsTokenWhilePiecesArrive(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 0)
	server := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP receipt-1\r\nKEPT 1 0\r\nre he")
		sendPieces(conn, 20*time.Millisecond, "llo\r\nre he")
	})
	b := s.startBalancer()
	b.engine.EndpointsUpdated(server.deltaWithState(decide.Ready))
	c := b.newClient(t)
	c.send(requestLineWithToken("new"))
	c.wantLine("UP receipt-1\r\n")
	if first := c.readLine(); !strings.HasPrefix(first, "TOKEN ") {
		t.Fatalf("read %q, want a token", first)
	}
	if err := b.engine.EnterLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c.r)
	lines := strings.Split(string(got), "\r\n")
	n := len(lines)
	if err != nil || n < 3 || lines[n-1] != "" || lines[n-2] != "MOVE" || !strings.HasPrefix(lines[n-3], "TOKEN ") {
		t.Errorf("read %q, %v, want a token and MOVE at the end", got, err)
	}
}

// A client that reads nothing until the balancer has stopped still gets all complete lines and MOVE.
func TestMoveReachesSlowReader(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveInPieces))
	c := b.newClient(t)
	c.send(newRequestLine())
	waitUntil(t, "the relay to begin", func() bool { return b.snapshot().Served == 1 })
	<-b.engine.Drain(3400*time.Millisecond, nil)
	b.stop()
	c.wantLine("UP receipt-1\r\n")
	c.wantLinesBeforeMove("re hello\r\n", 1)
}

// A client that has stopped reading, so that no more data can be written to it, still gets its line complete and MOVE
// once it reads on, even if that is after the balancer has stopped.
func TestMoveReachesBlockedReader(t *testing.T) {
	t.Parallel()
	blocked := make(chan struct{})
	line := "re " + strings.Repeat("x", 1000) + "\r\n"
	b := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, _ *bufio.Reader) {
		io.WriteString(conn, "UP receipt-1\r\n"+line[:500])
		for piece := line[500:] + line[:500]; ; {
			conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := io.WriteString(conn, piece); err != nil {
				break
			}
		}
		close(blocked)
		conn.SetDeadline(time.Time{})
		io.Copy(io.Discard, conn)
	}))
	c := b.newClient(t)
	c.conn.SetReadBuffer(64 << 10)
	c.send(newRequestLine())
	<-blocked
	<-b.engine.Drain(3400*time.Millisecond, nil)
	b.stop()
	c.wantLine("UP receipt-1\r\n")
	c.wantLinesBeforeMove(line, 1)
}
