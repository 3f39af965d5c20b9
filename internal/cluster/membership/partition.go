package membership

import "time"

// minPartitionLoss is the smallest number of lost members that counts as a partition: in a small cluster the loss of
// one member is none.
const minPartitionLoss = 2

// partitionDetector tells the loss of a large part of the cluster, as in a network partition, from failures of single
// members.
type partitionDetector struct {
	cfg *Config
	// active reports that the cluster is partitioned; the other fields are meaningful only then.
	active bool
	// sizeBefore is the number of members before the loss, including the instance itself.
	sizeBefore int
	// startedAt is the beginning of the loss: members that were lost earlier do not belong to the partition.
	startedAt time.Duration
	// deadline ends the partition: after it, the lost members may be taken for failed.
	deadline time.Duration
}

// update follows the members of the cluster. It is called with each tick.
func (d *partitionDetector) update(now time.Duration, peers map[string]*peer) {
	if d.active {
		missing := countUnreachableSince(peers, d.startedAt)
		healed := float64(missing) <= d.cfg.PartitionFraction/2*float64(d.sizeBefore)
		d.active = !healed && now < d.deadline
		return
	}
	windowStart := now - d.cfg.DetectionTime
	lost := countUnreachableSince(peers, windowStart)
	sizeBefore := 1 + lost
	for _, p := range peers {
		if p.State == Alive {
			sizeBefore++
		}
	}
	if lost >= minPartitionLoss && float64(lost) > d.cfg.PartitionFraction*float64(sizeBefore) {
		d.active = true
		d.sizeBefore = sizeBefore
		d.startedAt = windowStart
		d.deadline = now + d.cfg.MaxPartitionDuration
	}
}

// countUnreachableSince counts the unreachable peers whose failure was first reported at or after the given time.
func countUnreachableSince(peers map[string]*peer, since time.Duration) int {
	count := 0
	for _, p := range peers {
		if p.isUnreachable() && p.firstSuspectedAt >= since {
			count++
		}
	}
	return count
}
