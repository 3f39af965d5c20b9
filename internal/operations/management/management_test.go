package management

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/fuzzcorpus"
	"cottonplank/internal/testbench/stub"

	"github.com/sirupsen/logrus"
)

// testTimeout is the timeout of each connection, so that no test hangs.
const testTimeout = 20 * time.Second

// startServer starts an engine and a server that keeps at most maxConns connections open, and returns the address of
// the server.
func startServer(t *testing.T, maxConns int) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine, err := core.New(core.Config{
		MaxClients: 9,
		Log:        func(string) {},
		Settings: decide.Settings{Zone: "a", Classes: []decide.Class{
			{Name: "solo-play", LatencyObjective: time.Second},
			{Name: "team-play", LatencyObjective: time.Second},
		}},
		Known: []core.Endpoint{
			{Name: "s-1", Server: decide.Server{ID: 1, Zone: "a", State: decide.Draining}},
			{Name: "s-2", Server: decide.Server{ID: 2, Zone: "a"}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, stub.Prober{}, stub.Discovery{}) })
	server := New(engine, []string{"solo-play", "team-play"}, maxConns, log)
	running.Go(func() { server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
	engine.CurrentSnapshot(10 * time.Second) // waits until the engine has left state Starting
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// request sends a request over a new connection and returns the whole response.
func request(t *testing.T, address, text string) string {
	t.Helper()
	conn := dial(t, address)
	io.WriteString(conn, text)
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return string(response)
}

// The commands are sent sequentially to the same instance, so each command depends on the service state that the
// previous command left.
func TestCommands(t *testing.T) {
	t.Parallel()
	address := startServer(t, 20)
	for _, test := range []struct{ request, status string }{
		{"PING\r\n", "200"},
		{"PING\n", "200"},
		{"REJOIN\r\n", "200"},
		{"LAMEDUCK\r\n", "200"},
		{"LAMEDUCK\r\n", "200"},
		{"PING\r\n", "400"},
		{"REJOIN\r\n", "200"},
		{"PING\r\n", "200"},
		{"ping\r\n", "400"},
		{"PING x\r\n", "400"},
		{"\r\n", "400"},
		{"DANCE\r\n", "400"},
		{strings.Repeat("x", 5000) + "\r\n", "400"},
	} {
		got := request(t, address, test.request)
		if !strings.HasPrefix(got, test.status+" ") || strings.Count(got, "\r\n") != 1 || !strings.HasSuffix(got, "\r\n") {
			t.Errorf("%.20q: response %q, want one line with status %s", test.request, got, test.status)
		}
	}
	const want = "200 figures\r\nsvc.fulfilled.solo-play=0\r\nsvc.throttled.solo-play=0\r\nsvc.faulted.solo-play=0\r\n" +
		"svc.relayed.solo-play=0\r\nsvc.fulfilled.team-play=0\r\nsvc.throttled.team-play=0\r\nsvc.faulted.team-play=0\r\n" +
		"svc.relayed.team-play=0\r\nsvc.open_requests=0\r\nsvc.registry_entries=2\r\nsvc.out_of_rotation=1\r\nEOF\r\n"
	if got := request(t, address, "INFO\r\n"); got != want {
		t.Errorf("INFO: response %q, want %q", got, want)
	}
}

// INFO has the counters of session tokens only if resuming sessions is enabled.
func TestSessionMetrics(t *testing.T) {
	snapshot := &core.Snapshot{SessionsEnabled: true, Generation: 4}
	snapshot.TokensIssued, snapshot.Resumed = 3, 2
	snapshot.StartedOver = map[core.Reason]uint64{"gone": 4, "forged": 5}
	server := New(nil, nil, 1, nil)
	for _, want := range []string{"svc.tokens_given=3\r\n", "svc.resumed=2\r\n", "svc.started_over.gone=4\r\n",
		"svc.token_refused.forged=5\r\n", "svc.started_over.late=0\r\n", "svc.generation=4\r\n"} {
		if got := server.formatMetrics(snapshot); !strings.Contains(got, want) {
			t.Errorf("response %q does not contain %q", got, want)
		}
	}
	snapshot.SessionsEnabled = false
	if strings.Contains(server.formatMetrics(snapshot), "token") {
		t.Error("token metrics are reported though resuming sessions is disabled")
	}
}

// The names of the metrics in INFO and their order are part of the management protocol, so they must not change.
func TestMetricOrder(t *testing.T) {
	snapshot := &core.Snapshot{SessionsEnabled: true, Generation: 6, Waiting: 11, Established: 1, Listed: 13, Ejected: 14,
		Classes: []core.ClassCounters{{Served: 1, Rejected: 2, Failed: 3, Attempts: 4}}}
	snapshot.TokensIssued, snapshot.TokensUnsealed, snapshot.Resumed = 7, 8, 9
	server := New(nil, []string{"a"}, 1, nil)
	server.AddMetrics(func() []Metric { return []Metric{{Name: "extra", Value: 10}} })
	got := server.formatMetrics(snapshot)
	const first = "200 figures\r\nsvc.fulfilled.a=1\r\nsvc.throttled.a=2\r\nsvc.faulted.a=3\r\nsvc.relayed.a=4\r\n" +
		"svc.generation=6\r\nsvc.tokens_given=7\r\nsvc.tokens_unsealed=8\r\nsvc.resumed=9\r\nsvc."
	const last = "=0\r\nsvc.extra=10\r\nsvc.open_requests=12\r\nsvc.registry_entries=13\r\nsvc.out_of_rotation=14\r\nEOF"
	if !strings.HasPrefix(got, first) {
		t.Errorf("response %q does not begin with %q", got, first)
	}
	if !strings.HasSuffix(got, last) {
		t.Errorf("response %q does not end with %q", got, last)
	}
}

// Connections that send nothing, or an incomplete request, do not delay other connections, however many there are. The
// server closes them.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	address := startServer(t, 3)
	var silent []net.Conn
	for i := range 12 {
		conn := dial(t, address)
		if i%2 == 0 {
			io.WriteString(conn, "PIN")
		}
		silent = append(silent, conn)
		if got := request(t, address, "PING\r\n"); !strings.HasPrefix(got, "200") {
			t.Fatalf("PING: response %q, want status 200", got)
		}
	}
	for _, conn := range silent {
		var timeout net.Error
		if err := readUntilError(conn); errors.As(err, &timeout) && timeout.Timeout() {
			t.Error("a connection without a complete request was not closed")
		}
	}
}

// readUntilError discards lines until the connection ends or its deadline passes, and returns the error.
func readUntilError(conn net.Conn) error {
	for reader := bufio.NewReader(conn); ; {
		if _, err := reader.ReadString('\n'); err != nil {
			return err
		}
	}
}

// parseCommand accepts exactly the four commands, without other spellings or arguments.
func FuzzParseCommand(f *testing.F) {
	commands := map[string]bool{"PING": true, "INFO": true, "LAMEDUCK": true, "REJOIN": true}
	fuzzcorpus.Add(f, []byte("PING"), []byte("INFO"), []byte("LAMEDUCK"), []byte("REJOIN"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := parseCommand(string(raw))
		if commands[string(raw)] != (err == nil) || err == nil && string(got) != string(raw) {
			t.Errorf("%q is parsed as %q, %v", raw, got, err)
		}
	})
}
