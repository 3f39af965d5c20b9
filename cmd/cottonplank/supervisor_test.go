package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonplank/internal/core"
)

// notifySocket receives the notifications that a process sends to its service supervisor.
type notifySocket struct {
	t          *testing.T
	conn       *net.UnixConn
	path       string
	heartbeats int // number received
}

func newNotifySocket(t *testing.T, path string) *notifySocket {
	t.Helper()
	conn, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &notifySocket{t: t, conn: conn, path: path}
}

// wait reads notifications until one begins with want. It skips status lines and heartbeats, and counts the heartbeats
// that it skips. Any other notification fails the test.
func (s *notifySocket) wait(want string) {
	s.t.Helper()
	buffer := make([]byte, 4096)
	for {
		s.conn.SetReadDeadline(time.Now().Add(testTimeout))
		n, err := s.conn.Read(buffer)
		if err != nil {
			s.t.Fatalf("no notification %s: %v", want, err)
		}
		switch got := string(buffer[:n]); {
		case strings.HasPrefix(got, want):
			return
		case got == "WATCHDOG=1":
			s.heartbeats++
		case !strings.HasPrefix(got, "STATUS="):
			s.t.Fatalf("notification %q, want %s", got, want)
		}
	}
}

// listenSocket opens a listener and returns it with its file. A service supervisor passes such files to a process.
func listenSocket(t *testing.T) (net.Listener, *os.File) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return listener, file
}

// startSupervised starts the program with two sockets of a service supervisor, named "clients" and "metrics". The
// program uses only the first.
func startSupervised(t *testing.T, notify *notifySocket, configFile string,
	sockets ...*os.File) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	// LISTEN_PID has to be the process ID of the program. A supervisor sets it between fork and exec; here the shell
	// sets it and execs the program.
	program, logs := exec.Command("/bin/sh", "-c", `LISTEN_PID=$$ exec "$0"`, os.Args[0]), &bytes.Buffer{}
	program.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+configFile,
		"TMPDIR="+filepath.Dir(configFile), "LISTEN_FDS=2", "LISTEN_FDNAMES=clients:metrics",
		"NOTIFY_SOCKET="+notify.path, "WATCHDOG_USEC=400000")
	program.ExtraFiles = sockets
	program.Stderr = logs
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { program.Process.Kill() })
	return program, logs
}

// Guards the behaviour on which the service unit in deploy/ relies. Under a service supervisor, the program accepts
// clients from the socket that it inherits, notifies the supervisor when it is ready, sends heartbeats, and announces
// reloads and its shutdown. The supervisor's listener accepts connections even after the program has exited.
func TestServiceSupervisor(t *testing.T) {
	dir := t.TempDir()
	notify := newNotifySocket(t, filepath.Join(dir, "notify"))
	listener, socket := listenSocket(t)
	_, unusedSocket := listenSocket(t)
	discovery, _ := startEmptyDiscovery(t)
	configFile := filepath.Join(dir, "config.json")
	replaceFile(t, configFile, fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1,"repeat":"idempotent"}]}}`,
		listener.Addr(), discovery))
	program, logs := startSupervised(t, notify, configFile, socket, unusedSocket)
	notify.wait("READY=1\nSTATUS=serving: 0 connections stand")
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, "PING\r\n")
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "PONG\r\n" {
		t.Errorf("response to PING: %q, %v", line, err)
	}
	conn.Close()
	for notify.heartbeats < 3 {
		notify.wait("WATCHDOG=1")
		notify.heartbeats++
	}
	program.Process.Signal(syscall.SIGHUP)
	notify.wait("RELOADING=1\nMONOTONIC_USEC=")
	notify.wait("READY=1")
	program.Process.Signal(syscall.SIGTERM)
	notify.wait("STOPPING=1\nEXTEND_TIMEOUT_USEC=")
	if err := program.Wait(); err != nil {
		t.Errorf("exited with %v, log:\n%s", err, logs)
	}
	if !strings.Contains(logs.String(), "socket=metrics") {
		t.Errorf("the log does not name the unused socket:\n%s", logs)
	}
	after, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("the listener does not accept connections after the program has exited: %v", err)
	}
	after.Close()
}

// Operators read the line in the supervisor's status output, so its text must not change.
func TestStatusLine(t *testing.T) {
	snapshot := &core.Snapshot{Service: core.LameDuck, Established: 1, Waiting: 2, Listed: 3, Ejected: 4}
	const want = "lame duck: 1 connections stand, 2 requests wait, 3 room servers listed, 4 of them left out"
	if got := statusLine(snapshot); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
