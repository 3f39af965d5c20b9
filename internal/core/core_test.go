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
func TestImportsNoWire(t *testing.T) {
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

func TestDeadlinesFallDueInOrder(t *testing.T) {
	d := newDeadlines()
	var got []string
	add := func(at time.Duration, name string) *deadline {
		return d.set(at, func() { got = append(got, name) })
	}
	add(3, "c")
	add(1, "a")
	dropped := add(2, "x")
	add(1, "b")
	d.set(2, func() { add(2, "next turn") })
	d.drop(dropped)
	d.drop(nil)
	d.sweep(2)
	if !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("first sweep ran %q", got)
	}
	d.sweep(2)
	d.sweep(3)
	if !slices.Equal(got, []string{"a", "b", "next turn", "c"}) {
		t.Errorf("sweeps ran %q", got)
	}
	if _, ok := d.next(); ok {
		t.Error("a deadline is left")
	}
}

// fakeChannel writes down the core's orders.
type fakeChannel struct {
	mu  sync.Mutex
	got []string
}

func (f *fakeChannel) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, fmt.Sprintf(format, args...))
}

func (f *fakeChannel) StartAttempt(a Attempt)               { f.add("attempt %d %s", a.Number, a.Upstream.Name) }
func (f *fakeChannel) CancelAttempt(n int, why decide.Code) { f.add("give up %d", n) }
func (f *fakeChannel) Establish(n int)                      { f.add("stand %d", n) }
func (f *fakeChannel) Fail()                                { f.add("fail") }
func (f *fakeChannel) Migrate()                             { f.add("move") }
func (f *fakeChannel) Abort()                               { f.add("drop") }
func (f *fakeChannel) Reject(d time.Duration) {
	f.add("unavailable")
}

func (f *fakeChannel) orders() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.got, ", ")
}

// wait waits until the orders begin with some, which they must.
func (f *fakeChannel) wait(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.HasPrefix(f.orders(), want) {
			return
		}
	}
	t.Fatalf("orders are %q, want %q first", f.orders(), want)
}

type fakeServers struct {
	mu    sync.Mutex
	asked []string          // of discovery
	watch []context.Context // of the watches asked for
}

func (*fakeServers) Probe(context.Context, uint64, Upstream) {}
func (*fakeServers) Remove(decide.ServerID)                  {}
func (*fakeServers) Fetch(context.Context)                   {}

func (f *fakeServers) Watch(ctx context.Context, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.watch = append(f.asked, "watch"), append(f.watch, ctx)
}

func (f *fakeServers) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, "move to "+address)
}

func instance(name string) Endpoint {
	return Endpoint{Name: name, Address: "x", Server: decide.Server{ID: ServerID(name), Zone: "a"}}
}

func run(t *testing.T, maxChannels int, known ...Endpoint) *Engine {
	t.Helper()
	m, err := New(Config{Known: known, MaxClients: maxChannels, Log: func(string) {}, Settings: decide.Settings{
		Seed: 3, Zone: "a", MaxAttempts: 3, ConnectTimeout: 60 * time.Millisecond,
		Classes: []decide.Class{{Name: "c", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}},
		Safety:  decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.3, OverloadFactor: 4}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx, &fakeServers{}, &fakeServers{}) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return m
}

// A reload turns to the new address and begins the watch there at once; a watch that never answers still ends when
// another was begun after it.
func TestRediscover(t *testing.T) {
	t.Parallel()
	f := &fakeServers{}
	m, err := New(Config{MaxClients: 1, Log: func(string) {}, Settings: decide.Settings{Seed: 3, Zone: "a",
		Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	m.SetDiscoveryAddress("127.0.0.1:1")
	m.SetDiscoveryAddress("127.0.0.1:2")
	settled(m)
	f.mu.Lock()
	got, first := strings.Join(f.asked, ", "), f.watch[0]
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

func (m *Engine) ask(ch ClientConn, within time.Duration) *Call {
	c := m.Accept(ch, Traits{})
	m.RequestReceived(c, Request{Deadline: time.Now().Add(within)})
	return c
}

// settled waits for a published snapshot that is newer than what happened before.
func settled(m *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := m.Snapshot(); s.At.After(since) {
			return s
		}
	}
}

// detailed waits for a snapshot with rows that is newer than what happened before.
func detailed(m *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := m.DetailedSnapshot(time.Second); s.At.After(since) && s.Upstreams != nil {
			return s
		}
	}
}

// An attempt without answer is given up before the next one begins, and what it brings later is nothing. Only the one
// whose line was written whole counts as an attempt at a room server.
func TestAttemptsNeverOverlap(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"), instance("s-2"))
	ch := &fakeChannel{}
	c := m.ask(ch, 3*time.Second)
	ch.wait(t, "attempt 0")
	first := ch.orders()
	ch.wait(t, first+", give up 0") // the connect timeout
	settled(m)
	if got := ch.orders(); got != first+", give up 0" {
		t.Errorf("orders are %q: the next attempt comes before the channel has told the end of this one", got)
	}
	m.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	ch.wait(t, first+", give up 0, attempt 1")
	m.AttemptAccepted(c, 0)
	m.AttemptEnded(c, 0, decide.Reset, decide.NoLoadReport)
	m.AttemptSent(c, 1)
	m.AttemptAccepted(c, 1)
	m.AttemptAccepted(c, 1)
	m.ClientClosed(c)
	if s := settled(m); s.Served != 1 || s.Rejected+s.Failed+s.ClientsLeft > 0 || s.Attempts != 1 || s.Clients > 0 {
		t.Errorf("%+v", s)
	}
	if got := ch.orders(); !strings.HasSuffix(got, "attempt 1 s-1, stand 1") && !strings.HasSuffix(got, "attempt 1 s-2, stand 1") {
		t.Errorf("orders are %q", got)
	}
}

// There is one final answer, whatever comes together.
func TestOneFinalAnswer(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"))
	ch := &fakeChannel{}
	c := m.ask(ch, 400*time.Millisecond)
	ch.wait(t, "attempt 0 s-1")
	m.AttemptSent(c, 0)
	ch.wait(t, "attempt 0 s-1, give up 0, unavailable")
	m.AttemptAccepted(c, 0)
	m.RequestMalformed(c)
	m.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	m.ClientClosed(c)
	if s := settled(m); s.Rejected != 1 || s.Served+s.Failed+s.ClientsLeft > 0 {
		t.Errorf("%+v, orders %q", s.Counters, ch.orders())
	}
	if n := strings.Count(ch.orders(), "unavailable"); n != 1 {
		t.Errorf("%d answers in %q", n, ch.orders())
	}
}

func TestPastTheBoundUnavailable(t *testing.T) {
	t.Parallel()
	m := run(t, 1) // no servers: requests wait
	first, second := &fakeChannel{}, &fakeChannel{}
	m.ask(first, 5*time.Second)
	m.ask(second, 5*time.Second)
	second.wait(t, "unavailable")
	if got := first.orders(); got != "" {
		t.Errorf("the first one got %q", got)
	}
}

// A connection that was open before waits for its server to be listed, tries again when it does not stand,
// and ends as attempt 0 for the decision module.
func TestReopen(t *testing.T) {
	t.Parallel()
	m := run(t, 10)
	ch := &fakeChannel{}
	c := m.Accept(ch, Traits{})
	m.RestoreConnection(c, Request{}, ServerID("s-1"), 10*time.Second)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{instance("s-1"), instance("s-2")}})
	ch.wait(t, "attempt 0 s-1")
	m.AttemptEnded(c, 0, decide.ConnectFailed, decide.NoLoadReport)
	ch.wait(t, "attempt 0 s-1, attempt 1 s-1")
	m.AttemptAccepted(c, 1)
	ch.wait(t, "attempt 0 s-1, attempt 1 s-1, stand 1")
	m.AttemptEnded(c, 1, decide.OK, decide.NoLoadReport)
	m.ClientClosed(c)
	if s := detailed(m); s.Restored != 1 || s.Served != 1 || s.Clients > 0 || s.Upstreams[0].Connections+s.Upstreams[1].Connections > 0 {
		t.Errorf("%+v", s)
	}
}

func TestReopenWithoutPatience(t *testing.T) {
	t.Parallel()
	m := run(t, 10)
	ch := &fakeChannel{}
	m.RestoreConnection(m.Accept(ch, Traits{}), Request{}, ServerID("s-gone"), 0)
	ch.wait(t, "fail")
}

// A standing connection whose server says nothing is moved, and the module hears that it broke.
func TestSilence(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"))
	silent, sound := &fakeChannel{}, &fakeChannel{}
	a, b := m.ask(silent, time.Second), m.ask(sound, time.Second)
	for i, c := range []*Call{a, b} {
		[]*fakeChannel{silent, sound}[i].wait(t, "attempt 0 s-1")
		m.AttemptAccepted(c, 0)
		m.ResponseAwaited(c)
	}
	m.ServerResponded(b)
	silent.wait(t, "attempt 0 s-1, stand 0, move")
	if s := settled(m); s.Unresponsive != 1 || s.Migrations != 1 {
		t.Errorf("%+v", s.Counters)
	}
	if got := sound.orders(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("the sound one got %q", got)
	}
}

// In a planned stop standing clients are served on for half of the budget, then moved one after the other.
func TestDrainMovesLate(t *testing.T) {
	t.Parallel()
	const clients, budget = 8, 3 * time.Second
	m := run(t, 100, instance("s-1"), instance("s-2"))
	moved := make(chan time.Time, clients)
	end := time.Now().Add(20 * time.Second)
	for range clients {
		ch := &fakeChannel{}
		c := m.ask(ch, time.Second)
		ch.wait(t, "attempt 0")
		m.AttemptAccepted(c, 0)
		go func() {
			for !strings.HasSuffix(ch.orders(), "move") && time.Now().Before(end) {
				time.Sleep(5 * time.Millisecond)
			}
			moved <- time.Now()
			m.AttemptEnded(c, 0, decide.Cancelled, decide.NoLoadReport)
			m.ClientClosed(c)
		}()
	}
	start := time.Now()
	over := m.Drain(budget, nil)
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
func TestRejoinUndoesTheLameDuck(t *testing.T) {
	t.Parallel()
	const soon = 10 * time.Second
	m := run(t, 10, instance("s-1"))
	if err := m.LeaveLameDuck(soon); err != nil {
		t.Fatal(err)
	}
	ch := &fakeChannel{}
	c := m.Accept(ch, Traits{Resumable: true})
	m.RequestReceived(c, Request{Deadline: time.Now().Add(time.Second)})
	ch.wait(t, "attempt 0")
	m.AttemptAccepted(c, 0)
	for range 2 {
		if err := m.EnterLameDuck(soon); err != nil || m.ServiceState() != LameDuck {
			t.Fatalf("%v, %v", m.ServiceState(), err)
		}
	}
	for range 2 {
		if err := m.LeaveLameDuck(soon); err != nil || m.ServiceState() != Serving {
			t.Fatalf("%v, %v", m.ServiceState(), err)
		}
	}
	time.Sleep(lameLast + 200*time.Millisecond)
	if got := ch.orders(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("after the call back it got %q", got)
	}
	if err := m.EnterLameDuck(soon); err != nil {
		t.Fatal(err)
	}
	ch.wait(t, "attempt 0 s-1, stand 0, move")
	m.Drain(3*time.Second, nil)
	if err := m.EnterLameDuck(soon); err != nil || m.ServiceState() != Stopping {
		t.Errorf("lame duck in a stop: %v, %v", m.ServiceState(), err)
	}
	if err := m.LeaveLameDuck(soon); err == nil || m.ServiceState() != Stopping {
		t.Errorf("called back in a stop: %v, %v", m.ServiceState(), err)
	}
}

// A process that takes over is ready with discovery's first answer, or when the one before it has ended.
func TestReadyWithAFreshList(t *testing.T) {
	t.Parallel()
	for name, get := range map[string]func(*Engine){
		"list":        func(m *Engine) { m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta}) },
		"predecessor": (*Engine).SkipListWait,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &fakeServers{}
			m, err := New(Config{MaxClients: 1, AwaitList: true, Log: func(string) {}, Settings: decide.Settings{Seed: 3,
				Zone: "a", WatchList: true, Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { m.Run(ctx, f, f) })
			t.Cleanup(func() { cancel(); running.Wait() })
			m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed})
			if s := m.CurrentSnapshot(10 * time.Second); s.Service != Starting {
				t.Errorf("before: %v", s.Service)
			}
			f.mu.Lock()
			if len(f.asked) != 1 {
				t.Errorf("discovery was asked %q, want once and at once", f.asked)
			}
			f.mu.Unlock()
			get(m)
			select {
			case <-m.Ready():
			case <-time.After(10 * time.Second):
				t.Fatal("not ready")
			}
			if m.ServiceState() != Serving {
				t.Errorf("after: %v", m.ServiceState())
			}
		})
	}
}

// A channel whose line has begun to come has longer than one that sends nothing, is shed after it, and holds up a stop
// until its line is there. Guards slow clients in a crowd of silent ones.
func TestBegunLinesAreWaitedFor(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"))
	slow, silent := &fakeChannel{}, &fakeChannel{}
	c := m.Accept(slow, Traits{Descriptor: true})
	m.FirstLineStarted(c)
	m.Accept(silent, Traits{Descriptor: true})
	time.Sleep(2 * shedAfter)
	m.ShedIdle()
	silent.wait(t, "drop")
	over := m.Drain(20*time.Second, nil) // its moves come late: nothing else holds it up
	time.Sleep(firstLineWait + 100*time.Millisecond)
	m.FirstLineStarted(c) // renews nothing
	select {
	case <-over:
		t.Error("the stop was over before the line was there")
	default:
	}
	if got := slow.orders(); got != "" {
		t.Errorf("the slow one got %q", got)
	}
	slow.wait(t, "drop")
}

// What the staff asks is answered while the actor is held up: PING and the last figures at once, orders within their
// bound. Guards against callers that wait for a full mailbox.
func TestAsksAreBounded(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"))
	held, release := make(chan struct{}), make(chan struct{})
	m.post(func() { close(held); <-release })
	<-held
	defer close(release)
	if s := m.CurrentSnapshot(50 * time.Millisecond); s.Listed != 1 {
		t.Errorf("%+v", s)
	}
	if err := m.EnterLameDuck(50 * time.Millisecond); err == nil {
		t.Error("an order that was not carried out counts as done")
	}
	for len(m.inbox) < cap(m.inbox) {
		m.post(func() {})
	}
	if err := m.LeaveLameDuck(50 * time.Millisecond); err == nil {
		t.Error("an order past the mailbox counts as done")
	}
}

// Counts are kept by class; a line that names none counts apart.
func TestCountsByClass(t *testing.T) {
	t.Parallel()
	m := run(t, 1, instance("s-1"))
	first, second := &fakeChannel{}, &fakeChannel{}
	c := m.ask(first, 5*time.Second)
	first.wait(t, "attempt 0")
	m.AttemptSent(c, 0)
	m.AttemptAccepted(c, 0)
	m.ask(second, 5*time.Second)
	second.wait(t, "unavailable")
	m.RequestMalformed(m.Accept(&fakeChannel{}, Traits{}))
	s := m.CurrentSnapshot(10 * time.Second)
	if got, want := s.Classes[0], (ClassCounters{Served: 1, Rejected: 1, Attempts: 1}); got != want {
		t.Errorf("class 0: %+v, want %+v", got, want)
	}
	if s.Malformed != 1 || s.Failed != 1 || s.Established != 1 || s.Waiting != 0 {
		t.Errorf("%+v", s)
	}
}

// Draining leaves what the next process can go on with.
func TestDrainLeavesTheResumable(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"))
	stays, goes := &fakeChannel{}, &fakeChannel{}
	a, b := m.Accept(stays, Traits{Resumable: true}), m.ask(goes, time.Second)
	m.RequestReceived(a, Request{Deadline: time.Now().Add(time.Second)})
	goes.wait(t, "attempt 0")
	stays.wait(t, "attempt 0")
	m.AttemptAccepted(a, 0)
	m.AttemptAccepted(b, 0)
	over := m.Drain(3*time.Second, nil)
	goes.wait(t, "attempt 0 s-1, stand 0, move")
	m.AttemptEnded(b, 0, decide.Cancelled, decide.NoLoadReport)
	m.ClientClosed(b)
	<-over
	if got := stays.orders(); got != "attempt 0 s-1, stand 0" {
		t.Errorf("the resumable one got %q", got)
	}
}

// A room server that is gone leaves the table once nothing stands there.
func TestGoneSubchannelsAreDropped(t *testing.T) {
	t.Parallel()
	m := run(t, 10, instance("s-1"), instance("s-2"))
	ch := &fakeChannel{}
	c := m.ask(ch, time.Second)
	ch.wait(t, "attempt 0")
	m.AttemptAccepted(c, 0)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot})
	if s := detailed(m); len(s.Upstreams) != 1 || s.Upstreams[0].Connections != 1 {
		t.Errorf("while it stands: %+v", s.Upstreams)
	}
	m.AttemptEnded(c, 0, decide.OK, decide.NoLoadReport)
	m.ClientClosed(c)
	if s := detailed(m); len(s.Upstreams) != 0 {
		t.Errorf("after its end: %+v", s.Upstreams)
	}
}

// answering runs a module whose lists a test gives.
func answering(t *testing.T, cfg Config) (*Engine, *fakeServers) {
	t.Helper()
	cfg.MaxClients, cfg.Log = 10, func(string) {}
	cfg.Settings.Seed, cfg.Settings.Zone, cfg.Settings.MaxAttempts = 3, "a", 3
	cfg.Settings.Classes = []decide.Class{{Name: "c", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}}
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServers{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return m, f
}

// watches waits until so many watches were asked for.
func (f *fakeServers) watches(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		got := len(f.watch)
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
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	m, f := answering(t, Config{})
	m.SetDiscoveryAddress("127.0.0.1:1")
	f.watches(t, 1)
	m.WatchAlive(1)
	silent := time.Now()
	f.watches(t, 2)
	if d := time.Since(silent); d < 2*time.Second || d > 5*time.Second {
		t.Errorf("asked for anew after %v, an empty line comes every 2 s", d)
	}
	m.WatchAlive(1) // the old one comes back to life, the new one does not answer
	f.mu.Lock()
	asked := f.watch[1]
	f.mu.Unlock()
	select {
	case <-asked.Done():
	case <-time.After(20 * time.Second):
		t.Error("the watch that was asked for and never answers does not end")
	}
	settled(m)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	m.WatchAlive(1) // and falls silent once more
	f.watches(t, 3)
}

// Where lists are pushed, what discovery has counts from the first moment: no front takes the process in before it has a list,
// and a watch that broke is back within the grace.
func TestPushedLists(t *testing.T) {
	t.Parallel()
	const grace = 400 * time.Millisecond
	m, f := answering(t, Config{ListPushed: true, Settings: decide.Settings{WatchList: true, Safety: decide.SafetyLimits{DrainGrace: grace}}})
	f.watches(t, 1)
	if !m.AwaitsList() {
		t.Error("a process without its first list is taken in")
	}
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	failed := time.Now()
	f.watches(t, 2)
	if d := time.Since(failed); d > grace {
		t.Errorf("asked for anew after %v, the grace is %v", d, grace)
	}
	m.WatchAlive(2)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{instance("s-1")}})
	if settled(m); m.AwaitsList() {
		t.Error("a process with its first list is not taken in")
	}
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	failed = time.Now()
	f.watches(t, 3)
	if d := time.Since(failed); d > grace {
		t.Errorf("asked for anew after %v, the grace is %v", d, grace)
	}
}

// What was learned under another customer's settings is refused: what a connection loads a server with there, say. A seed,
// or a figure that may be tuned from one version to the next, makes no other customer.
func TestLearnedOfAnotherCustomer(t *testing.T) {
	mine := decide.Settings{Seed: 1, Zone: "a", Zones: []string{"a", "b"}, Classes: []decide.Class{{Name: "c"}, {Name: "d"}}}
	line, err := json.Marshal(learned{decide.LearnedState{Server: 1, LoadPerConnection: 0.3}, DeploymentID(mine)})
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
