package membership

import "time"

// quota decides by how many instances a shared budget is divided, and whether this instance may use its share. The
// shares of all admitted instances never add up to more than the whole budget, as long as no partition lasts longer
// than Config.MaxPartitionDuration and each side of a partition keeps at least one converged instance:
//
//   - The divisor counts every name that was alive within MaxPartitionDuration. A member that left is counted for
//     another Config.DetectionTime only. The divisor increases as soon as a new name appears. Failed and flapping
//     members, and members on the other side of a partition, stay counted.
//   - A new process is admitted once it has been in contact with the cluster for DetectionTime and its view has
//     converged: the number of members that it sees alive is at least the largest divisor that a live member announces,
//     and at least the configured number of instances. By then every live instance counts the new process. For
//     exceptions see update.
//
// So every admitted instance is counted by all others, and each of them divides the budget by at least the number of
// admitted instances.
type quota struct {
	cfg *Config
	// configuredSize is the number of instances according to the settings.
	configuredSize int
	// divisor is the number by which the budget is divided.
	divisor int
	// admitted reports that this instance may use its share.
	admitted bool
	// converged reports that the view has converged, as described above, so that all other instances count this one. It
	// is never reset.
	converged bool
}

func newQuota(cfg *Config, configuredSize int) *quota {
	return &quota{cfg: cfg, configuredSize: configuredSize, divisor: configuredSize}
}

// update recomputes the quota from the peers that share the budget. It is called on each tick.
func (q *quota) update(now time.Duration, peers quotaPeers) {
	counted := 1 + peers.countUnexpired(now, q.cfg)
	announced := peers.maxAnnouncedDivisor()
	expectedSize := q.configuredSize
	if now >= q.cfg.MaxPartitionDuration {
		expectedSize = 0 // configured instances that are still missing are assumed not to exist
	}
	if !q.converged && q.isKnownToPeers(now, peers) {
		q.converged = peers.countAlive() >= max(announced, expectedSize)
	}
	if q.converged {
		q.divisor = counted
		q.admitted = true
		return
	}
	// If no live peer announces a divisor, none has converged yet: the whole cluster has just started. The instance may
	// then use its share, because every instance divides by at least the configured size. So the shares do not exceed
	// the budget unless more instances run than are configured.
	q.divisor = max(counted, announced, q.configuredSize)
	q.admitted = peers.contacted && announced == 0
}

// isKnownToPeers reports whether every reachable member has discovered this instance. That is assumed after
// DetectionTime in contact with the cluster.
func (q *quota) isKnownToPeers(now time.Duration, peers quotaPeers) bool {
	return peers.standalone || peers.contacted && now-peers.contactedAt >= q.cfg.DetectionTime
}

// quotaPeers are the peers that share one budget with the instance.
type quotaPeers struct {
	peers []*peer
	// contacted reports whether the instance has ever discovered another member of the cluster.
	contacted bool
	// contactedAt is when the instance discovered the first other member.
	contactedAt time.Duration
	// standalone reports that the instance has no peers configured and has discovered none.
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

// countUnexpired counts the peers that may still use a share of the budget.
func (q quotaPeers) countUnexpired(now time.Duration, cfg *Config) int {
	count := 0
	for _, p := range q.peers {
		if !p.expired(now, cfg) {
			count++
		}
	}
	return count
}

// maxAnnouncedDivisor returns the largest divisor that a live peer announces, or 0 if no live peer's view has
// converged.
func (q quotaPeers) maxAnnouncedDivisor() int {
	largest := 0
	for _, p := range q.peers {
		if p.State == Alive {
			largest = max(largest, p.Divisor)
		}
	}
	return largest
}
