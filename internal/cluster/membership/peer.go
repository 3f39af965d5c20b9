package membership

import "time"

// peer is the state machine's record of another member.
type peer struct {
	Member
	// suspicion is meaningful in state Suspect.
	suspicion suspicion
	// firstSuspectedAt is when the failure detector first reported the failure. Unlike suspicion.startedAt it does not
	// change when the suspicion starts over. It is meaningful in the states Suspect and Failed.
	firstSuspectedAt time.Duration
	// leftAt is when the member left. It is meaningful in state Left.
	leftAt time.Duration
}

// isUnreachable reports whether the failure detector has reported the failure of the peer's current process.
func (p *peer) isUnreachable() bool { return p.State == Suspect || p.State == Failed }

// expired reports whether the peer can no longer use a share of a budget. That is the case if it left so long ago
// that all other members have been informed, or if it has been unreachable for longer than a partition may last.
func (p *peer) expired(now time.Duration, cfg *Config) bool {
	switch p.State {
	case Left:
		return now-p.leftAt > cfg.DetectionTime
	case Suspect, Failed:
		return now-p.firstSuspectedAt > cfg.MaxPartitionDuration
	}
	return false
}
