package faultproxy

import (
	"io"
	"testing"
	"time"
)

// A link proxies and counts bytes, is as slow as Throttle demands, and proxies nothing while it is disconnected.
func TestLink(t *testing.T) {
	server := startEchoServer(t)
	link := NewLink(func(*Port) string { return server })
	port := openPort(t, link, 0)
	conn := dial(t, port)
	if !echoed(conn, "hello") {
		t.Fatal("no echo")
	}
	if bytes, accepted := port.Counts(); bytes != 10 || accepted != 1 {
		t.Errorf("%d bytes, %d connections", bytes, accepted)
	}
	link.Throttle(50*time.Millisecond, 0)
	start := time.Now()
	if !echoed(conn, "hello") || time.Since(start) < 100*time.Millisecond {
		t.Errorf("the echo took %v", time.Since(start))
	}
	link.Throttle(0, 100<<10)
	start = time.Now()
	if !echoed(conn, string(make([]byte, 30<<10))) || time.Since(start) < 300*time.Millisecond {
		t.Errorf("60 KB at 100 KB/s took %v", time.Since(start))
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

// A connection without a target is closed.
func TestNoTarget(t *testing.T) {
	port := openPort(t, NewLink(func(*Port) string { return "" }), 1)
	if echoed(dial(t, port), "hello") {
		t.Error("an echo without a target")
	}
}

// A port that is closed closes its own connections alone.
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
		t.Error("the wrong connection was closed")
	}
}

// A cut of one direction holds back the bytes of that direction alone until it ends.
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
		t.Errorf("after the cut: %q, %v", got, err)
	}
	forward.Set(Conditions{Loss: 1})
	if echoed(dial(t, port), "hello") {
		t.Error("a connection was accepted at a loss of 1")
	}
}
