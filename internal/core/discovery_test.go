package core

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// SetDiscoveryAddress opens a watch at the new address immediately. A watch that is never answered is cancelled, even
// if another watch has been opened after it.
func TestSetDiscoveryAddressOpensWatchAtOnce(t *testing.T) {
	t.Parallel()
	f := &fakeDiscovery{}
	engine := runEngine(t, Config{MaxClients: 1, Settings: decide.Settings{
		Seed:    3,
		Zone:    "a",
		Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}},
	}}, f)
	engine.SetDiscoveryAddress("127.0.0.1:1")
	engine.SetDiscoveryAddress("127.0.0.1:2")
	nextSnapshot(engine)
	f.mu.Lock()
	got, first := strings.Join(f.requests, ", "), f.watchContexts[0]
	f.mu.Unlock()
	if got != "address 127.0.0.1:1, watch, address 127.0.0.1:2, watch" {
		t.Errorf("requests are %q, want a watch after each address", got)
	}
	select {
	case <-first.Done():
	case <-time.After(20 * time.Second):
		t.Error("the first watch was never answered and is not cancelled")
	}
}

// If a watch sends no heartbeats, a second one is opened beside it. That must happen well within 6 s, because by the
// operators' rules a balancer counts as notified of a change 6 s after discovery has it. A heartbeat of the old watch
// does not count as an answer of the new one, whose call times out.
func TestStaleWatchIsReplaced(t *testing.T) {
	t.Parallel()
	engine, f := startEngineWith(t, Config{})
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 1)
	engine.WatchAlive(1)
	lastHeartbeat := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(lastHeartbeat); d < 2*time.Second || d > 5*time.Second {
		t.Errorf("a watch was opened %v after the last heartbeat, want 2 s to 5 s", d)
	}
	engine.WatchAlive(1) // the old watch sends heartbeats again, and the new one does not answer
	f.mu.Lock()
	second := f.watchContexts[1]
	f.mu.Unlock()
	select {
	case <-second.Done():
	case <-time.After(20 * time.Second):
		t.Error("the second watch was never answered and is not cancelled")
	}
	nextSnapshot(engine)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	engine.WatchAlive(1) // the last heartbeat of the old watch, which becomes stale again
	f.waitForWatches(t, 3)
}

// If lists are pushed, a change takes effect as soon as discovery has it. So clients have to wait for the first list,
// and a broken watch is reopened within the drain grace.
func TestPushedListReconnectsWithinGrace(t *testing.T) {
	t.Parallel()
	const grace = 400 * time.Millisecond
	engine, f := startEngineWith(t, Config{ListPushed: true, Settings: decide.Settings{
		WatchList: true,
		Safety:    decide.SafetyLimits{DrainGrace: grace},
	}})
	f.waitForWatches(t, 1)
	if !engine.AwaitingFirstList() {
		t.Error("AwaitingFirstList is false before the first list")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	failed := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(failed); d > grace {
		t.Errorf("the watch was reopened after %v, want it within the drain grace of %v", d, grace)
	}
	engine.WatchAlive(2)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{readyEndpoint("s-1")}})
	if nextSnapshot(engine); engine.AwaitingFirstList() {
		t.Error("AwaitingFirstList is true after the first list")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	failed = time.Now()
	f.waitForWatches(t, 3)
	if d := time.Since(failed); d > grace {
		t.Errorf("the watch was reopened after %v, want it within the drain grace of %v", d, grace)
	}
}
