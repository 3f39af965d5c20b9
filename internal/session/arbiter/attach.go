package arbiter

import (
	"time"

	"cottonplank/internal/session/token"
)

// Reattach attaches a session that is here to a connection, under the next epoch and the fencing token fence.
// viaRedirect says that the tombstone of another room server has led to ref, and the client has no token of it.
func (a *Arbiter) Reattach(now time.Time, ref token.Ref, fence uint64, viaRedirect bool, conn Conn) Answer {
	r, c, answer := a.find(now, ref, fence, viaRedirect, conn)
	if c == nil {
		return answer
	}
	answer.Displaced = c.detach()
	c.previous = append(c.previous, attachment{c.ref, c.confirmed})
	c.ref = token.Ref{Session: ref.Session, Epoch: c.ref.Epoch + 1, Fence: fence}
	c.prepared, c.confirmed, c.conn = false, false, conn
	r.removeOtherCopies(c)
	answer.Ref, answer.Position, answer.State = c.ref, c.position, c.state
	return answer
}

// ConfirmToken notes that the client of an attached session has the token of this attachment. Older tokens of the
// session become invalid.
func (a *Arbiter) ConfirmToken(conn Conn, session token.SessionID) {
	if c := a.attachedCopy(conn, session); c != nil {
		c.confirm()
	}
}

// SaveState stores the state of an attached session. It returns false if the session is no longer attached to the
// connection: the client's moves must not be acknowledged then.
func (a *Arbiter) SaveState(conn Conn, session token.SessionID, position uint64, state []byte) bool {
	c := a.attachedCopy(conn, session)
	if c == nil {
		return false
	}
	c.position, c.state = position, state
	return true
}

// Disconnected notes that a connection has ended. A session that was attached to it can be attached with its token; a
// claim of the connection ends.
func (a *Arbiter) Disconnected(now time.Time, conn Conn, session token.SessionID) {
	r := a.records[session]
	if r == nil {
		return
	}
	for _, c := range r.copies {
		if c.conn == conn {
			c.conn = 0
			r.expires = a.expiry(now)
		}
		if c.claimant == conn {
			c.claim, c.claimant = 0, 0
		}
	}
}

// End notes that the session that is attached to a connection was played to its end.
func (a *Arbiter) End(now time.Time, conn Conn, session token.SessionID) {
	if a.attachedCopy(conn, session) == nil {
		return
	}
	r := a.records[session]
	r.copies, r.ended, r.expires = nil, true, a.expiry(now)
}

// find returns the copy that may be attached or exported with a token, or nil and the answer that says why there is
// none. A claim by another number than claim makes the session in use, and so does a connection other than conn,
// unless the token is that of the current attachment.
func (a *Arbiter) find(now time.Time, ref token.Ref, claim uint64, viaRedirect bool, conn Conn) (
	*record, *stateCopy, Answer,
) {
	a.sweep(now)
	r := a.records[ref.Session]
	if r == nil {
		return nil, nil, Answer{Verdict: Unknown}
	}
	for _, c := range r.copies {
		match := c.present(ref, viaRedirect)
		if match == noMatch {
			continue
		}
		// A token that is presented twice must not interrupt the attachment that it has begun.
		if match == previousMatch && c.conn != 0 && c.conn != conn {
			return r, nil, Answer{Verdict: InUse}
		}
		if c.claim != claim && c.claimedAt(now) {
			return r, nil, Answer{Verdict: InUse, RetryAfter: c.claimExpires.Sub(now)}
		}
		return r, c, Answer{Verdict: Granted}
	}
	return r, nil, r.answerWithoutCopy(ref, viaRedirect)
}
