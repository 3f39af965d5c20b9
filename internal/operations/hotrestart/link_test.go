package hotrestart

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// startLinkServer is like startServer with a link, whose ends it sends to the returned channel.
func startLinkServer(t *testing.T, path string) (accepted chan *net.UnixConn) {
	t.Helper()
	sockets := &Sockets{}
	listener, err := sockets.ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = make(chan *net.UnixConn, 10)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	server := NewServer(path, sockets, func() []string { return nil }, func(Replacements) {}, discardLog())
	server.OfferLink("flows", func(conn *net.UnixConn) { accepted <- conn })
	running.Go(func() { server.Serve(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); listener.Close() })
	return accepted
}

// receiveLink waits for this process's end of a link.
func receiveLink(t *testing.T, accepted chan *net.UnixConn) *net.UnixConn {
	t.Helper()
	select {
	case conn := <-accepted:
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	case <-time.After(10 * time.Second):
		t.Fatal("no link was accepted")
		return nil
	}
}

// Each replacement process gets a link of its own, which keeps the boundaries of messages and ends with either process.
func TestLink(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	accepted := startLinkServer(t, path)
	for range 2 {
		sockets, _ := receiveSockets(t, path)
		other, err := sockets.AcceptLink("flows")
		if err != nil || other == nil {
			t.Fatalf("link %v, %v", other, err)
		}
		own := receiveLink(t, accepted)
		own.Write([]byte("one"))
		own.Write([]byte("two"))
		buffer := make([]byte, 100)
		for _, want := range []string{"one", "two"} {
			if n, err := other.Read(buffer); err != nil || string(buffer[:n]) != want {
				t.Errorf("read %q, %v, want %q", buffer[:n], err, want)
			}
		}
		other.Close()
		if _, err := own.Read(buffer); err != io.EOF {
			t.Errorf("read ended with %v, want EOF", err)
		}
		if again, err := sockets.AcceptLink("flows"); again != nil || err != nil {
			t.Errorf("the link was taken twice: %v, %v", again, err)
		}
	}
}

// A replacement process of a version that knows no link treats it as a socket that is not used, and closes it. A
// process that is passed no link takes none.
func TestLinkIsOptional(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	accepted := startLinkServer(t, path)
	sockets, previous := receiveSockets(t, path)
	if names := sockets.Unused(); previous == nil || !slices.Equal(names, []string{"clients", "flows"}) {
		t.Fatalf("received sockets %q", names)
	}
	own := receiveLink(t, accepted)
	sockets.closeInherited()
	if _, err := own.Read(make([]byte, 100)); err != io.EOF {
		t.Errorf("read ended with %v, want EOF", err)
	}
	path = SocketPath(t.TempDir(), "x")
	startServer(t, path, "127.0.0.1:0")
	sockets, _ = receiveSockets(t, path)
	if conn, err := sockets.AcceptLink("flows"); conn != nil || err != nil {
		t.Errorf("link %v, %v, want none", conn, err)
	}
}
