package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds what a test waits for, so that none hangs.
const testTimeout = 20 * time.Second

// startTCPServer is a stand-in that treats each connection.
func startTCPServer(t *testing.T, treat func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				treat(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// startEchoServer is a stand-in room server that lets connections stand and answers each line.
func startEchoServer(t *testing.T) string {
	return startTCPServer(t, func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			text, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(text, "OPEN ") {
				text = "UP receipt\r\n"
			}
			io.WriteString(conn, text)
		}
	})
}

// deployment is what the processes of one test share.
type deployment struct {
	t      *testing.T
	dir    string
	listen string
	server string
	seed   string
	lastID int
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{t: t, dir: t.TempDir(), listen: freeAddress(t), server: startEchoServer(t), seed: "8c"}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDiscovery is a stand-in for discovery that tells of the room server, or hangs.
func (d *deployment) startDiscovery(hangs bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !hangs {
			fmt.Fprintf(w, `{"generation":3,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]}`+"\n", d.server)
			w.(http.Flusher).Flush()
		}
		if hangs || req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	}))
	d.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// process is one version that runs.
type process struct {
	t          *testing.T
	command    *exec.Cmd
	management string
	logs       *bytes.Buffer
}

func (d *deployment) start(discovery string) *process {
	d.t.Helper()
	path := filepath.Join(d.dir, "config.json")
	replaceFile(d.t, path, fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":%q,"known":{"generation":1,"reset":true,
"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},"settings":{"zone":"a","membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, d.listen, discovery, d.seed, d.server))
	p := &process{t: d.t, command: exec.Command(os.Args[0]), management: freeAddress(d.t), logs: &bytes.Buffer{}}
	p.command.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_MANAGEMENT="+p.management,
		"TMPDIR="+d.dir)
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { p.command.Process.Kill() })
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitReady waits for the process's yes.
func (p *process) waitReady() *process {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.call("PING") == "200 serving\r\n" {
			return p
		}
	}
	p.t.Fatal("does not get ready")
	return nil
}

func (p *process) call(call string) string {
	conn, err := net.Dial("tcp", p.management)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, call+"\r\n")
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// waitExit waits for the end of a planned stop.
func (p *process) waitExit() {
	p.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.command.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.t.Errorf("ended with %v, log:\n%s", err, p.logs)
		}
	case <-time.After(testTimeout):
		p.t.Error("does not end")
	}
}

// testClient is a stand-in client that stands.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (d *deployment) dial() testClient {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.listen)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return testClient{conn, bufio.NewReader(conn)}
}

func (d *deployment) open() testClient {
	d.t.Helper()
	p := d.dial()
	d.sendOpen(p)
	return p
}

func (d *deployment) sendOpen(p testClient) {
	d.t.Helper()
	d.exchange(p, d.openLine(), "UP receipt")
}

// openLine is a first line with a new id, without its end.
func (d *deployment) openLine() string {
	d.lastID++
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=2000", d.lastID)
}

func (d *deployment) exchange(p testClient, text, want string) {
	d.t.Helper()
	if _, err := io.WriteString(p, text+"\r\n"); err != nil {
		d.t.Fatal(err)
	}
	if line, err := p.reader.ReadString('\n'); err != nil || line != want+"\r\n" {
		d.t.Fatalf("%q brings %q, %v, want %q", text, line, err, want)
	}
}

// expectMigrate wants a connection's polite end.
func (d *deployment) expectMigrate(p testClient) {
	d.t.Helper()
	if line, err := p.reader.ReadString('\n'); err != nil || line != "MOVE\r\n" {
		d.t.Errorf("the standing one reads %q, %v", line, err)
	}
	p.Close()
}

// One version takes over from another, twice in a row, under clients that come all the time: each is served, those that
// stand are moved, and one that was accepted before the stop is served though its line comes after it. Guards against
// queues that close with what they hold, and against stops that cut off what was accepted.
func TestHotRestartTwice(t *testing.T) {
	d := newDeployment(t)
	discovery := d.startDiscovery(false)
	running := d.start(discovery).waitReady()
	for range 2 {
		standing, slow := d.open(), d.dial()
		d.exchange(slow, "PING", "PONG") // accepted by the old one
		next := d.start(discovery).waitReady()
		d.exchange(standing, "still here", "still here")
		next.signal(syscall.SIGHUP)
		running.signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		d.sendOpen(slow)
		for range 50 {
			d.exchange(d.open(), "x", "x")
		}
		d.expectMigrate(standing)
		d.expectMigrate(slow)
		running.waitExit()
		if n := strings.Count(next.call("INFO"), "fulfilled.solo-play=50"); n != 1 {
			t.Errorf("the new one did not serve the 50 clients: %q", next.call("INFO"))
		}
		running = next
	}
	running.signal(syscall.SIGTERM)
	running.waitExit()
}

// A new version that dies half-way, before its yes and after it, leaves the old one serving as before, and the next one
// still takes over. One without an answer of discovery says yes all the same.
func TestReplacementProcessDies(t *testing.T) {
	d := newDeployment(t)
	hung, sound := d.startDiscovery(true), d.startDiscovery(false)
	old := d.start(sound).waitReady()
	standing := d.open()
	for _, late := range []bool{false, true} {
		next := d.start(hung)
		if late {
			next.waitReady()
		} else {
			for end := time.Now().Add(testTimeout); next.call("PING") != "400 starting\r\n"; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("it is not seen starting")
				}
			}
		}
		next.signal(syscall.SIGKILL)
		next.command.Wait()
		for range 5 {
			d.exchange(d.open(), "x", "x")
		}
		d.exchange(standing, "x", "x")
	}
	last := d.start(sound).waitReady()
	old.signal(syscall.SIGTERM)
	d.expectMigrate(standing)
	old.waitExit()
	d.exchange(d.open(), "x", "x")
	last.signal(syscall.SIGTERM)
	last.waitExit()
}

// Where the old version hangs, the new one opens the address itself and serves; where it was killed, too.
func TestPreviousProcessHangsOrWasKilled(t *testing.T) {
	d := newDeployment(t)
	discovery := d.startDiscovery(false)
	old := d.start(discovery).waitReady()
	old.signal(syscall.SIGSTOP)
	d.start(discovery).waitReady()
	old.signal(syscall.SIGKILL)
	old.command.Wait()
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() {
			if conn, err := net.Dial("tcp", d.listen); err != nil {
				t.Error(err)
			} else {
				conn.Close()
			}
		})
	}
	all.Wait()
	d.exchange(d.open(), "x", "x")
}
