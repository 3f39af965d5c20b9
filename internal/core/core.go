// Package core runs the decision module of one balancer. It knows no wire: fronts tell it what happens to
// their channels, it turns that into the module's events, and it hands the module's actions back through
// the interfaces of this file. One actor, the module's, owns all state here; every deadline of the process
// stands in its one sorted structure.
package core

import (
	"context"
	"hash/fnv"
	"time"

	"cottonplank/decide"
)

// ClientConn is the client's side of one request, as a front implements it. The module's actor calls it and
// must never wait for a peer: an implementation puts the call into its own actor's mailbox and returns.
type ClientConn interface {
	// StartAttempt starts a call attempt. An earlier one has been given up or has ended; its transport is
	// closed before anything of the new one is sent.
	StartAttempt(Attempt)
	// CancelAttempt asks for the end of a call attempt that has no answer. The channel alone knows what it has written, so it
	// decides what became of the attempt and tells it with Module.Ended, once: that it never ran where nothing was sent,
	// else why. One that has its answer, or whose line is sent while why says that it never ran, goes on.
	CancelAttempt(n int, why decide.Code)
	// Establish passes the room server's answer of attempt n to the client and relays from then on.
	Establish(n int)
	// Reject answers that trying again is harmless, after a while if that is not 0, and closes.
	Reject(retryAfter time.Duration)
	// Fail answers that the request failed and closes.
	Fail()
	// Migrate sends the client of a standing connection away politely and closes both sides.
	Migrate()
	// Abort closes whatever is still open, at once.
	Abort()
}

// Reason says why a session could not go on, in the word that the client is told.
type Reason string

// ReasonStateTimeout is the reason that the core itself gives: the state did not come in time.
const ReasonStateTimeout Reason = "late"

// Resumer is what the channel of a request does besides that goes on with a session. It must not block either.
type Resumer interface {
	// HolderLocated answers Module.Locate: where the room server is, if that is known.
	HolderLocated(n int, s Upstream, known bool)
	// StartOver answers that the session cannot go on, and closes.
	StartOver(why Reason)
}

// Attempt is one attempt of a request at one room server.
type Attempt struct {
	Number   int
	Upstream Upstream
	Timeout  time.Duration // how long the core waits for it to stand
}

// Upstream names a room server and says where it is.
type Upstream struct {
	ID      decide.ServerID
	Name    string
	Address string
}

// Prober asks room servers for their load reports. Probe must not block; the result goes to Module.Probed
// unless ctx ends first, and Forget ends what is kept for a server that is gone.
type Prober interface {
	Probe(ctx context.Context, seq uint64, server Upstream)
	Remove(server decide.ServerID)
}

// Discovery is the source of the endpoint list. Its methods must not block. What it learns goes to an UpdateHandler, with
// the id of the watch that it came from, until ctx ends.
type Discovery interface {
	// SetAddress makes the calls after it go to discovery at another address; the first watch there starts with a snapshot.
	SetAddress(address string)
	// Watch opens a watch for changes of the list.
	Watch(ctx context.Context, watch uint64)
	// Fetch requests a snapshot of the list once.
	Fetch(ctx context.Context)
}

// UpdateHandler receives what a source of the endpoint list learns. Engine implements it.
type UpdateHandler interface {
	// EndpointsUpdated delivers a snapshot, a delta or a failed call.
	EndpointsUpdated(EndpointUpdate)
	// WatchAlive reports a heartbeat of a watch.
	WatchAlive(watch uint64)
}

// Endpoint is one line of a resolver result.
type Endpoint struct {
	decide.Server
	Name    string
	Address string
	Started time.Time // zero: long ago
}

// EndpointUpdate is a resolver result: the whole list, changes to it, or a failed call.
type EndpointUpdate struct {
	Kind      decide.ListKind
	Endpoints []Endpoint
	WatchID   uint64 // the watch that failed; 0: another call
}

// Request is what a client asks for.
type Request struct {
	ID        string // the client's, one that no other request has; empty: it has none
	Class     int
	Key       string
	Group     string
	Deadline  time.Time // when the client stops waiting
	Load      float64   // expected work, in seconds a second; 0: unknown
	Returning bool
	Resumer   Resumer // of a request that goes on with a session; nil: of any other
}

// ServerID derives the module's name of a room server from its instance id, equal at all balancers and
// after a restart, as a group's servers and connection ids depend on it.
func ServerID(instance string) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return decide.ServerID(h.Sum32())
}

// Watchdog hears of an actor's turns, for a watchdog: each begins with Busy and ends with Waits.
type Watchdog interface {
	Busy()
	Idle()
}

// RunMonitored runs one turn of an actor and lets t hear of it; nil: nobody hears.
func RunMonitored(t Watchdog, do func()) {
	if t != nil {
		t.Busy()
		defer t.Idle()
	}
	do()
}

// Config is what a Module starts with.
type Config struct {
	Settings decide.Settings
	Known    []Endpoint // the room servers as this balancer last had them
	// MaxClients bounds the requests that wait for their answer and the connections that stand, all of which hold
	// a transport on either side; a request past it is unavailable at once.
	MaxClients int
	// AwaitList says that this process takes over from one that serves: it is ready once discovery has answered it.
	AwaitList bool
	// ListPushed says that a change of the list counts as told when discovery has it, from the process's first moment on:
	// the list comes before the first client, and a watch that broke is opened anew at once.
	ListPushed bool
	Learned    []decide.LearnedState // by that one, of the room servers
	// StateTimeout is how long a session's state may take to come from its room server; 0: sessions are not resumed.
	StateTimeout time.Duration
	Watchdog     Watchdog // hears when the module's actor turns; nil: nobody does
	Log          func(text string)
}
