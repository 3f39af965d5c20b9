package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
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
	maxReadyTime  = 10 * time.Second // at most a tenth of the processes may take longer to be ready
	maxStartTime  = 30 * time.Second // no process may take longer
)

// listOfManyServers returns a discovery listing of manyServers room servers.
func listOfManyServers() []byte {
	var list bytes.Buffer
	list.WriteString(`{"generation":1,"reset":true,"instances":[`)
	for i := range manyServers {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `{"instanceId":"s-%08x","hostPort":"127.%d.%d.%d:9000","zone":"%c","machineType":"m2","cell":%d,`,
			i, 16+i>>14, i>>7&127, i&127, 'a'+i%3, i%12)
		list.WriteString(`"lifecycle":"active","weight":1.0,"startedAtMs":0}`)
	}
	list.WriteString("]}\n")
	return list.Bytes()
}

// processFleet is a fleet of processes that are started at the same time.
type processFleet struct {
	t                   *testing.T
	program             string
	config              string
	listen              [manyProcesses]string
	managementAddresses [manyProcesses]string
	dir                 string
}

func newFleet(t *testing.T, program string, known []byte) *processFleet {
	t.Helper()
	f := &processFleet{t: t, program: program, dir: t.TempDir()}
	f.config = filepath.Join(f.dir, "config.json")
	replaceFile(t, f.config, fmt.Sprintf(`{"name":"n3","seed":"8c","known":%s,"settings":{"zone":"a","balancers":%d,
"membership_mode":"subscribe","rules":{"must_ask_in_s":1},
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, known, manyProcesses))
	for i := range manyProcesses {
		// Each process has an IP address of its own. No client dials from these addresses, so that no client socket
		// takes a port before its process listens.
		host := fmt.Sprintf("127.9.0.%d", i+1)
		f.listen[i], f.managementAddresses[i] = freeAddressOn(t, host), freeAddressOn(t, host)
	}
	return f
}

// fleetRun is one start of all processes of a fleet.
type fleetRun struct {
	*processFleet
	commands   [manyProcesses]*exec.Cmd
	logFiles   [manyProcesses]string
	readyAfter [manyProcesses]time.Duration
}

// start starts all processes at once. It waits until each of them answers a health check at its client address, where
// the load balancer in front of the fleet also sends its health checks.
func (f *processFleet) start(discovery string) *fleetRun {
	f.t.Helper()
	run := &fleetRun{processFleet: f}
	f.t.Cleanup(run.kill)
	var starts sync.WaitGroup
	for i := range manyProcesses {
		start := time.Now()
		run.startProcess(i, discovery)
		starts.Go(func() {
			for time.Since(start) < maxStartTime && !answersPing(f.listen[i]) {
				time.Sleep(20 * time.Millisecond)
			}
			run.readyAfter[i] = time.Since(start)
		})
	}
	starts.Wait()
	last := run.checkReadyTimes()
	largest, sum := 0, 0
	for _, command := range run.commands {
		kib := peakRSS(command.Process.Pid)
		largest, sum = max(largest, kib), sum+kib
	}
	f.t.Logf("last process ready after %v; peak RSS: %d MiB largest, %d MiB sum", last.Round(time.Millisecond),
		largest>>10, sum>>10)
	return run
}

func (r *fleetRun) startProcess(i int, discovery string) {
	r.t.Helper()
	command := exec.Command(r.program, "serve")
	command.Env = append(os.Environ(), "PROXY_CONFIG="+r.config, "PROXY_LISTEN="+r.listen[i],
		"PROXY_MANAGEMENT="+r.managementAddresses[i], "PROXY_DISCOVERY="+discovery, "TMPDIR="+r.dir)
	r.logFiles[i] = filepath.Join(r.t.TempDir(), "log")
	logFile, err := os.Create(r.logFiles[i])
	if err != nil {
		r.t.Fatal(err)
	}
	defer logFile.Close()
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.commands[i] = command
}

// checkReadyTimes checks the start times against maxReadyTime and maxStartTime, and returns the longest.
func (r *fleetRun) checkReadyTimes() (last time.Duration) {
	r.t.Helper()
	late := 0
	for i, after := range r.readyAfter {
		last = max(last, after)
		if after > maxReadyTime {
			late++
			r.t.Logf("process %d was ready after %v, log:\n%.2000s", i, after, r.log(i))
		}
	}
	if late*10 > manyProcesses || last > maxStartTime {
		r.t.Errorf("%d of %d processes were ready after more than %v, the last one after %v", late, manyProcesses,
			maxReadyTime, last)
	}
	return last
}

func (r *fleetRun) log(i int) string {
	raw, err := os.ReadFile(r.logFiles[i])
	if err != nil {
		r.t.Error(err)
	}
	return string(raw)
}

// kill kills all processes, which simulates a crash.
func (r *fleetRun) kill() {
	for i, command := range r.commands {
		if command != nil {
			command.Process.Kill()
			command.Wait()
			r.commands[i] = nil
		}
	}
}

// answersPing reports whether a process answers the health check at its client address.
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

// peakRSS returns the largest resident set size of a process so far, 0 if the process has exited.
func peakRSS(pid int) (kib int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if match := peakPattern.FindSubmatch(raw); match != nil {
		fmt.Sscan(string(match[1]), &kib)
	}
	return kib
}

// waitListed waits until a process lists this number of room servers. It reports false after maxReadyTime.
func (r *fleetRun) waitListed(i, servers int) bool {
	p := &process{t: r.t, management: r.managementAddresses[i]}
	for end := time.Now().Add(maxReadyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if strings.Contains(p.call("INFO"), fmt.Sprintf("svc.registry_entries=%d\r\n", servers)) {
			return true
		}
	}
	return false
}

// Guards against processes that take long to become ready: thirty on one machine crash and restart at the same time,
// each with a list of 20,000 room servers. At the path of its Unix socket for hot restarts, a restarted process finds
// the crashed process's socket, the socket of a process that never answers, or that of a process that exits in the
// middle of its answer.
func TestCrashRestarts(t *testing.T) {
	// The program is built without the race detector, which would add to the start times and the memory.
	program := filepath.Join(t.TempDir(), "cottonplank")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	list := listOfManyServers()

	t.Run("known list, corrupt state", func(t *testing.T) {
		f := newFleet(t, program, list)
		f.start(freeAddress(t)).kill()
		f.corruptRestartSockets()
		run := f.start(freeAddress(t))
		if !run.waitListed(0, manyServers) {
			t.Error("the process does not use the list")
		}
		run.kill()
		for i := range manyProcesses {
			if truncated := strings.Contains(run.log(i), "no learned state from the previous process"); truncated != (i%3 == 2) {
				t.Errorf("process %d: missing or unexpected warning about learned state, log:\n%.2000s", i, run.log(i))
			}
		}
		f.checkInvalidList()
	})
	t.Run("from discovery", func(t *testing.T) {
		discovery := startHTTPServer(t, serveList(list))
		f := newFleet(t, program, []byte(`{"generation":0,"reset":true,"instances":[]}`))
		f.start(discovery).kill()
		run := f.start(discovery)
		for i := range manyProcesses {
			if !run.waitListed(i, manyServers) {
				t.Errorf("process %d does not use the list, log:\n%.2000s", i, run.log(i))
			}
		}
	})
}

// serveList is a discovery service whose list never changes and has generation 1. Each call receives the list, unless
// it asks for the changes since generation 1. A watch then receives a heartbeat per second.
func serveList(list []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("from") != "1" {
			w.Write(list)
		}
		for req.URL.Query().Has("watch") && req.Context().Err() == nil {
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// corruptRestartSockets prepares the Unix sockets of hot restarts, which the next processes find. A third stay as the
// killed processes left them. A third have a listener that never answers. A third have a process that exits in the
// middle of a line of its learned state.
func (f *processFleet) corruptRestartSockets() {
	f.t.Helper()
	for i, listen := range f.listen {
		path := hotrestart.SocketPath(f.dir, listen)
		if i%3 == 0 {
			if _, err := os.Stat(path); err != nil {
				f.t.Error(err) // the killed process left no Unix socket behind
			}
			continue
		}
		os.Remove(path)
		listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { listener.Close() })
		if i%3 == 2 {
			go serveTruncatedState(listener, listen)
		}
	}
}

// checkInvalidList checks that a process does not start with an invalid endpoint list in its configuration, and that
// the error names the key. The process has the same TMPDIR as the crashed ones.
func (f *processFleet) checkInvalidList() {
	f.t.Helper()
	replaceFile(f.t, f.config, `{"name":"n3","listen":"127.0.0.1:0","seed":"8c",
"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1"}]},
"settings":{"zone":"a","membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`)
	command := exec.Command(f.program, "serve")
	command.Env = append(os.Environ(), "PROXY_CONFIG="+f.config, "TMPDIR="+f.dir, "PROXY_DISCOVERY=127.0.0.1:1")
	out, err := command.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "known: list: instances[0]") {
		f.t.Errorf("an invalid list: %v, %s", err, out)
	}
}

// serveTruncatedState acts as a process that passes its socket on and exits in the middle of a line of its learned
// state.
func serveTruncatedState(listener *net.UnixListener, listen string) {
	conn, err := listener.AcceptUnix()
	if err != nil {
		return
	}
	defer conn.Close()
	listener.Close()
	reader := bufio.NewReader(conn)
	reader.ReadString('\n') // TAKE
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
	reader.ReadString('\n') // LEARNED
	io.WriteString(conn, "L {\"server\":\"s-1\"}\r\nL {\"ser")
}
