package hotrestart

import (
	"bufio"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dial connects to the Unix socket at path as soon as a process listens there.
func dial(t *testing.T, path string) *net.UnixConn {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"}); err == nil {
			t.Cleanup(func() { conn.Close() })
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			return conn
		}
	}
	t.Fatal("no process listens at the Unix socket")
	return nil
}

// expect reads len(want) bytes and compares them with want.
func expect(t *testing.T, from io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

// TestServerWireBytes checks the exact path and bytes that the server uses. They must not change, because the
// replacement process may be of an earlier or a later version.
func TestServerWireBytes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := SocketPath(dir, "127.0.0.1:9000/x")
	if want := filepath.Join(dir, "cottonplank-127.0.0.1:9000_x.sock"); path != want {
		t.Errorf("path %s, want %s", path, want)
	}
	_, changes, _ := startServer(t, path, "127.0.0.1:0")
	conn := dial(t, path)
	io.WriteString(conn, "TAKE 1\r\n")
	buf, oob := make([]byte, 4096), make([]byte, 4096)
	n, oobn, _, _, err := conn.ReadMsgUnix(buf, oob)
	if err != nil || string(buf[:n]) != "SOCKETS clients datagrams\r\n" {
		t.Fatalf("read %q, %v", buf[:n], err)
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		t.Fatalf("%d control messages, %v", len(messages), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 2 {
		t.Fatalf("%d descriptors, %v", len(descriptors), err)
	}
	for _, fd := range descriptors {
		unix.Close(fd)
	}
	expectChange(t, changes, Replacements{Connected: 1})
	io.WriteString(conn, "LEARNED\r\n")
	expect(t, conn, "L one\r\nL two\r\nEND\r\n")
	io.WriteString(conn, "SERVING\r\n")
	expectChange(t, changes, Replacements{Connected: 1, Serving: 1})
}

// TestClientWireBytes checks the exact bytes that the replacement process uses. They must not change, because the
// previous process may be of an earlier or a later version.
func TestClientWireBytes(t *testing.T) {
	t.Parallel()
	path := SocketPath(t.TempDir(), "x")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			close(accepted)
			return
		}
		emulatePreviousProcess(t, conn)
		accepted <- conn
	}()
	sockets, previous := ReceiveSockets(path, discardLog())
	conn := <-accepted
	if previous == nil || conn == nil {
		t.Fatal("no sockets were passed on")
	}
	defer conn.Close()
	if got := sockets.Unused(); !slices.Equal(got, []string{"clients"}) {
		t.Errorf("received sockets %q", got)
	}
	if !slices.Equal(previous.Learned, []string{"one", "two"}) {
		t.Errorf("learned state %q", previous.Learned)
	}
	previous.NotifyServing()
	expect(t, conn, "SERVING\r\n")
}

// emulatePreviousProcess checks the requests of a replacement process. It answers with one socket and with two lines of
// learned state.
func emulatePreviousProcess(t *testing.T, conn *net.UnixConn) {
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || line != "TAKE 1\r\n" {
		t.Errorf("read %q, %v", line, err)
	}
	file, err := os.Open("/dev/null")
	if err != nil {
		t.Error(err)
		return
	}
	defer file.Close()
	conn.WriteMsgUnix([]byte("SOCKETS clients\r\n"), unix.UnixRights(int(file.Fd())), nil)
	if line, err := reader.ReadString('\n'); err != nil || line != "LEARNED\r\n" {
		t.Errorf("read %q, %v", line, err)
	}
	io.WriteString(conn, "L one\r\nL two\r\nEND\r\n")
}
