// Package migration decides how a balancer resumes the session of a client that presents a session token: which room
// server it asks for what, in which order, and when the client has to start over. The decision module has chosen the
// room server of each attempt before. docs/resume.md explains the order.
//
// The package does no I/O and reads no clock. A frontend carries out the steps that a Flow returns, and reports the
// results to it.
package migration

import (
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

const (
	// maxInUseRetryAfter is the maximum time after which a client retries if its session is in use. Most
	// attachments and migrations are finished by then.
	maxInUseRetryAfter = 250 * time.Millisecond
	// maxRedirects limits how many tombstones are followed. Each is left by a migration whose client was cut off
	// before it confirmed its token.
	maxRedirects = 16
)

// Flow is the progress of one request that resumes a session. Its methods report events and return the next step. It
// is not safe for concurrent use.
type Flow struct {
	// Claim identifies the request at arbiters. It becomes the fencing token of the copy that the request attaches.
	Claim uint64
	// Holder is the instance ID of the room server that should hold the session.
	Holder string
	// Ref identifies the copy of the state at Holder.
	Ref token.Ref
	// ViaRedirect says that a tombstone has led to Ref, of which the client has no token.
	ViaRedirect bool
	// Next identifies the copy that the attempt's room server is to attach.
	Next token.Ref
	// Position is the number of the client's moves in the state.
	Position uint64
	// State is the session's state. It is set after the export and until the commit.
	State []byte
	// Reason says why the client has to start over. It is set for StartOver.
	Reason Reason
	// RetryAfter is when the client should retry. It is set for RetryLater.
	RetryAfter time.Duration

	// acknowledged is the number of moves that were acknowledged to the client, according to its token.
	acknowledged uint64
	// server is the instance ID of the attempt's room server.
	server string
	// reattaching says that the attempt's room server holds the session itself.
	reattaching bool
	// exported says that State is set.
	exported bool
	// commitPending says that the holder was asked to commit and has not answered.
	commitPending bool
	// commitInterrupted says that the holder disconnected once while commitPending was set.
	commitInterrupted bool
	// activated says that the attempt's room server was told to attach the session.
	activated bool
	// redirects counts the tombstones that were followed.
	redirects int
}

// New returns the flow for a token. claim must be a random number other than 0, new for each request.
func New(t token.Token, claim uint64) *Flow {
	return &Flow{Claim: claim, Holder: t.Server, Ref: t.Ref, acknowledged: t.Position}
}

// Attempt begins an attempt at a room server, to which the connection is open.
func (f *Flow) Attempt(server string) Step {
	f.server, f.activated, f.reattaching = server, false, false
	if f.commitPending {
		f.discardUncertainState() // the previous attempt ended before the answer to its commit
	}
	return f.openOrFetch()
}

// openOrFetch returns the step that opens the session at the attempt's room server, or that fetches its state first.
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

// Located reports whether the address of Holder is known.
func (f *Flow) Located(known bool) Step {
	if !known {
		return f.startOver(HolderUnavailable)
	}
	return Export
}

// HolderAnswered reports the answer to Export, or the answer with which the attempt's room server rejects OpenReattach.
func (f *Flow) HolderAnswered(answer arbiter.Answer) Step {
	switch answer.Verdict {
	case arbiter.Granted:
		return f.stateExported(answer)
	case arbiter.Migrated:
		return f.followRedirect(answer)
	case arbiter.InUse:
		f.RetryAfter = maxInUseRetryAfter
		if answer.RetryAfter > 0 {
			// A claim ends with its migration, mostly long before it expires.
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

// stateExported handles the answer to an export that was granted.
func (f *Flow) stateExported(answer arbiter.Answer) Step {
	if answer.Position < f.acknowledged {
		return f.startOver(Stale)
	}
	f.exported, f.State, f.Position = true, answer.State, answer.Position
	f.Next = token.Ref{Session: f.Ref.Session, Epoch: answer.Ref.Epoch + 1, Fence: f.Claim}
	return OpenMigrated
}

// followRedirect continues at the room server to which a tombstone redirects.
func (f *Flow) followRedirect(answer arbiter.Answer) Step {
	f.redirects++
	// Epochs rise along tombstones. A redirect that does not raise the epoch is a fault of the room server.
	if f.redirects > maxRedirects || answer.Ref.Epoch <= f.Ref.Epoch {
		return f.startOver(StateTimeout)
	}
	f.Holder, f.Ref, f.ViaRedirect = answer.MigratedTo, answer.Ref, true
	return f.openOrFetch()
}

// HolderDisconnected reports that the connection to Holder has failed. The claim ends with it.
func (f *Flow) HolderDisconnected() Step {
	if f.commitPending && !f.commitInterrupted {
		// Only the holder knows whether the commit was executed. If the same claim exports again, it returns the
		// state once more or redirects to where the session went; a second commit by the same claim fails.
		f.commitInterrupted = true
		f.discardUncertainState()
		return Locate
	}
	if f.commitInterrupted {
		return f.startOver(Lost)
	}
	return f.startOver(HolderUnavailable)
}

// discardUncertainState discards a state that may have been committed already.
func (f *Flow) discardUncertainState() { f.commitPending, f.exported, f.State = false, false, nil }

// UpstreamReady reports that the attempt's room server waits for the state.
func (f *Flow) UpstreamReady() Step {
	if f.reattaching || !f.exported || f.activated {
		return f.startOver(Unsupported)
	}
	return SendState
}

// UpstreamHolds reports that the attempt's room server holds the session, at an epoch and a position. It has attached a
// session that it held before, but not one whose state it was sent.
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

// Committed reports the answer to Commit. If it is true, the session now belongs to the attempt's room server.
func (f *Flow) Committed(done bool) Step {
	f.commitPending, f.exported, f.State = false, false, nil
	if !done {
		return f.startOver(StateTimeout)
	}
	f.Holder, f.Ref, f.ViaRedirect = f.server, f.Next, true
	f.activated = true
	return Activate
}

// UpstreamAccepted reports that the attempt's room server has accepted the client.
func (f *Flow) UpstreamAccepted() Step {
	if !f.activated {
		// The room server has ignored the session and would begin a new game.
		return f.startOver(Unsupported)
	}
	return Establish
}

// startOver ends the flow.
func (f *Flow) startOver(reason Reason) Step {
	f.Reason, f.State, f.exported = reason, nil, false
	return StartOver
}
