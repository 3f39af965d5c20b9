package hollow

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Nodes with and without full engines, started with and without a known list, end with the published list.
func TestNodesConverge(t *testing.T) {
	const nodes, changes = 5, 8
	for _, fullEngine := range []bool{false, true} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("full engine %v, known list %v", fullEngine, known), func(t *testing.T) {
				f := startFleet(t, fleetOptions{nodes: nodes, endpoints: 50, fullEngine: fullEngine, known: known})
				f.publishAndWait(t, changes)
				for _, n := range f.nodes {
					f.record(n.finalState())
				}
				want := FinalList{Version: 1 + changes, Digest: f.digest(1 + changes)}
				got := Check(f.events, want, Now()+time.Hour, time.Minute)
				if got.LostUpdates != 0 || got.Regressions != 0 || len(got.Latencies) != nodes*changes {
					t.Errorf("%+v, want %d latencies and nothing else", got, nodes*changes)
				}
			})
		}
	}
}

// The bytes and messages of an update do not grow with the size of the list, and the bytes of a snapshot grow in
// proportion to it. The test fails if a cost doubles, which would raise the kb_per_s results of a scale experiment
// and its control_mb_max.
func TestUpdateCost(t *testing.T) {
	const nodes = 10
	sizes := []int{200, 400, 800}
	for _, fullEngine := range []bool{false, true} {
		for _, endpoints := range sizes {
			t.Run(fmt.Sprintf("delta, full engine %v, %d endpoints", fullEngine, endpoints), func(t *testing.T) {
				options := fleetOptions{nodes: nodes, endpoints: endpoints, fullEngine: fullEngine, known: true}
				checkDeltaCost(t, startFleet(t, options))
			})
		}
	}
	for _, endpoints := range sizes {
		t.Run(fmt.Sprintf("snapshot, %d endpoints", endpoints), func(t *testing.T) {
			f := startFleet(t, fleetOptions{nodes: nodes, endpoints: endpoints})
			f.publishAndWait(t, 1)
			perEndpoint := float64(f.bytes()) / nodes / float64(endpoints)
			if perEndpoint < 100 || perEndpoint > 200 { // an entry has about 125 bytes
				t.Errorf("%.0f bytes for each endpoint, want 100 to 200", perEndpoint)
			} else {
				t.Logf("%.0f bytes for each endpoint", perEndpoint)
			}
		})
	}
}

// checkDeltaCost checks the cost of an update for each node of a fleet.
func checkDeltaCost(t *testing.T, f *fleet) {
	t.Helper()
	const changes = 20
	nodes := float64(len(f.nodes))
	f.publishAndWait(t, 1)
	bytesBefore, before := f.bytes(), f.server.Traffic()
	f.publishAndWait(t, changes)
	bytes, after := f.bytes()-bytesBefore, f.server.Traffic()
	// An update is one message of about 170 bytes with its framing. Heartbeats may add to that. A second watch may add
	// to it as well: at its first poll, after a random delay, each node replaces the watch that it opened at its start.
	if perChange := float64(bytes) / nodes / changes; perChange < 100 || perChange > 280 {
		t.Errorf("%.0f bytes for each update, want 100 to 280", perChange)
	} else {
		t.Logf("%.0f bytes for each update", perChange)
	}
	if perChange := float64(after.Messages-before.Messages) / nodes / changes; perChange < 1 || perChange > 1.5 {
		t.Errorf("%.2f messages for each update, want 1 to 1.5", perChange)
	}
	if calls := after.Calls - before.Calls; calls > uint64(len(f.nodes)) {
		t.Errorf("%d calls for updates, want at most one for each node", calls)
	}
}

// liveHeap returns the size of the live objects on the heap in bytes.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memoryPerEndpoint is the memory of one endpoint in an engine and in the engine's copy of the list, in bytes.
const memoryPerEndpoint = 800

// The memory of an engine grows in proportion to the number of endpoints. The test fails if the memory for each
// endpoint doubles, which would raise the control_mb_max of a scale experiment.
func TestEngineMemory(t *testing.T) {
	const nodes = 4
	var sizes []float64
	for _, endpoints := range []int{1000, 2000, 4000} {
		before := liveHeap()
		f := startFleet(t, fleetOptions{nodes: nodes, endpoints: endpoints, fullEngine: true, known: true})
		f.publishAndWait(t, 2)
		sizes = append(sizes, (liveHeap()-before)/nodes)
	}
	// Hash tables grow by doubling. For that reason the slope is measured over two doublings of the list.
	perEndpoint := (sizes[2] - sizes[0]) / 3000
	if perEndpoint < memoryPerEndpoint*0.7 || perEndpoint > memoryPerEndpoint*1.4 {
		t.Errorf("%.0f bytes for each endpoint of an engine, want about %d: %.0f",
			perEndpoint, memoryPerEndpoint, sizes)
	}
	t.Logf("%.0f bytes", sizes)
}
