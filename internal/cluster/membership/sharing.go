package membership

import "time"

// sharing decides among how many instances a budget is divided, and whether this instance may use its part of it. The
// parts of all instances that are admitted never sum up to more than the whole, while no cut lasts longer than
// Config.PartitionHold:
//
//   - The divisor counts every name that was alive within PartitionHold and has not left. It grows at once, and a member that
//     failed, flaps or is beyond a cut stays counted.
//   - A new process is admitted once it has been known for Config.Detection and its view is complete: it sees as many members
//     alive as any settled member counts. By then every live instance counts it.
//
// So each admitted instance is counted by all others, and each uses one part of at least as many as are admitted.
type sharing struct {
	cfg      *Config
	named    int // the settings' number
	divisor  int
	admitted bool
	settled  bool // the view was complete once; the instance is counted by all
}

func newSharing(cfg *Config, named int) *sharing {
	return &sharing{cfg: cfg, named: named, divisor: named}
}

// update follows the other members that share the budget; it is called with each tick.
func (s *sharing) update(now time.Duration, p population) {
	counted := 1 + p.counted(now, s.cfg)
	named := s.named
	announced := p.announced()
	if now >= s.cfg.PartitionHold {
		named = 0 // whoever the settings name and nobody has seen does not exist
	}
	if !s.settled && s.known(now, p) {
		s.settled = p.alive() >= max(announced, named)
	}
	if s.settled {
		s.divisor, s.admitted = counted, true
		return
	}
	// Where nobody is settled the whole cluster has started: then the settings' number holds.
	s.divisor = max(counted, announced, s.named)
	s.admitted = p.contacted && announced == 0
}

// known tells whether every reachable member has learned of this instance.
func (s *sharing) known(now time.Duration, p population) bool {
	return p.alone || p.contacted && now-p.contactedAt >= s.cfg.Detection
}

// population is the other members that share one budget with the instance.
type population struct {
	members     []*record
	contacted   bool          // the instance has found another member of the cluster,
	contactedAt time.Duration // first then
	alone       bool          // it has no peers configured and has found none
}

// alive counts the instance itself as well.
func (p population) alive() int {
	n := 1
	for _, r := range p.members {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// counted counts the members that may use a part of the budget.
func (p population) counted(now time.Duration, cfg *Config) (n int) {
	for _, r := range p.members {
		if !r.expired(now, cfg) {
			n++
		}
	}
	return n
}

// announced is the largest divisor that a live member announces; 0: none is settled.
func (p population) announced() (most int) {
	for _, r := range p.members {
		if r.State == Alive {
			most = max(most, r.Divisor)
		}
	}
	return most
}
