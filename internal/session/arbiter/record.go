package arbiter

import (
	"time"

	"cottonplank/internal/session/token"
)

// maxTombstones limits the tombstones of one session.
const maxTombstones = 16

// record is all that a room server knows of one session.
type record struct {
	// copies holds the copies of the session's state. There is at most one, unless several balancers prepare the
	// same migration.
	copies []*stateCopy
	// tombstones say where earlier copies went, the oldest first.
	tombstones []tombstone
	// ended says that the session was played to its end.
	ended bool
	// expires is when the record is removed, unless a copy of it is in use.
	expires time.Time
}

// stateCopy is a copy of a session's state at this room server.
type stateCopy struct {
	// ref identifies the copy. Each attachment changes it.
	ref token.Ref
	// previous holds earlier attachments of the copy, the oldest first. Their tokens stay valid until the client
	// has proved that it has the token of ref.
	previous []attachment
	// confirmed says that the client has proved that it has the token of ref.
	confirmed bool
	// prepared says that a migration has brought the copy and may not be committed yet. The copy is not attached
	// until it is.
	prepared bool
	// conn is the connection to which the copy is attached, or which has prepared it; 0 if there is none.
	conn Conn
	// claim is the number of the migration that exports the copy; 0 if there is none.
	claim uint64
	// claimant is the connection of that migration.
	claimant Conn
	// claimExpires is when other migrations may claim the copy.
	claimExpires time.Time
	// position is the number of the client's moves in state.
	position uint64
	// state is the session's state. The arbiter does not interpret it.
	state []byte
}

// attachment identifies an earlier attachment of a copy.
type attachment struct {
	// ref identified the copy while it was attached.
	ref token.Ref
	// confirmed says that the client has proved that it has the token of ref. A client that a tombstone redirects to
	// the attachment is rejected then, as it presents an older token, which is used.
	confirmed bool
}

// tombstone says where a copy went.
type tombstone struct {
	attachment
	// server is the room server to which the copy was migrated.
	server string
	// next identifies the copy at that server.
	next token.Ref
}

// attached reports whether the copy is attached to a connection.
func (c *stateCopy) attached() bool { return c.conn != 0 && !c.prepared }

// claimedAt reports whether a migration has a claim on the copy that is not expired.
func (c *stateCopy) claimedAt(now time.Time) bool { return c.claim != 0 && now.Before(c.claimExpires) }

// confirm notes that the client has the token of the current attachment. The tokens of earlier ones become invalid.
func (c *stateCopy) confirm() { c.confirmed, c.previous = true, nil }

// detach takes the copy from its connection and ends an expired claim. It returns the connection that loses the
// session, or 0. One that has only prepared the copy learns of its loss when it activates it.
func (c *stateCopy) detach() (displaced Conn) {
	if !c.prepared {
		displaced = c.conn
	}
	c.conn, c.claim, c.claimant = 0, 0, 0
	return displaced
}

// tokenMatch is how a token fits a copy.
type tokenMatch uint8

const (
	noMatch       tokenMatch = iota
	currentMatch             // it is the token of the current attachment
	previousMatch            // it is valid only until the client has proved that it has a newer one
)

// present checks a token against the copy. viaRedirect says that the client has no token of ref, but was redirected
// to it. A token that is presented without a redirect invalidates those before it.
func (c *stateCopy) present(ref token.Ref, viaRedirect bool) tokenMatch {
	if c.ref == ref && !viaRedirect && !c.prepared {
		c.confirm()
		return currentMatch
	}
	if c.ref == ref && viaRedirect && !c.confirmed {
		return previousMatch
	}
	if c.presentPrevious(ref, viaRedirect) {
		return previousMatch
	}
	return noMatch
}

// presentPrevious checks a token against the copy's earlier attachments and reports whether it is valid.
func (c *stateCopy) presentPrevious(ref token.Ref, viaRedirect bool) bool {
	for i, earlier := range c.previous {
		if earlier.ref != ref || viaRedirect && earlier.confirmed {
			continue
		}
		if !viaRedirect {
			c.previous = c.previous[i:]
			c.previous[0].confirmed = true
		}
		return true
	}
	return false
}

// inUse reports whether a copy has a connection or a claim.
func (r *record) inUse(now time.Time) bool {
	for _, c := range r.copies {
		if c.conn != 0 || c.claimedAt(now) {
			return true
		}
	}
	return false
}

// removeOtherCopies makes c the only copy of the session. Others were prepared by migrations that have lost against
// this one. Tombstones remain, for a client that never got the token of the new attachment presents an older one. They
// cannot form a loop, since epochs only rise.
func (r *record) removeOtherCopies(c *stateCopy) {
	r.copies, r.ended = []*stateCopy{c}, false
	excess := max(len(r.tombstones)-maxTombstones, 0)
	r.tombstones = r.tombstones[excess:]
}

// replaceByTombstones removes all copies. Tombstones of c, which has the claim, and of its earlier attachments redirect
// to the server. Other copies were only prepared and can never be attached now.
func (r *record) replaceByTombstones(c *stateCopy, server string) {
	next := token.Ref{Session: c.ref.Session, Epoch: c.ref.Epoch + 1, Fence: c.claim}
	r.tombstones = append(r.tombstones, tombstone{attachment{c.ref, c.confirmed}, server, next})
	for _, earlier := range c.previous {
		r.tombstones = append(r.tombstones, tombstone{earlier, server, next})
	}
	r.copies = nil
}

// answerWithoutCopy returns the answer for a token that fits no copy.
func (r *record) answerWithoutCopy(ref token.Ref, viaRedirect bool) Answer {
	for _, t := range r.tombstones {
		if t.ref != ref {
			continue
		}
		if viaRedirect && t.confirmed {
			break
		}
		return Answer{Verdict: Migrated, MigratedTo: t.server, Ref: t.next}
	}
	if r.ended {
		return Answer{Verdict: Ended}
	}
	if len(r.tombstones) == 0 && r.hasPrepared() {
		return Answer{Verdict: Unknown}
	}
	return Answer{Verdict: TokenUsed}
}

// hasPrepared reports whether a migration that may not be committed has brought a copy.
func (r *record) hasPrepared() bool {
	for _, c := range r.copies {
		if c.prepared {
			return true
		}
	}
	return false
}
