package platform

import (
	"sync/atomic"
	"time"

	"cottonplank/internal/session/token"

	"golang.org/x/sync/semaphore"
)

// SessionLimits are the site, the token lifetime and the resource limits for the migration of sessions.
type SessionLimits struct {
	// Site is the name of the site; tokens of other sites are rejected.
	Site string
	// TokenLifetime is how long a session token is valid.
	TokenLifetime time.Duration
	// MaxState is the maximum size of one session's state in bytes.
	MaxState int
	// MaxBytes is the maximum total size in bytes of all states that are being transferred. A client whose state would
	// exceed it is asked to retry later.
	MaxBytes int64
	// MaxMigrations is the maximum number of sessions that are migrated at a time. Further migrations wait.
	MaxMigrations int
}

// SessionResumer holds what all connections of a frontend share to resume sessions: the limits, the token keys and
// the resources in use. It is safe for concurrent use.
type SessionResumer struct {
	limits SessionLimits
	// ring holds the keys that seal and open tokens.
	ring atomic.Pointer[token.Ring]
	// stateBytes is the semaphore for SessionLimits.MaxBytes.
	stateBytes *semaphore.Weighted
	// migrations is the semaphore for SessionLimits.MaxMigrations.
	migrations *semaphore.Weighted
}

// NewSessionResumer returns a SessionResumer for Frontend.EnableSessions.
func NewSessionResumer(limits SessionLimits, ring *token.Ring) *SessionResumer {
	r := &SessionResumer{
		limits:     limits,
		stateBytes: semaphore.NewWeighted(limits.MaxBytes),
		migrations: semaphore.NewWeighted(int64(limits.MaxMigrations)),
	}
	r.ring.Store(ring)
	return r
}

// SetKeys replaces the token keys. From then on all tokens are opened with the new keys, including those issued
// before.
func (r *SessionResumer) SetKeys(ring *token.Ring) { r.ring.Store(ring) }
