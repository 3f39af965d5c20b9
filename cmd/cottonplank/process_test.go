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

	"cottonplank/internal/operations/management"
)

// testTimeout bounds the waits of the tests, except those with a limit of their own.
const testTimeout = 20 * time.Second

// Environment variables that make the test binary run the program instead of the tests. A test starts it as a separate
// process, to which it can send signals.
const (
	serveEnvironment     = "COTTONPLANK_TEST_SERVE"     // if not empty, run the command serve
	argumentsEnvironment = "COTTONPLANK_TEST_ARGUMENTS" // if not empty, run the program with these arguments
)

func TestMain(m *testing.M) {
	if os.Getenv(serveEnvironment) != "" {
		os.Exit(run([]string{"serve"}, os.Stdout, os.Stderr))
	}
	if arguments := os.Getenv(argumentsEnvironment); arguments != "" {
		os.Exit(run(strings.Fields(arguments), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// validConfig is a minimal configuration file.
const validConfig = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c",
"settings":{"zone":"a","membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`

// freeAddress returns an address of 127.0.0.1 with a port that is not in use.
func freeAddress(t testing.TB) string {
	t.Helper()
	return freeAddressOn(t, "127.0.0.1")
}

// reservedAddress returns an address with a port that is not in use. Client sockets have another IP address, so that
// none takes this port before the process listens.
func reservedAddress(t testing.TB) string {
	t.Helper()
	return freeAddressOn(t, "127.78.0.1")
}

// drawnAddresses holds the addresses that freeAddressOn has returned.
var drawnAddresses sync.Map

// freeAddressOn returns an address of the host with a port that is not in use. It returns no address twice.
func freeAddressOn(t testing.TB, host string) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listener.Close()
		if _, drawn := drawnAddresses.LoadOrStore(address, true); !drawn {
			return address
		}
	}
}

// Guards against two listeners with one address: the kernel may choose a port again as soon as its listener is closed.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const draws = 2000
	drawn := map[string]bool{}
	for range draws {
		drawn[freeAddressOn(t, "127.79.0.1")] = true
	}
	if len(drawn) != draws {
		t.Errorf("%d different addresses in %d draws, want %d", len(drawn), draws, draws)
	}
}

// replaceFile writes a file atomically, so that no process reads an incomplete one.
func replaceFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// runCommand executes a command of the program within the test's own process.
func runCommand(args ...string) (status int, output string) {
	var out bytes.Buffer
	status = run(args, &out, &out)
	return status, out.String()
}

// createTestKey adds a key to a keys file.
func createTestKey(t testing.TB, file string) {
	t.Helper()
	if status, output := runCommand("keys", "new", "--file", file); status != 0 {
		t.Fatal(output)
	}
}

// startTCPServer starts a server that calls handle for each connection, and returns its address.
func startTCPServer(t *testing.T, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startEchoServer starts a room server that accepts each OPEN request and echoes every other line.
func startEchoServer(t *testing.T) (address string) {
	return startTCPServer(t, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			text, err := reader.ReadString('\n')
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

// startHTTPServer starts an HTTP server and returns its address. The server and its connections are closed at the end
// of the test.
func startHTTPServer(t *testing.T, handler http.HandlerFunc) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// startEmptyDiscovery starts a discovery service that answers each call with an empty list and keeps a watch open. It
// sends the query string of each call to calls.
func startEmptyDiscovery(t *testing.T) (address string, calls chan string) {
	calls = make(chan string, 100)
	address = startHTTPServer(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, `{"generation":3,"reset":true,"instances":[]}`+"\n")
		w.(http.Flusher).Flush()
		calls <- req.URL.RawQuery
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	})
	return address, calls
}

// deployment holds the addresses and settings that the balancer processes of one test share.
type deployment struct {
	t      *testing.T
	dir    string
	listen string // client address
	server string // room server's address
	seed   string
	lastID int // last request ID that was used
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{t: t, dir: t.TempDir(), listen: freeAddress(t), server: startEchoServer(t), seed: "8c"}
}

// startDiscovery starts a discovery service that lists the room server and keeps a watch open. If hangs is true, it
// never answers.
func (d *deployment) startDiscovery(hangs bool) (address string) {
	list := fmt.Sprintf(`{"generation":3,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a",`+
		`"lifecycle":"active"}]}`, d.server)
	return startHTTPServer(d.t, func(w http.ResponseWriter, req *http.Request) {
		if !hangs {
			fmt.Fprintln(w, list)
			w.(http.Flusher).Flush()
		}
		if hangs || req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	})
}

// start starts a balancer process. If one of the deployment is running, the new one replaces it in a hot restart.
// environment follows the environment variables that are always set, and overrides them.
func (d *deployment) start(discovery string, environment ...string) *process {
	d.t.Helper()
	path := filepath.Join(d.dir, "config.json")
	replaceFile(d.t, path, fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":%q,
"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},
"settings":{"zone":"a","membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`,
		d.listen, discovery, d.seed, d.server))
	always := []string{serveEnvironment + "=1", "PROXY_CONFIG=" + path, "TMPDIR=" + d.dir}
	return startProcess(d.t, freeAddress(d.t), append(always, environment...)...)
}

// process is a balancer that runs in a separate process.
type process struct {
	t          *testing.T
	command    *exec.Cmd
	management string
	logs       *bytes.Buffer // may be read after the process has exited
}

// startProcess starts the program in a separate process, which is killed at the end of the test.
func startProcess(t *testing.T, managementAddress string, environment ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(os.Args[0]), management: managementAddress, logs: &bytes.Buffer{}}
	p.command.Env = append(os.Environ(), environment...)
	if managementAddress != "" {
		p.command.Env = append(p.command.Env, "PROXY_MANAGEMENT="+managementAddress)
	}
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.command.Process.Kill()
		p.command.Wait()
	})
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitReady waits until the process reports the state serving.
func (p *process) waitReady() *process {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.call("PING") == "200 serving\r\n" {
			return p
		}
	}
	p.t.Fatal("the process does not become ready")
	return nil
}

// call sends a command to the management address and returns the response. It returns an empty string if the process
// does not answer.
func (p *process) call(command string) string {
	conn, err := net.Dial("tcp", p.management)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, command+"\r\n")
	response, _ := io.ReadAll(conn)
	return string(response)
}

// metrics returns the metrics of INFO. It returns an empty map if the process does not answer.
func (p *process) metrics() map[string]uint64 {
	metrics, err := management.QueryMetrics(p.t.Context(), p.management)
	if err != nil {
		return map[string]uint64{}
	}
	return metrics
}

// waitListed waits until the process lists this number of room servers, and returns how long that took. It fails the
// test after 2*testTimeout, with Errorf instead of Fatalf, because one test calls it from goroutines of its own.
func (p *process) waitListed(servers int) time.Duration {
	p.t.Helper()
	start := time.Now()
	for !strings.Contains(p.call("INFO"), fmt.Sprintf("svc.registry_entries=%d\r\n", servers)) {
		if time.Since(start) > 2*testTimeout {
			p.t.Errorf("the process does not list %d room servers", servers)
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// waitExit waits until the process has exited, and checks that its exit status is 0.
func (p *process) waitExit() {
	p.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.command.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.t.Errorf("exited with %v, log:\n%s", err, p.logs)
		}
	case <-time.After(testTimeout):
		p.t.Error("the process does not exit")
	}
}

// openDescriptors counts the process's open file descriptors.
func (p *process) openDescriptors() int {
	p.t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(descriptors)
}

// testClient is a client connection.
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

// open returns a client connection that is established with the room server.
func (d *deployment) open() testClient {
	d.t.Helper()
	client := d.dial()
	d.sendOpen(client)
	return client
}

// sendOpen sends a request on the client connection and checks that it gets established.
func (d *deployment) sendOpen(client testClient) {
	d.t.Helper()
	d.exchange(client, d.openLine(), "UP receipt")
}

// openLine returns a request line with a new ID, without a line terminator.
func (d *deployment) openLine() string {
	d.lastID++
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=2000", d.lastID)
}

// exchange sends a line and checks the response.
func (d *deployment) exchange(client testClient, text, want string) {
	d.t.Helper()
	if _, err := io.WriteString(client, text+"\r\n"); err != nil {
		d.t.Fatal(err)
	}
	if line, err := client.reader.ReadString('\n'); err != nil || line != want+"\r\n" {
		d.t.Fatalf("response to %q: %q, %v, want %q", text, line, err, want)
	}
}

// expectMigrate checks that the client receives MOVE, the request to reconnect, and closes the connection.
func (d *deployment) expectMigrate(client testClient) {
	d.t.Helper()
	if line, err := client.reader.ReadString('\n'); err != nil || line != "MOVE\r\n" {
		d.t.Errorf("the established connection received %q, %v, want MOVE", line, err)
	}
	client.Close()
}
