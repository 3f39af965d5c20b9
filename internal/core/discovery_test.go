package core

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// A new address takes effect at once, with a watch there. A watch that never answers ends even though a later
// one was opened.
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
		t.Errorf("requests are %q", got)
	}
	select {
	case <-first.Done():
	case <-time.After(20 * time.Second):
		t.Error("the first watch, which is never answered, does not end")
	}
}

// A watch without heartbeats is replaced by a second one beside it, well before a missed change becomes
// binding after 6 s. A heartbeat of the old watch does not count as an answer of the new one, whose call
// times out.
func TestStaleWatchIsReplaced(t *testing.T) {
	t.Parallel()
	engine, f := startEngineWith(t, Config{})
	engine.SetDiscoveryAddress("127.0.0.1:1")
	f.waitForWatches(t, 1)
	engine.WatchAlive(1)
	lastHeartbeat := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(lastHeartbeat); d < 2*time.Second || d > 5*time.Second {
		t.Errorf("reopened after %v, a heartbeat comes every 2 s", d)
	}
	engine.WatchAlive(1) // the old watch recovers, the new one does not answer
	f.mu.Lock()
	second := f.watchContexts[1]
	f.mu.Unlock()
	select {
	case <-second.Done():
	case <-time.After(20 * time.Second):
		t.Error("the second watch, which is never answered, does not end")
	}
	nextSnapshot(engine)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	engine.WatchAlive(1) // the old watch becomes stale once more
	f.waitForWatches(t, 3)
}

// Where lists are pushed, a change is binding as soon as discovery has it: frontends make clients wait for
// the first list, and a broken watch is reopened within the drain grace.
func TestPushedListReconnectsWithinGrace(t *testing.T) {
	t.Parallel()
	const grace = 400 * time.Millisecond
	engine, f := startEngineWith(t, Config{ListPushed: true, Settings: decide.Settings{
		WatchList: true,
		Safety:    decide.SafetyLimits{DrainGrace: grace},
	}})
	f.waitForWatches(t, 1)
	if !engine.AwaitingFirstList() {
		t.Error("clients do not wait for the first list")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	failed := time.Now()
	f.waitForWatches(t, 2)
	if d := time.Since(failed); d > grace {
		t.Errorf("reopened after %v, the drain grace is %v", d, grace)
	}
	engine.WatchAlive(2)
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: []Endpoint{readyEndpoint("s-1")}})
	if nextSnapshot(engine); engine.AwaitingFirstList() {
		t.Error("clients wait although the first list is there")
	}
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	failed = time.Now()
	f.waitForWatches(t, 3)
	if d := time.Since(failed); d > grace {
		t.Errorf("reopened after %v, the drain grace is %v", d, grace)
	}
}
