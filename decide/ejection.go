package decide

// Outlier ejection: a server that fails, times out or breaks connections gets nothing new for a while. The evidence
// is the outcome of attempts and probes.

import "time"

const (
	// baseEjectionTime is the first ejection time; it doubles with each further failure in a row.
	baseEjectionTime = 4 * time.Second
	// maxEjectionTime bounds the ejection time.
	maxEjectionTime = 30 * time.Second
	// maxEjectionDoublings bounds the doublings of baseEjectionTime.
	maxEjectionDoublings = 4
	// rejectionEjectionTime is how long a server that rejected an attempt gets nothing new.
	rejectionEjectionTime = time.Second
	// maxEjectedFraction is the part of the ready servers that may be ejected at once.
	maxEjectedFraction = 0.5
)

// Ejected reports whether a server gets nothing new for now, though it is ready. It changes nothing.
func (b *Balancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejectedUntil
}

// recordOutcome learns from the outcome of an attempt or a probe.
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

// ejectionTime returns how long a server is ejected after so many failures in a row, at least one.
func ejectionTime(failures int) time.Duration {
	return min(baseEjectionTime<<min(failures-1, maxEjectionDoublings), maxEjectionTime)
}

// eject ejects a server unless it is ejected already or too many others are.
func (b *Balancer) eject(s *server, duration time.Duration) {
	limit := maxEjectedFraction * float64(len(b.ready))
	if b.now < s.ejectedUntil || float64(b.ejectedExcept(s)+1) > limit {
		return
	}
	s.ejectedUntil = b.now + duration
	b.reindex(s)
	b.answers.remove(s)
}
