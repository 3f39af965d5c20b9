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
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/operations/hotrestart"

	"golang.org/x/sys/unix"
)

const (
	manyProcesses = 30
	manyServers   = 20000
	maxReadyTime  = 10 * time.Second
	maxStartTime  = 30 * time.Second // one that takes longer has failed to start
)

// listOfManyServers is a list of so many room servers.
func listOfManyServers() []byte {
	var b bytes.Buffer
	b.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range manyServers {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"instanceId":"s-%08x","hostPort":"127.%d.%d.%d:9000","zone":"%c","machineType":"m2","cell":%d,"lifecycle":"active","weight":1.0,"startedAtMs":0}`,
			i, 16+i>>14, i>>7&127, i&127, 'a'+i%3, i%12)
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// processFleet is processes that are started all at once.
type processFleet struct {
	t       *testing.T
	program string
	config  string
	listen  [manyProcesses]string
	manage  [manyProcesses]string
	dir     string
}

func newFleet(t *testing.T, program string, known []byte) *processFleet {
	t.Helper()
	f := &processFleet{t: t, program: program, dir: t.TempDir()}
	f.config = filepath.Join(f.dir, "config.json")
	replaceFile(t, f.config, fmt.Sprintf(`{"name":"n3","seed":"8c","known":%s,"settings":{"zone":"a","balancers":%d,"membership_mode":"subscribe",
"rules":{"must_ask_in_s":1},"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, known, manyProcesses))
	for i := range manyProcesses {
		f.listen[i], f.manage[i] = freeAddressOfProcess(t, i), freeAddressOfProcess(t, i)
	}
	return f
}

// freeAddressOfProcess is an address of a process's own IP address: nobody dials from there, so that its port stays free.
func freeAddressOfProcess(t *testing.T, i int) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.9.0.%d:0", i+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// fleetRun are the fleet's, of one start.
type fleetRun struct {
	*processFleet
	commands   [manyProcesses]*exec.Cmd
	logs       [manyProcesses]string
	readyAfter [manyProcesses]time.Duration
}

// start starts all at once and waits until they are ready, as the front layer sees it. Nine in ten have to be within the
// term, the others as far as that is no failure.
func (f *processFleet) start(discovery string) *fleetRun {
	f.t.Helper()
	p := &fleetRun{processFleet: f}
	f.t.Cleanup(p.kill)
	var all sync.WaitGroup
	for i := range manyProcesses {
		c := exec.Command(f.program, "serve")
		c.Env = append(os.Environ(), "PROXY_CONFIG="+f.config, "PROXY_LISTEN="+f.listen[i], "PROXY_MANAGEMENT="+f.manage[i],
			"PROXY_DISCOVERY="+discovery, "TMPDIR="+f.dir)
		p.logs[i] = filepath.Join(f.t.TempDir(), "log")
		log, err := os.Create(p.logs[i])
		if err != nil {
			f.t.Fatal(err)
		}
		c.Stderr = log
		defer log.Close()
		start := time.Now()
		if err := c.Start(); err != nil {
			f.t.Fatal(err)
		}
		p.commands[i] = c
		all.Go(func() {
			for time.Since(start) < maxStartTime && !answersPing(f.listen[i]) {
				time.Sleep(20 * time.Millisecond)
			}
			p.readyAfter[i] = time.Since(start)
		})
	}
	all.Wait()
	late, most := 0, time.Duration(0)
	for i, took := range p.readyAfter {
		most = max(most, took)
		if took > maxReadyTime {
			late++
			f.t.Logf("process %d is ready after %v, log:\n%.2000s", i, took, p.log(i))
		}
	}
	if late*10 > manyProcesses || most > maxStartTime {
		f.t.Errorf("%d of %d are ready after more than %v, the last after %v", late, manyProcesses, maxReadyTime, most)
	}
	rss, sum := 0, 0
	for _, c := range p.commands {
		kib := peakRSS(c.Process.Pid)
		rss, sum = max(rss, kib), sum+kib
	}
	f.t.Logf("the last is ready after %v; peak RSS %d MiB at most, %d MiB in all", most.Round(time.Millisecond), rss>>10, sum>>10)
	return p
}

func (p *fleetRun) log(i int) string {
	raw, err := os.ReadFile(p.logs[i])
	if err != nil {
		p.t.Error(err)
	}
	return string(raw)
}

// kill ends them as a crash does.
func (p *fleetRun) kill() {
	for i, c := range p.commands {
		if c != nil {
			c.Process.Kill()
			c.Wait()
			p.commands[i] = nil
		}
	}
}

// answersPing tells whether a process answers the front layer's health check.
func answersPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "PING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "PONG\r\n"
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

func peakRSS(pid int) (kib int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if m := peakPattern.FindSubmatch(raw); m != nil {
		fmt.Sscan(string(m[1]), &kib)
	}
	return kib
}

// waitListed waits until a process has so many room servers in force.
func (p *fleetRun) waitListed(i, want int) bool {
	watched := &process{t: p.t, management: p.manage[i]}
	for end := time.Now().Add(maxReadyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if strings.Contains(watched.call("INFO"), fmt.Sprintf("svc.registry_entries=%d\r\n", want)) {
			return true
		}
	}
	return false
}

// Thirty processes of one machine are killed and started anew at once, with a list of 20000 room servers.
func TestCrashRestarts(t *testing.T) {
	// As it is deployed, without the race detector: that one's memory and time are no process's.
	program := filepath.Join(t.TempDir(), "cottonplank")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	long := listOfManyServers()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("from") != "1" {
			w.Write(long)
		}
		for req.URL.Query().Has("watch") && req.Context().Err() == nil {
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	discovery := strings.TrimPrefix(server.URL, "http://")

	t.Run("known, discovery down, torn state", func(t *testing.T) {
		f := newFleet(t, program, long)
		f.start(freeAddress(t)).kill()
		f.corruptRestartSockets()
		p := f.start(freeAddress(t))
		if !p.waitListed(0, manyServers) {
			t.Error("the list is not in force")
		}
		p.kill()
		for i := range manyProcesses {
			if torn := strings.Contains(p.log(i), "nothing was learned"); torn != (i%3 == 2) {
				t.Errorf("process %d logs:\n%.2000s", i, p.log(i))
			}
		}
		f.checkInvalidList()
	})
	t.Run("from discovery", func(t *testing.T) {
		f := newFleet(t, program, []byte(`{"generation":0,"reset":true,"instances":[]}`))
		f.start(discovery).kill()
		p := f.start(discovery)
		for i := range manyProcesses {
			if !p.waitListed(i, manyServers) {
				t.Errorf("process %d: the list is not in force, log:\n%.2000s", i, p.log(i))
			}
		}
	})
}

// corruptRestartSockets spoils what processes find of those that were killed: a path that nobody listens at, as it is; one where nobody
// answers; one whose process ends within a line of what it has learned.
func (f *processFleet) corruptRestartSockets() {
	f.t.Helper()
	for i, listen := range f.listen {
		path := hotrestart.SocketPath(f.dir, listen)
		if i%3 == 0 {
			if _, err := os.Stat(path); err != nil {
				f.t.Error(err) // the killed one has left none
			}
			continue
		}
		os.Remove(path)
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { l.Close() })
		if i%3 == 2 {
			go serveTruncatedState(l, listen)
		}
	}
}

// checkInvalidList: a torn list in the configuration is an error that names it, also where a process is started anew.
func (f *processFleet) checkInvalidList() {
	f.t.Helper()
	replaceFile(f.t, f.config, `{"name":"n3","listen":"127.0.0.1:0","seed":"8c","known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1"}]},
"settings":{"zone":"a","membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`)
	c := exec.Command(f.program, "serve")
	c.Env = append(os.Environ(), "PROXY_CONFIG="+f.config, "TMPDIR="+f.dir, "PROXY_DISCOVERY=127.0.0.1:1")
	if out, err := c.CombinedOutput(); err == nil || !strings.Contains(string(out), "known: list: instances[0]") {
		f.t.Errorf("a torn list: %v, %s", err, out)
	}
}

// serveTruncatedState hands its socket over and ends within a line of what it has learned.
func serveTruncatedState(l *net.UnixListener, listen string) {
	conn, err := l.AcceptUnix()
	if err != nil {
		return
	}
	defer conn.Close()
	l.Close()
	r := bufio.NewReader(conn)
	r.ReadString('\n') // TAKE
	clients, err := net.Listen("tcp", listen)
	if err != nil {
		return
	}
	defer clients.Close()
	file, err := clients.(*net.TCPListener).File()
	if err != nil {
		return
	}
	defer file.Close()
	conn.WriteMsgUnix([]byte("SOCKETS clients\r\n"), unix.UnixRights(int(file.Fd())), nil)
	r.ReadString('\n') // LEARNED
	io.WriteString(conn, "L {\"server\":\"s-1\"}\r\nL {\"ser")
}
