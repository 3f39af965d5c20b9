package core

import (
	"context"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
)

// fakeDialer is a resolver whose dials a test answers.
type fakeDialer struct {
	fakeDiscovery
	dials chan dialRequest
}

type dialRequest struct {
	ctx  context.Context
	done func(bool)
}

func (d *fakeDialer) Dial(ctx context.Context, done func(bool)) { d.dials <- dialRequest{ctx, done} }

func (d *fakeDialer) next(t *testing.T) dialRequest {
	t.Helper()
	select {
	case o := <-d.dials:
		return o
	case <-time.After(20 * time.Second):
		t.Fatal("discovery is not dialled")
		return dialRequest{}
	}
}

func startDialingEngine(t *testing.T) (*Engine, *fakeDialer) {
	t.Helper()
	engine, err := New(Config{MaxClients: 1, Log: func(string) {}, Settings: decide.Settings{Seed: 3, Zone: "a", WatchList: true,
		Balancers: 3, Safety: decide.SafetyLimits{MaxPollInterval: 200 * time.Millisecond}, // the first poll comes at once
		Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeDialer{dials: make(chan dialRequest, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return engine, f
}

// A call whose order was left out, which nothing tells, is made again after its wait. Guards against a watch that is waited
// for for ever.
func TestUnansweredWatchIsReopened(t *testing.T) {
	t.Parallel()
	engine, f := startEngineWith(t, Config{Settings: decide.Settings{WatchList: true}})
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 2)
}

// While discovery is away it is dialled, not called; a dial that hangs is given up and made again, and what it tells later
// is nothing. The call comes after the first dial that finds it, once.
func TestDiscoveryIsDialedUntilReachable(t *testing.T) {
	t.Parallel()
	engine, f := startDialingEngine(t)
	f.waitForWatches(t, 1)
	engine.WatchAlive(1)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	f.next(t).done(false)
	hung := f.next(t)
	again := f.next(t)
	if hung.ctx.Err() == nil {
		t.Error("two dials are out at once")
	}
	hung.done(true)
	engine.executeNow(decide.WatchList{}, decide.FetchList{})
	nextSnapshot(engine)
	f.mu.Lock()
	if n := len(f.watchContexts); n != 1 {
		t.Errorf("%d watches were asked for before a dial found discovery, want the first alone", n)
	}
	f.mu.Unlock()
	again.done(true)
	f.waitForWatches(t, 2)
	nextSnapshot(engine)
	if n := len(f.dials); n > 0 {
		t.Errorf("%d more dials", n)
	}
}

// executeNow carries out actions as if the decision module asked for them now.
func (e *Engine) executeNow(actions ...decide.Action) {
	e.post(func() {
		for _, a := range actions {
			e.execute(a)
		}
	})
}

// A watch that stands speaks for discovery, as nothing is missed; one of the address that was left does not.
func TestOnlyCurrentWatchesConfirmDiscovery(t *testing.T) {
	t.Parallel()
	engine, f := startDialingEngine(t)
	f.waitForWatches(t, 1)
	engine.WatchAlive(1)
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 2)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	engine.WatchAlive(1)
	f.next(t).done(true)
	f.waitForWatches(t, 3)
	engine.WatchAlive(3)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed}) // a list that was fetched beside it
	engine.WatchAlive(3)
	nextSnapshot(engine)
	time.Sleep(2 * time.Second) // a dial would come 1.5 s after the failure at the latest
	if n := len(f.dials); n > 0 {
		t.Errorf("%d dials though a watch is alive", n)
	}
}
