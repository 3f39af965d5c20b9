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

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// offer offers a listener of its own at path, until stop.
func offer(t *testing.T, path, address string) (l *net.TCPListener, changes chan Replacements, stop func()) {
	t.Helper()
	s := &Sockets{}
	l, err := s.ListenTCP("clients", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.ListenUDP("datagrams", address); err != nil {
		t.Fatal(err)
	}
	changes = make(chan Replacements, 20)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	o := NewServer(path, s, func() []string { return []string{"one", "two"} }, func(n Replacements) { changes <- n }, quiet())
	running.Go(func() { o.Serve(ctx) })
	stop = sync.OnceFunc(func() { cancel(); running.Wait(); l.Close() })
	t.Cleanup(stop)
	return l, changes, stop
}

// takes asks until the offer stands.
func takes(t *testing.T, path string) (*Sockets, *PreviousProcess) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s, p := TakeOver(path, quiet()); p != nil {
			return s, p
		}
	}
	t.Fatal("nothing was handed over")
	return nil, nil
}

func wants(t *testing.T, changes chan Replacements, want Replacements) {
	t.Helper()
	select {
	case got := <-changes:
		if got != want {
			t.Fatalf("successors %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not told of %+v", want)
	}
}

// A client that waits in the accept queue is accepted by the successor after the old process has closed its own: one
// queue outlives it. Guards against the reset that the close of a queue of its own would bring.
func TestTheQueueOutlivesTheOldOne(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "127.0.0.1:9000")
	l, changes, stop := offer(t, path, "127.0.0.1:0")
	address := l.Addr().String()
	if info, err := os.Stat(path); err == nil && info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	client, err := net.Dial("tcp", address) // waits in the queue
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, "hello\r\n")
	sockets, predecessor := takes(t, path)
	wants(t, changes, Replacements{Connected: 1})
	if got := strings.Join(predecessor.Learned, " "); got != "one two" {
		t.Errorf("learned %q", got)
	}
	taken, err := sockets.ListenTCP("clients", address)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	predecessor.NotifyServing()
	wants(t, changes, Replacements{Connected: 1, Serving: 1})
	stop()
	<-predecessor.Exited
	taken.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := taken.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := make([]byte, 7)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "hello\r\n" {
		t.Errorf("read %q, %v", got, err)
	}
}

// A successor that ends is told, and the next one finds the offer again, though the first had put its own in its place.
func TestOfferedAgain(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	_, changes, _ := offer(t, path, "127.0.0.1:0")
	for range 3 {
		_, predecessor := takes(t, path)
		wants(t, changes, Replacements{Connected: 1})
		os.Remove(path)
		predecessor.conn.Close()
		wants(t, changes, Replacements{})
	}
}

// At its end a process takes away the path that it left, and no other's.
func TestOwnPathIsRemoved(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	_, _, first := offer(t, path, "127.0.0.1:0")
	takes(t, path)
	left, err := os.Lstat(path)
	if err != nil {
		t.Fatal(err)
	}
	_, _, second := offer(t, path, "127.0.0.1:0")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if now, err := os.Lstat(path); err == nil && !os.SameFile(now, left) {
			break
		}
	}
	first()
	if _, err := os.Lstat(path); err != nil {
		t.Errorf("the path of another process is gone: %v", err)
	}
	second()
	if _, err := os.Lstat(path); err == nil {
		t.Error("the own path is left")
	}
}

// The path that a killed process left is no predecessor and is replaced; a process that hangs is not waited for long.
func TestStaleAndHungPaths(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	start := time.Now()
	if _, p := TakeOver(path, quiet()); p != nil || time.Since(start) > 5*takeWait {
		t.Errorf("a hung process: %v after %v", p, time.Since(start))
	}
	l.Close()
	if _, p := TakeOver(path, quiet()); p != nil {
		t.Error("a stale path counts as a process")
	}
	offer(t, path, "127.0.0.1:0")
	takes(t, path)
}

// A folder's path that no Unix address holds is no hindrance.
func TestLongPath(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 200))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := SocketPath(dir, "127.0.0.1:9000")
	offer(t, path, "127.0.0.1:0")
	takes(t, path)
}

// Both kinds come over with their addresses; a socket of another address is not taken for the one that is asked for.
func TestAddressesMatch(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	l, _, _ := offer(t, path, "127.0.0.1:0")
	sockets, _ := takes(t, path)
	if _, err := sockets.ListenUDP("clients", "127.0.0.1:0"); err == nil {
		t.Error("a listener was taken for a socket of datagrams")
	}
	sockets, _ = takes(t, path)
	other, err := sockets.ListenTCP("clients", "127.0.0.1:0")
	if err != nil || other.Addr().String() == l.Addr().String() {
		t.Fatalf("asked for another address: %v", err)
	}
	other.Close()
	sockets, _ = takes(t, path)
	same, err := sockets.ListenTCP("clients", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	same.Close()
}

func TestPause(t *testing.T) {
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
				if p.Paused(context.Background(), err) {
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
		t.Error("accepted while held")
	case <-time.After(50 * time.Millisecond):
	}
	p.Resume()
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Error("not resumed")
	}
}

// What names sockets is a whole line with each name once.
func FuzzParseSockets(f *testing.F) {
	fuzzcorpus.Add(f, []byte("SOCKETS clients quic snmp\r\n"), []byte("SOCKETS clients\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		names, err := parseSockets(string(raw))
		if err != nil {
			return
		}
		if again := "SOCKETS " + strings.Join(names, " ") + "\r\n"; again != string(raw) || len(names) > maxSockets ||
			bytes.Count(raw, []byte("\n")) != 1 {
			t.Errorf("%q is taken as %q", raw, names)
		}
	})
}
