package arbiter

import (
	"time"

	"cottonplank/internal/session/token"
)

// Reattach attaches a session that the room server holds to conn. The attachment gets the next epoch and the fencing
// token fence. An unexpired claim prevents this, unless the claim's number is fence: the claim then belongs to the
// same request. viaRedirect says that the client has no token of ref: the balancer got ref from another room server's
// tombstone, or from a migration for the same request.
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

// ConfirmToken records that the client has received the token of the attachment to conn. Older tokens of the session
// become invalid. It does nothing if the session is not attached to conn.
func (a *Arbiter) ConfirmToken(conn Conn, session token.SessionID) {
	if c := a.attachedCopy(conn, session); c != nil {
		c.confirm()
	}
}

// SaveState stores the state of an attached session; position is the number of the client's moves in it. SaveState
// returns false if the session is not attached to conn, usually because conn has lost it. The room server must not
// acknowledge moves then.
func (a *Arbiter) SaveState(conn Conn, session token.SessionID, position uint64, state []byte) bool {
	c := a.attachedCopy(conn, session)
	if c == nil {
		return false
	}
	c.position, c.state = position, state
	return true
}

// Disconnected records that a connection has ended. A session that was attached to it, or prepared by it, stays
// available to other connections. A claim that was made on the connection ends.
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

// End records that the session that is attached to a connection was played to its end, and discards its state. It
// does nothing if the session is not attached to conn.
func (a *Arbiter) End(now time.Time, conn Conn, session token.SessionID) {
	if a.attachedCopy(conn, session) == nil {
		return
	}
	r := a.records[session]
	r.copies, r.ended, r.expires = nil, true, a.expiry(now)
}

// find returns the copy that ref allows to attach or export, or nil and the answer that says why there is none. The
// answer is InUse if a claim with a number other than claim is valid. It is also InUse if the copy has a connection
// other than conn, unless the client presents the token of the current attachment itself. The copy may have conn
// itself as its connection: a balancer whose commit was interrupted reattaches on the connection that has prepared
// the copy.
//
// If the client presents a token itself, find invalidates older tokens; see stateCopy.matchToken.
func (a *Arbiter) find(now time.Time, ref token.Ref, claim uint64, viaRedirect bool, conn Conn) (
	*record, *stateCopy, Answer,
) {
	a.sweep(now)
	r := a.records[ref.Session]
	if r == nil {
		return nil, nil, Answer{Verdict: Unknown}
	}
	for _, c := range r.copies {
		match := c.matchToken(ref, viaRedirect)
		if match == noMatch {
			continue
		}
		// A token that is presented twice must not interrupt the attachment that it has started the first time. So an
		// older token does not displace a connection.
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
