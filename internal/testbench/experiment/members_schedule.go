package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cottonplank/internal/testbench/faultproxy"
)

// memberFaultKind is a kind of fault between the members.
type memberFaultKind string

const (
	faultKill      memberFaultKind = "kill"      // by kill -9, for good
	faultRestart   memberFaultKind = "restart"   // by kill -9, and a new process at once
	faultStop      memberFaultKind = "stop"      // in order, by SIGTERM
	faultPause     memberFaultKind = "pause"     // SIGSTOP, and SIGCONT after For
	faultOneWay    memberFaultKind = "one-way"   // what Members[0] sends to Members[1] is held back
	faultPair      memberFaultKind = "pair"      // the same both ways
	faultMute      memberFaultKind = "mute"      // nobody hears Members[0], which hears all
	faultDeaf      memberFaultKind = "deaf"      // Members[0] hears nobody, and all hear it
	faultPartition memberFaultKind = "partition" // Members are cut off from the others
	faultNoise     memberFaultKind = "noise"     // all paths lose, double, delay and reorder
	faultCold      memberFaultKind = "cold"      // a new room server joins, cold
)

// memberFault is one of a schedule.
type memberFault struct {
	At      time.Duration
	For     time.Duration // 0: it has no end
	Kind    memberFaultKind
	Members []int
	Noise   faultproxy.Conditions
}

func (f memberFault) String() string {
	text := fmt.Sprintf("%s %v", f.Kind, f.Members)
	if f.Kind == faultNoise {
		text = fmt.Sprintf("%s: %.0f %% lost, %.0f %% doubled, %.0f %% reordered, %v and up to %v more", f.Kind, 100*f.Noise.Loss,
			100*f.Noise.Duplicate, 100*f.Noise.Reorder, f.Noise.Delay, f.Noise.Jitter)
	}
	if f.For > 0 {
		text += fmt.Sprintf(" for %v", f.For)
	}
	return text
}

// Times of a schedule. Kills come while little else goes on that hides them; a partition and noise come after them.
const (
	killsFrom     = 4 * time.Second
	killsUntil    = 7 * time.Second
	quietUntil    = 20 * time.Second // before it pairs and pauses alone are disturbed
	faultsUntil   = 36 * time.Second
	partitionPart = 3 // one of so many members is on the smaller side at most
)

// drawMemberFaults draws the faults of a run of n instances from a seed, the earliest first. Each member has one fault
// at a time, but for noise and pairs; the first instance, every other's seed, is never killed for good.
func drawMemberFaults(n int, seed uint64) []memberFault {
	s := &memberSchedule{n: n, rng: rand.New(rand.NewPCG(seed, 5)), gone: map[int]bool{0: true}}
	for range 3 {
		s.add(memberFault{At: s.between(killsFrom, killsUntil), Kind: faultKill, Members: []int{s.ends()}})
	}
	for range 2 {
		s.add(memberFault{At: s.between(killsUntil, quietUntil), Kind: faultStop, Members: []int{s.ends()}})
	}
	s.add(memberFault{At: quietUntil, For: s.between(5*time.Second, 7*time.Second), Kind: faultPause, Members: s.some(3)})
	for range 5 {
		s.add(memberFault{At: s.between(killsUntil, faultsUntil-8*time.Second), For: s.between(2*time.Second, 7500*time.Millisecond),
			Kind: faultPause, Members: s.some(1)})
	}
	for range 4 {
		s.add(memberFault{At: s.between(killsUntil, faultsUntil-time.Second), Kind: faultRestart, Members: s.some(1)})
	}
	for _, kind := range []memberFaultKind{faultOneWay, faultOneWay, faultOneWay, faultOneWay, faultOneWay, faultPair, faultPair, faultPair} {
		s.add(memberFault{At: s.between(killsFrom, 24*time.Second), For: s.between(4*time.Second, 12*time.Second), Kind: kind, Members: s.some(2)})
	}
	for _, kind := range []memberFaultKind{faultMute, faultDeaf} {
		s.add(memberFault{At: s.between(14*time.Second, quietUntil), For: s.between(6*time.Second, 12*time.Second), Kind: kind, Members: s.some(1)})
	}
	s.add(memberFault{At: s.between(quietUntil, 24*time.Second), For: s.between(6*time.Second, 10*time.Second), Kind: faultPartition,
		Members: s.some(n / partitionPart)})
	for _, noise := range []faultproxy.Conditions{{Loss: 0.4}, {Duplicate: 0.3, Reorder: 0.3, Jitter: 30 * time.Millisecond},
		{Delay: 60 * time.Millisecond, Jitter: 40 * time.Millisecond}} {
		s.add(memberFault{At: s.between(quietUntil, 26*time.Second), For: s.between(3*time.Second, 8*time.Second), Kind: faultNoise, Noise: noise})
	}
	for range 2 {
		s.add(memberFault{At: s.between(killsFrom, 30*time.Second), Kind: faultCold})
	}
	slices.SortStableFunc(s.faults, func(a, b memberFault) int { return cmp.Compare(a.At, b.At) })
	return s.faults
}

type memberSchedule struct {
	n      int
	rng    *rand.Rand
	gone   map[int]bool // members that end for good, and the seed
	faults []memberFault
}

func (s *memberSchedule) add(f memberFault) { s.faults = append(s.faults, f) }

func (s *memberSchedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from))).Round(time.Millisecond)
}

// ends draws a member that ends for good.
func (s *memberSchedule) ends() int {
	for {
		if i := s.rng.IntN(s.n); !s.gone[i] {
			s.gone[i] = true
			return i
		}
	}
}

// some draws members that do not end for good.
func (s *memberSchedule) some(count int) (members []int) {
	for _, i := range s.rng.Perm(s.n) {
		if (i == 0 || !s.gone[i]) && len(members) < count {
			members = append(members, i)
		}
	}
	return members
}
