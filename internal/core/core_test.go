package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"go/build"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
)

// The core knows no wire: neither it nor what it imports of this project imports net.
func TestImportsNoNetwork(t *testing.T) {
	for _, dir := range []string{".", "../../decide"} {
		pkg, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range pkg.Imports {
			if name == "net" || strings.HasPrefix(name, "net/") || strings.HasPrefix(name, "cottonplank/internal/") {
				t.Errorf("%s imports %s", dir, name)
			}
		}
	}
}

func TestTimersExpireInOrder(t *testing.T) {
	d := newTimerQueue()
	var got []string
	add := func(at time.Duration, name string) *timer {
		return d.set(at, func() { got = append(got, name) })
	}
	add(3, "c")
	add(1, "a")
	dropped := add(2, "x")
	add(1, "b")
	d.set(2, func() { add(2, "next turn") })
	d.stop(dropped)
	d.stop(nil)
	d.runExpired(2)
	if !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("first sweep ran %q", got)
	}
	d.runExpired(2)
	d.runExpired(3)
	if !slices.Equal(got, []string{"a", "b", "next turn", "c"}) {
		t.Errorf("sweeps ran %q", got)
	}
	if _, ok := d.next(); ok {
		t.Error("a deadline is left")
	}
}

// fakeClientConn writes down the core's orders.
type fakeClientConn struct {
	mu       sync.Mutex
	received []string
}

func (f *fakeClientConn) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, fmt.Sprintf(format, args...))
}

func (f *fakeClientConn) StartAttempt(a Attempt)               { f.add("attempt %d %s", a.Number, a.Upstream.Name) }
func (f *fakeClientConn) CancelAttempt(n int, why decide.Code) { f.add("give up %d", n) }
func (f *fakeClientConn) Establish(n int)                      { f.add("stand %d", n) }
func (f *fakeClientConn) Fail()                                { f.add("fail") }
func (f *fakeClientConn) Migrate()                             { f.add("move") }
func (f *fakeClientConn) Abort()                               { f.add("drop") }
func (f *fakeClientConn) Reject(d time.Duration) {
	f.add("unavailable")
}

func (f *fakeClientConn) commands() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.received, ", ")
}

// wait waits until the orders begin with some, which they must.
func (f *fakeClientConn) wait(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.HasPrefix(f.commands(), want) {
			return
		}
	}
	t.Fatalf("orders are %q, want %q first", f.commands(), want)
}

type fakeDiscovery struct {
	mu            sync.Mutex
	requests      []string          // of discovery
	watchContexts []context.Context // of the watches asked for
}

func (*fakeDiscovery) Probe(context.Context, uint64, Upstream) {}
func (*fakeDiscovery) Remove(decide.ServerID)                  {}
func (*fakeDiscovery) Fetch(context.Context)                   {}

func (f *fakeDiscovery) Watch(ctx context.Context, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests, f.watchContexts = append(f.requests, "watch"), append(f.watchContexts, ctx)
}

func (f *fakeDiscovery) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, "move to "+address)
}

func readyEndpoint(name string) Endpoint {
	return Endpoint{Name: name, Address: "x", Server: decide.Server{ID: ServerID(name), Zone: "a"}}
}

func startEngine(t *testing.T, maxChannels int, known ...Endpoint) *Engine {
	t.Helper()
	engine, err := New(Config{Known: known, MaxClients: maxChannels, Log: func(string) {}, Settings: decide.Settings{
		Seed: 3, Zone: "a", MaxAttempts: 3, ConnectTimeout: 60 * time.Millisecond,
		Classes: []decide.Class{{Name: "c", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}},
		Safety:  decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.3, OverloadFactor: 4}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, &fakeDiscovery{}, &fakeDiscovery{}) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return engine
}

// A reload turns to the new address and begins the watch there at once; a watch that never answers still ends when
// another was begun after it.
func TestSetDiscoveryAddressOpensWatchAtOnce(t *testing.T) {
	t.Parallel()
	f := &fakeDiscovery{}
	engine, err := New(Config{MaxClients: 1, Log: func(string) {}, Settings: decide.Settings{Seed: 3, Zone: "a",
		Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	engine.SetDiscoveryAddress("127.0.0.1:1")
	engine.SetDiscoveryAddress("127.0.0.1:2")
	nextSnapshot(engine)
	f.mu.Lock()
	got, first := strings.Join(f.requests, ", "), f.watchContexts[0]
	f.mu.Unlock()
	if got != "move to 127.0.0.1:1, watch, move to 127.0.0.1:2, watch" {
		t.Errorf("asked: %s", got)
	}
	select {
	case <-first.Done():
	case <-time.After(20 * time.Second):
		t.Error("the first watch, never answered, does not end")
	}
}

func (e *Engine) openRequest(ch ClientConn, within time.Duration) *Call {
	c := e.Accept(ch, Traits{})
	e.RequestReceived(c, Request{Deadline: time.Now().Add(within)})
	return c
}

// nextSnapshot waits for a published snapshot that is newer than what happened before.
func nextSnapshot(engine *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := engine.Snapshot(); s.At.After(since) {
			return s
		}
	}
}

// nextDetailedSnapshot waits for a snapshot with rows that is newer than what happened before.
func nextDetailedSnapshot(engine *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := engine.DetailedSnapshot(time.Second); s.At.After(since) && s.Upstreams != nil {
			return s
		}
	}
}

// An attempt without answer is given up before the next one begins, and what it brings later is nothing. Only the one
// whose line was written whole counts as an attempt at a room server.
func TestAttemptsNeverOverlap(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"), readyEndpoint("s-2"))
	ch := &fakeClientConn{}
	c := engine.openRequest(ch, 3*time.Second)
	ch.wait(t, "attempt 0")
	first := ch.commands()
	ch.wait(t, first+", give up 0") // the connect timeout
	nextSnapshot(engine)
	if got := ch.commands(); got != first+", give up 0" {
		t.Errorf("orders are %q: the next attempt comes before the channel has told the end of this one", got)
	}
	engine.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	ch.wait(t, first+", give up 0, attempt 1")
	engine.AttemptAccepted(c, 0)
	engine.AttemptEnded(c, 0, decide.Reset, decide.NoLoadReport)
	engine.AttemptSent(c, 1)
	engine.AttemptAccepted(c, 1)
	engine.AttemptAccepted(c, 1)
	engine.ClientClosed(c)
	if s := nextSnapshot(engine); s.Served != 1 || s.Rejected+s.Failed+s.ClientsLeft > 0 || s.Attempts != 1 || s.Clients > 0 {
		t.Errorf("%+v", s)
	}
	if got := ch.commands(); !strings.HasSuffix(got, "attempt 1 s-1, stand 1") && !strings.HasSuffix(got, "attempt 1 s-2, stand 1") {
		t.Errorf("orders are %q", got)
	}
}

// There is one final answer, whatever comes together.
func TestOneFinalAnswer(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	ch := &fakeClientConn{}
	c := engine.openRequest(ch, 400*time.Millisecond)
	ch.wait(t, "attempt 0 s-1")
	engine.AttemptSent(c, 0)
	ch.wait(t, "attempt 0 s-1, give up 0, unavailable")
	engine.AttemptAccepted(c, 0)
	engine.RequestMalformed(c)
	engine.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	engine.ClientClosed(c)
	if s := nextSnapshot(engine); s.Rejected != 1 || s.Served+s.Failed+s.ClientsLeft > 0 {
		t.Errorf("%+v, orders %q", s.Counters, ch.commands())
	}
	if n := strings.Count(ch.commands(), "unavailable"); n != 1 {
		t.Errorf("%d answers in %q", n, ch.commands())
	}
}

func TestRequestsPastMaxClientsAreRejected(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 1) // no servers: requests wait
	first, second := &fakeClientConn{}, &fakeClientConn{}
	engine.openRequest(first, 5*time.Second)
	engine.openRequest(second, 5*time.Second)
	second.wait(t, "unavailable")
	if got := first.commands(); got != "" {
		t.Errorf("the first one got %q", got)
	}
}

// A connection that was open before waits for its server to be listed, tries again when it does not stand,
// and ends as attempt 0 for the decision module.
func TestRestoreConnectionRetries(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10)
	ch := &fakeClientConn{}
	c := engine.Accept(ch, Traits{})
	engine.RestoreConnection(c, Request{}, ServerID("s-1"), 10*time.Second)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{readyEndpoint("s-1"), readyEndpoint("s-2")}})
	ch.wait(t, "attempt 0 s-1")
	engine.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	ch.wait(t, "attempt 0 s-1, attempt 1 s-1")
	engine.AttemptAccepted(c, 1)
	ch.wait(t, "attempt 0 s-1, attempt 1 s-1, stand 1")
	engine.AttemptEnded(c, 1, decide.OK, decide.NoLoadReport)
	engine.ClientClosed(c)
	if s := nextDetailedSnapshot(engine); s.Restored != 1 || s.Served != 1 || s.Clients > 0 || s.Upstreams[0].Connections+s.Upstreams[1].Connections > 0 {
		t.Errorf("%+v", s)
	}
}

func TestRestoreConnectionFailsAfterPatience(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10)
	ch := &fakeClientConn{}
	engine.RestoreConnection(engine.Accept(ch, Traits{}), Request{}, ServerID("s-gone"), 0)
	ch.wait(t, "fail")
}

// A standing connection whose server says nothing is moved, and the module hears that it broke.
func TestUnresponsiveServerMigratesClient(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	silent, sound := &fakeClientConn{}, &fakeClientConn{}
	a, b := engine.openRequest(silent, time.Second), engine.openRequest(sound, time.Second)
	for i, c := range []*Call{a, b} {
		[]*fakeClientConn{silent, sound}[i].wait(t, "attempt 0 s-1")
		engine.AttemptAccepted(c, 0)
		engine.ResponseAwaited(c)
	}
	engine.ServerResponded(b)
	silent.wait(t, "attempt 0 s-1, stand 0, move")
	if s := nextSnapshot(engine); s.Unresponsive != 1 || s.Migrations != 1 {
		t.Errorf("%+v", s.Counters)
	}
	if got := sound.commands(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("the sound one got %q", got)
	}
}

// In a planned stop standing clients are served on for half of the budget, then moved one after the other.
func TestDrainMigratesLate(t *testing.T) {
	t.Parallel()
	const clients, budget = 8, 3 * time.Second
	engine := startEngine(t, 100, readyEndpoint("s-1"), readyEndpoint("s-2"))
	moved := make(chan time.Time, clients)
	end := time.Now().Add(20 * time.Second)
	for range clients {
		ch := &fakeClientConn{}
		c := engine.openRequest(ch, time.Second)
		ch.wait(t, "attempt 0")
		engine.AttemptAccepted(c, 0)
		go func() {
			for !strings.HasSuffix(ch.commands(), "move") && time.Now().Before(end) {
				time.Sleep(5 * time.Millisecond)
			}
			moved <- time.Now()
			engine.AttemptEnded(c, 0, decide.Cancelled, decide.NoLoadReport)
			engine.ClientClosed(c)
		}()
	}
	start := time.Now()
	over := engine.Drain(budget, nil)
	first := <-moved
	last := first
	for range clients - 1 {
		last = <-moved
	}
	if d := first.Sub(start); d < budget/2 {
		t.Errorf("the first one was moved after %v of %v", d, budget)
	}
	if d := last.Sub(first); d < budget/20 {
		t.Errorf("all were moved within %v", d)
	}
	<-over
}

// A lame duck that is called back early keeps its clients: no step of the drain is left over. It moves the resumable
// ones too, for no process comes after it. Calls twice, or alone, change nothing, and a stop cannot be undone.
func TestLeaveLameDuckUndoesEnterLameDuck(t *testing.T) {
	t.Parallel()
	const soon = 10 * time.Second
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	if err := engine.LeaveLameDuck(soon); err != nil {
		t.Fatal(err)
	}
	ch := &fakeClientConn{}
	c := engine.Accept(ch, Traits{Resumable: true})
	engine.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	ch.wait(t, "attempt 0")
	engine.AttemptAccepted(c, 0)
	for range 2 {
		if err := engine.EnterLameDuck(soon); err != nil || engine.ServiceState() != LameDuck {
			t.Fatalf("%v, %v", engine.ServiceState(), err)
		}
	}
	for range 2 {
		if err := engine.LeaveLameDuck(soon); err != nil || engine.ServiceState() != Serving {
			t.Fatalf("%v, %v", engine.ServiceState(), err)
		}
	}
	time.Sleep(lameDuckMigrationEnd + 200*time.Millisecond)
	if got := ch.commands(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("after the call back it got %q", got)
	}
	if err := engine.EnterLameDuck(soon); err != nil {
		t.Fatal(err)
	}
	ch.wait(t, "attempt 0 s-1, stand 0, move")
	engine.Drain(3*time.Second, nil)
	if err := engine.EnterLameDuck(soon); err != nil || engine.ServiceState() != Stopping {
		t.Errorf("lame duck in a stop: %v, %v", engine.ServiceState(), err)
	}
	if err := engine.LeaveLameDuck(soon); err == nil || engine.ServiceState() != Stopping {
		t.Errorf("called back in a stop: %v, %v", engine.ServiceState(), err)
	}
}

// A process that takes over is ready with discovery's first answer, or when the one before it has ended.
func TestReadyAfterFirstListOrSkip(t *testing.T) {
	t.Parallel()
	for name, get := range map[string]func(*Engine){
		"list":        func(engine *Engine) { engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta}) },
		"predecessor": (*Engine).SkipListWait,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &fakeDiscovery{}
			engine, err := New(Config{MaxClients: 1, AwaitList: true, Log: func(string) {}, Settings: decide.Settings{Seed: 3,
				Zone: "a", WatchList: true, Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { engine.Run(ctx, f, f) })
			t.Cleanup(func() { cancel(); running.Wait() })
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed})
			if s := engine.CurrentSnapshot(10 * time.Second); s.Service != Starting {
				t.Errorf("before: %v", s.Service)
			}
			f.mu.Lock()
			if len(f.requests) != 1 {
				t.Errorf("discovery was asked %q, want once and at once", f.requests)
			}
			f.mu.Unlock()
			get(engine)
			select {
			case <-engine.Ready():
			case <-time.After(10 * time.Second):
				t.Fatal("not ready")
			}
			if engine.ServiceState() != Serving {
				t.Errorf("after: %v", engine.ServiceState())
			}
		})
	}
}

// A channel whose line has begun to come has longer than one that sends nothing, is shed after it, and holds up a stop
// until its line is there. Guards slow clients in a crowd of silent ones.
func TestStartedLinesAreWaitedFor(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	slow, silent := &fakeClientConn{}, &fakeClientConn{}
	c := engine.Accept(slow, Traits{Descriptor: true})
	engine.FirstLineStarted(c)
	engine.Accept(silent, Traits{Descriptor: true})
	time.Sleep(2 * minShedAge)
	engine.ShedIdle()
	silent.wait(t, "drop")
	over := engine.Drain(20*time.Second, nil) // its moves come late: nothing else holds it up
	time.Sleep(firstLineTimeout + 100*time.Millisecond)
	engine.FirstLineStarted(c) // renews nothing
	select {
	case <-over:
		t.Error("the stop was over before the line was there")
	default:
	}
	if got := slow.commands(); got != "" {
		t.Errorf("the slow one got %q", got)
	}
	slow.wait(t, "drop")
}

// What the staff asks is answered while the actor is held up: PING and the last figures at once, orders within their
// bound. Guards against callers that wait for a full mailbox.
func TestQueriesAreBoundedWhileEngineIsBusy(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	held, release := make(chan struct{}), make(chan struct{})
	engine.post(func() { close(held); <-release })
	<-held
	defer close(release)
	if s := engine.CurrentSnapshot(50 * time.Millisecond); s.Listed != 1 {
		t.Errorf("%+v", s)
	}
	if err := engine.EnterLameDuck(50 * time.Millisecond); err == nil {
		t.Error("an order that was not carried out counts as done")
	}
	for len(engine.inbox) < cap(engine.inbox) {
		engine.post(func() {})
	}
	if err := engine.LeaveLameDuck(50 * time.Millisecond); err == nil {
		t.Error("an order past the mailbox counts as done")
	}
}

// Counts are kept by class; a line that names none counts apart.
func TestCountsByClass(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 1, readyEndpoint("s-1"))
	first, second := &fakeClientConn{}, &fakeClientConn{}
	c := engine.openRequest(first, 5*time.Second)
	first.wait(t, "attempt 0")
	engine.AttemptSent(c, 0)
	engine.AttemptAccepted(c, 0)
	engine.openRequest(second, 5*time.Second)
	second.wait(t, "unavailable")
	engine.RequestMalformed(engine.Accept(&fakeClientConn{}, Traits{}))
	s := engine.CurrentSnapshot(10 * time.Second)
	if got, want := s.Classes[0], (ClassCounters{Served: 1, Rejected: 1, Attempts: 1}); got != want {
		t.Errorf("class 0: %+v, want %+v", got, want)
	}
	if s.Malformed != 1 || s.Failed != 1 || s.Established != 1 || s.Waiting != 0 {
		t.Errorf("%+v", s)
	}
}

// Draining leaves what the next process can go on with.
func TestDrainKeepsResumableConnections(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	stays, goes := &fakeClientConn{}, &fakeClientConn{}
	a, b := engine.Accept(stays, Traits{Resumable: true}), engine.openRequest(goes, time.Second)
	engine.RequestReceived(a, Request{Deadline: time.Now().Add(time.Second)})
	goes.wait(t, "attempt 0")
	stays.wait(t, "attempt 0")
	engine.AttemptAccepted(a, 0)
	engine.AttemptAccepted(b, 0)
	over := engine.Drain(3*time.Second, nil)
	goes.wait(t, "attempt 0 s-1, stand 0, move")
	engine.AttemptEnded(b, 0, decide.Cancelled, decide.NoLoadReport)
	engine.ClientClosed(b)
	<-over
	if got := stays.commands(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("the resumable one got %q", got)
	}
}

// A room server that is gone leaves the table once nothing stands there.
func TestRemovedUpstreamsAreDeleted(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"), readyEndpoint("s-2"))
	ch := &fakeClientConn{}
	c := engine.openRequest(ch, time.Second)
	ch.wait(t, "attempt 0")
	engine.AttemptAccepted(c, 0)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot})
	if s := nextDetailedSnapshot(engine); len(s.Upstreams) != 1 || s.Upstreams[0].Connections != 1 {
		t.Errorf("while it stands: %+v", s.Upstreams)
	}
	engine.AttemptEnded(c, 0, decide.OK, decide.NoLoadReport)
	engine.ClientClosed(c)
	if s := nextDetailedSnapshot(engine); len(s.Upstreams) != 0 {
		t.Errorf("after its end: %+v", s.Upstreams)
	}
}

// startEngineWith runs a module whose lists a test gives.
func startEngineWith(t *testing.T, cfg Config) (*Engine, *fakeDiscovery) {
	t.Helper()
	cfg.MaxClients, cfg.Log = 10, func(string) {}
	cfg.Settings.Seed, cfg.Settings.Zone, cfg.Settings.MaxAttempts = 3, "a", 3
	cfg.Settings.Classes = []decide.Class{{Name: "c", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}}
	engine, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeDiscovery{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return engine, f
}

// waitForWatches waits until so many watches were asked for.
func (f *fakeDiscovery) waitForWatches(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		got := len(f.watchContexts)
		f.mu.Unlock()
		if got >= n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d watches were asked for, want %d", got, n)
		}
	}
}

// A watch that has fallen silent is opened anew, beside it, well before what it misses counts as told: 6 s after. A sign of
// life of another watch is none of the one that was asked for, which ends without an answer.
func TestStaleWatchIsReplaced(t *testing.T) {
	t.Parallel()
	engine, f := startEngineWith(t, Config{})
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 1)
	engine.WatchAlive(1)
	silent := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(silent); d < 2*time.Second || d > 5*time.Second {
		t.Errorf("asked for anew after %v, an empty line comes every 2 s", d)
	}
	engine.WatchAlive(1) // the old one comes back to life, the new one does not answer
	f.mu.Lock()
	asked := f.watchContexts[1]
	f.mu.Unlock()
	select {
	case <-asked.Done():
	case <-time.After(20 * time.Second):
		t.Error("the watch that was asked for and never answers does not end")
	}
	nextSnapshot(engine)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	engine.WatchAlive(1) // and falls silent once more
	f.waitForWatches(t, 3)
}

// Where lists are pushed, what discovery has counts from the first moment: no front takes the process in before it has a list,
// and a watch that broke is back within the grace.
func TestPushedListReconnectsWithinGrace(t *testing.T) {
	t.Parallel()
	const grace = 400 * time.Millisecond
	engine, f := startEngineWith(t, Config{ListPushed: true, Settings: decide.Settings{WatchList: true, Safety: decide.SafetyLimits{DrainGrace: grace}}})
	f.waitForWatches(t, 1)
	if !engine.AwaitsList() {
		t.Error("a process without its first list is taken in")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	failed := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(failed); d > grace {
		t.Errorf("asked for anew after %v, the grace is %v", d, grace)
	}
	engine.WatchAlive(2)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{readyEndpoint("s-1")}})
	if nextSnapshot(engine); engine.AwaitsList() {
		t.Error("a process with its first list is not taken in")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	failed = time.Now()
	f.waitForWatches(t, 3)
	if d := time.Since(failed); d > grace {
		t.Errorf("asked for anew after %v, the grace is %v", d, grace)
	}
}

// What was learned under another customer's settings is refused: what a connection loads a server with there, say. A seed,
// or a figure that may be tuned from one version to the next, makes no other customer.
func TestDecodeLearnedRejectsOtherDeployment(t *testing.T) {
	mine := decide.Settings{Seed: 1, Zone: "a", Zones: []string{"a", "b"}, Classes: []decide.Class{{Name: "c"}, {Name: "d"}}}
	line, err := json.Marshal(learnedLine{decide.LearnedState{Server: 1, LoadPerConnection: 0.3}, DeploymentID(mine)})
	if err != nil {
		t.Fatal(err)
	}
	again := mine
	again.Seed, again.MaxAttempts = 2, 5
	if l, err := DecodeLearned(string(line), DeploymentID(again)); err != nil || l.LoadPerConnection != 0.3 {
		t.Errorf("%+v, %v", l, err)
	}
	for name, differ := range map[string]func(*decide.Settings){
		"zone":    func(s *decide.Settings) { s.Zone = "b" },
		"classes": func(s *decide.Settings) { s.Classes = []decide.Class{{Name: "d"}, {Name: "c"}} },
		"effect": func(s *decide.Settings) {
			s.Classes = []decide.Class{{Name: "c", Idempotency: decide.NotIdempotent}, {Name: "d"}}
		},
	} {
		other := mine
		differ(&other)
		if _, err := DecodeLearned(string(line), DeploymentID(other)); !errors.Is(err, ErrOtherDeployment) {
			t.Errorf("other %s: %v", name, err)
		}
	}
	if _, err := DecodeLearned(`{"server":1,"each":0.3}`, DeploymentID(mine)); !errors.Is(err, ErrOtherDeployment) {
		t.Errorf("of nobody: %v", err)
	}
}
