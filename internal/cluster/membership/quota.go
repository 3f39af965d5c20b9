package membership

import "time"

// quota decides by how many instances a shared budget is divided, and whether this instance may use its part. The
// parts of all admitted instances never add up to more than the whole budget, as long as no partition lasts longer
// than Config.MaxPartitionDuration:
//
//   - The divisor counts every name that was alive within MaxPartitionDuration and has not left. It grows at once,
//     and a member that failed, flaps or is on the other side of a partition stays counted.
//   - A new process is admitted once it has been known for Config.DetectionTime and its view has converged: it sees
//     at least as many members alive as any converged member counts. By then every live instance counts it.
//
// So each admitted instance is counted by all others, and each uses one part of a division by at least the number of
// admitted instances.
type quota struct {
	cfg *Config
	// configuredSize is the number of instances in the settings.
	configuredSize int
	// divisor is the number of parts that the budget is divided into.
	divisor int
	// admitted reports that this instance may use its part.
	admitted bool
	// converged reports that the view was complete once: all other instances count this one.
	converged bool
}

func newQuota(cfg *Config, configuredSize int) *quota {
	return &quota{cfg: cfg, configuredSize: configuredSize, divisor: configuredSize}
}

// update recomputes the quota from the peers that share the budget. It is called with each tick.
func (q *quota) update(now time.Duration, peers quotaPeers) {
	counted := 1 + peers.countUnexpired(now, q.cfg)
	announced := peers.maxAnnouncedDivisor()
	expectedSize := q.configuredSize
	if now >= q.cfg.MaxPartitionDuration {
		expectedSize = 0 // configured instances that nobody has seen for so long do not exist
	}
	if !q.converged && q.isKnownToPeers(now, peers) {
		q.converged = peers.countAlive() >= max(announced, expectedSize)
	}
	if q.converged {
		q.divisor = counted
		q.admitted = true
		return
	}
	// Where no view has converged the whole cluster has just started: then the configured size holds.
	q.divisor = max(counted, announced, q.configuredSize)
	q.admitted = peers.contacted && announced == 0
}

// isKnownToPeers reports whether every reachable member has learned of this instance.
func (q *quota) isKnownToPeers(now time.Duration, peers quotaPeers) bool {
	return peers.standalone || peers.contacted && now-peers.contactedAt >= q.cfg.DetectionTime
}

// quotaPeers are the peers that share one budget with the instance.
type quotaPeers struct {
	peers []*peer
	// contacted reports whether the instance has ever found another member of the cluster.
	contacted bool
	// contactedAt is when it found the first one.
	contactedAt time.Duration
	// standalone reports that the instance has no peers configured and has found none.
	standalone bool
}

// countAlive counts the live members, including the instance itself.
func (q quotaPeers) countAlive() int {
	count := 1
	for _, p := range q.peers {
		if p.State == Alive {
			count++
		}
	}
	return count
}

// countUnexpired counts the peers that may still use a part of the budget.
func (q quotaPeers) countUnexpired(now time.Duration, cfg *Config) int {
	count := 0
	for _, p := range q.peers {
		if !p.expired(now, cfg) {
			count++
		}
	}
	return count
}

// maxAnnouncedDivisor returns the largest divisor that a live peer announces; 0 if no peer's view has converged.
func (q quotaPeers) maxAnnouncedDivisor() int {
	largest := 0
	for _, p := range q.peers {
		if p.State == Alive {
			largest = max(largest, p.Divisor)
		}
	}
	return largest
}
