package management

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/fuzzcorpus"

	"github.com/sirupsen/logrus"
)

type discardPlatform struct{}

func (discardPlatform) Probe(context.Context, uint64, core.Upstream) {}
func (discardPlatform) Remove(decide.ServerID)                       {}
func (discardPlatform) Watch(context.Context, uint64)                {}
func (discardPlatform) Fetch(context.Context)                        {}
func (discardPlatform) SetAddress(string)                            {}

// startServer returns the address of a server that holds most callers.
func startServer(t *testing.T, most int) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	module, err := core.New(core.Config{MaxClients: 9, Log: func(string) {}, Settings: decide.Settings{Zone: "a",
		Classes: []decide.Class{{Name: "solo-play", LatencyObjective: time.Second}, {Name: "team-play", LatencyObjective: time.Second}}},
		Known: []core.Endpoint{{Name: "s-1", Server: decide.Server{ID: 1, Zone: "a", State: decide.Draining}},
			{Name: "s-2", Server: decide.Server{ID: 2, Zone: "a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { module.Run(ctx, discardPlatform{}, discardPlatform{}) })
	server := New(module, []string{"solo-play", "team-play"}, most, log)
	running.Go(func() { server.Serve(ctx, l) })
	t.Cleanup(func() { cancel(); running.Wait() })
	module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
	module.CurrentSnapshot(10 * time.Second)
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // so that no test hangs
	return conn
}

// request makes one call and reads all that comes.
func request(t *testing.T, address, call string) string {
	t.Helper()
	conn := dial(t, address)
	io.WriteString(conn, call)
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%q: %v", call, err)
	}
	return string(answer)
}

func TestCommands(t *testing.T) {
	t.Parallel()
	address := startServer(t, 20)
	for _, v := range []struct{ call, want string }{
		{"PING\r\n", "200"}, {"PING\n", "200"}, {"REJOIN\r\n", "200"}, {"LAMEDUCK\r\n", "200"}, {"LAMEDUCK\r\n", "200"},
		{"PING\r\n", "400"}, {"REJOIN\r\n", "200"}, {"PING\r\n", "200"}, {"ping\r\n", "400"}, {"PING x\r\n", "400"},
		{"\r\n", "400"}, {"DANCE\r\n", "400"}, {strings.Repeat("x", 5000) + "\r\n", "400"},
	} {
		got := request(t, address, v.call)
		if !strings.HasPrefix(got, v.want+" ") || strings.Count(got, "\r\n") != 1 || !strings.HasSuffix(got, "\r\n") {
			t.Errorf("%.20q brings %q, want one line with %s", v.call, got, v.want)
		}
	}
	const want = "200 figures\r\nsvc.fulfilled.solo-play=0\r\nsvc.throttled.solo-play=0\r\nsvc.faulted.solo-play=0\r\n" +
		"svc.relayed.solo-play=0\r\nsvc.fulfilled.team-play=0\r\nsvc.throttled.team-play=0\r\nsvc.faulted.team-play=0\r\n" +
		"svc.relayed.team-play=0\r\nsvc.open_requests=0\r\nsvc.registry_entries=2\r\nsvc.out_of_rotation=1\r\nEOF\r\n"
	if got := request(t, address, "INFO\r\n"); got != want {
		t.Errorf("INFO brings %q, want %q", got, want)
	}
}

// What came of tokens is told where sessions are resumed, and only there.
func TestSessionMetrics(t *testing.T) {
	s := &core.Snapshot{SessionsEnabled: true, Generation: 4}
	s.TokensIssued, s.Resumed, s.StartedOver = 3, 2, map[core.Reason]uint64{"gone": 4, "forged": 5}
	server := New(nil, nil, 1, nil)
	for _, want := range []string{"svc.tokens_given=3\r\n", "svc.resumed=2\r\n", "svc.started_over.gone=4\r\n",
		"svc.token_refused.forged=5\r\n", "svc.started_over.late=0\r\n", "svc.generation=4\r\n"} {
		if got := server.formatMetrics(s); !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	if s.SessionsEnabled = false; strings.Contains(server.formatMetrics(s), "token") {
		t.Error("told where it is off")
	}
}

// Callers that send nothing, or half a call, hold up nobody, however many they are, and are put out.
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
			t.Fatalf("PING brings %q", got)
		}
	}
	for _, conn := range silent {
		for r := bufio.NewReader(conn); ; {
			if _, err := r.ReadString('\n'); err != nil {
				if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
					t.Error("a silent caller is not put out")
				}
				break
			}
		}
	}
}

// What is taken as a call is one of the four, to the letter.
func FuzzParseCommand(f *testing.F) {
	fuzzcorpus.Add(f, []byte("PING"), []byte("INFO"), []byte("LAMEDUCK"), []byte("REJOIN"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := parseCommand(string(raw))
		if known := strings.Contains(" PING INFO LAMEDUCK REJOIN ", " "+string(raw)+" ") && !strings.Contains(string(raw), " ") &&
			len(raw) > 0; known != (err == nil) || err == nil && string(c) != string(raw) {
			t.Errorf("%q is taken as %q, %v", raw, c, err)
		}
	})
}
