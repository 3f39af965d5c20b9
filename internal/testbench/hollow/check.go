// Package hollow holds the parts of a scale run: hollow balancers, which are the control code alone, many to a process;
// the links between them and their sources; and the checker of what they tell.
package hollow

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cottonplank/decide"
)

// Kind says what happened.
type Kind uint8

// The kinds of event, and which fields of Event they use besides At.
const (
	VersionPublished Kind = iota // Version: the list has a new version
	NodeReachable                // Balancer: from now on what is published can reach it
	NodeUnreachable              // Balancer: from now on it cannot
	NodeStarted                  // Balancer, Version: a process began under this name, with the list of that version; 0: with none
	VersionApplied               // Balancer, Version, Whole: the version is in force, told as a change or with the whole list
	FinalState                   // Balancer, Version, Digest: at the end of the run
)

// Event is one thing that happened.
type Event struct {
	At       time.Duration `json:"At"`
	Kind     Kind          `json:"Kind"`
	Node     int           `json:"Balancer"`
	Version  int64         `json:"Version"`
	Snapshot bool          `json:"Whole"`
	Digest   uint64        `json:"Digest"`
}

// Findings are what a run's events show.
type Findings struct {
	Latencies   []time.Duration // from a version's publishing, or the balancer's being reachable if that is later, to its being in force
	LostUpdates int             // changes that a balancer skipped, and balancers that did not have the list at the end
	Regressions int             // times that a balancer's version went down
	Violations  []string        // each of both, in words
}

// Check goes over the events of a run. Balancers that can be reached for at least so long at the end must have the
// list of that version and digest.
func Check(events []Event, version int64, digest uint64, end, within time.Duration) Findings {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	var start time.Duration // of the times in words
	if len(events) > 0 {
		start = events[0].At
	}
	published := map[int64]time.Duration{}
	for _, e := range events {
		if e.Kind == VersionPublished {
			published[e.Version] = e.At
		}
	}
	type balancer struct {
		reachable bool
		since     time.Duration
		has, best int64
		final     *Event
	}
	var f Findings
	all := map[int]*balancer{}
	for _, e := range events {
		if e.Kind == VersionPublished {
			continue
		}
		b := all[e.Node]
		if b == nil {
			b = &balancer{}
			all[e.Node] = b
		}
		switch e.Kind {
		case NodeReachable:
			if !b.reachable {
				b.reachable, b.since = true, e.At
			}
		case NodeUnreachable:
			b.reachable = false
		case NodeStarted:
			b.has, b.best = e.Version, max(b.best, e.Version)
		case VersionApplied:
			if e.Version < b.has {
				f.Regressions++
				f.breaks("%v: hollow balancer %d went back from version %d to %d", e.At-start, e.Node, b.has, e.Version)
			}
			if !e.Snapshot && b.has > 0 && e.Version > b.has+1 {
				f.LostUpdates += int(e.Version - b.has - 1)
				f.breaks("%v: hollow balancer %d was told version %d after %d", e.At-start, e.Node, e.Version, b.has)
			}
			for v := b.best + 1; v <= e.Version; v++ {
				if at, ok := published[v]; ok {
					f.Latencies = append(f.Latencies, e.At-max(at, b.since))
				}
			}
			b.has, b.best = e.Version, max(b.best, e.Version)
		case FinalState:
			b.final = &e
		}
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		b := all[id]
		switch {
		case !b.reachable || end-b.since < within:
			continue
		case b.final == nil:
			f.breaks("hollow balancer %d has not told what it has", id)
		case b.final.Version != version:
			f.breaks("hollow balancer %d has version %d at the end, not %d", id, b.final.Version, version)
		case b.final.Digest != digest:
			f.breaks("hollow balancer %d has another list at the end, of version %d", id, version)
		default:
			continue
		}
		f.LostUpdates++
	}
	return f
}

func (f *Findings) breaks(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Digest is what one room server adds to a list's digest: the digests of all of them, in any order, are combined by XOR.
func Digest(instance, address, zone string, state decide.State) uint64 {
	h := fnv.New64a()
	for _, s := range []string{instance, address, zone} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write([]byte{byte(state)})
	return h.Sum64()
}
