package gossip

import (
	"math/rand/v2"
	"time"

	"cottonplank/internal/cluster/membership"
)

const (
	// initialBackoff is the shortest interval between attempts to join missing members.
	initialBackoff = time.Second
	// minBackoffLimit is the longest interval in a small cluster.
	minBackoffLimit = 5 * time.Second
	// backoffPerMember makes the limit of the interval grow with the number of live members, so that a cluster of any
	// size makes about four attempts a second.
	backoffPerMember = 250 * time.Millisecond
	// maxJoinAddresses bounds the addresses of one attempt.
	maxJoinAddresses = 4
)

// backoff schedules attempts with exponentially growing intervals and jitter. The zero value is ready to use.
type backoff struct {
	interval time.Duration
	next     time.Time
}

// due reports whether an attempt is due now, and if so schedules the next one. limit bounds the interval, unless it
// is below minBackoffLimit.
func (b *backoff) due(now time.Time, limit time.Duration) bool {
	if now.Before(b.next) {
		return false
	}
	b.interval = min(max(2*b.interval, initialBackoff), max(limit, minBackoffLimit))
	b.next = now.Add(b.interval/2 + rand.N(b.interval))
	return true
}

func (b *backoff) reset() { *b = backoff{} }

// rejoinMissing tries to join seeds and lost members while any is missing.
func (s *session) rejoinMissing(now time.Time) {
	missing := s.missingAddresses()
	if len(missing) == 0 {
		s.rejoin.reset()
		return
	}
	if s.rejoin.due(now, time.Duration(s.cluster.aliveCount())*backoffPerMember) {
		go s.join(missing)
	}
}

// join exchanges states with the members at these addresses, unless another attempt is under way. It may be called
// from any goroutine. Errors are ignored: the next attempt follows.
func (s *session) join(addresses []string) {
	if s.joining.CompareAndSwap(false, true) {
		defer s.joining.Store(false)
		s.list.Join(addresses)
	}
}

// missingAddresses draws some of the addresses at which a member is expected and no live member is known.
func (s *session) missingAddresses() []string {
	view := s.machine.View()
	alive := map[string]bool{}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			alive[member.Address] = true
		}
	}
	var missing []string
	for _, member := range view.Members {
		lost := member.State == membership.Suspect || member.State == membership.Failed
		if lost && !alive[member.Address] {
			missing = append(missing, member.Address)
		}
	}
	for _, seed := range s.cluster.cfg.Settings.Seeds {
		if !alive[seed.String()] {
			missing = append(missing, seed.String())
		}
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return missing[:min(maxJoinAddresses, len(missing))]
}
