// Package decide makes the decisions of a balancer for long-lived connections.
//
// A Balancer is created with Settings. Its host reports events to it and carries out the actions that it requests. The
// host owns the clock, sockets and timers. A Balancer does no I/O, reads no clock and starts no goroutine, so equal
// settings and events always give equal actions. This file declares the settings, events and actions.
//
// Each decision has its own file: discovery.go, probing.go, placement.go, affinity.go, ejection.go, slowstart.go,
// admission.go, retry.go, migration.go, bootstrap.go and reconnect.go. The records that the decisions share are in
// server.go, request.go, reservation.go, answers.go, clients.go and estimates.go; the lists of servers are in index.go
// and ranking.go.
package decide

import "time"

// RequestID identifies a client's request. The host never reuses one.
type RequestID string

// ServerID identifies a server. Its value says nothing about the server's order, zone or age.
type ServerID uint32

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed more than once, so it may always be retried or rejected
	IdempotentByKey                    // the servers of its KeyScope drop repeats within its DedupWindow
	NotIdempotent                      // must not be executed more than once
)

// KeyScope is the set of servers that drop repeats of the same IdempotentByKey request.
type KeyScope uint8

// The key scopes.
const (
	ScopeAll  KeyScope = iota // all servers
	ScopeZone                 // the servers of one zone
	ScopeCell                 // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name                    string        // for the host's use; no decision depends on it
	LatencyObjective        time.Duration // target time to establish a connection; above 0; no decision depends on it
	MessageLatencyObjective time.Duration // time within which a message should be served; 0: unknown
	ClientTimeout           time.Duration // total time that a client waits; decisions use RequestArrived.Remaining
	Idempotency             Idempotency
	KeyScope                KeyScope      // for IdempotentByKey
	DedupWindow             time.Duration // for IdempotentByKey: how long repeats are dropped, from the first send
}

// SafetyLimits are the limits for draining, polling and slow start.
type SafetyLimits struct {
	DrainGrace               time.Duration // nothing may be sent to a server that has been draining for longer
	MaxPollInterval          time.Duration // minimum poll interval while calls succeed, despite its name; 0: 10 s
	SlowStartInitialCapacity float64       // fraction of its full capacity that a server has at its start, from 0 to 1
	SlowStartDuration        time.Duration // time from a server's start until it has its full capacity
	OverloadFactor           float64       // a load above this multiple of present capacity overloads a warming server
	OverloadWindow           time.Duration // how long that load must last to overload the server
}

// Costs are expressed as fractions of the value of a request that is served at the first attempt.
type Costs struct {
	Probe     float64 // cost of a probe; 0: unknown, so the rate of periodic probes stays at its minimum
	Migration float64 // cost of a migrated connection; no decision depends on it
	CrossZone float64 // cost of an attempt in another zone; 0: free
}

// Settings configure a Balancer. They don't change during its lifetime.
type Settings struct {
	Seed           uint64        // seed of the random decisions
	Zone           string        // zone of this balancer
	Zones          []string      // all zones; empty: only Zone
	Balancers      int           // balancers that share the fleet of servers; 0 means 1
	WatchList      bool          // true: poll by WatchList; false: changes are pushed unrequested, so poll by FetchList
	Classes        []Class       // at least one
	MaxAttempts    int           // maximum number of attempts for a request; 0 means 1
	ConnectTimeout time.Duration // time after which the host ends an unanswered dial; 0: unknown
	MaxRetryAfter  time.Duration // longest retry-after that clients honour; 0: send no retry-after
	ProbingAllowed bool          // whether servers may be probed
	GroupAffinity  bool          // whether connections of one group share work on their server
	Safety         SafetyLimits
	Costs          Costs
}

// State is the state of a server as discovery reports it.
type State uint8

// The states of a server.
const (
	Ready    State = iota // accepts new connections
	Draining              // finishes its connections and accepts no new ones
	Removed               // is not in the endpoint list
)

// Server is one entry of the endpoint list.
type Server struct {
	ID      ServerID
	Zone    string
	Cell    int
	State   State
	Started time.Duration // host clock at its latest start; 0: long ago, so the server is warm
	Weight  float64       // size relative to other servers; 0 counts as 1
}

// LoadReport is the load that a server reports about itself. Absent values are negative.
type LoadReport struct {
	Load        float64 // requested work divided by the server's capacity
	Connections float64 // established connections
}

// NoLoadReport is the report of an answer that contains none.
var NoLoadReport = LoadReport{Load: -1, Connections: -1}

// Code says how an attempt or a probe ended.
type Code uint8

// The outcome codes. Each comment says whether the request may have been executed.
const (
	OK            Code = iota // served
	ServerError               // the server answered with an error; may have been executed
	Rejected                  // the server rejected it; not executed
	TimedOut                  // no answer in time; may have been executed
	ConnectFailed             // no connection was established; not executed
	Reset                     // the connection broke; may have been executed
	Cancelled                 // ended by the host or the client; may have been executed
	NotSent                   // not sent; not executed
)

// NeverExecuted reports whether the code proves that the attempt's request was not executed.
func (c Code) NeverExecuted() bool { return c == Rejected || c == ConnectFailed || c == NotSent }

// Event is something that the host reports. The host reports events in order of occurrence, even if their times are
// equal.
type Event interface{ event() }

type (
	// Started must be the first event. It starts the balancer's periodic work.
	Started struct{}

	// ListReceived reports an update of the endpoint list, or that a call to discovery failed.
	ListReceived struct {
		Kind    ListKind
		Servers []Server // not retained; the host may reuse the slice
	}

	// RequestArrived reports a client's request. The balancer gives it exactly one final answer, Reject or Fail, unless
	// an AttemptEnded with Final or a ClientDisconnected comes first.
	RequestArrived struct {
		ID        RequestID
		Class     int           // index in Settings.Classes
		Key       string        // identifies the client; empty: unknown
		Group     string        // connections of one group share work on their server; empty: no group
		Remaining time.Duration // time until the client's timeout
		Load      float64       // expected load, in seconds of work per second; 0: unknown
		MidFlow   bool          // the client's connection is open already; its packets now arrive at this balancer
		Returning bool          // the client reconnects after its connection broke or was migrated; no decision depends on it
	}

	// ConnectionRestored reports a connection that was established before this balancer started. It counts as
	// attempt 0 of its request.
	ConnectionRestored struct {
		Request RequestArrived
		Server  ServerID
	}

	// Established reports that an attempt has established its connection. The request has no deadline from then on.
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

	// MessageDelayReported reports the present message latency at the server of an open connection.
	MessageDelayReported struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// AttemptEnded reports the end of an attempt, or of the connection that it established. It follows each
	// StartAttempt exactly once.
	AttemptEnded struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Code    Code
		Final   bool          // the request needs no final answer from the balancer
		Elapsed time.Duration // from StartAttempt
		Report  LoadReport    // no decision depends on it
	}

	// RequestExpired reports that the host needs the final answer to a request now, before its deadline, for example
	// because the process stops. An established connection is not affected.
	RequestExpired struct{ ID RequestID }

	// ClientDisconnected reports that the client has abandoned a request, which then needs no final answer.
	ClientDisconnected struct{ ID RequestID }

	// ProbeCompleted reports the result of one Probe.
	ProbeCompleted struct {
		Server  ServerID
		Code    Code
		Elapsed time.Duration // from Probe; no decision depends on it
		Report  LoadReport
	}

	// FleetSize sets the number of balancers, as counted by the cluster's membership. Slow-start quotas, probe rates,
	// the poll interval and load thresholds depend on it. Settings.Balancers is used until the first FleetSize.
	FleetSize struct {
		Fleet    int  // all balancers, at least 1
		Zone     int  // balancers of the own zone, at least 1
		Admitted bool // all other balancers count this one, so it may use its share of the slow-start budgets
	}

	// TimerFired reports that the timer with this token has expired. It follows each SetTimer exactly once.
	TimerFired struct{ Token uint64 }
)

// ListKind defines which entries a ListReceived contains.
type ListKind uint8

// The kinds of list.
const (
	ListDelta    ListKind = iota // the entries that have changed
	ListSnapshot                 // all entries; a server without an entry is removed
	ListRestored                 // all entries of the last list before a restart, possibly out of date
	ListFailed                   // no entries: a call failed or the watch was interrupted
)

// Action is something that the balancer requests from the host. The host carries out the actions of an event at the
// time of the event and in the given order.
type Action interface{ action() }

type (
	// StartAttempt starts the next attempt of a request. Attempts are numbered from 0.
	StartAttempt struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // time within which the connection must be established
	}

	// Reject is a final answer after which the client may safely repeat the request. If the request is IdempotentByKey
	// and may have been executed, that holds within its DedupWindow only.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0: the answer has no retry-after
	}

	// Fail is a final answer to a request that may have been executed.
	Fail struct{ ID RequestID }

	// Migrate closes an open connection gracefully, so that its client reconnects.
	Migrate struct{ ID RequestID }

	// Probe requests a load report from a server.
	Probe struct{ Server ServerID }

	// WatchList requests from discovery the changes since the present list.
	WatchList struct{}

	// FetchList requests one full snapshot of the endpoint list from discovery.
	FetchList struct{}

	// SetTimer requests a TimerFired with this token after the delay.
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
