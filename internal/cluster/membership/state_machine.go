package membership

import (
	"slices"
	"time"
)

// StateMachine tracks the cluster membership as one instance sees it. It is not safe for concurrent use.
type StateMachine struct {
	cfg   Config
	now   time.Duration // time of the event being handled, since the creation of the state machine
	peers map[string]*peer

	// lastTick is the time of the latest Tick.
	lastTick time.Duration
	// lastResponse is when a peer last answered a probe. The first contact to a peer and the end of a pause also set it,
	// so that the wait for an answer starts over.
	lastResponse time.Duration
	// respondersSincePause holds the peers that have answered since this process was paused. It is nil if the process
	// was not paused or enough peers have answered since.
	respondersSincePause map[string]struct{}

	// contacted reports whether another member was ever discovered.
	contacted bool
	// contactedAt is when the first other member was discovered.
	contactedAt time.Duration

	isolated     bool
	partition    partitionDetector
	clusterQuota *quota
	zoneQuota    *quota

	view        *View
	viewVersion uint64
	viewStale   bool // the state has changed since view was built
}

// New returns the state machine of an instance that knows no other member yet. The error is a *ConfigError.
func New(cfg Config) (*StateMachine, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Self.State = Alive
	m := &StateMachine{cfg: cfg, peers: map[string]*peer{}}
	m.partition.cfg = &m.cfg
	m.clusterQuota = newQuota(&m.cfg, m.cfg.FleetSize)
	m.zoneQuota = newQuota(&m.cfg, m.cfg.ZoneSize)
	return m, nil
}

// Handle applies one event and reports whether it changed the view. now is the time since the creation of the state
// machine; it never decreases.
func (m *StateMachine) Handle(now time.Duration, event Event) bool {
	m.now = now
	staleBefore := m.viewStale
	m.viewStale = false
	switch event := event.(type) {
	case MemberAlive:
		m.handleAlive(event.Member)
	case FailureReported:
		m.handleFailureReport(event.Name, event.Incarnation)
	case MemberLeft:
		m.handleLeft(event.Name, event.Incarnation)
	case ProbeSucceeded:
		m.handleProbeSuccess(event.Name)
	case ProbeFailed:
		m.handleProbeFailure(event.Name)
	case Tick:
		m.handleTick()
	}
	changed := m.viewStale
	m.viewStale = changed || staleBefore
	return changed
}

// handleAlive stores a member's description unless a newer incarnation is known. It ignores an incarnation that is
// more than maxClockSkew in the future: later processes of that name would have lower incarnations and would be
// ignored.
func (m *StateMachine) handleAlive(member Member) {
	ahead := time.Duration(member.Incarnation)*time.Millisecond - (m.cfg.WallClock + m.now)
	if member.Name == m.cfg.Self.Name || ahead > maxClockSkew {
		return
	}
	p := m.peers[member.Name]
	if p == nil {
		p = &peer{}
		m.peers[member.Name] = p
	}
	if member.Incarnation < p.Incarnation {
		return
	}
	if !m.contacted {
		m.contacted = true
		m.contactedAt = m.now
		m.lastResponse = m.now
	}
	member.State = Alive
	m.viewStale = m.viewStale || p.Member != member
	p.Member = member
}

// handleFailureReport starts the suspicion of a member that is alive.
func (m *StateMachine) handleFailureReport(name string, incarnation uint64) {
	p := m.peers[name]
	if p == nil || p.State != Alive || incarnation < p.Incarnation {
		return
	}
	m.setState(p, Suspect)
	p.firstSuspectedAt = m.now
	p.suspicion = newSuspicion(m.now)
}

// handleLeft applies a planned stop. Unlike a failure, it needs no confirmation, because the member itself announces
// it.
func (m *StateMachine) handleLeft(name string, incarnation uint64) {
	p := m.peers[name]
	if p == nil || incarnation < p.Incarnation {
		return
	}
	m.setState(p, Left)
	p.leftAt = m.now
}

// handleProbeSuccess records that datagrams arrive in both directions between this instance and a peer. The suspicion
// of a suspect that answers starts over. Answers of failed members and of members that left are ignored.
func (m *StateMachine) handleProbeSuccess(name string) {
	p := m.peers[name]
	if p == nil || p.State == Left || p.State == Failed {
		return
	}
	m.lastResponse = m.now
	m.setIsolated(false)
	if p.State == Suspect {
		p.suspicion = newSuspicion(m.now)
		return
	}
	if m.respondersSincePause != nil {
		m.respondersSincePause[name] = struct{}{}
	}
	for _, other := range m.peers {
		if other.State == Suspect {
			other.suspicion.responders[name] = struct{}{}
		}
	}
}

// handleProbeFailure counts an unanswered probe of a suspect. Unanswered probes of other peers are ignored.
func (m *StateMachine) handleProbeFailure(name string) {
	if p := m.peers[name]; p != nil && p.State == Suspect {
		p.suspicion.failedProbes++
	}
}

func (m *StateMachine) handleTick() {
	if m.now-m.lastTick > m.cfg.PauseThreshold {
		m.startOverAfterPause()
	}
	m.lastTick = m.now
	if m.countPeers(Alive, Suspect) > 0 && m.now-m.lastResponse > m.cfg.IsolationTimeout {
		m.setIsolated(true)
	}
	if m.respondersSincePause != nil && len(m.respondersSincePause) >= min(respondersAfterPause, m.countPeers(Alive)) {
		m.respondersSincePause = nil
	}
	m.updatePartitionAndQuotas()
	m.confirmFailures()
	m.removeExpired()
}

// startOverAfterPause discards the evidence on suspects that was collected before and during a pause of this process.
func (m *StateMachine) startOverAfterPause() {
	m.lastResponse = m.now
	m.respondersSincePause = map[string]struct{}{}
	for _, p := range m.peers {
		if p.State == Suspect {
			p.suspicion = newSuspicion(m.now)
		}
	}
}

// confirmFailures declares suspects failed if the evidence is enough. It confirms no failure after a pause of this
// process until enough peers have answered, and none during a partition, because the suspects may be alive on its other
// side. An isolated instance receives no answers, so it does not confirm suspicions that start during the isolation.
func (m *StateMachine) confirmFailures() {
	alive := m.countPeers(Alive)
	if m.respondersSincePause != nil || m.partition.active || alive == 0 {
		return
	}
	for _, p := range m.peers {
		if p.State == Suspect && p.suspicion.isConfirmed(m.now, &m.cfg, alive) {
			m.setState(p, Failed)
		}
	}
}

// removeExpired removes the expired peers, which no divisor counts.
func (m *StateMachine) removeExpired() {
	for name, p := range m.peers {
		if p.expired(m.now, &m.cfg) {
			delete(m.peers, name)
			m.viewStale = true
		}
	}
}

// countPeers counts the peers in the given states.
func (m *StateMachine) countPeers(states ...State) int {
	count := 0
	for _, p := range m.peers {
		if slices.Contains(states, p.State) {
			count++
		}
	}
	return count
}

// updatePartitionAndQuotas updates the partition detector and both quotas.
func (m *StateMachine) updatePartitionAndQuotas() {
	partitionedBefore, divisorsBefore := m.partition.active, m.divisors()
	m.partition.update(m.now, m.peers)
	m.clusterQuota.update(m.now, m.quotaPeers(func(*peer) bool { return true }))
	m.zoneQuota.update(m.now, m.quotaPeers(func(p *peer) bool { return p.Zone == m.cfg.Self.Zone }))
	if m.partition.active != partitionedBefore || m.divisors() != divisorsBefore {
		m.viewStale = true
	}
}

// quotaPeers selects the peers that share a budget with this instance.
func (m *StateMachine) quotaPeers(sharesBudget func(*peer) bool) quotaPeers {
	selected := quotaPeers{
		contacted:   m.contacted,
		contactedAt: m.contactedAt,
		standalone:  m.cfg.Standalone && !m.contacted,
	}
	for _, p := range m.peers {
		if sharesBudget(p) {
			selected.peers = append(selected.peers, p)
		}
	}
	return selected
}

func (m *StateMachine) divisors() BudgetDivisors {
	return BudgetDivisors{
		Cluster:   m.clusterQuota.divisor,
		Zone:      m.zoneQuota.divisor,
		Admitted:  m.zoneQuota.admitted,
		Converged: m.zoneQuota.converged,
	}
}

func (m *StateMachine) setState(p *peer, state State) {
	m.viewStale = m.viewStale || p.State != state
	p.State = state
}

func (m *StateMachine) setIsolated(isolated bool) {
	m.viewStale = m.viewStale || m.isolated != isolated
	m.isolated = isolated
}
