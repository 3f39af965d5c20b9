// Package membership derives one instance's view of the cluster from the reports of its failure detector: which
// instances are members, whether the instance itself is isolated, and by how many instances a shared budget is
// divided. It is a pure state machine: no I/O, no clock, no goroutine. Package gossip connects it to the network. A
// shared budget is a limit on what several instances do together, for example on their polls of service discovery;
// each instance may use the budget divided by the number of instances.
//
// A failure detector alone can't distinguish the failure of a member from a pause of the observing process, a network
// partition or a false report. The state machine therefore treats each reported failure as a suspicion. It declares
// the member failed only after enough other members have answered this instance's probes since the suspicion started.
// The suspicion lasts longer if the process was paused, if the instance is isolated, or if a large fraction of the
// cluster became unreachable at once.
package membership

import "time"

// TickInterval is the interval at which the state machine expects a Tick.
const TickInterval = 250 * time.Millisecond

// State is the state of a member.
type State uint8

// The states of a member.
const (
	Alive   State = iota // the member takes part in the cluster
	Suspect              // the failure detector reported a failure that is not confirmed yet
	Failed               // the reported failure is confirmed
	Left                 // the member announced a planned stop
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

// String returns the state's name as it appears in logs.
func (s State) String() string { return stateNames[s] }

// Member is one instance of the cluster.
type Member struct {
	// Name is unique in the cluster and stays the same across restarts.
	Name string
	// Address is the host and port of the member's gossip listener, as the member advertises it.
	Address string
	// Zone is the member's zone.
	Zone string
	// Region is the member's region.
	Region string
	// Version is the version of the member's program.
	Version string
	// Incarnation is the time, in milliseconds since the Unix epoch by the member's own clock, at which the member's
	// process last started to take part in the cluster. A member raises it to refute a false leave message.
	Incarnation uint64
	// State is the member's state as this instance sees it.
	State State
	// Divisor is the divisor of its zone's budget that the member announced last; 0 until its view has converged (see
	// BudgetDivisors.Converged).
	Divisor int
}
