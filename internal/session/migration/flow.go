// Package migration decides how a session goes on at another room server: what a balancer asks whom, in which order, and
// when the client has to start over. It is pure; a front makes the calls and tells what came of them, the decision
// module has chosen the room server before. docs/resume.md gives the reasons for this order.
package migration

import (
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

// Reason says why a client has to start over, a word of its own on the wire.
type Reason uint8

// The reasons. The first seven are those of tokens that are refused before anything is asked.
const (
	Malformed     Reason = iota // the token is cut, too long or in no known form
	Version                     // its version is not known
	UnknownKey                  // its key is not known, or no more
	Forged                      // its key did not seal it
	Expired                     // its time is over
	WrongSite                   // another site's balancers sealed it
	WrongRoom                   // the client asks for another room than the token's
	TokenUsed                   // the session went on from it already
	SessionEnded                // the session has ended
	HolderGone                  // the room server that held the state has none, or cannot be reached
	StateTimeout                // the state did not come in time, or the claim on it ran out
	StateTooLarge               // the state is larger than the balancer carries
	Stale                       // the state is older than what the client knows to be acknowledged
	Lost                        // whether the move was committed cannot be known
	Unsupported                 // the new room server does not know the extension
	NumReasons                  // their number
)

func (r Reason) String() string {
	return [...]string{"malformed", "version", "unknown-key", "forged", "expired", "site", "room", "used", "over", "gone", "late",
		"large", "stale", "lost", "unsupported"}[r]
}

// IsTokenError tells whether the reason lies in the token itself.
func (r Reason) IsTokenError() bool { return r <= WrongRoom }

// ReasonWords are the words of all reasons, in their order.
func ReasonWords() (all []string) {
	for r := range NumReasons {
		all = append(all, r.String())
	}
	return all
}

// Step is what the front does next.
type Step uint8

// The steps.
const (
	Wait         Step = iota // wait for the next news
	Locate                   // ask the core where Holder is, then tell Located
	Export                   // ask Holder for the state by Claim; its answer goes to HolderSaid
	OpenReattach             // open at the room server, where the session lies
	OpenMigrated             // open at the room server, for a state that comes
	SendState                // write State to the room server
	Commit                   // ask Holder to let the session go; its answer goes to Committed
	Activate                 // tell the room server to attach it
	Establish                // the room server's UP may go to the client
	StartOver                // the one final answer, with Why
	RetryLater               // the other final answer: come again after After
)

// busyWait is told to a client whose session is held by an attach under way; most are over by then.
const busyWait = 250 * time.Millisecond

// mostHops bounds how many traces are followed: a way of unconfirmed attaches, each cut off.
const mostHops = 16

// Flow is one request's way to its session. Its methods return the next step.
type Flow struct {
	Claim       uint64 // this request's, and the fence of the attach that it makes
	Holder      string // the room server that is to hold the session
	Ref         token.Ref
	ViaRedirect bool // a trace told Ref, the client has no token of it
	Next        token.Ref
	Position    uint64
	State       []byte // between the export and the commit
	Reason      Reason
	RetryAfter  time.Duration

	known   uint64 // the position that the client's token names
	target  string
	back    bool
	fetched bool
	asked   bool // Commit was asked and not answered
	lost    bool // and its answer was lost once
	went    bool // Go was said
	hops    int
}

// New returns the flow of a token that was opened. claim is a random number, new with each request and not 0.
func New(t token.Token, claim uint64) *Flow {
	return &Flow{Claim: claim, Holder: t.Server, Ref: t.Ref, known: t.Position}
}

// Attempt begins a call attempt at a room server that the decision module chose; the connection to it is up.
func (f *Flow) Attempt(server string) Step {
	f.target, f.went, f.back = server, false, false
	if f.asked {
		f.ask() // the arbiter knows whether it was committed
	}
	return f.route()
}

func (f *Flow) route() Step {
	switch {
	case f.target == f.Holder:
		f.back, f.fetched, f.State = true, false, nil
		return OpenReattach
	case f.fetched:
		return OpenMigrated
	}
	f.back = false
	return Locate
}

// Located tells whether the core knows an address of Holder.
func (f *Flow) Located(known bool) Step {
	if !known {
		return f.over(HolderGone)
	}
	return Export
}

// HolderAnswered takes the answer to Export, or what the room server says in its place to OpenBack.
func (f *Flow) HolderAnswered(a arbiter.Answer) Step {
	switch a.Verdict {
	case arbiter.Granted:
		if a.Position < f.known {
			return f.over(Stale)
		}
		f.fetched, f.State, f.Position = true, a.State, a.Position
		f.Next = token.Ref{Session: f.Ref.Session, Epoch: a.Ref.Epoch + 1, Fence: f.Claim}
		return OpenMigrated
	case arbiter.Migrated:
		// Epochs only rise along the traces; what breaks that is no trace.
		if f.hops++; f.hops > mostHops || a.Ref.Epoch <= f.Ref.Epoch {
			return f.over(StateTimeout)
		}
		f.Holder, f.Ref, f.ViaRedirect = a.MigratedTo, a.Ref, true
		return f.route()
	case arbiter.InUse:
		f.RetryAfter = busyWait
		if a.RetryAfter > 0 {
			f.RetryAfter = min(a.RetryAfter, busyWait) // a claim ends with its move, mostly long before it runs out
		}
		return RetryLater
	case arbiter.TokenUsed:
		return f.over(TokenUsed)
	case arbiter.Ended:
		return f.over(SessionEnded)
	case arbiter.StateTooLarge:
		return f.over(StateTooLarge)
	}
	return f.over(HolderGone)
}

// HolderDisconnected tells that the connection to Holder broke. With it ends the claim.
func (f *Flow) HolderDisconnected() Step {
	switch {
	case f.asked && !f.lost:
		// Whether it was committed is known there alone. Asked again by the same claim, it gives the state once more
		// or says where it went; of two commits by one claim it takes the first.
		f.lost = true
		f.ask()
		return Locate
	case f.asked, f.lost:
		return f.over(Lost)
	}
	return f.over(HolderGone)
}

// ask forgets a state whose commit is in doubt.
func (f *Flow) ask() { f.asked, f.fetched, f.State = false, false, nil }

// UpstreamReady tells that the room server waits for the state.
func (f *Flow) UpstreamReady() Step {
	if f.back || !f.fetched || f.went {
		return f.over(Unsupported)
	}
	return SendState
}

// UpstreamHolds tells that the room server holds the session, not attached yet where it came by a move.
func (f *Flow) UpstreamHolds(epoch, position uint64) Step {
	if f.back {
		if position < f.known {
			return f.over(Stale)
		}
		f.Next = token.Ref{Session: f.Ref.Session, Epoch: epoch, Fence: f.Claim}
		f.went, f.Position = true, position
		return Activate
	}
	if !f.fetched || f.asked || f.went {
		return f.over(Unsupported)
	}
	f.asked = true
	return Commit
}

// Committed takes the answer to Commit. From a yes on, the session lies at the room server of this attempt.
func (f *Flow) Committed(yes bool) Step {
	f.asked, f.fetched, f.State = false, false, nil
	if !yes {
		return f.over(StateTimeout)
	}
	f.Holder, f.Ref, f.ViaRedirect = f.target, f.Next, true
	f.went = true
	return Activate
}

// UpstreamAccepted tells that the room server lets the connection stand.
func (f *Flow) UpstreamAccepted() Step {
	if !f.went {
		return f.over(Unsupported) // it took the line for one without a session: the board there is empty
	}
	return Establish
}

func (f *Flow) over(why Reason) Step {
	f.Reason, f.State, f.fetched = why, nil, false
	return StartOver
}
