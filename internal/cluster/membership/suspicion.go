package membership

import "time"

const (
	// failedProbesToConfirm own probes that failed confirm a failure before Config.SuspicionTimeout.
	failedProbesToConfirm = 2
	// minSuspicionTimeout is the earliest confirmation by own probes: a refutation takes two or three gossip rounds
	// of 0.2 s in each direction.
	minSuspicionTimeout = 1500 * time.Millisecond
	// respondersToConfirm distinct peers have to answer this instance before a failure is confirmed.
	respondersToConfirm = 3
	// respondersAfterPause distinct peers have to answer after a pause of the own process: a round of probes.
	respondersAfterPause = 10
)

// suspicion is the evidence on a reported failure since the suspicion started, or last started over.
type suspicion struct {
	startedAt    time.Duration
	responders   map[string]struct{} // other peers that have answered this instance
	failedProbes int                 // own probes of the suspect that were not answered
}

func newSuspicion(now time.Duration) suspicion {
	return suspicion{startedAt: now, responders: map[string]struct{}{}}
}

// isConfirmed reports whether the evidence is enough to take the suspect for failed in a cluster with so many other
// members alive.
func (s *suspicion) isConfirmed(now time.Duration, cfg *Config, alive int) bool {
	age := now - s.startedAt
	timedOut := age >= cfg.SuspicionTimeout
	probesFailed := age >= minSuspicionTimeout && s.failedProbes >= failedProbesToConfirm
	ownNetworkWorks := len(s.responders) >= min(respondersToConfirm, alive)
	return (timedOut || probesFailed) && ownNetworkWorks
}
