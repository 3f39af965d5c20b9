package hollow

import (
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// testNode is the number of the node in the events of these tests.
	testNode = 4
)

// at returns an event of testNode.
func at(when time.Duration, kind Kind, version int64) Event {
	return Event{At: when, Kind: kind, Node: testNode, Version: version}
}

// applied returns the event that the node has applied a version as a delta.
func applied(when time.Duration, version int64) Event {
	return at(when, VersionApplied, version)
}

// snapshotApplied returns the event that the node has applied a version as a snapshot.
func snapshotApplied(when time.Duration, version int64) Event {
	return Event{At: when, Kind: VersionApplied, Node: testNode, Version: version, Snapshot: true}
}

// The run of these tests publishes versions 2 and 3. The node must have version 3 at the end.
const (
	finalDigest = 77
	endOfRun    = 10_000 * ms
	gracePeriod = 6 * time.Second
)

// finalState returns the event of the node's final state.
func finalState(version int64, digest uint64) Event {
	return Event{At: endOfRun, Kind: FinalState, Node: testNode, Version: version, Digest: digest}
}

// good is the final state of a node with the final list.
var good = finalState(3, finalDigest)

// inOrder are the latencies of a node that applies version 2 at 110 ms and version 3 at 230 ms.
var inOrder = []time.Duration{10 * ms, 30 * ms}

// checkCase is a history of the node and the expected findings.
type checkCase struct {
	events      []Event
	lost        int
	regressions int
	latencies   []time.Duration
}

// runCheckCases checks that Check returns the expected findings of each case.
func runCheckCases(t *testing.T, cases map[string]checkCase) {
	t.Helper()
	begin := []Event{
		at(0, NodeReachable, 0),
		at(0, NodeStarted, 1),
		{At: 100 * ms, Kind: VersionPublished, Version: 2},
		{At: 200 * ms, Kind: VersionPublished, Version: 3},
	}
	want := FinalList{Version: 3, Digest: finalDigest}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			f := Check(slices.Concat(begin, v.events), want, endOfRun, gracePeriod)
			if f.LostUpdates != v.lost || f.Regressions != v.regressions || len(f.Violations) != v.lost+v.regressions {
				t.Errorf("%+v, want %d lost updates, %d regressions", f, v.lost, v.regressions)
			}
			if !slices.Equal(f.Latencies, v.latencies) {
				t.Errorf("latencies %v, want %v", f.Latencies, v.latencies)
			}
		})
	}
}

// Check finds skipped versions and regressions, and measures the latency of each version.
func TestCheckVersions(t *testing.T) {
	runCheckCases(t, map[string]checkCase{
		"all applied": {events: []Event{applied(110*ms, 2), applied(230*ms, 3), good}, latencies: inOrder},
		"applied twice": {
			events:    []Event{applied(110*ms, 2), applied(120*ms, 2), applied(230*ms, 3), good},
			latencies: inOrder,
		},
		"one skipped":   {events: []Event{applied(230*ms, 3), good}, lost: 1, latencies: []time.Duration{130 * ms, 30 * ms}},
		"in a snapshot": {events: []Event{snapshotApplied(230*ms, 3), good}, latencies: []time.Duration{130 * ms, 30 * ms}},
		"regression": {
			events:      []Event{applied(110*ms, 2), applied(230*ms, 3), applied(300*ms, 2), good},
			regressions: 1,
			latencies:   inOrder,
		},
		"a new process": {
			events: []Event{
				applied(110*ms, 2), applied(230*ms, 3),
				at(300*ms, NodeStarted, 1), applied(310*ms, 2), applied(311*ms, 3), good,
			},
			latencies: inOrder,
		},
		"latency since the node is reachable": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0),
				at(900*ms, NodeReachable, 0), applied(950*ms, 3), good,
			},
			latencies: []time.Duration{10 * ms, 50 * ms},
		},
		"high latency without a violation": {
			events:    []Event{applied(110*ms, 2), applied(9000*ms, 3), good},
			latencies: []time.Duration{10 * ms, 8800 * ms},
		},
	})
}

// Check finds the nodes without the final list, except those that were not reachable for the whole grace period
// before the end.
func TestCheckFinalState(t *testing.T) {
	runCheckCases(t, map[string]checkCase{
		"never applied": {
			events:    []Event{applied(110*ms, 2), finalState(2, finalDigest)},
			lost:      1,
			latencies: []time.Duration{10 * ms},
		},
		"another list": {
			events:    []Event{applied(110*ms, 2), applied(230*ms, 3), finalState(3, finalDigest+1)},
			lost:      1,
			latencies: inOrder,
		},
		"no final state": {events: []Event{applied(110*ms, 2), applied(230*ms, 3)}, lost: 1, latencies: inOrder},
		"unreachable": {
			events:    []Event{applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), finalState(2, 1)},
			latencies: []time.Duration{10 * ms},
		},
		"reachable for less than the grace period": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), at(4001*ms, NodeReachable, 0), finalState(2, 1),
			},
			latencies: []time.Duration{10 * ms},
		},
		"reachable for the grace period": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), at(4000*ms, NodeReachable, 0), finalState(2, 1),
			},
			lost:      1,
			latencies: []time.Duration{10 * ms},
		},
	})
}
