// Package arbiter decides which client connection a session is attached to. Each room server has an arbiter for the
// sessions whose state it holds. Balancers share nothing, so that a session is attached at most once is decided here:
// each attachment has a new epoch, and a fencing token that tells it apart from any other of that epoch.
//
// A migration moves a session's state to another room server. Export claims the state at the old server, Prepare stores
// it at the new one without attaching it, Commit removes it from the old server, and Activate attaches it at the new
// one. The old server retains a tombstone, which redirects clients that still present an older session token.
//
// The package is the reference implementation of what docs/resume-protocol.md demands of a room server, and the room
// servers of the test bench use it. It does no I/O and reads no clock; its callers pass the time.
package arbiter

import (
	"time"

	"cottonplank/internal/session/token"
)

// Conn identifies a connection of the room server. 0 means no connection.
type Conn uint64

// Verdict is the result of a request for a session.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the caller may have the session.
	Granted Verdict = iota
	// InUse means that the session is being attached, or is claimed by another migration. The caller may retry.
	InUse
	// TokenUsed means that the token is no longer valid, because the session has continued from it.
	TokenUsed
	// Ended means that the session has ended.
	Ended
	// Migrated means that the session's state is at another room server.
	Migrated
	// StateTooLarge means that the state is larger than the caller accepts.
	StateTooLarge
	// Unknown means that the room server has no state of the session.
	Unknown
)

// String returns a short description of the verdict.
func (v Verdict) String() string {
	return [...]string{
		Granted:       "granted",
		InUse:         "in use",
		TokenUsed:     "token used",
		Ended:         "ended",
		Migrated:      "migrated",
		StateTooLarge: "state too large",
		Unknown:       "unknown",
	}[v]
}

// Answer is a verdict with its details.
type Answer struct {
	// Verdict says which of the other fields are set.
	Verdict Verdict
	// Position is the number of the client's moves in the state. It is set for Granted and StateTooLarge.
	Position uint64
	// State is the session's state. It is set for Granted.
	State []byte
	// Displaced is the connection that lost the session and has to be closed; 0 if there is none. It is set for
	// Granted.
	Displaced Conn
	// MigratedTo is the room server that has the state. It is set for Migrated.
	MigratedTo string
	// Ref identifies the copy of the state: for Granted the one here, for Migrated the one at MigratedTo.
	Ref token.Ref
	// RetryAfter is the time until the claim on the session expires; 0 if that is unknown. It is set for InUse.
	RetryAfter time.Duration
}

// Config is the configuration of an arbiter.
type Config struct {
	// Retention is how long a session without a connection, or a tombstone, is retained.
	Retention time.Duration
	// Limit is the maximum number of sessions, including those of which only tombstones are left. New sessions
	// beyond it are rejected.
	Limit int
}

// Arbiter holds the sessions of one room server. It is not safe for concurrent use.
type Arbiter struct {
	cfg Config
	// records holds all that is known of the sessions.
	records map[token.SessionID]*record
	// lastSweep is when expired records were last removed.
	lastSweep time.Time
}

// New returns an arbiter without sessions.
func New(cfg Config) *Arbiter {
	return &Arbiter{cfg: cfg, records: map[token.SessionID]*record{}}
}

// Create adds a new session, which is attached to the connection. It returns false if the session exists already or
// there are too many: the arbiter does not hold the session then, and its client gets no token.
func (a *Arbiter) Create(now time.Time, ref token.Ref, conn Conn) bool {
	a.sweep(now)
	if a.records[ref.Session] != nil || len(a.records) >= a.cfg.Limit {
		return false
	}
	a.records[ref.Session] = &record{
		copies:  []*stateCopy{{ref: ref, conn: conn}},
		expires: a.expiry(now),
	}
	return true
}

// Sessions returns the number of copies of sessions' states that are held, and how many of them are attached.
func (a *Arbiter) Sessions() (held, attached int) {
	for _, r := range a.records {
		for _, c := range r.copies {
			held++
			if c.attached() {
				attached++
			}
		}
	}
	return held, attached
}

// attachedCopy returns the copy of a session that is attached to the connection, or nil.
func (a *Arbiter) attachedCopy(conn Conn, session token.SessionID) *stateCopy {
	r := a.records[session]
	if r == nil {
		return nil
	}
	for _, c := range r.copies {
		if c.attached() && c.conn == conn {
			return c
		}
	}
	return nil
}

// expiry returns when a record that is changed at now expires.
func (a *Arbiter) expiry(now time.Time) time.Time { return now.Add(a.cfg.Retention) }

// sweepsPerRetention is how often expired records are removed within the time for which they are retained.
const sweepsPerRetention = 8

// sweep removes records that are expired and not in use. Since most calls sweep, it does nothing if the last time was
// recent.
func (a *Arbiter) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < a.cfg.Retention/sweepsPerRetention {
		return
	}
	a.lastSweep = now
	for session, r := range a.records {
		if !now.Before(r.expires) && !r.inUse(now) {
			delete(a.records, session)
		}
	}
}
