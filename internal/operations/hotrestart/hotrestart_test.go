package hotrestart

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"

	"github.com/sirupsen/logrus"
)

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startServer starts a server at path that passes a TCP and a UDP socket on. It runs until stop is called or the test
// ends.
func startServer(t *testing.T, path, address string) (
	listener *net.TCPListener, changes chan Replacements, stop func(),
) {
	t.Helper()
	sockets := &Sockets{}
	listener, err := sockets.ListenTCP("clients", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sockets.ListenUDP("datagrams", address); err != nil {
		t.Fatal(err)
	}
	changes = make(chan Replacements, 20)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	learned := func() []string { return []string{"one", "two"} }
	server := NewServer(path, sockets, learned, func(count Replacements) { changes <- count }, discardLog())
	running.Go(func() { server.Serve(ctx) })
	stop = sync.OnceFunc(func() { cancel(); running.Wait(); listener.Close() })
	t.Cleanup(stop)
	return listener, changes, stop
}

// receiveSockets requests the sockets repeatedly until a server passes them on.
func receiveSockets(t *testing.T, path string) (*Sockets, *PreviousProcess) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s, p := ReceiveSockets(path, discardLog()); p != nil {
			return s, p
		}
	}
	t.Fatal("no sockets were passed on")
	return nil, nil
}

// expectChange waits for the next report of the numbers of replacement processes and compares it with want.
func expectChange(t *testing.T, changes chan Replacements, want Replacements) {
	t.Helper()
	select {
	case got := <-changes:
		if got != want {
			t.Fatalf("replacement processes %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no report of replacement processes, want %+v", want)
	}
}

// A client that waits in the accept queue is accepted by the replacement process after the previous process has closed
// its listener. If each process had its own accept queue, that close would reset the client's connection.
func TestAcceptQueueOutlivesPreviousProcess(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "127.0.0.1:9000")
	l, changes, stop := startServer(t, path, "127.0.0.1:0")
	address := l.Addr().String()
	if info, err := os.Stat(path); err == nil && info.Mode().Perm() != 0o600 {
		t.Errorf("the Unix socket has mode %v, want 0600", info.Mode())
	}
	client, err := net.Dial("tcp", address) // waits in the accept queue
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, "hello\r\n")
	sockets, previous := receiveSockets(t, path)
	expectChange(t, changes, Replacements{Connected: 1})
	if got := strings.Join(previous.Learned, " "); got != "one two" {
		t.Errorf("learned state %q", got)
	}
	inherited, err := sockets.ListenTCP("clients", address)
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	previous.NotifyServing()
	expectChange(t, changes, Replacements{Connected: 1, Serving: 1})
	stop()
	<-previous.Exited
	inherited.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := inherited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := make([]byte, 7)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "hello\r\n" {
		t.Errorf("read %q, %v", got, err)
	}
}

// When a replacement process exits, the server reports it and creates its Unix socket again, so that the next
// replacement process can connect. The test removes the Unix socket, where a replacement process would put its own.
func TestServesAgainAfterReplacementExits(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	_, changes, _ := startServer(t, path, "127.0.0.1:0")
	for range 3 {
		_, previous := receiveSockets(t, path)
		expectChange(t, changes, Replacements{Connected: 1})
		os.Remove(path)
		previous.conn.Close()
		expectChange(t, changes, Replacements{})
	}
}

// At its exit a process removes its own Unix socket, but not the socket of another process at the same path. Otherwise
// no replacement process could connect to that other process.
func TestOwnSocketFileIsRemoved(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	_, _, stopFirst := startServer(t, path, "127.0.0.1:0")
	receiveSockets(t, path)
	firstSocket, err := os.Lstat(path)
	if err != nil {
		t.Fatal(err)
	}
	_, _, stopSecond := startServer(t, path, "127.0.0.1:0")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if current, err := os.Lstat(path); err == nil && !os.SameFile(current, firstSocket) {
			break
		}
	}
	stopFirst()
	if _, err := os.Lstat(path); err != nil {
		t.Errorf("the Unix socket of another process is gone: %v", err)
	}
	stopSecond()
	if _, err := os.Lstat(path); err == nil {
		t.Error("the Unix socket of the process itself was not removed")
	}
}

// A process that hangs, so that it does not answer, delays the start only briefly. The Unix socket of a killed process,
// which refuses connections, does not count as a previous process and is replaced.
func TestStaleAndUnresponsiveSockets(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	start := time.Now()
	if _, p := ReceiveSockets(path, discardLog()); p != nil || time.Since(start) > 5*exchangeTimeout {
		t.Errorf("a process that hangs: previous process %v after %v", p, time.Since(start))
	}
	l.Close()
	if _, p := ReceiveSockets(path, discardLog()); p != nil {
		t.Error("the Unix socket of a killed process counts as a previous process")
	}
	startServer(t, path, "127.0.0.1:0")
	receiveSockets(t, path)
}

// A hot restart works even if the path of the directory is too long for the address of a Unix socket.
func TestLongPath(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 200))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := SocketPath(dir, "127.0.0.1:9000")
	startServer(t, path, "127.0.0.1:0")
	receiveSockets(t, path)
}

// An inherited socket is used only if its type and its address match: another type is an error, and for another address
// a new socket is opened.
func TestInheritedSocketsMatchAddress(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	l, _, _ := startServer(t, path, "127.0.0.1:0")
	sockets, _ := receiveSockets(t, path)
	if _, err := sockets.ListenUDP("clients", "127.0.0.1:0"); err == nil {
		t.Error("the inherited TCP listener was used as a UDP socket")
	}
	sockets, _ = receiveSockets(t, path)
	other, err := sockets.ListenTCP("clients", "127.0.0.1:0")
	if err != nil || other.Addr().String() == l.Addr().String() {
		t.Fatalf("listening at another address: %v", err)
	}
	other.Close()
	sockets, _ = receiveSockets(t, path)
	same, err := sockets.ListenTCP("clients", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	same.Close()
}

// A paused goroutine accepts no connection until Resume. The Resume before the second Pause may leave a value in the
// channel Pauser.resumed, which must not end the second pause.
func TestPauser(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPauser(l.(*net.TCPListener).SetDeadline)
	accepted := make(chan struct{}, 9)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				if p.WaitWhilePaused(context.Background(), err) {
					continue
				}
				return
			}
			conn.Close()
			accepted <- struct{}{}
		}
	}()
	p.Pause()
	p.Resume()
	p.Pause()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	select {
	case <-accepted:
		t.Error("accepted while paused")
	case <-time.After(50 * time.Millisecond):
	}
	p.Resume()
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Error("not accepted after Resume")
	}
}

// parseSocketNames accepts only a single complete line with at most maxSockets names, and returns all of them.
func FuzzParseSocketNames(f *testing.F) {
	fuzzcorpus.Add(f, []byte("SOCKETS clients quic snmp\r\n"), []byte("SOCKETS clients\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		names, err := parseSocketNames(string(raw))
		if err != nil {
			return
		}
		if again := "SOCKETS " + strings.Join(names, " ") + "\r\n"; again != string(raw) || len(names) > maxSockets ||
			bytes.Count(raw, []byte("\n")) != 1 {
			t.Errorf("%q is parsed as %q", raw, names)
		}
	})
}
