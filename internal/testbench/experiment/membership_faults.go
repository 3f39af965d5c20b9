package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cottonplank/internal/testbench/faultproxy"
)

// membershipFaultKind is the kind of a membershipFault, as progress lines show it.
type membershipFaultKind string

const (
	// faultKill kills Members[0] by SIGKILL.
	faultKill membershipFaultKind = "kill"
	// faultRestart kills Members[0] by SIGKILL and immediately starts it again.
	faultRestart membershipFaultKind = "restart"
	// faultStop stops Members[0] gracefully.
	faultStop membershipFaultKind = "stop"
	// faultPause pauses Members by SIGSTOP, and continues them by SIGCONT at its end.
	faultPause membershipFaultKind = "pause"
	// faultOneWay cuts the path from Members[0] to Members[1].
	faultOneWay membershipFaultKind = "one-way"
	// faultPair cuts the paths between Members[0] and Members[1] in both directions.
	faultPair membershipFaultKind = "pair"
	// faultOutbound cuts all paths from Members[0].
	faultOutbound membershipFaultKind = "mute"
	// faultInbound cuts all paths to Members[0].
	faultInbound membershipFaultKind = "deaf"
	// faultPartition cuts all paths between Members and the other instances in both directions.
	faultPartition membershipFaultKind = "partition"
	// faultNoise loses, duplicates, delays and reorders datagrams on all paths. Loss and Delay also apply to streams, see
	// faultproxy.Conditions.
	faultNoise membershipFaultKind = "noise"
	// faultNewRoomServer adds a cold room server, which must warm up.
	faultNewRoomServer membershipFaultKind = "cold"
)

// membershipFault is a fault of a membership run.
type membershipFault struct {
	// At is the time since the players start, when all instances have joined.
	At time.Duration
	// For is the duration; 0 for kills, restarts, stops and new room servers, which the run does not revert.
	For  time.Duration
	Kind membershipFaultKind
	// Members holds the indexes of the instances that the fault concerns.
	Members []int
	// Noise holds the conditions of all paths, for faultNoise.
	Noise faultproxy.Conditions
}

// String describes the fault for a progress line.
func (f membershipFault) String() string {
	text := fmt.Sprintf("%s %v", f.Kind, f.Members)
	if f.Kind == faultNoise {
		text = fmt.Sprintf("%s: %.0f %% lost, %.0f %% duplicated, %.0f %% reordered, delay %v plus up to %v", f.Kind,
			100*f.Noise.Loss, 100*f.Noise.Duplicate, 100*f.Noise.Reorder, f.Noise.Delay, f.Noise.Jitter)
	}
	if f.For > 0 {
		text += fmt.Sprintf(" for %v", f.For)
	}
	return text
}

// cuts reports whether the fault cuts the path between two instances.
func (f membershipFault) cuts(from, to int) bool {
	switch f.Kind {
	case faultOneWay:
		return from == f.Members[0] && to == f.Members[1]
	case faultPair:
		return from == f.Members[0] && to == f.Members[1] || from == f.Members[1] && to == f.Members[0]
	case faultOutbound:
		return from == f.Members[0]
	case faultInbound:
		return to == f.Members[0]
	case faultPartition:
		return slices.Contains(f.Members, from) != slices.Contains(f.Members, to)
	}
	return false
}

// Phases of the faults, as times since the players start. Kills are early, when few other faults can delay their
// detection.
const (
	// killsFrom and killsUntil bound the times of kills.
	killsFrom  = 4 * time.Second
	killsUntil = 7 * time.Second
	// wideFaultsFrom is the earliest time of the faults that concern several instances at once: the pause of three
	// instances, the partition and the noise. Stops, and cuts of all paths from or to one instance, begin earlier.
	wideFaultsFrom = 20 * time.Second
	// faultsUntil is the time by which all faults have ended.
	faultsUntil = 36 * time.Second
	// partitionDivisor divides the number of instances into the size of the smaller side of the partition.
	partitionDivisor = 3
)

// membershipSchedule draws the faults of a run.
type membershipSchedule struct {
	instances int
	rng       *rand.Rand
	// reserved holds the instances that no further kill or stop may draw: those that were drawn for one already, and
	// the first instance.
	reserved map[int]bool
	faults   []membershipFault
}

// drawMembershipFaults draws the faults of a run from a seed and returns them in the order of their times. Faults may
// overlap; membershipRun skips pauses and restarts of instances that are paused or not running. The first instance,
// which is the gossip seed of the others, may be paused or restarted, but is never killed or stopped without a restart.
func drawMembershipFaults(instances int, seed uint64) []membershipFault {
	s := &membershipSchedule{
		instances: instances,
		rng:       rand.New(rand.NewPCG(seed, 5)),
		reserved:  map[int]bool{0: true},
	}
	s.drawKillsAndStops()
	s.drawPausesAndRestarts()
	s.drawCuts()
	s.drawNoise()
	s.drawNewRoomServers()
	slices.SortStableFunc(s.faults, func(a, b membershipFault) int { return cmp.Compare(a.At, b.At) })
	return s.faults
}

// drawKillsAndStops draws kills and graceful stops of instances that are not started again.
func (s *membershipSchedule) drawKillsAndStops() {
	for range 3 {
		s.add(membershipFault{
			At:      s.between(killsFrom, killsUntil),
			Kind:    faultKill,
			Members: []int{s.reserveMember()},
		})
	}
	for range 2 {
		s.add(membershipFault{
			At:      s.between(killsUntil, wideFaultsFrom),
			Kind:    faultStop,
			Members: []int{s.reserveMember()},
		})
	}
}

// drawPausesAndRestarts draws pauses, one of several instances together, and restarts.
func (s *membershipSchedule) drawPausesAndRestarts() {
	s.add(membershipFault{
		At:      wideFaultsFrom,
		For:     s.between(5*time.Second, 7*time.Second),
		Kind:    faultPause,
		Members: s.someMembers(3),
	})
	for range 5 {
		s.add(membershipFault{
			At:      s.between(killsUntil, faultsUntil-8*time.Second),
			For:     s.between(2*time.Second, 7500*time.Millisecond),
			Kind:    faultPause,
			Members: s.someMembers(1),
		})
	}
	for range 4 {
		s.add(membershipFault{
			At:      s.between(killsUntil, faultsUntil-time.Second),
			Kind:    faultRestart,
			Members: s.someMembers(1),
		})
	}
}

// drawCuts draws cuts of single paths, of all paths from or to an instance, and a partition.
func (s *membershipSchedule) drawCuts() {
	for _, kind := range []membershipFaultKind{
		faultOneWay, faultOneWay, faultOneWay, faultOneWay, faultOneWay, faultPair, faultPair, faultPair,
	} {
		s.add(membershipFault{
			At:      s.between(killsFrom, 24*time.Second),
			For:     s.between(4*time.Second, 12*time.Second),
			Kind:    kind,
			Members: s.someMembers(2),
		})
	}
	for _, kind := range []membershipFaultKind{faultOutbound, faultInbound} {
		s.add(membershipFault{
			At:      s.between(14*time.Second, wideFaultsFrom),
			For:     s.between(6*time.Second, 12*time.Second),
			Kind:    kind,
			Members: s.someMembers(1),
		})
	}
	s.add(membershipFault{
		At:      s.between(wideFaultsFrom, 24*time.Second),
		For:     s.between(6*time.Second, 10*time.Second),
		Kind:    faultPartition,
		Members: s.someMembers(s.instances / partitionDivisor),
	})
}

// drawNoise draws noise on all paths.
func (s *membershipSchedule) drawNoise() {
	for _, noise := range []faultproxy.Conditions{
		{Loss: 0.4},
		{Duplicate: 0.3, Reorder: 0.3, Jitter: 30 * time.Millisecond},
		{Delay: 60 * time.Millisecond, Jitter: 40 * time.Millisecond},
	} {
		s.add(membershipFault{
			At:    s.between(wideFaultsFrom, 26*time.Second),
			For:   s.between(3*time.Second, 8*time.Second),
			Kind:  faultNoise,
			Noise: noise,
		})
	}
}

// drawNewRoomServers draws the times at which room servers are added.
func (s *membershipSchedule) drawNewRoomServers() {
	for range 2 {
		s.add(membershipFault{At: s.between(killsFrom, 30*time.Second), Kind: faultNewRoomServer})
	}
}

func (s *membershipSchedule) add(f membershipFault) {
	s.faults = append(s.faults, f)
}

// between returns a random duration of at least from and at most to. It differs from the lower bound by a whole number
// of milliseconds.
func (s *membershipSchedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from))).Round(time.Millisecond)
}

// reserveMember draws an instance to be killed or stopped, and reserves it.
func (s *membershipSchedule) reserveMember() int {
	for {
		if i := s.rng.IntN(s.instances); !s.reserved[i] {
			s.reserved[i] = true
			return i
		}
	}
}

// someMembers draws the given number of instances among those that are not to be killed or stopped. It returns all of
// these if there are fewer.
func (s *membershipSchedule) someMembers(count int) (members []int) {
	for _, i := range s.rng.Perm(s.instances) {
		if (i == 0 || !s.reserved[i]) && len(members) < count {
			members = append(members, i)
		}
	}
	return members
}
