package core

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cottonplank/decide"
)

// listSizes are the endpoint list sizes of tests and benchmarks that compare costs.
var listSizes = []int{600, 5000, 20_000}

// readyEndpoints returns n endpoints with different names and IDs.
func readyEndpoints(n int) (endpoints []Endpoint) {
	used := map[decide.ServerID]bool{}
	for i := 0; len(endpoints) < n; i++ {
		endpoint := readyEndpoint(fmt.Sprintf("s-%08x", i))
		if !used[endpoint.ID] {
			used[endpoint.ID] = true
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// allocatedBytes returns how many bytes a function allocates.
func allocatedBytes(do func()) (bytes uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// newStoppedEngine returns an engine with n endpoints whose event loop does not run, so that the test may call
// methods that belong to the event loop.
func newStoppedEngine(t testing.TB, n int) *Engine {
	t.Helper()
	engine, err := New(Config{
		MaxClients: 10,
		Log:        func(string) {},
		Settings: decide.Settings{
			Zone:      "a",
			WatchList: true,
			Classes:   []decide.Class{{Name: "solo-play", LatencyObjective: time.Second}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	engine.ctx, engine.prober, engine.discovery = context.Background(), &fakeDiscovery{}, &fakeDiscovery{}
	engine.handle(decide.Started{})
	engine.applyUpdate(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: readyEndpoints(n)})
	return engine
}

// The memory that a snapshot and a change of one endpoint allocate does not grow with the list. A detailed snapshot
// is taken only on request, and one serves all requests within snapshotInterval.
func TestSnapshotCostIsIndependentOfListSize(t *testing.T) {
	const (
		times    = 100
		maxBytes = 4096
	)
	for _, n := range listSizes {
		t.Run(fmt.Sprintf("%d endpoints", n), func(t *testing.T) {
			engine := newStoppedEngine(t, n)
			snapshots := allocatedBytes(func() {
				for range times {
					engine.publish()
				}
			})
			if got := snapshots / times; got > maxBytes {
				t.Errorf("a snapshot allocates %d bytes, want at most maxBytes", got)
			}
			if s := engine.Snapshot(); s.Listed != n || s.Ejected != 0 || s.Upstreams != nil {
				t.Errorf("got %d listed, %d ejected, %d entries, want all listed, none ejected and no entries",
					s.Listed, s.Ejected, len(s.Upstreams))
			}
			one := readyEndpoints(1)
			changes := allocatedBytes(func() {
				for i := range times {
					one[0].Weight = float64(1 + i%2)
					engine.applyUpdate(EndpointUpdate{Kind: decide.ListDelta, Endpoints: one})
				}
			})
			if got := changes / times; got > maxBytes {
				t.Errorf("a change of one endpoint allocates %d bytes, want at most maxBytes", got)
			}
			first := allocatedBytes(engine.publishDetailed)
			further := allocatedBytes(func() {
				for range times {
					engine.publishDetailed()
				}
			})
			if first < uint64(n)*64 || further > maxBytes {
				t.Errorf("a detailed snapshot allocates %d bytes, want 64*n or more; %d further requests %d, want at most maxBytes",
					first, times, further)
			}
			engine.now += detailedRetention + time.Second
			if engine.publish(); engine.detailedSnapshot.Load() != nil {
				t.Error("a detailed snapshot is kept after detailedRetention")
			}
		})
	}
}

// The entries of a detailed snapshot are sorted and up to date, and the counts of servers in a snapshot agree with
// them. The engine updates these counts with each change of the list, so a mistake in one change would make them
// wrong from then on.
func TestCountsAgreeWithDetailedSnapshot(t *testing.T) {
	t.Parallel()
	all := readyEndpoints(300)
	engine := startEngine(t, 10, all...)
	setState := func(state decide.State, from, to int) func() {
		return func() {
			var changed []Endpoint
			for _, endpoint := range all[from:to] {
				endpoint.State = state
				changed = append(changed, endpoint)
			}
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: changed})
		}
	}
	replaceList := func(endpoints []Endpoint) func() {
		return func() { engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: endpoints}) }
	}
	eject := func(endpoints ...Endpoint) func() {
		return func() {
			for _, endpoint := range endpoints {
				failed := decide.ProbeCompleted{Server: endpoint.ID, Code: decide.ServerError, Report: decide.NoLoadReport}
				engine.post(func() { engine.handle(failed) })
			}
		}
	}
	for _, step := range []struct {
		name   string
		change func()
		listed int
		// maxEjected is the maximum count of draining and ejected servers; there are fewer if an ejection has
		// expired.
		maxEjected int
	}{
		{"start", func() {}, 300, 0},
		{"20 drain", setState(decide.Draining, 0, 20), 300, 20},
		{"10 of the draining are reported as draining again", setState(decide.Draining, 10, 20), 300, 20},
		{"5 of the draining are removed", setState(decide.Removed, 0, 5), 295, 15},
		{"the 5 removed are reported as removed again", setState(decide.Removed, 0, 5), 295, 15},
		{"2 are ejected", eject(all[100], all[101]), 295, 17},
		{"one ejected drains", setState(decide.Draining, 100, 101), 295, 17},
		{"the other ejected is removed", setState(decide.Removed, 101, 102), 294, 16},
		{"the first 20 are ready", setState(decide.Ready, 0, 20), 299, 1},
		{"a snapshot lists 200, up to 2 of them ejected", replaceList(all[:200]), 200, 2},
		{"a snapshot is empty", replaceList(nil), 0, 0},
	} {
		t.Run(step.name, func(t *testing.T) {
			step.change()
			s := engine.CurrentSnapshot(10 * time.Second)
			if s.Listed != step.listed || s.Ejected > step.maxEjected {
				t.Errorf("got %d listed, %d ejected, want %d listed, at most %d ejected",
					s.Listed, s.Ejected, step.listed, step.maxEjected)
			}
			detailed := nextDetailedSnapshot(engine)
			s, listed, ejected := countUpstreams(engine)
			if s.Listed != listed || s.Ejected != ejected || len(detailed.Upstreams) != listed {
				t.Errorf("got %d listed, %d ejected, %d entries, want %d listed and as many entries, %d ejected",
					s.Listed, s.Ejected, len(detailed.Upstreams), listed, ejected)
			}
			for i := range detailed.Upstreams[min(1, len(detailed.Upstreams)):] {
				if detailed.Upstreams[i].ID >= detailed.Upstreams[i+1].ID {
					t.Fatalf("entry %d is out of order", i)
				}
			}
		})
	}
}

// countUpstreams visits all servers to count the listed ones, and among these the draining and ejected ones. It
// returns a snapshot that was taken at the same time.
func countUpstreams(engine *Engine) (s *Snapshot, listed, ejected int) {
	done := make(chan struct{})
	engine.post(func() {
		defer close(done)
		for _, u := range engine.upstreams.byID {
			if u.state == decide.Removed {
				continue
			}
			listed++
			if u.state == decide.Draining || engine.balancer.Ejected(u.ID) {
				ejected++
			}
		}
		engine.publish()
		s = engine.Snapshot()
	})
	<-done
	return s, listed, ejected
}

// BenchmarkEndpointList measures snapshots, detailed snapshots ("rows") and changes of the list for different list
// sizes. "change decided" is the part of "change" that the decision module takes.
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range listSizes {
		engine := newStoppedEngine(b, n)
		run := func(name string, do func()) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for b.Loop() {
					do()
				}
			})
		}
		run("snapshot", engine.publish)
		run("rows", func() {
			engine.now += snapshotInterval
			engine.publishDetailed()
		})
		one := readyEndpoints(1)
		run("change", func() { engine.applyUpdate(EndpointUpdate{Kind: decide.ListDelta, Endpoints: one}) })
		run("change decided", func() {
			engine.handle(decide.ListReceived{Kind: decide.ListDelta, Servers: []decide.Server{one[0].Server}})
		})
	}
}
