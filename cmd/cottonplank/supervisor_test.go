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

// notifySocket receives what a process sends to its service supervisor.
type notifySocket struct {
	t          *testing.T
	conn       *net.UnixConn
	path       string
	heartbeats int
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

// wait skips heartbeats and status lines until the notification that begins with want; any other fails the test.
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

// listenSocket opens a listener and returns it with its file, as a service supervisor passes it on.
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

// startSupervised runs the program with the sockets "clients" and "metrics" of a service supervisor.
func startSupervised(t *testing.T, notify *notifySocket, configFile string,
	sockets ...*os.File) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	// A supervisor sets LISTEN_PID between fork and exec; the shell does so here.
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

// Under a service supervisor the program serves from the supervisor's socket, notifies it when it is ready, sends
// heartbeats, and announces reloads and its shutdown; and the listener's backlog outlives it. Guards the service unit
// of deploy/.
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
		t.Errorf("PING brings %q, %v", line, err)
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
		t.Errorf("ended with %v, log:\n%s", err, logs)
	}
	if !strings.Contains(logs.String(), "socket=metrics") {
		t.Errorf("the log does not name the unused socket:\n%s", logs)
	}
	after, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("the backlog is gone with the process: %v", err)
	}
	after.Close()
}

// Operators read the line in the supervisor's status.
func TestStatusLine(t *testing.T) {
	snapshot := &core.Snapshot{Service: core.LameDuck, Established: 1, Waiting: 2, Listed: 3, Ejected: 4}
	const want = "lame duck: 1 connections stand, 2 requests wait, 3 room servers listed, 4 of them left out"
	if got := statusLine(snapshot); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
