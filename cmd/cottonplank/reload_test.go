package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/operations/sdnotify"

	"github.com/sirupsen/logrus"
)

// updateRecorder is a core.UpdateHandler that sends each update to a channel.
type updateRecorder chan core.EndpointUpdate

func (r updateRecorder) EndpointsUpdated(update core.EndpointUpdate) { r <- update }
func (updateRecorder) WatchAlive(uint64)                             {}

// reloadTest is a reloader with its files, and with channels that record the values that it applies.
type reloadTest struct {
	*testing.T
	reloader     *reloader
	keysFile     string
	endpointFile string
	hangup       chan os.Signal
	addresses    chan string // discovery addresses in the order of application
	generations  chan uint64
}

// Contents of endpoint files.
const (
	oneEndpoint  = `{"rooms":[{"name":"s-1","address":"127.0.0.1:9","zone":"a"}]}`
	twoEndpoints = `{"rooms":[{"name":"s-1","address":"127.0.0.1:9","zone":"a"},
{"name":"s-2","address":"127.0.0.1:8","zone":"a"}]}`
)

func newReloadTest(t *testing.T) *reloadTest {
	dir := t.TempDir()
	r := &reloadTest{T: t, keysFile: filepath.Join(dir, "keys.json"), endpointFile: filepath.Join(dir, "rooms.json"),
		hangup: make(chan os.Signal), addresses: make(chan string, 10), generations: make(chan uint64, 10)}
	path := filepath.Join(dir, "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	t.Setenv("NOTIFY_SOCKET", "")
	createTestKey(t, r.keysFile)
	replaceFile(t, r.endpointFile, oneEndpoint)
	settings := config.Sessions{KeysFile: r.keysFile, Site: "armor", TokenLifetime: time.Hour}
	ring, err := settings.LoadRing()
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	notifier, err := sdnotify.NewNotifier(&sdnotify.Monitor{}, func() string { return "" }, log)
	if err != nil {
		t.Fatal(err)
	}
	limits := platform.SessionLimits{Site: "armor", TokenLifetime: time.Hour, MaxBytes: 1, MaxMigrations: 1}
	r.reloader = &reloader{
		fronts:              config.Fronts{Sessions: settings, EndpointFile: r.endpointFile},
		setDiscoveryAddress: func(address string) { r.addresses <- address },
		sessions:            platform.NewSessionResumer(limits, ring),
		reportGeneration:    func(generation uint64) { r.generations <- generation },
		notifier:            notifier,
		log:                 log,
	}
	return r
}

// reload sends two signals and checks that at least want discovery addresses were applied, or none if want is 0. The
// second reload may still be in progress when it returns.
func (r *reloadTest) reload(want int) {
	r.Helper()
	r.hangup <- syscall.SIGHUP
	r.hangup <- syscall.SIGHUP // received after the first reload has finished
	if n := len(r.addresses); n < want || want == 0 && n > 0 {
		r.Errorf("%d discovery addresses applied, want at least %d, or none for 0", n, want)
	}
	r.discardAddresses()
}

func (r *reloadTest) discardAddresses() {
	for len(r.addresses) > 0 {
		<-r.addresses
	}
}

// Guards against a reload that applies some of its files when another one is invalid. If the keys file is invalid,
// missing or accessible to other users, the discovery address is not applied.
func TestReloadIsAtomic(t *testing.T) {
	r := newReloadTest(t)
	first, err := filesource.Read(r.endpointFile)
	if err != nil {
		t.Fatal(err)
	}
	go r.reloader.run(t.Context(), r.hangup)
	if generation := <-r.generations; generation != 1 {
		t.Errorf("generation %d at the start", generation)
	}
	r.reload(1)
	if err := os.Chmod(r.keysFile, 0o644); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // lets the second of the two earlier reloads finish
	r.discardAddresses()
	r.reload(0)
	os.Remove(r.keysFile)
	r.reload(0)
	replaceFile(t, r.keysFile, `{"keys":[]}`)
	r.reload(0)
	for want := uint64(2); len(r.generations) > 0; want++ {
		if got := <-r.generations; got != want {
			t.Errorf("generation %d, want %d", got, want)
		}
	}

	// The endpoint file belongs to the reload: an invalid one makes it fail.
	os.Remove(r.keysFile)
	createTestKey(t, r.keysFile)
	updates := make(updateRecorder, 10)
	r.reloader.endpointFile = filesource.New(r.endpointFile, first, updates, r.reloader.log)
	go r.reloader.endpointFile.Run(t.Context())
	replaceFile(t, r.endpointFile, `{"rooms":[]}`)
	if err := r.reloader.reload(t.Context()); err == nil || !strings.Contains(err.Error(), "rooms: 0") {
		t.Errorf("reload with an empty list: %v", err)
	}
	replaceFile(t, r.endpointFile, twoEndpoints)
	if err := r.reloader.reload(t.Context()); err != nil {
		t.Error(err)
	}
	if update := <-updates; len(update.Endpoints) != 2 {
		t.Errorf("applied update: %+v, want 2 endpoints", update)
	}
}

// At SIGHUP the running program switches to the discovery address in the configuration file. PROXY_DISCOVERY, which
// overrides the file at the start, is ignored then. Client connections stay open. An invalid file changes nothing. A
// SIGHUP during a graceful shutdown does not end the process early.
func TestReloadChangesDiscovery(t *testing.T) {
	first, firstCalls := startEmptyDiscovery(t)
	second, secondCalls := startEmptyDiscovery(t)
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configWith := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","rules":{"must_ask_in_s":0.2},
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1,"repeat":"idempotent"}]}}`, listen, discovery)
	}
	replaceFile(t, path, configWith(first))
	p := startProcess(t, "", serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_DISCOVERY="+first,
		"TMPDIR="+t.TempDir())
	client := dialWhenListening(t, listen)
	defer client.Close()
	responses := bufio.NewReader(client)
	ping := func() {
		t.Helper()
		io.WriteString(client, "PING\r\n")
		if line, err := responses.ReadString('\n'); err != nil || line != "PONG\r\n" {
			t.Fatalf("response to PING: %q, %v", line, err)
		}
	}
	waitCall := func(calls chan string) {
		t.Helper()
		select {
		case <-calls:
		case <-time.After(testTimeout):
			t.Fatal("discovery was not polled")
		}
	}
	ping()
	waitCall(firstCalls)
	replaceFile(t, path, `{"discovery":"nowhere"`)
	p.signal(syscall.SIGHUP)
	ping()
	replaceFile(t, path, configWith(second))
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGHUP)
	waitCall(secondCalls)
	ping()
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	client.Close()
	if err := p.command.Wait(); err != nil {
		t.Errorf("exited with %v, log:\n%s", err, p.logs)
	}
}

// dialWhenListening retries to connect until a process listens at the address.
func dialWhenListening(t *testing.T, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		client, err := net.Dial("tcp", address)
		if err == nil {
			client.SetDeadline(time.Now().Add(testTimeout))
			return client
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
