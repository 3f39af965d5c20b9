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

// serveEnvironment makes the test's program serve, so that tests can send signals to a process of its own.
const serveEnvironment = "COTTONPLANK_TEST_SERVE"

func TestMain(m *testing.M) {
	if os.Getenv(serveEnvironment) != "" {
		os.Exit(run([]string{"serve"}, os.Stdout, os.Stderr))
	}
	if arguments := os.Getenv(argumentsEnvironment); arguments != "" {
		os.Exit(run(strings.Fields(arguments), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestUsage(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	for _, v := range []struct {
		args   []string
		status int
		says   string
	}{
		{nil, 2, "Usage"}, {[]string{"dance"}, 2, `unknown command "dance"`}, {[]string{"serve", "x"}, 2, `"x"`},
		{[]string{"version", "-fronts", "f"}, 2, "fronts"}, {[]string{"check", "-x"}, 2, "-x"},
		{[]string{"check"}, 1, "PROXY_CONFIG is not set"}, {[]string{"serve"}, 1, "PROXY_CONFIG is not set"},
		{[]string{"version"}, 0, "cottonplank"},
	} {
		var out bytes.Buffer
		if status := run(v.args, &out, &out); status != v.status || !strings.Contains(out.String(), v.says) {
			t.Errorf("%q: status %d, output %q", v.args, status, out.String())
		}
	}
}

// The example of the fronts file is valid.
func TestCheckWithFronts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const text = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("PROXY_CONFIG", path)
	var out bytes.Buffer
	if status := run([]string{"check", "-fronts", "../../deploy/fronts.json"}, &out, &out); status != 0 ||
		!strings.Contains(out.String(), `quic "127.0.0.1:4433"`) || !strings.Contains(out.String(), "SIGHUP takes over: discovery") {
		t.Errorf("status %d, output %q", status, out.String())
	}
}

// startEmptyDiscovery is a stand-in that answers each call with an empty list and tells of it.
func startEmptyDiscovery(t *testing.T) (address string, calls chan string) {
	calls = make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, `{"generation":3,"reset":true,"instances":[]}`+"\n")
		w.(http.Flusher).Flush()
		calls <- req.URL.RawQuery
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// A reload is of all files or of none: a keys file that is faulty, or open to others, keeps the old discovery as well.
func TestReloadIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path, keys := filepath.Join(dir, "config.json"), filepath.Join(dir, "keys.json")
	replaceFile(t, path, `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`)
	t.Setenv("PROXY_CONFIG", path)
	resume := config.Sessions{KeysFile: keys, Site: "armor", TokenLifetime: time.Hour}
	var out bytes.Buffer
	if run([]string{"keys", "new", "--file", keys}, &out, &out) != 0 {
		t.Fatal(out.String())
	}
	ring, err := resume.LoadRing()
	if err != nil {
		t.Fatal(err)
	}
	resuming := platform.NewSessionResumer(platform.SessionLimits{Site: "armor", TokenLifetime: time.Hour, MaxBytes: 1, MaxMigrations: 1}, ring)
	log := logrus.New()
	log.SetOutput(io.Discard)
	t.Setenv("NOTIFY_SOCKET", "")
	notifier, err := sdnotify.NewNotifier(&sdnotify.Monitor{}, func() string { return "" }, log)
	if err != nil {
		t.Fatal(err)
	}
	hangup, taken, generations := make(chan os.Signal), make(chan string, 10), make(chan uint64, 10)
	rooms := filepath.Join(dir, "rooms.json")
	replaceFile(t, rooms, `{"rooms":[{"name":"s-1","address":"127.0.0.1:9","zone":"a"}]}`)
	first, err := filesource.Read(rooms)
	if err != nil {
		t.Fatal(err)
	}
	r := &reloader{fronts: config.Fronts{Sessions: resume, EndpointFile: rooms}, setDiscoveryAddress: func(address string) { taken <- address },
		sessions: resuming, reportGeneration: func(n uint64) { generations <- n }, notifier: notifier, log: log}
	go r.run(t.Context(), hangup)
	if n := <-generations; n != 1 {
		t.Errorf("generation %d at the start", n)
	}
	reload := func(want int) {
		t.Helper()
		hangup <- syscall.SIGHUP
		hangup <- syscall.SIGHUP // taken once the first is done with
		if n := len(taken); n < want || want == 0 && n > 0 {
			t.Errorf("%d taken over, want %d", n, want)
		}
		for len(taken) > 0 {
			<-taken
		}
	}
	reload(1)
	if err := os.Chmod(keys, 0o644); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // for the second of the two before
	for len(taken) > 0 {
		<-taken
	}
	reload(0)
	os.Remove(keys)
	reload(0)
	replaceFile(t, keys, `{"keys":[]}`)
	reload(0)
	for n := uint64(2); len(generations) > 0; n++ {
		if got := <-generations; got != n {
			t.Errorf("generation %d, want %d", got, n)
		}
	}

	// The list is one of the files: it is taken over with them, and a faulty one keeps them all.
	os.Remove(keys)
	if run([]string{"keys", "new", "--file", keys}, &out, &out) != 0 {
		t.Fatal(out.String())
	}
	got := make(chan core.EndpointUpdate, 10)
	r.endpointFile = filesource.New(rooms, first, updateRecorder(got), log)
	go r.endpointFile.Run(t.Context())
	replaceFile(t, rooms, `{"rooms":[]}`)
	if err := r.reload(t.Context()); err == nil || !strings.Contains(err.Error(), "rooms: 0") {
		t.Errorf("an empty list: %v", err)
	}
	replaceFile(t, rooms, `{"rooms":[{"name":"s-1","address":"127.0.0.1:9","zone":"a"},{"name":"s-2","address":"127.0.0.1:8","zone":"a"}]}`)
	if err := r.reload(t.Context()); err != nil {
		t.Error(err)
	}
	if list := <-got; len(list.Endpoints) != 2 {
		t.Errorf("taken over: %+v", list)
	}
}

// updateRecorder is a sink of lists.
type updateRecorder chan core.EndpointUpdate

func (r updateRecorder) EndpointsUpdated(list core.EndpointUpdate) { r <- list }
func (updateRecorder) WatchAlive(uint64)                           {}

// SIGHUP turns the running program to the discovery that the file now names, before PROXY_DISCOVERY; a client's
// connection stays. A faulty file changes nothing, and SIGHUP in a planned stop is harmless.
func TestReloadChangesDiscovery(t *testing.T) {
	first, firstCalls := startEmptyDiscovery(t)
	second, secondCalls := startEmptyDiscovery(t)
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c","settings":{"zone":"a","membership_mode":
"subscribe","rules":{"must_ask_in_s":0.2},"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1,"repeat":"idempotent"}]}}`, listen, discovery)
	}
	replaceFile(t, path, text(first))
	var logged bytes.Buffer
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_DISCOVERY="+first,
		"TMPDIR="+t.TempDir())
	program.Stderr = &logged
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	defer program.Process.Kill()
	hangUp := func() {
		if err := program.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	var client net.Conn
	var err error
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if client, err = net.Dial("tcp", listen); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(20 * time.Second))
	answers := bufio.NewReader(client)
	ping := func() {
		t.Helper()
		io.WriteString(client, "PING\r\n")
		if line, err := answers.ReadString('\n'); err != nil || line != "PONG\r\n" {
			t.Fatalf("PING brings %q, %v", line, err)
		}
	}
	called := func(calls chan string) {
		t.Helper()
		select {
		case <-calls:
		case <-time.After(20 * time.Second):
			t.Fatal("discovery was not asked")
		}
	}
	ping()
	called(firstCalls)
	replaceFile(t, path, `{"discovery":"nowhere"`)
	hangUp()
	ping()
	replaceFile(t, path, text(second))
	hangUp()
	hangUp()
	called(secondCalls)
	ping()
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	hangUp()
	client.Close()
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v, log:\n%s", err, &logged)
	}
}
