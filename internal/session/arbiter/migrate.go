package arbiter

import (
	"slices"
	"time"

	"cottonplank/internal/session/token"
)

// Export claims a session for a migration and returns its state. The session is detached, and nothing else attaches or
// claims it until the claim expires or the claimant's connection ends. The same claim may export it again.
// viaRedirect says that the tombstone of another room server has led to ref, and the client has no token of it. A
// state of more than maxState bytes is neither returned nor claimed.
func (a *Arbiter) Export(now time.Time, ref token.Ref, claim uint64, claimExpires time.Time, maxState int,
	viaRedirect bool, claimant Conn) Answer {
	_, c, answer := a.find(now, ref, claim, viaRedirect, claimant)
	if c == nil {
		return answer
	}
	if len(c.state) > maxState {
		return Answer{Verdict: StateTooLarge, Position: c.position}
	}
	answer.Displaced = c.detach()
	c.claim, c.claimant, c.claimExpires = claim, claimant, claimExpires
	answer.Ref, answer.Position, answer.State = c.ref, c.position, c.state
	return answer
}

// Commit removes a session that was migrated to another room server and leaves tombstones. A claim that has expired
// still commits unless the session was claimed or attached again. Commit returns false if it was: the migration must
// be aborted then.
func (a *Arbiter) Commit(now time.Time, session token.SessionID, claim uint64, server string) bool {
	a.sweep(now)
	r := a.records[session]
	if r == nil || claim == 0 {
		return false
	}
	for _, c := range r.copies {
		if c.claim == claim {
			r.replaceByTombstones(c, server)
			r.expires = a.expiry(now)
			return true
		}
	}
	return false
}

// Prepare stores a state that a migration has brought, without attaching it. It can be attached by Activate for the
// same connection, or by Reattach for a client that a tombstone has redirected to ref. Prepare returns false if there
// are too many sessions, or ref is in use already.
func (a *Arbiter) Prepare(now time.Time, ref token.Ref, position uint64, state []byte, conn Conn) bool {
	a.sweep(now)
	r := a.records[ref.Session]
	if r == nil {
		if len(a.records) >= a.cfg.Limit {
			return false
		}
		r = &record{}
		a.records[ref.Session] = r
	}
	r.expires = a.expiry(now)
	// Activate attaches what the connection prepared last, so earlier copies of the connection are obsolete.
	r.copies = slices.DeleteFunc(r.copies, func(c *stateCopy) bool {
		return c.prepared && c.conn == conn && c.ref != ref
	})
	for _, c := range r.copies {
		if c.ref != ref {
			continue
		}
		if c.conn != 0 && c.conn != conn || !c.prepared {
			return false
		}
		c.conn, c.position, c.state = conn, position, state
		return true
	}
	r.copies = append(r.copies, &stateCopy{ref: ref, prepared: true, conn: conn, position: position, state: state})
	return true
}

// Activate attaches the session that a connection has prepared, after its migration was committed. It returns false
// if there is none.
func (a *Arbiter) Activate(now time.Time, conn Conn, session token.SessionID) bool {
	r := a.records[session]
	if r == nil {
		return false
	}
	for _, c := range r.copies {
		if c.conn == conn && c.prepared {
			c.prepared = false
			r.removeOtherCopies(c)
			r.expires = a.expiry(now)
			return true
		}
	}
	return false
}
