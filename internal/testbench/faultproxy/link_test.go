package faultproxy

import (
	"io"
	"testing"
	"time"
)

// A link proxies and counts bytes, applies the delay and the bandwidth limit of Throttle, and proxies nothing while
// it is disconnected.
func TestLink(t *testing.T) {
	server := startEchoServer(t)
	link := NewLink(func(*Port) string { return server })
	port := openPort(t, link, 0)
	conn := dial(t, port)
	if !echoed(conn, "hello") {
		t.Fatal("no echo")
	}
	if bytes, accepted := port.Counts(); bytes != 10 || accepted != 1 {
		t.Errorf("counted %d bytes and %d connections, want 10 and 1", bytes, accepted)
	}
	link.Throttle(50*time.Millisecond, 0)
	start := time.Now()
	if !echoed(conn, "hello") || time.Since(start) < 100*time.Millisecond {
		t.Errorf("the echo took %v, want at least 100ms", time.Since(start))
	}
	link.Throttle(0, 100<<10)
	start = time.Now()
	if !echoed(conn, string(make([]byte, 30<<10))) || time.Since(start) < 300*time.Millisecond {
		t.Errorf("60 KiB at 100 KiB/s took %v, want at least 300ms", time.Since(start))
	}
	link.Throttle(0, 0)
	link.Disconnect()
	if echoed(conn, "hello") || echoed(dial(t, port), "hello") {
		t.Error("an echo while the link is disconnected")
	}
	link.Reconnect()
	if !echoed(dial(t, port), "hello") {
		t.Error("no echo after the link was reconnected")
	}
}

// A connection is closed if the target function returns no address.
func TestNoTarget(t *testing.T) {
	port := openPort(t, NewLink(func(*Port) string { return "" }), 1)
	if echoed(dial(t, port), "hello") {
		t.Error("an echo without a target")
	}
}

// Closing a port closes its connections, and no connections of the link's other ports.
func TestClosePort(t *testing.T) {
	server := startEchoServer(t)
	link := NewLink(func(*Port) string { return server })
	closed, open := openPort(t, link, 0), openPort(t, link, 1)
	closedConn, openConn := dial(t, closed), dial(t, open)
	if !echoed(closedConn, "a") || !echoed(openConn, "b") {
		t.Fatal("no echo")
	}
	closed.Close()
	if echoed(closedConn, "a") || !echoed(openConn, "b") {
		t.Error("want the connection of the closed port closed, and that of the other port open")
	}
}

// A cut of one direction delays that direction's bytes until the cut ends, while the other direction works. A loss of
// 1 on the path from the dialing side closes new connections.
func TestCutOfOneDirection(t *testing.T) {
	server := startEchoServer(t)
	forward, back := NewPath(1), NewPath(2)
	port := openPort(t, NewLinkWithPaths(forward, back, func(*Port) string { return server }), 0)
	conn := dial(t, port)
	back.Set(Conditions{Cut: true})
	io.WriteString(conn, "hello")
	conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := conn.Read(make([]byte, 10)); n > 0 {
		t.Error("bytes crossed a cut")
	}
	back.Set(Conditions{})
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, 5)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "hello" {
		t.Errorf("read %q, %v after the cut, want hello", got, err)
	}
	forward.Set(Conditions{Loss: 1})
	if echoed(dial(t, port), "hello") {
		t.Error("an echo on a new connection at a loss of 1, want the connection closed")
	}
}
