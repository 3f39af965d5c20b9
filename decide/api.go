// Package decide makes the decisions of a balancer for long-lived connections.
//
// This file is the whole interface: the settings that a Balancer starts with, the events that its host reports and
// the actions that it asks for. The host owns time, sockets and timers; a Balancer does no I/O, reads no clock and
// starts no goroutine, so that equal events always give equal actions.
//
// Each decision has a file of its own: discovery.go, probing.go, placement.go, affinity.go, ejection.go,
// slowstart.go, admission.go, retry.go, migration.go and reconnect.go. The records that they share are in server.go,
// request.go, reservation.go, clients.go and estimates.go, the lists of servers in index.go and ranking.go.
package decide

import "time"

// RequestID names a client's request; the host never uses one twice.
type RequestID string

// ServerID names a server. It implies no order, zone or age.
type ServerID uint32

// Idempotency says what a second execution of a request would do.
type Idempotency uint8

// The kinds of request.
const (
	Idempotent      Idempotency = iota // may be repeated and rejected freely
	IdempotentByKey                    // servers of one scope drop repeats for a time
	NotIdempotent                      // must not be executed twice
)

// KeyScope is the group of servers that drops the repeats of a request that is idempotent by key.
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
	LatencyObjective        time.Duration // a connection should be established within this; above 0
	MessageLatencyObjective time.Duration // a message should be served within this; 0: unknown
	ClientTimeout           time.Duration // how long a client waits in all
	Idempotency             Idempotency
	KeyScope                KeyScope      // for IdempotentByKey
	DedupWindow             time.Duration // for IdempotentByKey: how long repeats are dropped, from the first send
}

// SafetyLimits are the limits that the decisions must keep to.
type SafetyLimits struct {
	DrainGrace               time.Duration // within this, sends to a server that began to drain must have ended
	MaxPollInterval          time.Duration // longest time between two polls of discovery; 0: no limit
	SlowStartInitialCapacity float64       // fraction of its capacity that a server has when it starts, from 0 to 1
	SlowStartDuration        time.Duration // time from its start until it has its whole capacity
	OverloadFactor           float64       // multiple of its present capacity that overloads a server which warms up
	OverloadWindow           time.Duration // time that such a load takes to overload it
}

// Costs are costs as a fraction of the value of a request served at the first attempt; 0 means free.
type Costs struct {
	Probe     float64 // one probe
	Migration float64 // one migrated connection
	CrossZone float64 // one attempt in another zone
}

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Seed           uint64        // of the random decisions
	Zone           string        // zone of this balancer
	Zones          []string      // all zones; empty: Zone alone
	Balancers      int           // balancers that share the fleet of servers; 0 means 1
	WatchList      bool          // poll by WatchList; otherwise by FetchList, and changes are pushed in between
	Classes        []Class       // at least one
	MaxAttempts    int           // attempts for a request; 0 means 1
	ConnectTimeout time.Duration // the host ends a dial without an answer after this; 0: unknown
	MaxRetryAfter  time.Duration // longest retry-after that clients honour; 0: give none
	ProbingAllowed bool          // servers answer probes
	GroupAffinity  bool          // connections of one group share work on their server
	Safety         SafetyLimits
	Costs          Costs
}

// State is what discovery knows of a server.
type State uint8

// The states of a server.
const (
	Ready    State = iota // takes new connections
	Draining              // finishes its connections and takes no new ones
	Removed               // is not in the list any more
)

// Server is one entry of the endpoint list.
type Server struct {
	ID      ServerID
	Zone    string
	Cell    int
	State   State
	Started time.Duration // host clock at its latest start; 0: long ago
	Weight  float64       // size relative to other servers; 0 counts as 1
}

// LoadReport is a server's own account of its load. Absent values are negative.
type LoadReport struct {
	Load        float64 // requested work over capacity
	Connections float64 // established connections
}

// NoLoadReport stands for an answer without a report.
var NoLoadReport = LoadReport{Load: -1, Connections: -1}

// Code says how an attempt or a probe ended.
type Code uint8

// The outcome codes.
const (
	OK            Code = iota // served
	ServerError               // the server answered with an error; may have executed
	Rejected                  // the server rejected it; not executed
	TimedOut                  // no answer in time; may have executed
	ConnectFailed             // no connection in time; not executed
	Reset                     // the connection broke; may have executed
	Cancelled                 // withdrawn; may have executed
	NotSent                   // not sent; not executed
)

// NeverExecuted reports whether the code proves that the attempt did not execute.
func (c Code) NeverExecuted() bool { return c == Rejected || c == ConnectFailed || c == NotSent }

// Event is something that the host reports. Events of the same moment are handled one after the other, in the order
// in which they happened.
type Event interface{ event() }

type (
	// Started must be the first event; the balancer begins its periodic work.
	Started struct{}

	// ListReceived brings an update of the endpoint list, or the failure of a call.
	ListReceived struct {
		Kind    ListKind
		Servers []Server // not retained; the host may reuse the slice
	}

	// RequestArrived is a client's request; exactly one final answer is owed for it.
	RequestArrived struct {
		ID        RequestID
		Class     int           // index in Settings.Classes
		Key       string        // names the client; empty: unknown
		Group     string        // connections of one group share work; empty: none
		Remaining time.Duration // until the client's time-out
		Load      float64       // expected work, in seconds per second; 0: unknown
		MidFlow   bool          // packets of an open connection have come to this balancer
		Returning bool          // the client reconnects after a broken or a migrated connection
	}

	// ConnectionRestored reports a connection that is already established; it counts as attempt 0.
	ConnectionRestored struct {
		Request RequestArrived
		Server  ServerID
	}

	// Established reports that an attempt's connection is established; its request has no deadline any more.
	Established struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration // from StartAttempt
	}

	// LoadChanged reports the present load of an open connection.
	LoadChanged struct {
		ID   RequestID
		Load float64 // in seconds of work per second
	}

	// MessageDelayReported reports how long a message takes now at the server of an open connection.
	MessageDelayReported struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// AttemptEnded reports the end of an attempt, or of its established connection. Each StartAttempt gets one.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Code    Code
		Final   bool          // no final answer is owed for the request any more
		Elapsed time.Duration // from StartAttempt
		Report  LoadReport
	}

	// RequestExpired reports that the host cannot hold a request any longer: its final answer is due now.
	RequestExpired struct{ ID RequestID }

	// ClientDisconnected reports that the client has given up a request; no answer is owed any more.
	ClientDisconnected struct{ ID RequestID }

	// ProbeCompleted is the result of one Probe.
	ProbeCompleted struct {
		Server  ServerID
		Code    Code
		Elapsed time.Duration // from Probe
		Report  LoadReport
	}

	// FleetSize is the number of balancers among which budgets are divided from now on, as the cluster's membership
	// counts them. Until it comes, Settings.Balancers holds.
	FleetSize struct {
		Fleet    int  // all balancers, at least 1
		Zone     int  // those of the own zone, at least 1
		Admitted bool // all others count this balancer: it may use its part of the slow-start budgets
	}

	// TimerFired comes once for each SetTimer, with its token.
	TimerFired struct{ Token uint64 }
)

// ListKind says what a ListReceived brings.
type ListKind uint8

// The kinds of list.
const (
	ListDelta    ListKind = iota // the entries that have changed
	ListSnapshot                 // all entries; a server that is missing is removed
	ListRestored                 // all entries of the last list before a restart, possibly out of date
	ListFailed                   // none: a call failed or the watch broke
)

// Action is something that the host is asked to do, at the time of the event and in the order given.
type Action interface{ action() }

type (
	// StartAttempt starts the next attempt of a request; attempts count from 0.
	StartAttempt struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // within which the connection must be established
	}

	// Reject is a final answer: trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0: no advice
	}

	// Fail is a final answer: the request may have executed.
	Fail struct{ ID RequestID }

	// Migrate closes an open connection gracefully, so that its client reconnects.
	Migrate struct{ ID RequestID }

	// Probe asks a server for a load report.
	Probe struct{ Server ServerID }

	// WatchList asks discovery for the changes from the present list on.
	WatchList struct{}

	// FetchList asks discovery for one full snapshot.
	FetchList struct{}

	// SetTimer asks for a TimerFired after the delay.
	SetTimer struct {
		Token uint64
		Delay time.Duration
	}

	// Log is a line for the operators' log.
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
