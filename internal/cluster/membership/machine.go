package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Machine is the membership as one instance sees it. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	now     time.Duration
	members map[string]*record // the others

	lastTick   time.Duration
	lastAnswer time.Duration
	afterWake  map[string]struct{} // members that have answered since; nil: enough have

	contacted   bool          // another member was found,
	contactedAt time.Duration // first then
	isolated    bool
	partition   partition
	cluster     *sharing // among all members
	zone        *sharing // among those of the own zone

	version uint64
	changed bool // the view is out of date
	view    *View
}

// record is what the machine keeps of another member.
type record struct {
	Member
	lostAt     time.Duration       // since when the failure that the detector reported has been held unconfirmed
	lostFirst  time.Duration       // when the detector first reported it
	answered   map[string]struct{} // members that have answered since
	unanswered int                 // own probes since, that brought no answer
	endedAt    time.Duration       // when it left
}

// New returns the machine of an instance that knows no other member.
func New(cfg Config) (*Machine, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.Self.State = Alive
	m := &Machine{cfg: cfg, members: map[string]*record{}}
	m.partition.cfg = &m.cfg
	m.cluster, m.zone = newSharing(&m.cfg, m.cfg.Balancers), newSharing(&m.cfg, m.cfg.ZoneBalancers)
	return m, nil
}

// View returns the latest view. It is made when it is asked for: a large cluster brings many events at once.
func (m *Machine) View() *View {
	if m.changed || m.view == nil {
		m.changed = false
		m.version++
		m.view = m.current()
	}
	return m.view
}

// Handle takes one event and tells whether the view has changed. Times grow from 0 at the start of the instance.
func (m *Machine) Handle(now time.Duration, event Event) bool {
	m.now = now
	before := m.changed
	m.changed = false
	switch event := event.(type) {
	case MemberAlive:
		m.alive(event.Member)
	case MemberLost:
		m.lost(event.Name, event.Incarnation)
	case MemberLeft:
		m.left(event.Name, event.Incarnation)
	case ProbeAnswered:
		m.answered(event.Name)
	case ProbeUnanswered:
		m.unanswered(event.Name)
	case Tick:
		m.tick()
	}
	changed := m.changed
	m.changed = changed || before
	return changed
}

// alive takes a description that is as new as what is known, or newer. One from the future is refused: it would shut out
// every later process of that name.
func (m *Machine) alive(member Member) {
	ahead := time.Duration(member.Incarnation)*time.Millisecond - (m.cfg.WallClock + m.now)
	if member.Name == m.cfg.Self.Name || ahead > futureLeeway {
		return
	}
	r := m.members[member.Name]
	if r == nil {
		r = &record{}
		m.members[member.Name] = r
	}
	if member.Incarnation < r.Incarnation {
		return
	}
	if !m.contacted {
		m.contacted, m.contactedAt = true, m.now
		m.lastAnswer = m.now
	}
	member.State = Alive
	m.changed = m.changed || r.Member != member
	r.Member = member
	r.answered = nil
}

// lost holds a reported failure as a suspicion.
func (m *Machine) lost(name string, incarnation uint64) {
	r := m.members[name]
	if r == nil || r.State != Alive || incarnation < r.Incarnation {
		return
	}
	m.setState(r, Suspect)
	r.lostFirst = m.now
	m.holdAgain(r)
}

func (m *Machine) holdAgain(r *record) {
	r.lostAt = m.now
	r.answered = map[string]struct{}{}
	r.unanswered = 0
}

// left takes a planned stop at once: only the member itself can announce it.
func (m *Machine) left(name string, incarnation uint64) {
	r := m.members[name]
	if r == nil || incarnation < r.Incarnation {
		return
	}
	m.setState(r, Left)
	r.endedAt = m.now
}

// answered notes that both directions to a member work. A suspect that answers is held again.
func (m *Machine) answered(name string) {
	r := m.members[name]
	if r == nil || r.State == Left || r.State == Failed {
		return
	}
	m.lastAnswer = m.now
	m.setIsolated(false)
	if r.State == Suspect {
		m.holdAgain(r)
		return
	}
	if m.afterWake != nil {
		m.afterWake[name] = struct{}{}
	}
	for _, suspect := range m.members {
		if suspect.State == Suspect {
			suspect.answered[name] = struct{}{}
		}
	}
}

// unanswered notes that an own probe of a suspect brought no answer.
func (m *Machine) unanswered(name string) {
	if r := m.members[name]; r != nil && r.State == Suspect {
		r.unanswered++
	}
}

func (m *Machine) tick() {
	if m.now-m.lastTick > m.cfg.PauseAfter {
		m.woke()
	}
	m.lastTick = m.now
	if m.others(Alive, Suspect) > 0 && m.now-m.lastAnswer > m.cfg.IsolatedAfter {
		m.setIsolated(true)
	}
	if m.afterWake != nil && len(m.afterWake) >= min(answersAfterWake, m.others(Alive)) {
		m.afterWake = nil
	}
	m.conclude()
	m.confirm()
	m.forget()
}

// woke begins anew what was concluded across a pause of the own process.
func (m *Machine) woke() {
	m.lastAnswer = m.now
	m.afterWake = map[string]struct{}{}
	for _, r := range m.members {
		if r.State == Suspect {
			m.holdAgain(r)
		}
	}
}

// confirm turns suspicions into failures. Nothing is confirmed after a pause of the own process until a round of members has
// answered, nor while a partition explains the loss as well; an isolated instance gets no answers, and confirms nothing.
func (m *Machine) confirm() {
	others := m.others(Alive)
	if m.afterWake != nil || m.partition.active || others == 0 {
		return
	}
	for _, r := range m.members {
		held := m.now - r.lostAt
		longEnough := held >= m.cfg.Confirm || held >= confirmLeast && r.unanswered >= unansweredNeeded
		if r.State == Suspect && longEnough && len(r.answered) >= min(answersNeeded, others) {
			m.setState(r, Failed)
		}
	}
}

// forget drops members that no divisor counts any more.
func (m *Machine) forget() {
	for name, r := range m.members {
		if r.expired(m.now, &m.cfg) {
			delete(m.members, name)
			m.changed = true
		}
	}
}

// expired tells whether a member cannot use its part of a budget any more: it has left, and all have heard of that, or was lost
// for longer than a cut may last.
func (r *record) expired(now time.Duration, cfg *Config) bool {
	switch r.State {
	case Left:
		return now-r.endedAt > cfg.Detection
	case Suspect, Failed:
		return now-r.lostFirst > cfg.PartitionHold
	}
	return false
}

// others counts the other members in any of these states.
func (m *Machine) others(states ...State) int {
	n := 0
	for _, r := range m.members {
		if slices.Contains(states, r.State) {
			n++
		}
	}
	return n
}

// conclude brings the partition and both divisors up to date.
func (m *Machine) conclude() {
	partitioned, shares := m.partition.active, m.shares()
	m.partition.update(m.now, m.members)
	m.cluster.update(m.now, m.populationOf(func(*record) bool { return true }))
	m.zone.update(m.now, m.populationOf(func(r *record) bool { return r.Zone == m.cfg.Self.Zone }))
	m.changed = m.changed || m.partition.active != partitioned || m.shares() != shares
}

func (m *Machine) shares() BudgetDivisors {
	return BudgetDivisors{Cluster: m.cluster.divisor, Zone: m.zone.divisor, Admitted: m.zone.admitted, Settled: m.zone.settled}
}

func (m *Machine) setState(r *record, state State) {
	m.changed = m.changed || r.State != state
	r.State = state
}

func (m *Machine) setIsolated(isolated bool) {
	m.changed = m.changed || m.isolated != isolated
	m.isolated = isolated
}

// populationOf selects the members that share a budget with this instance.
func (m *Machine) populationOf(shares func(*record) bool) population {
	p := population{contacted: m.contacted, contactedAt: m.contactedAt, alone: m.cfg.Alone && !m.contacted}
	for _, r := range m.members {
		if shares(r) {
			p.members = append(p.members, r)
		}
	}
	return p
}

func (m *Machine) current() *View {
	self := m.cfg.Self
	v := &View{Version: m.version, Isolated: m.isolated, Partitioned: m.partition.active, Members: []Member{self}, Alive: 1,
		Divisors: m.shares()}
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		r := m.members[name]
		v.Members = append(v.Members, r.Member)
		switch r.State {
		case Alive:
			v.Alive++
		case Suspect:
			v.Suspect++
		case Failed:
			v.Failed++
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
