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
)

// Under a supervisor, the program's own process: it serves from the supervisor's socket, says when it is ready, gives
// signs of life, tells of reloads and of its stop; and the queue outlives it. Guards the service unit of deploy/.
func TestServiceSupervisor(t *testing.T) {
	dir := t.TempDir()
	notify, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: filepath.Join(dir, "notify"), Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer notify.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	stray, err := other.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer stray.Close()
	asked, _ := startEmptyDiscovery(t)
	config := filepath.Join(dir, "config.json")
	replaceFile(t, config, fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c","settings":{"zone":"a","membership_mode":
"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1,"repeat":"idempotent"}]}}`, l.Addr(), asked))
	var logged bytes.Buffer
	// A supervisor sets LISTEN_PID between fork and exec; the shell does so here.
	program := exec.Command("/bin/sh", "-c", `LISTEN_PID=$$ exec "$0"`, os.Args[0])
	program.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+config, "TMPDIR="+dir, "LISTEN_FDS=2",
		"LISTEN_FDNAMES=clients:metrics", "NOTIFY_SOCKET="+filepath.Join(dir, "notify"), "WATCHDOG_USEC=400000")
	program.ExtraFiles = []*os.File{socket, stray}
	program.Stderr = &logged
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer program.Process.Kill()
	signs := 0
	wait := func(want string) {
		t.Helper()
		buf := make([]byte, 4096)
		for {
			notify.SetReadDeadline(time.Now().Add(testTimeout))
			n, err := notify.Read(buf)
			if err != nil {
				t.Fatalf("not told %s: %v", want, err)
			}
			switch got := string(buf[:n]); {
			case strings.HasPrefix(got, want):
				return
			case got == "WATCHDOG=1":
				signs++
			case !strings.HasPrefix(got, "STATUS="):
				t.Fatalf("told %q, want %s", got, want)
			}
		}
	}
	wait("READY=1\nSTATUS=serving: 0 connections stand")
	conn, err := net.Dial("tcp", l.Addr().String())
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
	for signs < 3 {
		wait("WATCHDOG=1")
		signs++
	}
	program.Process.Signal(syscall.SIGHUP)
	wait("RELOADING=1\nMONOTONIC_USEC=")
	wait("READY=1")
	program.Process.Signal(syscall.SIGTERM)
	wait("STOPPING=1\nEXTEND_TIMEOUT_USEC=")
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v, log:\n%s", err, &logged)
	}
	if !strings.Contains(logged.String(), "socket=metrics") {
		t.Errorf("a socket without use is not told of:\n%s", &logged)
	}
	after, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("the queue is gone with the process: %v", err)
	}
	after.Close()
}
