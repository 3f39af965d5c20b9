package arbiter

import (
	"time"

	"cottonplank/internal/session/token"
)

// maxTombstones limits the tombstones of a session. Only removeOtherCopies, which is called when a copy is attached,
// enforces it. So a session that was migrated since can have more.
const maxTombstones = 16

// record holds the data that a room server's arbiter keeps about one session.
type record struct {
	// copies holds the copies of the session's state at this room server. There are several only while migrations
	// have prepared copies; at most one copy is attached.
	copies []*stateCopy
	// tombstones redirect tokens of copies that were migrated to another room server. They are in the order of the
	// migrations, the oldest first. Within a migration, the tombstone of the last attachment comes before those of the
	// earlier ones.
	tombstones []tombstone
	// ended says that the room server has ended the session with End.
	ended bool
	// expires is the time from which on sweep removes the record, unless the record is in use.
	expires time.Time
}

// stateCopy is a copy of a session's state at this room server.
type stateCopy struct {
	// ref identifies the copy. Each attachment changes it.
	ref token.Ref
	// previous holds earlier attachments of the copy, the oldest first. Their tokens stay valid until the client
	// confirms or presents a newer one: it may have been disconnected before it received the newer token.
	previous []attachment
	// confirmed says that the client has confirmed or presented the token of ref.
	confirmed bool
	// prepared says that a migration has transferred the copy here, but that the copy was not attached since. The
	// migration may not be committed yet.
	prepared bool
	// conn is the connection to which the copy is attached, or which has prepared it; 0 if there is none.
	conn Conn
	// claim is the number of the claim on the copy, which an export has made; 0 if there is none. It can have
	// expired.
	claim uint64
	// claimant is the connection on which the claim was made. The claim ends with it.
	claimant Conn
	// claimExpires is the time from which on other requests may attach or claim the copy.
	claimExpires time.Time
	// position is the number of the client's moves in state.
	position uint64
	// state is the session's state. The arbiter does not interpret it.
	state []byte
}

// attachment identifies an earlier attachment of a copy.
type attachment struct {
	// ref identified the copy during that attachment.
	ref token.Ref
	// confirmed says that the client has confirmed or presented the token of ref. From then on, requests that were
	// redirected to ref are rejected: they present an older token, which has become invalid.
	confirmed bool
}

// tombstone redirects the token of an attachment of a copy that was migrated to another room server.
type tombstone struct {
	attachment
	// server is the instance ID of the room server to which the copy was migrated.
	server string
	// next identifies the copy at that room server.
	next token.Ref
}

// attached reports whether the copy is attached to a connection.
func (c *stateCopy) attached() bool { return c.conn != 0 && !c.prepared }

// claimedAt reports whether the copy has an unexpired claim.
func (c *stateCopy) claimedAt(now time.Time) bool { return c.claim != 0 && now.Before(c.claimExpires) }

// confirm records that the client has the token of the current attachment. The tokens of earlier attachments become
// invalid.
func (c *stateCopy) confirm() { c.confirmed, c.previous = true, nil }

// detach detaches the copy from its connection and ends the claim on it, which has expired or is that of the caller.
// It returns the connection that the copy was attached to, or 0. A connection that has only prepared the copy is not
// returned: its Activate fails.
func (c *stateCopy) detach() (displaced Conn) {
	if !c.prepared {
		displaced = c.conn
	}
	c.conn, c.claim, c.claimant = 0, 0, 0
	return displaced
}

// tokenMatch is the result of the check of a token against a copy.
type tokenMatch uint8

const (
	noMatch       tokenMatch = iota
	currentMatch             // the client has the token of the current attachment
	previousMatch            // the client has an older token, valid until it confirms or presents a newer one
)

// matchToken checks a token against the copy. viaRedirect says that the client has no token of ref, but an older one
// from which the balancer was redirected to ref. A token that is presented without a redirect invalidates older
// tokens.
func (c *stateCopy) matchToken(ref token.Ref, viaRedirect bool) tokenMatch {
	if c.ref == ref && !viaRedirect && !c.prepared {
		c.confirm()
		return currentMatch
	}
	if c.ref == ref && viaRedirect && !c.confirmed {
		return previousMatch
	}
	if c.matchPrevious(ref, viaRedirect) {
		return previousMatch
	}
	return noMatch
}

// matchPrevious is matchToken for the earlier attachments of the copy. It reports whether the token is valid.
func (c *stateCopy) matchPrevious(ref token.Ref, viaRedirect bool) bool {
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

// inUse reports whether any copy has a connection or an unexpired claim.
func (r *record) inUse(now time.Time) bool {
	for _, c := range r.copies {
		if c.conn != 0 || c.claimedAt(now) {
			return true
		}
	}
	return false
}

// removeOtherCopies makes c, which is being attached, the only copy of the session, and marks the session as not
// ended. The other copies were prepared by migrations that cannot be committed. The newest maxTombstones tombstones
// are kept, because a client that was disconnected before it received the token of the new attachment presents an
// older one. Redirects cannot form a loop, because each one leads to a higher epoch.
func (r *record) removeOtherCopies(c *stateCopy) {
	r.copies, r.ended = []*stateCopy{c}, false
	excess := max(len(r.tombstones)-maxTombstones, 0)
	r.tombstones = r.tombstones[excess:]
}

// replaceByTombstones removes all copies and leaves tombstones that redirect to the given room server: first one for
// the last attachment of c, which has the claim, then one for each earlier attachment whose token is still valid. The
// other copies were prepared by migrations that cannot be committed. The reference in the tombstones has to be the one
// under which the balancer has prepared the copy at that room server (migration.Flow.Next).
func (r *record) replaceByTombstones(c *stateCopy, server string) {
	next := token.Ref{Session: c.ref.Session, Epoch: c.ref.Epoch + 1, Fence: c.claim}
	r.tombstones = append(r.tombstones, tombstone{attachment{c.ref, c.confirmed}, server, next})
	for _, earlier := range c.previous {
		r.tombstones = append(r.tombstones, tombstone{earlier, server, next})
	}
	r.copies = nil
}

// answerWithoutCopy returns the answer for a token that matches no copy. The answer is Migrated if a tombstone
// redirects the token; otherwise the first that applies of Ended, Unknown and TokenUsed.
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

// hasPrepared reports whether any copy was prepared by a migration and not attached since.
func (r *record) hasPrepared() bool {
	for _, c := range r.copies {
		if c.prepared {
			return true
		}
	}
	return false
}
