package gossip

import (
	"math/rand/v2"
	"time"
)

// Times of the attempts to join seeds and lost members again. They are spaced by the members that are alive: the whole cluster
// makes about four a second, however large it is, and one that is cut off alone tries every few seconds.
const (
	firstAttempt = time.Second
	lastAttempt  = 5 * time.Second
	attemptEach  = 250 * time.Millisecond // for each member that is alive
)

// backoff spaces attempts: exponentially, with jitter.
type backoff struct {
	wait time.Duration
	due  time.Time
}

// next tells whether an attempt is due now, and spaces the one after it, up to most or lastAttempt apart.
func (b *backoff) next(now time.Time, most time.Duration) bool {
	if now.Before(b.due) {
		return false
	}
	b.wait = min(max(2*b.wait, firstAttempt), max(most, lastAttempt))
	b.due = now.Add(b.wait/2 + rand.N(b.wait))
	return true
}

func (b *backoff) reset() { *b = backoff{} }
