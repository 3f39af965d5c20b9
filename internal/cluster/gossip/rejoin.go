package gossip

import (
	"math/rand/v2"
	"time"

	"cottonplank/internal/cluster/membership"
)

const (
	// initialBackoff is the first interval between two attempts to join missing members.
	initialBackoff = time.Second
	// minBackoffLimit is the limit of the interval in a cluster of up to 20 live members.
	minBackoffLimit = 5 * time.Second
	// backoffPerMember, multiplied by the number of live members, is the limit of the interval in a larger cluster. All
	// members together then make about four attempts per second, whatever the size of the cluster.
	backoffPerMember = 250 * time.Millisecond
	// maxJoinAddresses is the maximum number of addresses in one attempt.
	maxJoinAddresses = 4
)

// backoff schedules attempts with exponentially growing intervals and jitter. The zero value is ready to use.
type backoff struct {
	interval time.Duration
	next     time.Time
}

// due reports whether the next attempt is due, and if so schedules the attempt after it. The interval grows up to limit
// or minBackoffLimit, whichever is longer.
func (b *backoff) due(now time.Time, limit time.Duration) bool {
	if now.Before(b.next) {
		return false
	}
	b.interval = min(max(2*b.interval, initialBackoff), max(limit, minBackoffLimit))
	b.next = now.Add(b.interval/2 + rand.N(b.interval))
	return true
}

func (b *backoff) reset() { *b = backoff{} }

// rejoinMissing tries to join seeds and unreachable members, with a backoff, while any of them is missing.
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

// join exchanges states with the members at the given addresses, unless another attempt is under way. It may be
// called from any goroutine. It ignores errors, because rejoinMissing tries again.
func (s *session) join(addresses []string) {
	if s.joining.CompareAndSwap(false, true) {
		defer s.joining.Store(false)
		s.list.Join(addresses)
	}
}

// missingAddresses draws at most maxJoinAddresses of the addresses of seeds and unreachable members at which no live
// member is known.
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
