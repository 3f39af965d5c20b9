package gossip

import (
	"math/rand/v2"
	"time"
)

// Times of the attempts to find lost members and seeds again. 2,300 instances that all lost somebody make 77 to 230 attempts a second
// together, once they have backed off.
const (
	firstAttempt = time.Second
	lastAttempt  = 20 * time.Second
)

// backoff spaces attempts: exponentially, with jitter.
type backoff struct {
	wait time.Duration
	due  time.Time
}

// next tells whether an attempt is due now, and spaces the one after it.
func (b *backoff) next(now time.Time) bool {
	if now.Before(b.due) {
		return false
	}
	b.wait = min(max(2*b.wait, firstAttempt), lastAttempt)
	b.due = now.Add(b.wait/2 + rand.N(b.wait))
	return true
}

func (b *backoff) reset() { *b = backoff{} }
