package hollow

import (
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// testNode is the number of the node in the events of TestCheck.
	testNode = 4
)

// at returns an event of the test's node.
func at(when time.Duration, kind Kind, version int64) Event {
	return Event{At: when, Kind: kind, Node: testNode, Version: version}
}

// applied returns the event of a version's having been applied as a delta.
func applied(when time.Duration, version int64) Event {
	return at(when, VersionApplied, version)
}

// snapshotApplied returns the event of a version's having been applied in a snapshot.
func snapshotApplied(when time.Duration, version int64) Event {
	return Event{At: when, Kind: VersionApplied, Node: testNode, Version: version, Snapshot: true}
}

// Check finds each fault and reports none for histories that only resemble one. Every scale run relies on this.
func TestCheck(t *testing.T) {
	const (
		digest = 77
		end    = 10_000 * ms
		grace  = 6 * time.Second
	)
	begin := []Event{
		at(0, NodeReachable, 0),
		at(0, NodeStarted, 1),
		{At: 100 * ms, Kind: VersionPublished, Version: 2},
		{At: 200 * ms, Kind: VersionPublished, Version: 3},
	}
	final := func(version int64, digest uint64) Event {
		return Event{At: end, Kind: FinalState, Node: testNode, Version: version, Digest: digest}
	}
	good := final(3, digest)
	inOrder := []time.Duration{10 * ms, 30 * ms}
	for name, v := range map[string]struct {
		events      []Event
		lost        int
		regressions int
		latencies   []time.Duration
	}{
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
		"never applied": {
			events:    []Event{applied(110*ms, 2), final(2, digest)},
			lost:      1,
			latencies: []time.Duration{10 * ms},
		},
		"another list": {
			events:    []Event{applied(110*ms, 2), applied(230*ms, 3), final(3, digest+1)},
			lost:      1,
			latencies: inOrder,
		},
		"no final state": {events: []Event{applied(110*ms, 2), applied(230*ms, 3)}, lost: 1, latencies: inOrder},
		"unreachable": {
			events:    []Event{applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), final(2, 1)},
			latencies: []time.Duration{10 * ms},
		},
		"reachable for less than the grace period": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), at(4001*ms, NodeReachable, 0), final(2, 1),
			},
			latencies: []time.Duration{10 * ms},
		},
		"reachable for the grace period": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0), at(4000*ms, NodeReachable, 0), final(2, 1),
			},
			lost:      1,
			latencies: []time.Duration{10 * ms},
		},
		"latency since it is reachable": {
			events: []Event{
				applied(110*ms, 2), at(150*ms, NodeUnreachable, 0),
				at(900*ms, NodeReachable, 0), applied(950*ms, 3), good,
			},
			latencies: []time.Duration{10 * ms, 50 * ms},
		},
		"slow": {
			events:    []Event{applied(110*ms, 2), applied(9000*ms, 3), good},
			latencies: []time.Duration{10 * ms, 8800 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := Check(slices.Concat(begin, v.events), FinalList{Version: 3, Digest: digest}, end, grace)
			if f.LostUpdates != v.lost || f.Regressions != v.regressions || len(f.Violations) != v.lost+v.regressions {
				t.Errorf("%+v, want %d lost updates, %d regressions", f, v.lost, v.regressions)
			}
			if !slices.Equal(f.Latencies, v.latencies) {
				t.Errorf("latencies %v, want %v", f.Latencies, v.latencies)
			}
		})
	}
}
