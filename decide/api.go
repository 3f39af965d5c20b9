// Package decide makes the decisions of a balancer for long-lived connections.
//
// This file is the whole interface: the settings a Balancer starts with, the
// events its host reports and the actions it asks for. The host owns time,
// sockets and timers; a Balancer does no I/O, reads no clock and starts no
// goroutine, so that equal events always give equal actions. The decisions
// themselves are in decide.go.
package decide

import "time"

// RequestID names a client's request; the host never uses one twice.
type RequestID string

// ServerID names a server. It carries no order, zone or age.
type ServerID uint32

// Idempotency says what a second execution of a request would do.
type Idempotency uint8

// The kinds of request.
const (
	Idempotent      Idempotency = iota // may be repeated and refused freely
	IdempotentByKey                    // servers of one group drop repeats for a window
	NotIdempotent                      // must not run twice
)

// KeyScope is the group of servers that drops the repeats of a keyed request.
type KeyScope uint8

// The key scopes.
const (
	ScopeAll  KeyScope = iota // every server
	ScopeZone                 // the servers of one zone
	ScopeCell                 // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	Name                    string        // for the host's use; no decision depends on it
	LatencyObjective        time.Duration // a connection should stand within this; must be above 0
	MessageLatencyObjective time.Duration // a message should be served within this; 0: unknown
	ClientTimeout           time.Duration // what a client waits in all
	Idempotency             Idempotency
	KeyScope                KeyScope      // for Keyed
	DedupWindow             time.Duration // for Keyed: how long repeats are dropped, from the first send
}

// SafetyLimits are the figures of the safety rules.
type SafetyLimits struct {
	DrainGrace        time.Duration // sends to a server told to drain must have ended by then
	MaxPollInterval   time.Duration // longest silence towards discovery; 0: no such limit
	SlowStartShare    float64       // a starting server has at least this part of its capacity, 0 to 1
	SlowStartDuration time.Duration // and all of it after this long
	OverloadFactor    float64       // sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // for this long, a cold server falls over
}

// Costs are costs as a fraction of the worth of a first try; 0 means free.
type Costs struct {
	Probe     float64 // one probe
	Migration float64 // one moved connection
	CrossZone float64 // one attempt that leaves the zone
}

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Seed           uint64
	Zone           string        // the zone of this balancer
	Zones          []string      // all zones; empty: Zone alone
	Balancers      int           // balancers that share the fleet; 0 means 1
	WatchList      bool          // list changes come only once asked for
	Classes        []Class       // at least one
	MaxAttempts    int           // attempts for a request; 0 means 1
	ConnectTimeout time.Duration // the host ends a dial without answer after this; 0: unknown
	MaxRetryAfter  time.Duration // longest retry-after a client honours; 0: give none
	ProbingAllowed bool
	GroupAffinity  bool // connections of one group share work on their server
	Safety         SafetyLimits
	Costs          Costs
}

// State is what discovery knows of a server.
type State uint8

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes what it holds; send nothing new
	Removed        // withdrawn
)

// Server is one line of a list.
type Server struct {
	ID      ServerID
	Zone    string
	Cell    int
	State   State
	Started time.Duration // host clock at its latest start; 0: long ago
	Weight  float64       // size against others; 0 counts as 1
}

// LoadReport is a server's own account of its load. Absent values are negative.
type LoadReport struct {
	Load        float64 // load asked of it over what it can do
	Connections float64 // connections it holds
}

// NoLoadReport stands for an answer that carried no report.
var NoLoadReport = LoadReport{Load: -1, Connections: -1}

// Code says how an attempt or a probe ended.
type Code uint8

// The outcome codes.
const (
	OK            Code = iota // served
	ServerError               // the server failed it; may have run
	Rejected                  // turned away unseen; never ran
	TimedOut                  // no timely answer; may have run
	ConnectFailed             // no connection in time; never ran
	Reset                     // the connection broke; may have run
	Cancelled                 // withdrawn; may have run
	NotSent                   // never sent
)

// NeverExecuted tells whether the code proves that the attempt did not execute.
func (c Code) NeverExecuted() bool { return c == Rejected || c == ConnectFailed || c == NotSent }

// Event is something the host reports. Events of the same moment are handed in
// one after the other, in the order in which they happened.
type Event interface{ event() }

type (
	// Started must be the first event; the balancer begins its periodic work.
	Started struct{}

	// ListReceived brings lines of the list of servers.
	ListReceived struct {
		Kind    ListKind
		Servers []Server // not kept; the host may use the slice again
	}

	// RequestArrived is a client's request; exactly one final answer is owed for it.
	RequestArrived struct {
		ID        RequestID
		Class     int // index in Settings.Classes
		Key       string
		Group     string
		Remaining time.Duration // until the client gives up this try
		Load      float64       // expected work, in seconds a second; 0: unknown
		MidFlow   bool          // an open connection's packets have come to this balancer
		Returning bool          // the client is back after a break or a move
	}

	// ConnectionRestored reports a connection that already stands; attempt 0 counts as made.
	ConnectionRestored struct {
		Request RequestArrived
		Server  ServerID
	}

	// Established says that an attempt's connection stands; no deadline runs any more.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}

	// LoadChanged tells the present load of an open connection, in seconds of work a second.
	LoadChanged struct {
		ID   RequestID
		Load float64
	}

	// MessageDelayReported tells how long a message takes now at the server of an open connection.
	MessageDelayReported struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// AttemptEnded closes an attempt; each Place gets one.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Code    Code
		Final   bool // nothing more is owed for the request
		Elapsed time.Duration
		Report  LoadReport
	}

	// RequestExpired says that the host can hold a request no longer: the final answer is due now.
	RequestExpired struct{ ID RequestID }

	// ClientDisconnected ends a request from the client's side; nothing more is owed.
	ClientDisconnected struct{ ID RequestID }

	// ProbeCompleted is the result of one Probe.
	ProbeCompleted struct {
		Server  ServerID
		Code    Code
		Elapsed time.Duration
		Report  LoadReport
	}

	// FleetSize tells among how many balancers the fleet's budgets are divided from now on, as the cluster's membership counts
	// them. Until it comes, Settings.Balancers holds.
	FleetSize struct {
		Fleet    int  // balancers in all; 1 at least
		Zone     int  // of these, the ones that share the own zone; 1 at least
		Admitted bool // all others count this balancer: it may use its part of what a cold server bears
	}

	// TimerFired is due for each SetTimer.
	TimerFired struct{ Token uint64 }
)

// ListKind says what the lines of a ListReceived are.
type ListKind uint8

// The kinds of list.
const (
	ListDelta    ListKind = iota // changed lines only
	ListSnapshot                 // everything; a server left out is gone
	ListRestored                 // the last list before a restart, maybe out of date
	ListFailed                   // a call failed or the subscription broke; no lines
)

// Action is something the host is asked to do, at the time of the event and in
// the order given.
type Action interface{ action() }

type (
	// StartAttempt starts the request's next attempt; attempts count from 0.
	StartAttempt struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // time-out for the connection to stand
	}

	// Reject is a final answer: trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0: no advice
	}

	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }

	// Migrate ends an open connection politely; its client comes again.
	Migrate struct{ ID RequestID }

	// Probe asks a server for its report.
	Probe struct{ Server ServerID }

	// WatchList asks discovery for changes from the present list on.
	WatchList struct{}

	// FetchList asks discovery for the complete list once.
	FetchList struct{}

	// SetTimer asks for a TimerFired after the wait.
	SetTimer struct {
		Token uint64
		Delay time.Duration
	}

	// Log is a line for operators.
	Log struct{ Text string }
)

func (Started) event()              {}
func (ListReceived) event()         {}
func (RequestArrived) event()       {}
func (ConnectionRestored) event()   {}
func (Established) event()          {}
func (LoadChanged) event()          {}
func (MessageDelayReported) event() {}
func (AttemptEnded) event()         {}
func (RequestExpired) event()       {}
func (ClientDisconnected) event()   {}
func (ProbeCompleted) event()       {}
func (FleetSize) event()            {}
func (TimerFired) event()           {}

func (StartAttempt) action() {}
func (Reject) action()       {}
func (Fail) action()         {}
func (Migrate) action()      {}
func (Probe) action()        {}
func (WatchList) action()    {}
func (FetchList) action()    {}
func (SetTimer) action()     {}
func (Log) action()          {}
