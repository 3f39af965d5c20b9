package sdnotify_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/operations/sdnotify"
	"cottonplank/internal/testbench/stub"

	"github.com/sirupsen/logrus"
)

// blockingBackend is a prober and a receiver of endpoint lists. The methods below block until released is closed.
type blockingBackend struct {
	stub.Prober
	stub.Discovery
	released chan struct{}
}

func (b blockingBackend) Remove(decide.ServerID)               { <-b.released }
func (b blockingBackend) EndpointsUpdated(core.EndpointUpdate) { <-b.released }
func (b blockingBackend) WatchAlive(uint64)                    { <-b.released }

// limit is how long a task may be busy before it counts as stuck.
const limit = 100 * time.Millisecond

// waitForStuck waits until exactly the given tasks are stuck.
func waitForStuck(t *testing.T, monitor *sdnotify.Monitor, want ...string) {
	t.Helper()
	var got []string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got = monitor.StuckTasks(time.Now(), limit); slices.Equal(got, want) {
			return
		}
	}
	t.Fatalf("stuck tasks %q, want %q", got, want)
}

// An engine that is blocked by a call counts as stuck. The frontend passes its connections to the engine. Once the
// engine's inbox is full, the frontend blocks and counts as stuck too. Both recover when the call returns. The test
// uses the real event loops, to check that they mark the beginning and the end of their iterations.
func TestEngineAndFrontendStuck(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	monitor := &sdnotify.Monitor{}
	engine, err := core.New(core.Config{
		MaxClients: 10,
		Log:        func(string) {},
		Watchdog:   monitor.AddTask("engine"),
		Settings: decide.Settings{
			Zone:    "a",
			Classes: []decide.Class{{Name: "solo-play", LatencyObjective: time.Second}},
		},
		Known: []core.Endpoint{{Name: "s-1", Server: decide.Server{ID: 1, Zone: "a"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frontend := platform.New(engine, platform.AllowedNames{}, platform.DescriptorBudget{Total: 9000, DialReserve: 10}, log)
	frontend.SetWatchdog(monitor.AddTask("frontend"))
	prober := blockingBackend{released: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, prober, stub.Discovery{}) })
	running.Go(func() { frontend.Serve(ctx, l, hotrestart.NewPauser(l.SetDeadline)) })
	defer func() { cancel(); running.Wait() }()
	time.Sleep(2 * limit)
	waitForStuck(t, monitor)
	// Removing the only server calls the prober, which blocks.
	engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot})
	waitForStuck(t, monitor, "engine")
	var conns []net.Conn
	for len(monitor.StuckTasks(time.Now(), limit)) < 2 && len(conns) < 4000 { // until the engine's inbox is full
		conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	waitForStuck(t, monitor, "engine", "frontend")
	close(prober.released)
	waitForStuck(t, monitor)
	for _, conn := range conns {
		conn.Close()
	}
}

// An HTTP list source counts as stuck while the receiver of its updates blocks, and recovers afterwards.
func TestListSourceStuck(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"generation":3,"reset":true,"instances":[]}`+"\n")
	}))
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	monitor := &sdnotify.Monitor{}
	sink := blockingBackend{released: make(chan struct{})}
	list := httpsource.New(strings.TrimPrefix(server.URL, "http://"), 0, sink, log)
	list.SetWatchdog(monitor.AddTask("list"))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { list.Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	list.Fetch(ctx)
	waitForStuck(t, monitor, "list")
	close(sink.released)
	waitForStuck(t, monitor)
}
