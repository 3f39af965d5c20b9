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
	Published Kind = iota // Version: the list has a new version
	Reachable             // Balancer: from now on what is published can reach it
	Cut                   // Balancer: from now on it cannot
	Fresh                 // Balancer, Version: a process began under this name, with the list of that version; 0: with none
	InForce               // Balancer, Version, Whole: the version is in force, told as a change or with the whole list
	Final                 // Balancer, Version, Digest: at the end of the run
)

// Event is one thing that happened.
type Event struct {
	At       time.Duration `json:"At"`
	Kind     Kind          `json:"Kind"`
	Balancer int           `json:"Balancer"`
	Version  int64         `json:"Version"`
	Whole    bool          `json:"Whole"`
	Digest   uint64        `json:"Digest"`
}

// Findings are what a run's events show.
type Findings struct {
	Took     []time.Duration // from a version's publishing, or the balancer's being reachable if that is later, to its being in force
	Lost     int             // changes that a balancer skipped, and balancers that did not have the list at the end
	WentBack int             // times that a balancer's version went down
	Broken   []string        // each of both, in words
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
		if e.Kind == Published {
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
		if e.Kind == Published {
			continue
		}
		b := all[e.Balancer]
		if b == nil {
			b = &balancer{}
			all[e.Balancer] = b
		}
		switch e.Kind {
		case Reachable:
			if !b.reachable {
				b.reachable, b.since = true, e.At
			}
		case Cut:
			b.reachable = false
		case Fresh:
			b.has, b.best = e.Version, max(b.best, e.Version)
		case InForce:
			if e.Version < b.has {
				f.WentBack++
				f.breaks("%v: hollow balancer %d went back from version %d to %d", e.At-start, e.Balancer, b.has, e.Version)
			}
			if !e.Whole && b.has > 0 && e.Version > b.has+1 {
				f.Lost += int(e.Version - b.has - 1)
				f.breaks("%v: hollow balancer %d was told version %d after %d", e.At-start, e.Balancer, e.Version, b.has)
			}
			for v := b.best + 1; v <= e.Version; v++ {
				if at, ok := published[v]; ok {
					f.Took = append(f.Took, e.At-max(at, b.since))
				}
			}
			b.has, b.best = e.Version, max(b.best, e.Version)
		case Final:
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
		f.Lost++
	}
	return f
}

func (f *Findings) breaks(format string, args ...any) {
	f.Broken = append(f.Broken, fmt.Sprintf(format, args...))
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
