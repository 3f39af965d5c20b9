package hollow

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each fault is found, and what looks like one and is none is not. Guards every scale run against a checker that sees
// nothing.
func TestCheck(t *testing.T) {
	const digest = 77
	begin := []Event{{Kind: NodeReachable, Node: 4}, {Kind: NodeStarted, Node: 4, Version: 1}, {At: 100 * ms, Kind: VersionPublished, Version: 2},
		{At: 200 * ms, Kind: VersionPublished, Version: 3}}
	has := func(at time.Duration, v int64) Event { return Event{At: at, Kind: VersionApplied, Node: 4, Version: v} }
	ends := func(v int64, d uint64) Event {
		return Event{At: 10_000 * ms, Kind: FinalState, Node: 4, Version: v, Digest: d}
	}
	good := ends(3, digest)
	for name, v := range map[string]struct {
		events     []Event
		lost, back int
		took       []time.Duration
	}{
		"all in force":      {[]Event{has(110*ms, 2), has(230*ms, 3), good}, 0, 0, []time.Duration{10 * ms, 30 * ms}},
		"told twice":        {[]Event{has(110*ms, 2), has(120*ms, 2), has(230*ms, 3), good}, 0, 0, []time.Duration{10 * ms, 30 * ms}},
		"one skipped":       {[]Event{has(230*ms, 3), good}, 1, 0, []time.Duration{130 * ms, 30 * ms}},
		"in the whole list": {[]Event{{At: 230 * ms, Kind: VersionApplied, Node: 4, Version: 3, Snapshot: true}, good}, 0, 0, []time.Duration{130 * ms, 30 * ms}},
		"went back":         {[]Event{has(110*ms, 2), has(230*ms, 3), has(300*ms, 2), good}, 0, 1, []time.Duration{10 * ms, 30 * ms}},
		"a new process": {[]Event{has(110*ms, 2), has(230*ms, 3), {At: 300 * ms, Kind: NodeStarted, Node: 4, Version: 1}, has(310*ms, 2),
			has(311*ms, 3), good}, 0, 0, []time.Duration{10 * ms, 30 * ms}},
		"never in force":    {[]Event{has(110*ms, 2), ends(2, digest)}, 1, 0, []time.Duration{10 * ms}},
		"another list":      {[]Event{has(110*ms, 2), has(230*ms, 3), ends(3, digest+1)}, 1, 0, []time.Duration{10 * ms, 30 * ms}},
		"silent at the end": {[]Event{has(110*ms, 2), has(230*ms, 3)}, 1, 0, []time.Duration{10 * ms, 30 * ms}},
		"not reachable":     {[]Event{has(110*ms, 2), {At: 150 * ms, Kind: NodeUnreachable, Node: 4}, ends(2, 1)}, 0, 0, []time.Duration{10 * ms}},
		"just reachable": {[]Event{has(110*ms, 2), {At: 150 * ms, Kind: NodeUnreachable, Node: 4}, {At: 4001 * ms, Kind: NodeReachable, Node: 4}, ends(2, 1)},
			0, 0, []time.Duration{10 * ms}},
		"reachable for long": {[]Event{has(110*ms, 2), {At: 150 * ms, Kind: NodeUnreachable, Node: 4}, {At: 4000 * ms, Kind: NodeReachable, Node: 4}, ends(2, 1)},
			1, 0, []time.Duration{10 * ms}},
		"from being reachable": {[]Event{has(110*ms, 2), {At: 150 * ms, Kind: NodeUnreachable, Node: 4}, {At: 900 * ms, Kind: NodeReachable, Node: 4},
			has(950*ms, 3), good}, 0, 0, []time.Duration{10 * ms, 50 * ms}},
		"slow": {[]Event{has(110*ms, 2), has(9000*ms, 3), good}, 0, 0, []time.Duration{10 * ms, 8800 * ms}},
	} {
		f := Check(append(append([]Event{}, begin...), v.events...), 3, digest, 10_000*ms, 6*time.Second)
		if f.LostUpdates != v.lost || f.Regressions != v.back || len(f.Violations) != v.lost+v.back || len(f.Latencies) != len(v.took) {
			t.Errorf("%s: %+v", name, f)
			continue
		}
		for i := range v.took {
			if f.Latencies[i] != v.took[i] {
				t.Errorf("%s: %v", name, f.Latencies)
			}
		}
	}
}
