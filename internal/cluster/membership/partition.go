package membership

import "time"

// partition tells the loss of a large part of the cluster from the death of single members.
type partition struct {
	cfg    *Config
	active bool
	before int           // members before the loss, the instance itself among them
	since  time.Duration // members lost then or later belong to it
	until  time.Duration // the operator's bound: after it the lost count as failed
}

// leastLost is how many members make a partition at least: the loss of one in a small cluster is none.
const leastLost = 2

// update follows the members of the cluster; it is called with each tick.
func (p *partition) update(now time.Duration, members map[string]*record) {
	if p.active {
		missing := lostSince(members, p.since)
		returned := float64(missing) <= p.cfg.PartitionPart/2*float64(p.before)
		p.active = !returned && now < p.until
		return
	}
	since := now - p.cfg.Detection
	lost := lostSince(members, since)
	before := 1 + lost
	for _, r := range members {
		if r.State == Alive {
			before++
		}
	}
	if lost >= leastLost && float64(lost) > p.cfg.PartitionPart*float64(before) {
		p.active, p.before, p.since, p.until = true, before, since, now+p.cfg.PartitionHold
	}
}

// lostSince counts the members that were lost then or later and have not returned.
func lostSince(members map[string]*record, then time.Duration) (n int) {
	for _, r := range members {
		if (r.State == Suspect || r.State == Failed) && r.lostFirst >= then {
			n++
		}
	}
	return n
}
