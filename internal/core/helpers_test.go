package core

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
)

// fakeClientConn records the commands that the engine sends to it.
type fakeClientConn struct {
	mu       sync.Mutex
	received []string
}

func (f *fakeClientConn) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, fmt.Sprintf(format, args...))
}

func (f *fakeClientConn) StartAttempt(a Attempt) {
	f.record("attempt %d %s", a.Number, a.Upstream.Name)
}
func (f *fakeClientConn) CancelAttempt(n int, _ decide.Code) { f.record("cancel %d", n) }
func (f *fakeClientConn) Establish(n int)                    { f.record("establish %d", n) }
func (f *fakeClientConn) Reject(time.Duration)               { f.record("reject") }
func (f *fakeClientConn) Fail()                              { f.record("fail") }
func (f *fakeClientConn) Migrate()                           { f.record("migrate") }
func (f *fakeClientConn) CloseUnused()                       { f.record("close unused") }
func (f *fakeClientConn) Abort()                             { f.record("abort") }

// commands returns the commands that were recorded so far, separated by commas.
func (f *fakeClientConn) commands() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.received, ", ")
}

// wait waits until the recorded commands begin with want.
func (f *fakeClientConn) wait(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.HasPrefix(f.commands(), want) {
			return
		}
	}
	t.Fatalf("commands are %q, want them to begin with %q", f.commands(), want)
}

// fakeDiscovery is a Discovery and a Prober that records calls of Watch and SetAddress, and never answers.
type fakeDiscovery struct {
	mu sync.Mutex
	// requests are the calls of Watch and SetAddress.
	requests []string
	// watchContexts are the contexts passed to Watch, in call order.
	watchContexts []context.Context
}

func (*fakeDiscovery) Probe(context.Context, uint64, Upstream) {}
func (*fakeDiscovery) Remove(decide.ServerID)                  {}
func (*fakeDiscovery) Fetch(context.Context)                   {}

func (f *fakeDiscovery) Watch(ctx context.Context, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, "watch")
	f.watchContexts = append(f.watchContexts, ctx)
}

func (f *fakeDiscovery) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, "address "+address)
}

// waitForWatches waits until at least n watches were opened.
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
			t.Fatalf("%d watches were opened, want %d", got, n)
		}
	}
}

// proberDiscovery is what runEngine needs to run an engine.
type proberDiscovery interface {
	Prober
	Discovery
}

// runEngine runs an engine until the test ends.
func runEngine(t *testing.T, cfg Config, f proberDiscovery) *Engine {
	t.Helper()
	cfg.Log = func(string) {}
	engine, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, f, f) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return engine
}

// startEngine runs an engine whose restored endpoint list contains the given endpoints.
func startEngine(t *testing.T, maxClients int, known ...Endpoint) *Engine {
	t.Helper()
	return runEngine(t, Config{
		Known:      known,
		MaxClients: maxClients,
		Settings: decide.Settings{
			Seed:           3,
			Zone:           "a",
			MaxAttempts:    3,
			ConnectTimeout: 60 * time.Millisecond,
			Classes:        []decide.Class{interactiveClass()},
			Safety: decide.SafetyLimits{
				DrainGrace:               500 * time.Millisecond,
				SlowStartInitialCapacity: 0.3,
				OverloadFactor:           4,
			},
		},
	}, &fakeDiscovery{})
}

// startEngineWith runs an engine with the given configuration. The test itself delivers the endpoint lists.
func startEngineWith(t *testing.T, cfg Config) (*Engine, *fakeDiscovery) {
	t.Helper()
	cfg.MaxClients = 10
	cfg.Settings.Seed = 3
	cfg.Settings.Zone = "a"
	cfg.Settings.MaxAttempts = 3
	cfg.Settings.Classes = []decide.Class{interactiveClass()}
	f := &fakeDiscovery{}
	return runEngine(t, cfg, f), f
}

func interactiveClass() decide.Class {
	return decide.Class{Name: "c", LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}
}

// readyEndpoint returns a ready endpoint with the given instance name.
func readyEndpoint(name string) Endpoint {
	return Endpoint{Name: name, Address: "x", Server: decide.Server{ID: ServerID(name), Zone: "a"}}
}

// openRequest accepts a client connection and its request, whose deadline is after the given time.
func openRequest(engine *Engine, conn ClientConn, timeout time.Duration) *Call {
	c := engine.Accept(conn, ConnTraits{})
	engine.RequestReceived(c, Request{Deadline: time.Now().Add(timeout)})
	return c
}

// executeNow executes actions as if the decision module had returned them now.
func executeNow(engine *Engine, actions ...decide.Action) {
	engine.post(func() {
		for _, action := range actions {
			engine.execute(action)
		}
	})
}

// nextSnapshot waits for a published snapshot that was taken after the call.
func nextSnapshot(engine *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := engine.Snapshot(); s.At.After(since) {
			return s
		}
	}
}

// nextDetailedSnapshot waits for a detailed snapshot that was taken after the call.
func nextDetailedSnapshot(engine *Engine) *Snapshot {
	for since := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if s := engine.DetailedSnapshot(time.Second); s.At.After(since) && s.Upstreams != nil {
			return s
		}
	}
}
