package membership

import "time"

const (
	// failedProbesToConfirm is the number of probes from this instance that the suspect must leave unanswered to confirm
	// the failure before Config.SuspicionTimeout.
	failedProbesToConfirm = 2
	// minSuspicionTimeout is the minimum age of a suspicion that failed probes can confirm. It gives the suspect time to
	// refute a false report: a refutation takes two or three gossip rounds of 0.2 s in each direction.
	minSuspicionTimeout = 1500 * time.Millisecond
	// respondersToConfirm is the number of distinct live peers that must answer this instance during a suspicion before
	// the failure is confirmed; if fewer are alive, all of them. Their answers show that this instance's own network
	// works.
	respondersToConfirm = 3
	// respondersAfterPause is the number of distinct live peers that must answer after a pause of this process before
	// any failure is confirmed; if fewer are alive, all of them.
	respondersAfterPause = 10
)

// suspicion is the evidence on a reported failure, collected since the suspicion started or last started over.
type suspicion struct {
	startedAt    time.Duration
	responders   map[string]struct{} // live peers that have answered probes from this instance
	failedProbes int                 // unanswered probes of the suspect by this instance
}

func newSuspicion(now time.Duration) suspicion {
	return suspicion{startedAt: now, responders: map[string]struct{}{}}
}

// isConfirmed reports whether the evidence is enough to declare the suspect failed. alive is the number of other
// members in state Alive.
func (s *suspicion) isConfirmed(now time.Duration, cfg *Config, alive int) bool {
	age := now - s.startedAt
	timedOut := age >= cfg.SuspicionTimeout
	probesFailed := age >= minSuspicionTimeout && s.failedProbes >= failedProbesToConfirm
	ownNetworkWorks := len(s.responders) >= min(respondersToConfirm, alive)
	return (timedOut || probesFailed) && ownNetworkWorks
}
