package experiment

import (
	"time"

	"cottonplank/internal/cluster/membership"
)

// membershipEventKind is the kind of a membershipEvent.
type membershipEventKind uint8

// Kinds of events. Each comment ends with the fields of membershipEvent that the kind uses besides At. Events of the
// last two kinds contain a state change that an instance has logged, or the metrics that it has returned. The run
// itself causes all other events.
const (
	// memberStarted reports that a process of an instance is about to be started: Member.
	memberStarted membershipEventKind = iota
	// memberKilled reports that an instance is about to be killed by SIGKILL: Member.
	memberKilled
	// memberStopped reports that the graceful shutdown of an instance begins: Member.
	memberStopped
	// memberPaused reports that an instance was stopped by SIGSTOP: Member.
	memberPaused
	// memberResumed reports that an instance was continued by SIGCONT: Member.
	memberResumed
	// pathCut reports that the path from Member to Other is about to be cut: Member, Other.
	pathCut
	// pathHealed reports that the cut of the path from Member to Other is about to end: Member, Other.
	pathHealed
	// faultsEnded reports that the last fault has ended.
	faultsEnded
	// memberReported says that Member has logged that Other is in State: Member, Other, State.
	memberReported
	// memberPolled contains the polled metrics of an instance: Member, Alive, Size, Version.
	memberPolled
)

// membershipEvent is a change that a run caused, a state change that an instance logged, or a poll of its metrics.
type membershipEvent struct {
	// At is the time since the start of the membership run, which is before its instances start.
	At   time.Duration
	Kind membershipEventKind
	// Member is the index of the instance.
	Member int
	// Other is the index of another instance.
	Other int
	// State is the state of Other, according to Member.
	State membership.State
	// Alive is the number of instances that Member considers alive.
	Alive int
	// Size is the fleet size that Member uses in its calculations.
	Size int
	// Version is the version of Member's view.
	Version uint64
}

// disturbs reports whether the event may delay later reports of its instance.
func (e membershipEvent) disturbs() bool {
	switch e.Kind {
	case memberStarted, memberKilled, memberStopped, memberPaused, memberResumed:
		return true
	}
	return false
}
