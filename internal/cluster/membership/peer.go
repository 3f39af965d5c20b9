package membership

import "time"

// peer is what the state machine knows of another member.
type peer struct {
	Member
	// suspicion is meaningful in state Suspect.
	suspicion suspicion
	// firstSuspectedAt is when the failure detector first reported the failure. Unlike suspicion.startedAt it stays
	// when the suspicion starts over. It is meaningful in the states Suspect and Failed.
	firstSuspectedAt time.Duration
	// leftAt is when the member left. It is meaningful in state Left.
	leftAt time.Duration
}

// isUnreachable reports whether the failure detector has lost the peer.
func (p *peer) isUnreachable() bool { return p.State == Suspect || p.State == Failed }

// expired reports whether the peer can't use its part of a budget any more: it has left and all other members know,
// or it has been unreachable for longer than a partition may last.
func (p *peer) expired(now time.Duration, cfg *Config) bool {
	switch p.State {
	case Left:
		return now-p.leftAt > cfg.DetectionTime
	case Suspect, Failed:
		return now-p.firstSuspectedAt > cfg.MaxPartitionDuration
	}
	return false
}
