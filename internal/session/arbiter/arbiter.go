// Package arbiter decides which connection a session is attached to. Each room server has an arbiter for the sessions
// whose state it holds. Balancers do not coordinate with each other, so the arbiters ensure that a session is
// attached to at most one connection. Each attachment has a new epoch and a fencing token. The fencing token
// distinguishes the attached copy of the session's state from copies of the same epoch that were prepared for a
// migration and are never attached.
//
// A migration transfers a session's state to another room server. Export claims the state at the old server, Prepare
// stores it at the new one without attaching it, Commit removes it from the old server, and Activate attaches it at
// the new one. The old server retains tombstones, which redirect requests with tokens that were issued before the
// migration.
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
	// Granted means that the request was executed: the session is attached or exported.
	Granted Verdict = iota
	// InUse means that another request has claimed the session, or that the request presents an older token, which is
	// still valid, while another connection has the session attached or prepared. The caller may retry.
	InUse
	// TokenUsed means that the token is not valid, usually because the client has confirmed a newer one.
	TokenUsed
	// Ended means that the session has ended.
	Ended
	// Migrated means that the session's state was migrated to another room server.
	Migrated
	// StateTooLarge means that the state is larger than the caller accepts.
	StateTooLarge
	// Unknown means that the room server has no record of the session, or no tombstones of it but a copy that a
	// migration has prepared and that was not attached since.
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

// Answer is the answer to a Reattach or an Export: the verdict and its details.
type Answer struct {
	// Verdict determines which other fields are set.
	Verdict Verdict
	// Position is the number of the client's moves in the state. It is set for Granted and StateTooLarge.
	Position uint64
	// State is the session's state. It is set for Granted.
	State []byte
	// Displaced is the connection that has lost the session to the caller and has to be closed; 0 if there is none.
	// It is set for Granted.
	Displaced Conn
	// MigratedTo is the instance ID of the room server to which the state was migrated. It is set for Migrated.
	MigratedTo string
	// Ref identifies the copy of the state: for Granted the one at this room server, for Migrated the one at
	// MigratedTo.
	Ref token.Ref
	// RetryAfter is the time until the claim on the session expires; 0 if the session is in use without a claim. It
	// is set for InUse.
	RetryAfter time.Duration
}

// Config is the configuration of an arbiter.
type Config struct {
	// Retention is the minimum time for which the arbiter retains a session without a connection, the tombstones of a
	// migrated session, and the record of an ended session.
	Retention time.Duration
	// Limit is the maximum number of sessions, including migrated and ended sessions that are retained. Further
	// sessions are rejected.
	Limit int
}

// Arbiter holds the sessions of one room server. It is not safe for concurrent use.
type Arbiter struct {
	cfg Config
	// records holds the sessions, including migrated and ended sessions.
	records map[token.SessionID]*record
	// lastSweep is when sweep last removed expired records.
	lastSweep time.Time
}

// New returns an arbiter without sessions.
func New(cfg Config) *Arbiter {
	return &Arbiter{cfg: cfg, records: map[token.SessionID]*record{}}
}

// Create adds a new session, which is attached to conn. It returns false if the arbiter already has a session of this
// ID, or has reached Config.Limit. The room server may serve the client nevertheless, but without a session that can
// be resumed: it must not send protocol.SessionRetainedLine, so that the client gets no token.
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

// Sessions returns the number of copies of session states that the arbiter holds, including prepared copies, and the
// number of attached copies.
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

// attachedCopy returns the copy of a session that is attached to the connection, or nil if there is none.
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

// expiry returns the expiry time of a record that is changed at now.
func (a *Arbiter) expiry(now time.Time) time.Time { return now.Add(a.cfg.Retention) }

// sweepsPerRetention is the maximum number of sweeps within Config.Retention.
const sweepsPerRetention = 8

// sweep removes records that have expired and are not in use. Because most methods call it, it does so at most once per
// Config.Retention/sweepsPerRetention. An expired record stays valid until a sweep removes it.
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
