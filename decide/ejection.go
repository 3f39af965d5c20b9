package decide

// Outlier ejection: a server that fails, times out, rejects attempts or breaks connections gets no new connections
// for a while, unless no other server can take them. This depends on the outcomes of attempts and probes.

import "time"

const (
	// baseEjectionTime is the ejection time after the first failure. It doubles with each further consecutive failure.
	baseEjectionTime = 4 * time.Second
	// maxEjectionTime is the longest ejection time.
	maxEjectionTime = 30 * time.Second
	// maxEjectionDoublings limits how often baseEjectionTime is doubled.
	maxEjectionDoublings = 4
	// rejectionEjectionTime is the ejection time of a server that rejected an attempt.
	rejectionEjectionTime = time.Second
	// maxEjectedFraction limits the fraction of the ready servers that are ejected at the same time because of failures.
	maxEjectedFraction = 0.5
)

// Ejected reports whether a server is ejected at the time of the latest event. It does not change the balancer.
func (b *Balancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejectedUntil
}

// recordOutcome records the outcome of an attempt or a failed probe. A failure or a rejection ejects the server.
func (b *Balancer) recordOutcome(s *server, code Code) {
	switch code {
	case OK:
		b.recordSuccess(s)
	case Rejected:
		b.liveness.recordAnswer(b.now)
		s.ejectedUntil = max(s.ejectedUntil, b.now+rejectionEjectionTime)
		b.reindex(s)
	case ServerError, TimedOut, ConnectFailed, Reset:
		b.recordServerFailure(code)
		s.consecutiveFailures++
		b.eject(s, ejectionTime(s.consecutiveFailures))
	}
}

func (b *Balancer) recordSuccess(s *server) {
	s.consecutiveFailures = 0
	b.liveness.recordAnswer(b.now)
}

// ejectionTime returns how long a server is ejected after this number of consecutive failures, which is at least 1.
func ejectionTime(failures int) time.Duration {
	return min(baseEjectionTime<<min(failures-1, maxEjectionDoublings), maxEjectionTime)
}

// eject ejects a server unless it is ejected already or the ejected servers would exceed maxEjectedFraction.
func (b *Balancer) eject(s *server, duration time.Duration) {
	limit := maxEjectedFraction * float64(len(b.ready))
	if b.now < s.ejectedUntil || float64(b.ejectedExcept(s)+1) > limit {
		return
	}
	s.ejectedUntil = b.now + duration
	b.reindex(s)
	b.answers.remove(s)
}
