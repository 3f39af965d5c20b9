package core

import (
	"context"
	"testing"
	"time"

	"cottonplank/decide"
)

// fakeDialer is a Discovery and a Dialer. The test receives each dial from dials and reports its result.
type fakeDialer struct {
	fakeDiscovery
	dials chan dialRequest
}

type dialRequest struct {
	ctx  context.Context
	done func(reachable bool)
}

func (d *fakeDialer) Dial(ctx context.Context, done func(reachable bool)) {
	d.dials <- dialRequest{ctx, done}
}

// next waits for the next dial.
func (d *fakeDialer) next(t *testing.T) dialRequest {
	t.Helper()
	select {
	case dial := <-d.dials:
		return dial
	case <-time.After(20 * time.Second):
		t.Fatal("discovery is not dialed")
		return dialRequest{}
	}
}

// startDialingEngine runs an engine with a Dialer. Its MaxPollInterval is short, so that the first watch opens within
// 100 ms.
func startDialingEngine(t *testing.T) (*Engine, *fakeDialer) {
	t.Helper()
	f := &fakeDialer{dials: make(chan dialRequest, 10)}
	engine := runEngine(t, Config{MaxClients: 1, Settings: decide.Settings{
		Seed:      3,
		Zone:      "a",
		WatchList: true,
		Balancers: 3,
		Safety:    decide.SafetyLimits{MaxPollInterval: 200 * time.Millisecond},
		Classes:   []decide.Class{{Name: "c", LatencyObjective: time.Second}},
	}}, f)
	return engine, f
}

// A watch that the Discovery has dropped without a report is opened again after its time-out. Otherwise the engine
// would wait for its answer forever.
func TestUnansweredWatchIsReopened(t *testing.T) {
	t.Parallel()
	engine, f := startEngineWith(t, Config{Settings: decide.Settings{WatchList: true}})
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 2)
}

// While discovery is unreachable, the engine dials it and makes no calls. A dial that hangs is cancelled and
// repeated, and its late result is ignored. The first successful dial is followed by one call and no further dial.
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
		t.Error("two dials are in progress at once")
	}
	hung.done(true)
	executeNow(engine, decide.WatchList{}, decide.FetchList{})
	nextSnapshot(engine)
	f.mu.Lock()
	if n := len(f.watchContexts); n != 1 {
		t.Errorf("%d watches were opened before a dial succeeded, want only the first one", n)
	}
	f.mu.Unlock()
	again.done(true)
	f.waitForWatches(t, 2)
	nextSnapshot(engine)
	if n := len(f.dials); n > 0 {
		t.Errorf("%d more dials after a dial succeeded, want none", n)
	}
}

// A heartbeat of an open watch ends the reconnect, because that watch has missed no change. A heartbeat of a watch at
// a previous address does not end it.
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
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed}) // a fetch beside the watch
	engine.WatchAlive(3)
	nextSnapshot(engine)
	time.Sleep(2 * time.Second) // without the heartbeat, a dial would start at most 1.5 s after the failure
	if n := len(f.dials); n > 0 {
		t.Errorf("%d dials although a watch sends heartbeats, want none", n)
	}
}
