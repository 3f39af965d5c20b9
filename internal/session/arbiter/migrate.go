package arbiter

import (
	"slices"
	"time"

	"cottonplank/internal/session/token"
)

// Export claims a session for a migration and returns its state. The session is detached from its connection. Other
// requests can neither attach nor claim it until claimExpires or until the connection claimant ends, whichever is
// first. Another Export with the same claim number returns the state again and replaces claimant and claimExpires.
// viaRedirect has the same meaning as for Reattach. If the state has more than maxState bytes, the session is not
// claimed and the answer is StateTooLarge.
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

// Commit removes a session that was migrated to the given room server and leaves tombstones that redirect to it. A
// claim whose time has expired can still be committed if the session was not claimed or attached since. Commit
// returns false if the claim has ended: another request has claimed or attached the session, the claimant's
// connection has ended, or the session was removed. The balancer must then not activate the session at the new room
// server.
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

// Prepare stores a state that a migration has transferred, without attaching it. The copy can be attached by Activate
// on the same connection. It can also be attached or exported by a request with viaRedirect, since only a committed
// migration leaves a redirect to ref. While conn exists, such a request gets InUse unless it is made on conn. Prepare
// returns false if the session has no record and Config.Limit is reached, if another connection, which still exists,
// has prepared the same ref, or if Activate has attached the copy of ref already.
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
	// Activate attaches the copy that the connection has prepared last, so other copies that it has prepared are
	// removed.
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

// Activate attaches the copy that a connection has prepared. The balancer requests it (protocol.ActivateLine) only
// after the old room server has executed Commit, which the arbiter cannot check. Activate returns false if the
// connection has no prepared copy, for example because another request has attached it.
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
