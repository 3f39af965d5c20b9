package membership

import "time"

// minPartitionLoss is the smallest number of lost members that counts as a partition. In a small cluster a single
// member can be more than PartitionFraction of the cluster, but its loss is not a partition.
const minPartitionLoss = 2

// partitionDetector distinguishes the loss of a large fraction of the cluster, as in a network partition, from
// failures of single members.
type partitionDetector struct {
	cfg *Config
	// active reports that the cluster is partitioned. The fields below are meaningful only while it is set.
	active bool
	// sizeBefore is the number of members before the loss, including the instance itself. It does not include members
	// that were unreachable before startedAt.
	sizeBefore int
	// startedAt is Config.DetectionTime before the detection of the partition. Members whose failure was reported
	// earlier do not belong to it.
	startedAt time.Duration
	// deadline is when the partition is treated as ended, even if it has not healed. The lost members may then be
	// declared failed.
	deadline time.Duration
}

// update detects the start and the end of a partition from the states of the peers. It is called on each tick. A
// partition starts when at least minPartitionLoss members and more than PartitionFraction of all members are lost
// within DetectionTime. It has healed when the members that are still unreachable are at most PartitionFraction/2 of
// sizeBefore.
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
