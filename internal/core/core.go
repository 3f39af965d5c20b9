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

// Channel is the client's side of one request, as a front implements it. The module's actor calls it and
// must never wait for a peer: an implementation puts the call into its own actor's mailbox and returns.
type Channel interface {
	// Attempt starts a call attempt. An earlier one has been given up or has ended; its transport is
	// closed before anything of the new one is sent.
	Attempt(CallAttempt)
	// GiveUp asks for the end of a call attempt that has no answer. The channel alone knows what it has written, so it
	// decides what became of the attempt and tells it with Module.Ended, once: that it never ran where nothing was sent,
	// else why. One that has its answer, or whose line is sent while why says that it never ran, goes on.
	GiveUp(n int, why decide.Code)
	// Stand passes the room server's answer of attempt n to the client and relays from then on.
	Stand(n int)
	// Unavailable answers that trying again is harmless, after a while if that is not 0, and closes.
	Unavailable(retryAfter time.Duration)
	// Fail answers that the request failed and closes.
	Fail()
	// Move sends the client of a standing connection away politely and closes both sides.
	Move()
	// Drop closes whatever is still open, at once.
	Drop()
}

// Reason says why a session could not go on, in the word that the client is told.
type Reason string

// Late is the reason that the core itself gives: the state did not come in time.
const Late Reason = "late"

// Resumer is what the channel of a request does besides that goes on with a session. It must not block either.
type Resumer interface {
	// Holder answers Module.Locate: where the room server is, if that is known.
	Holder(n int, s Subchannel, known bool)
	// StartOver answers that the session cannot go on, and closes.
	StartOver(why Reason)
}

// CallAttempt is one attempt of a request at one room server.
type CallAttempt struct {
	N      int
	Server Subchannel
	Wait   time.Duration // how long the core waits for it to stand
}

// Subchannel names a room server and says where it is.
type Subchannel struct {
	ID       decide.ServerID
	Instance string
	Address  string
}

// Prober asks room servers for their load reports. Probe must not block; the result goes to Module.Probed
// unless ctx ends first, and Forget ends what is kept for a server that is gone.
type Prober interface {
	Probe(ctx context.Context, seq uint64, server Subchannel)
	Forget(server decide.ServerID)
}

// Resolver asks discovery. The calls must not block; what comes goes to Module.Resolved and Module.ListAlive
// until ctx ends, with the number of the watch that it comes from. Move turns to discovery at another address; the
// calls after it go there, the first watch with the whole list.
type Resolver interface {
	Move(address string)
	Subscribe(ctx context.Context, watch uint64)
	FetchList(ctx context.Context)
}

// Instance is one line of a resolver result.
type Instance struct {
	decide.Server
	Name    string
	Address string
	Started time.Time // zero: long ago
}

// Result is a resolver result: the whole list, changes to it, or a failed call.
type Result struct {
	Kind      decide.ListKind
	Instances []Instance
	Watch     uint64 // the watch that failed; 0: another call
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
	Resume    Resumer // of a request that goes on with a session; nil: of any other
}

// ServerID derives the module's name of a room server from its instance id, equal at all balancers and
// after a restart, as a group's servers and connection ids depend on it.
func ServerID(instance string) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return decide.ServerID(h.Sum32())
}

// Turns hears of an actor's turns, for a watchdog: each begins with Busy and ends with Waits.
type Turns interface {
	Busy()
	Waits()
}

// Turn runs one turn of an actor and lets t hear of it; nil: nobody hears.
func Turn(t Turns, do func()) {
	if t != nil {
		t.Busy()
		defer t.Waits()
	}
	do()
}

// Config is what a Module starts with.
type Config struct {
	Settings decide.Settings
	Known    []Instance // the room servers as this balancer last had them
	// MaxChannels bounds the requests that wait for their answer and the connections that stand, all of which hold
	// a transport on either side; a request past it is unavailable at once.
	MaxChannels int
	// AwaitList says that this process takes over from one that serves: it is ready once discovery has answered it.
	AwaitList bool
	// Pushed says that a change of the list counts as told when discovery has it, from the process's first moment on:
	// the list comes before the first client, and a watch that broke is opened anew at once.
	Pushed  bool
	Learned []decide.Learned // by that one, of the room servers
	// StateWait is how long a session's state may take to come from its room server; 0: sessions are not resumed.
	StateWait time.Duration
	Turns     Turns // hears when the module's actor turns; nil: nobody does
	Log       func(text string)
}
