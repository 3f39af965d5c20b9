// Package migration decides how a balancer resumes the session of a client that presents a session token: which
// requests it sends to which room server, in which order, and when the client has to start over. It does not choose
// the room server of an attempt; the decision module does. docs/resume.md explains the order.
//
// The package does no I/O and reads no clock. A frontend executes the steps that a Flow returns, and reports the
// results to it.
package migration

import (
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

const (
	// maxInUseRetryAfter is the maximum of Flow.RetryAfter for a session that is in use. Most attachments and
	// migrations have finished by then.
	maxInUseRetryAfter = 250 * time.Millisecond
	// maxRedirects is the maximum number of redirects by tombstones that a Flow follows. A client is redirected once
	// for each migration after which it was disconnected before it received the new token.
	maxRedirects = 16
)

// Flow is the state of one client request that resumes a session, across all attempts. An attempt sends the request
// to one room server, which the decision module has chosen. The frontend calls its methods to report events; each
// method returns the next step. It is not safe for concurrent use.
type Flow struct {
	// Claim is the number under which the request claims the session at arbiters. It also becomes the fencing token
	// of the copy that the request attaches.
	Claim uint64
	// Holder is the instance ID of the room server that holds the session, according to the token, a redirect or the
	// flow's own commit.
	Holder string
	// Ref identifies the copy of the state at Holder.
	Ref token.Ref
	// ViaRedirect says that Ref is not from the client's token, but from a tombstone or from the flow's own commit.
	ViaRedirect bool
	// Next identifies the copy that the attempt's room server attaches. It is set by the answer to the export or, if
	// no state is transferred, when the room server has attached the session.
	Next token.Ref
	// Position is the number of the client's moves in the state.
	Position uint64
	// State is the session's state. It is set by the answer to the export and discarded at the latest by the answer
	// to the commit.
	State []byte
	// Reason says why the client has to start over. It is set for StartOver.
	Reason Reason
	// RetryAfter is the time after which the client may retry. It is set for RetryLater.
	RetryAfter time.Duration

	// acknowledged is the number of moves that were acknowledged to the client, according to its token.
	acknowledged uint64
	// server is the instance ID of the attempt's room server.
	server string
	// reattaching says that the attempt's room server is Holder, so that no state is transferred.
	reattaching bool
	// exported says that State is set. An exported state can be empty.
	exported bool
	// commitPending says that the step Commit was returned and that Holder's answer is pending.
	commitPending bool
	// commitInterrupted says that the connection to Holder has failed once while commitPending was set.
	commitInterrupted bool
	// activated says that the step Activate was returned for the attempt's room server.
	activated bool
	// redirects counts the redirects that were followed.
	redirects int
}

// New returns the flow for the token that a client has presented. claim must be a random number other than 0, and a
// different one for each request.
func New(t token.Token, claim uint64) *Flow {
	return &Flow{Claim: claim, Holder: t.Server, Ref: t.Ref, acknowledged: t.Position}
}

// Attempt reports that the connection to the room server of a new attempt has been opened.
func (f *Flow) Attempt(server string) Step {
	f.server, f.activated, f.reattaching = server, false, false
	if f.commitPending {
		f.discardUncertainState() // the previous attempt ended before Holder answered the commit
	}
	return f.openOrFetch()
}

// openOrFetch returns the step that opens the session at the attempt's room server, or the first step of the export
// if the state has to be fetched from another room server before.
func (f *Flow) openOrFetch() Step {
	if f.server == f.Holder {
		f.reattaching, f.exported, f.State = true, false, nil
		return OpenReattach
	}
	if f.exported {
		return OpenMigrated
	}
	f.reattaching = false
	return Locate
}

// Located reports the result of Locate: whether the address of Holder is known.
func (f *Flow) Located(known bool) Step {
	if !known {
		return f.startOver(HolderUnavailable)
	}
	return Export
}

// HolderAnswered reports the answer of Holder to Export, or the answer with which Holder, as the attempt's room
// server, rejects OpenReattach.
func (f *Flow) HolderAnswered(answer arbiter.Answer) Step {
	switch answer.Verdict {
	case arbiter.Granted:
		return f.stateExported(answer)
	case arbiter.Migrated:
		return f.followRedirect(answer)
	case arbiter.InUse:
		f.RetryAfter = maxInUseRetryAfter
		if answer.RetryAfter > 0 {
			// A claim usually ends long before it expires, because it ends with its migration.
			f.RetryAfter = min(answer.RetryAfter, maxInUseRetryAfter)
		}
		return RetryLater
	case arbiter.TokenUsed:
		return f.startOver(TokenUsed)
	case arbiter.Ended:
		return f.startOver(SessionEnded)
	case arbiter.StateTooLarge:
		return f.startOver(StateTooLarge)
	}
	return f.startOver(HolderUnavailable)
}

// stateExported handles the answer to a granted export. It rejects a state that lacks acknowledged moves.
func (f *Flow) stateExported(answer arbiter.Answer) Step {
	if answer.Position < f.acknowledged {
		return f.startOver(Stale)
	}
	f.exported, f.State, f.Position = true, answer.State, answer.Position
	f.Next = token.Ref{Session: f.Ref.Session, Epoch: answer.Ref.Epoch + 1, Fence: f.Claim}
	return OpenMigrated
}

// followRedirect makes the room server to which a tombstone redirects the new Holder.
func (f *Flow) followRedirect(answer arbiter.Answer) Step {
	f.redirects++
	// A redirect must lead to a higher epoch. Any other redirect is a fault of the room server, and following it could
	// lead into a loop.
	if f.redirects > maxRedirects || answer.Ref.Epoch <= f.Ref.Epoch {
		return f.startOver(StateTimeout)
	}
	f.Holder, f.Ref, f.ViaRedirect = answer.MigratedTo, answer.Ref, true
	return f.openOrFetch()
}

// HolderDisconnected reports that the connection for the export from Holder could not be opened or has failed. A
// claim that was made on it ends with it.
func (f *Flow) HolderDisconnected() Step {
	if f.commitPending && !f.commitInterrupted {
		// Only Holder can report whether the commit was executed. Another export with the same claim number shows it:
		// if the commit was executed, Holder redirects to the room server that has prepared the copy, and otherwise
		// it returns the state again, unless another request has attached or claimed the session since. Repeating the
		// commit would not help: Holder rejects it if the first one was executed.
		f.commitInterrupted = true
		f.discardUncertainState()
		return Locate
	}
	if f.commitInterrupted {
		return f.startOver(Lost)
	}
	return f.startOver(HolderUnavailable)
}

// discardUncertainState discards the exported state of a migration for which it is unknown whether Holder has
// committed it.
func (f *Flow) discardUncertainState() { f.commitPending, f.exported, f.State = false, false, nil }

// UpstreamReady reports that the attempt's room server has answered OpenMigrated and waits for the state.
func (f *Flow) UpstreamReady() Step {
	if f.reattaching || !f.exported || f.activated {
		return f.startOver(Unsupported)
	}
	return SendState
}

// UpstreamHolds reports that the attempt's room server holds the session, at the given epoch and position. After
// OpenReattach, its arbiter has attached the session already. After SendState, it has only prepared the copy.
func (f *Flow) UpstreamHolds(epoch, position uint64) Step {
	if f.reattaching {
		if position < f.acknowledged {
			return f.startOver(Stale)
		}
		f.Next = token.Ref{Session: f.Ref.Session, Epoch: epoch, Fence: f.Claim}
		f.activated, f.Position = true, position
		return Activate
	}
	if !f.exported || f.commitPending || f.activated {
		return f.startOver(Unsupported)
	}
	f.commitPending = true
	return Commit
}

// Committed reports the answer to Commit. done says that Holder has released the session, so that the attempt's room
// server becomes its holder.
func (f *Flow) Committed(done bool) Step {
	f.commitPending, f.exported, f.State = false, false, nil
	if !done {
		return f.startOver(StateTimeout)
	}
	f.Holder, f.Ref, f.ViaRedirect = f.server, f.Next, true
	f.activated = true
	return Activate
}

// UpstreamAccepted reports that the attempt's room server has accepted the client's connection.
func (f *Flow) UpstreamAccepted() Step {
	if !f.activated {
		// The room server does not support sessions: it has ignored the session field and would begin a new game.
		return f.startOver(Unsupported)
	}
	return Establish
}

// startOver ends the flow with the step StartOver and discards the state.
func (f *Flow) startOver(reason Reason) Step {
	f.Reason, f.State, f.exported = reason, nil, false
	return StartOver
}
