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

	"github.com/sirupsen/logrus"
)

type nothing struct{}

func (nothing) Probe(context.Context, uint64, core.Upstream) {}
func (nothing) Remove(decide.ServerID)                       {}
func (nothing) Watch(context.Context, uint64)                {}
func (nothing) Fetch(context.Context)                        {}
func (nothing) SetAddress(string)                            {}

// blocks is a prober and a sink that holds up whoever calls it until it is released.
type blocks struct {
	nothing
	released chan struct{}
}

func (b blocks) Remove(decide.ServerID)               { <-b.released }
func (b blocks) EndpointsUpdated(core.EndpointUpdate) { <-b.released }
func (b blocks) WatchAlive(uint64)                    { <-b.released }

const limit = 100 * time.Millisecond

// stuck waits until exactly these actors are stuck.
func stuck(t *testing.T, marks *sdnotify.Monitor, want ...string) {
	t.Helper()
	var got []string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got = marks.StuckTasks(time.Now(), limit); slices.Equal(got, want) {
			return
		}
	}
	t.Fatalf("stuck: %q, want %q", got, want)
}

// The real actors: a module that is held up by what it calls is found, and so is the front whose channels it does not take
// any more; both are well again once it goes on. Guards against marks that say nothing of the actors.
func TestModuleAndFrontStuck(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	marks := &sdnotify.Monitor{}
	module, err := core.New(core.Config{MaxClients: 10, Log: func(string) {}, Watchdog: marks.AddTask("module"),
		Settings: decide.Settings{Zone: "a", Classes: []decide.Class{{Name: "solo-play", LatencyObjective: time.Second}}},
		Known:    []core.Endpoint{{Name: "s-1", Server: decide.Server{ID: 1, Zone: "a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := platform.New(module, platform.Names{}, platform.DescriptorBudget{Total: 9000, DialReserve: 10}, log)
	front.SetWatchdog(marks.AddTask("front"))
	prober := blocks{released: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { module.Run(ctx, prober, nothing{}) })
	running.Go(func() { front.Serve(ctx, l, hotrestart.NewPauser(l.SetDeadline)) })
	defer func() { cancel(); running.Wait() }()
	time.Sleep(2 * limit)
	stuck(t, marks)
	module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot}) // its only room server is gone, which the prober is told
	stuck(t, marks, "module")
	var conns []net.Conn
	for len(marks.StuckTasks(time.Now(), limit)) < 2 && len(conns) < 4000 { // its mailbox fills up
		conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	stuck(t, marks, "front", "module")
	close(prober.released)
	stuck(t, marks)
	for _, conn := range conns {
		conn.Close()
	}
}

// A list whose news are not taken is found.
func TestListStuck(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"generation":3,"reset":true,"instances":[]}`+"\n")
	}))
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	marks := &sdnotify.Monitor{}
	sink := blocks{released: make(chan struct{})}
	list := httpsource.New(strings.TrimPrefix(server.URL, "http://"), 0, sink, log)
	list.SetWatchdog(marks.AddTask("list"))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { list.Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	list.Fetch(ctx)
	stuck(t, marks, "list")
	close(sink.released)
	stuck(t, marks)
}
