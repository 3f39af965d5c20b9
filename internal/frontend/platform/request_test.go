package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
)

// A request line is forwarded with only its timeout changed. Later lines are relayed unchanged in both directions.
func TestRequestForwardedAndRelayedUnchanged(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	c := newTestBalancer(t, s).newClient(t)
	c.send("PING\r\n")
	c.wantLine("PONG\r\n")
	line := newRequestLine()
	c.send(line)
	c.wantLine("UP receipt-1\r\n")
	c.send("hello\r\nbare\n")
	c.wantLine("re hello\r\n")
	c.wantLine("re bare\n")
	got := s.receivedLines()[0]
	before, after, _ := strings.Cut(line, "d=2000")
	if !strings.HasPrefix(got, before+"d=") || !strings.HasSuffix(got, after) || got == line {
		t.Errorf("forwarded %q, want only the timeout changed", got)
	}
}

// Malformed request lines are answered with ERR and never reach a room server; no other client is affected.
func TestMalformedRequestLines(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	for name, text := range map[string]string{
		"empty":              "\r\n",
		"one word":           "HELLO\r\n",
		"unknown class":      strings.Replace(newRequestLine(), "solo-play", "no-class", 1),
		"unknown tenant":     strings.Replace(newRequestLine(), "familles", "nobody", 1),
		"negative timeout":   strings.Replace(newRequestLine(), "d=2000", "d=-1", 1),
		"no timeout":         strings.Replace(newRequestLine(), ",d=2000", "", 1),
		"bare line feed":     strings.Replace(newRequestLine(), "\r\n", "\n", 1),
		"too long":           strings.Repeat("x", 3*4096) + "\r\n",
		"not printable":      "OPEN \x00 k c=solo-play,d=9\r\n",
		"key is a path":      strings.Replace(newRequestLine(), "7f3a9c21e0b4d655", "../key", 1),
		"short id and key":   "OPEN 9b1f k c=solo-play,d=9\r\n",
		"two lines":          newRequestLine() + newRequestLine(),
		"too many pipelined": strings.Repeat("PING\r\n", 300) + newRequestLine(),
	} {
		t.Run(name, func(t *testing.T) {
			c := b.newClient(t)
			c.send(text)
			for range min(strings.Count(text, "PING"), 8) {
				c.wantLine("PONG\r\n")
			}
			c.wantLine("ERR\r\n")
		})
	}
	half := b.newClient(t)
	half.send("OPEN 9b1f")
	half.conn.Close()
	c := b.newClient(t)
	c.send(newRequestLine())
	c.wantLine("UP receipt-1\r\n")
	if n := len(s.receivedLines()); n != 1 {
		t.Errorf("%d lines reached the room server, want only the valid one", n)
	}
}

// A request with the ID of an open or recently closed connection fails at once. The first request is not affected.
func TestDuplicateRequestIDFails(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	line := newRequestLine()
	first := b.newClient(t)
	first.send(line)
	first.wantLine("UP receipt-1\r\n")
	duplicate := strings.Replace(line, "7f3a9c21e0b4d655", "0000000000000001", 1)
	second := b.newClient(t)
	second.send(duplicate)
	second.wantLine("ERR\r\n")
	second.wantEOF()
	first.send("x\r\n")
	first.wantLine("re x\r\n")
	first.conn.Close()
	third := b.newClient(t)
	third.send(duplicate)
	third.wantLine("ERR\r\n")
	if n := len(s.receivedLines()); n != 1 {
		t.Errorf("%d lines reached the room server, want only the first", n)
	}
}

// A client that sends more data before its answer gets ERR at once, and its attempt is cancelled.
func TestDataBeforeAnswerFails(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	s := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		neverRespond(conn, r)
		close(closed)
	})
	c := newTestBalancer(t, s).newClient(t)
	c.send(newRequestLine())
	for len(s.receivedLines()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.send("more\r\n")
	c.wantLine("ERR\r\n")
	c.wantEOF()
	<-closed
}

// A line that never ends is answered as soon as it exceeds the maximum length. The client gets the answer although it
// continues to send.
func TestUnterminatedLineFails(t *testing.T) {
	t.Parallel()
	c := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho)).newClient(t)
	go func() {
		for chunk := strings.Repeat("x", 1<<16); ; {
			if _, err := io.WriteString(c.conn, chunk); err != nil {
				return
			}
		}
	}()
	c.wantLine("ERR\r\n")
	if line, err := c.r.ReadString('\n'); err == nil {
		t.Errorf("read %q, want an error", line)
	}
}

// A client is served if it sends its request line in two pieces that are more than 2 s apart, wherever the line is
// split. 2 s is the engine's timeout for connections that have sent nothing; it must not apply to a line that has
// begun.
func TestSlowRequestLinesAreServed(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	var writers sync.WaitGroup
	for _, cut := range []int{1, 20, len(newRequestLine()) - 1} {
		c, text := b.newClient(t), newRequestLine()
		writers.Go(func() {
			c.conn.Write([]byte(text[:cut]))
			time.Sleep(2100 * time.Millisecond)
			c.conn.Write([]byte(text[cut:]))
			if line, err := c.r.ReadString('\n'); err != nil || line != "UP receipt-1\r\n" {
				t.Errorf("cut at %d: read %q, %v", cut, line, err)
			}
		})
	}
	writers.Wait()
}

// A connection that was open before a restart is restored at the same room server.
func TestConnectionRestoredAtSameServer(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
	b := newTestBalancer(t, s1, s2)
	for i := range 4 {
		c := b.newClient(t)
		c.send(strings.Replace(newRequestLine(), "\r\n", ",at=s-2\r\n", 1))
		c.wantLine("UP receipt-1\r\n")
		c.send(fmt.Sprintf("%d\r\n", i))
		c.wantLine(fmt.Sprintf("re %d\r\n", i))
	}
	if n := len(s1.receivedLines()); n > 0 {
		t.Errorf("%d lines reached the other server", n)
	}
}

// A connection that was open before a restart is not restored at a draining room server after its grace period. A
// dial that began before the end of the grace period is cancelled when it ends.
func TestRestoreEndsWithDrainGrace(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	shortGrace := func(settings *decide.Settings) { settings.Safety.DrainGrace = 30 * time.Millisecond }
	b := newTestBalancerWithSettings(t, largeBudget, shortGrace, s)
	c := b.newManualConn(t)
	b.engine.EndpointsUpdated(s.deltaWithState(decide.Draining))
	c.submit(strings.TrimRight(newRequestLine(), "\r\n") + ",at=s-1")
	b.waitForEngine()
	if cmd, ok := c.pendingCommand(); ok { // The grace period is active.
		c.execute(t.Context(), cmd)
		dialed := (<-c.events).(dialedEvent)
		c.execute(t.Context(), <-c.commands) // The cancellation at the end of the grace period.
		c.handle(dialed)
	}
	for range 2 { // The engine would start a further attempt within this time.
		time.Sleep(restoreRetryWait)
		if cmd, ok := c.pendingCommand(); ok {
			t.Fatalf("the engine sent %T, want no further command", cmd)
		}
	}
	if n := len(s.receivedLines()); n > 0 {
		t.Errorf("%d lines reached the draining room server", n)
	}
}
