// Package membership decides what one instance may conclude from its failure detector's reports: who is a member, whether
// the instance itself is cut off, and among how many instances a shared budget is divided. It is a pure state machine: no
// I/O, no clock, no goroutine. Package gossip carries it over a network.
//
// A detector alone takes the observer's own pause, a cut network or a false report for the death of others. The machine
// therefore holds each reported failure as a suspicion until enough other members have answered this instance since, and
// holds it for longer where the instance was paused, is isolated, or lost a large part of the cluster at once.
package membership

import "time"

// State is what is known of a member.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // the detector reports a failure that is not confirmed
	Failed        // the failure is confirmed
	Left          // the member announced a planned stop
)

var stateNames = [...]string{"alive", "suspect", "failed", "left"}

func (s State) String() string { return stateNames[s] }

// Member is one instance of the cluster.
type Member struct {
	Name        string
	Address     string // host and port of its gossip listener, as it advertises it
	Zone        string
	Region      string
	Version     string // of the program
	Incarnation uint64 // milliseconds since the epoch at the start of its process, by its own clock
	State       State
	Divisor     int // of its zone's budget, that the member announced last; 0: it is not settled
}

// View is the machine's state at one moment. Nobody changes it afterwards.
type View struct {
	Version     uint64   // grows with each change of what follows
	Members     []Member // by name, the instance itself among them
	Alive       int      // members, the instance itself counted
	Suspect     int
	Failed      int
	Isolated    bool // no other member has answered for too long
	Partitioned bool // a large part of the cluster was lost at once, which is not taken for its death
	Divisors    BudgetDivisors
}

// BudgetDivisors tells how budgets that all instances draw on are divided.
type BudgetDivisors struct {
	Cluster int // divisor of what the whole cluster shares, such as polls of discovery
	Zone    int // divisor of what the instances of the own zone share, such as a cold server's budget
	// Admitted says that the instance may use its part of the zone's budget. A new process may not until all others
	// count it.
	Admitted bool
	Settled  bool // all others count the instance: it announces its zone divisor as Member.Divisor
}

// Event is something that happened to the instance or that its failure detector reports.
type Event interface{ event() }

type (
	// MemberAlive says that the detector found a member, or that a member's description changed.
	MemberAlive struct{ Member Member }

	// MemberLost says that the detector takes a member for failed.
	MemberLost struct {
		Name        string
		Incarnation uint64
	}

	// MemberLeft says that a member announced a planned stop.
	MemberLeft struct {
		Name        string
		Incarnation uint64
	}

	// ProbeAnswered says that a member answered a probe of this instance.
	ProbeAnswered struct{ Name string }

	// ProbeUnanswered says that a member did not answer a probe of this instance in time.
	ProbeUnanswered struct{ Name string }

	// Tick is due every TickInterval.
	Tick struct{}
)

func (MemberAlive) event()     {}
func (MemberLost) event()      {}
func (MemberLeft) event()      {}
func (ProbeAnswered) event()   {}
func (ProbeUnanswered) event() {}
func (Tick) event()            {}

// TickInterval is how often the machine expects a Tick.
const TickInterval = 250 * time.Millisecond
