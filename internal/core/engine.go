package core

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/decide"
)

// Times of the core.
const (
	clockStart = 24 * time.Hour // the host clock's reading at the start, so that earlier starts stay above 0

	firstLineWait = 2 * time.Second         // a channel that has asked for nothing is dropped after this,
	begunLineWait = 2800 * time.Millisecond // so is one whose line has begun to come, but is not whole
	pingApart     = time.Second             // unless it goes on showing that it lives, so far apart at least
	shedAfter     = 10 * time.Millisecond   // a channel younger than this is not shed: its line is on its way
	idMemory      = 10 * time.Second        // a request's id is not taken again for so long after its end
	silenceWait   = 3 * time.Second         // a standing connection that brings nothing back is moved after this
	lingerWait    = 500 * time.Millisecond  // a side that does not close after the other is dropped after this
	moveWait      = 900 * time.Millisecond  // a moved client that takes nothing any more is dropped after this
	connectSlack  = 20 * time.Millisecond   // the machine's own delay, on top of the connect timeout
	probeWait     = 200 * time.Millisecond  // a probe without answer counts as timed out
	listWait      = 4 * time.Second         // a call to discovery without any answer has failed
	watchWait     = 3 * time.Second         // a watch that brings not even its empty line of every 2 s hangs
	pushedPause   = 250 * time.Millisecond  // before a broken watch is opened anew where lists are pushed, at most:
	pushedLeast   = 20 * time.Millisecond   // a part of the grace, and this at least
	reopenPause   = 250 * time.Millisecond  // between dials for a connection that was open before the start
	busyRetry     = time.Second             // told to clients past the bound on channels
	snapshotEvery = 250 * time.Millisecond
	detailKeep    = 10 * time.Second // the rows of the last detailed snapshot are kept for who asks again
	startWait     = 3 * time.Second  // without an answer of discovery a successor serves from the list it has
)

// Engine is the module's actor: it owns the decision module, the calls, the subchannels and all deadlines.
type Engine struct {
	cfg      Config
	balancer *decide.Balancer
	prober   Prober
	resolver Discovery

	inbox chan func()
	done  chan struct{}
	ready chan struct{}
	once  sync.Once
	epoch time.Time

	// Owned by Run's goroutine.
	ctx         context.Context
	now         time.Duration
	deadlines   *deadlines
	events      []decide.Event
	handling    bool
	lastID      uint64
	open        map[*Call]struct{}              // channels that have not closed
	calls       map[decide.RequestID]*Call      // requests that the decision module still knows
	subchannels map[decide.ServerID]*subchannel // the room servers listed, and those gone that still hold connections
	probes      map[uint64]*probe
	probeSeq    uint64
	asked       *listCall // the watch that was asked for and has shown no sign of life yet
	lastWatch   uint64
	silent      *deadline // of the watches that are open
	reach       reach     // the way back to discovery
	fetch       *listCall
	waiting     int // requests that have no final answer and do not stand
	standing    int
	ids         map[string]struct{} // of requests that are open or ended lately
	drain       *drain
	counters    Counters
	classes     []ClassCounters
	service     ServiceState
	generation  uint64
	listAt      time.Duration
	departed    map[string]departure

	listed   int                          // room servers that are not gone,
	draining int                          // and those of them that drain
	avoided  map[decide.ServerID]struct{} // room servers that the decision module has left out of late
	dialing  map[*Call]struct{}           // calls with an attempt that is out and does not stand

	snapshot atomic.Pointer[Snapshot]
	detailed atomic.Pointer[detail] // nil: nobody has asked of late
}

// subchannel is what the core keeps of one room server.
type subchannel struct {
	Upstream
	zone     string
	started  time.Time
	state    decide.State
	told     time.Duration // when it was told that this one drains or is gone; 0: it was not, or not in this process
	open     int           // connections that stand
	attempts uint64
	load     float64
}

type probe struct {
	server decide.ServerID
	sent   time.Duration
	cancel context.CancelFunc
	due    *deadline
}

type listCall struct {
	watch  uint64
	begun  time.Duration
	cancel context.CancelFunc
	due    *deadline
}

// New checks the settings and returns a module that Run starts.
func New(cfg Config) (*Engine, error) {
	b, err := decide.New(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	m := &Engine{
		cfg: cfg, balancer: b, epoch: time.Now(),
		inbox: make(chan func(), 1024), done: make(chan struct{}), ready: make(chan struct{}),
		deadlines: newDeadlines(), open: map[*Call]struct{}{}, calls: map[decide.RequestID]*Call{},
		subchannels: map[decide.ServerID]*subchannel{}, probes: map[uint64]*probe{}, ids: map[string]struct{}{},
		avoided: map[decide.ServerID]struct{}{}, dialing: map[*Call]struct{}{},
		departed: map[string]departure{}, classes: make([]ClassCounters, len(cfg.Settings.Classes)), reach: newReach(cfg),
	}
	m.counters.StartedOver = map[Reason]uint64{}
	m.now = clockStart
	m.listAt = m.now
	m.publish()
	return m, nil
}

// Run serves until ctx ends. The prober and the resolver are called from its goroutine alone.
func (m *Engine) Run(ctx context.Context, prober Prober, resolver Discovery) {
	defer close(m.done)
	m.ctx, m.prober, m.resolver = ctx, prober, resolver
	m.tick()
	m.handle(decide.Started{})
	m.resolved(EndpointUpdate{Kind: decide.ListRestored, Endpoints: m.cfg.Known})
	m.balancer.ImportLearned(m.cfg.Learned)
	for _, l := range m.cfg.Learned {
		m.mayAvoid(l.Server)
	}
	if m.cfg.AwaitList || m.cfg.ListPushed {
		m.askList() // at once: nobody waits for this process while another still serves, or before it is ready
		m.deadlines.set(m.now+startWait, m.started)
	} else {
		m.started()
	}
	m.publishLater()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case turn := <-m.inbox:
			RunMonitored(m.cfg.Watchdog, func() { m.turn(turn) })
		case <-timer.C:
			RunMonitored(m.cfg.Watchdog, func() { m.turn(nil) })
		}
		if at, ok := m.deadlines.next(); ok {
			timer.Reset(max(at-m.now, 0))
		}
	}
}

// turn does what the mailbox brought, if anything, and what has fallen due.
func (m *Engine) turn(do func()) {
	if do != nil {
		m.tick()
		do()
	}
	m.tick()
	m.deadlines.sweep(m.now)
}

// tick reads the host clock, the module's only time.
func (m *Engine) tick() { m.now = clockStart + time.Since(m.epoch) }

// post puts a turn into the mailbox; a sender waits while it is full, the module's actor never does.
func (m *Engine) post(turn func()) {
	select {
	case m.inbox <- turn:
	case <-m.done:
	}
}

// handle gives the decision module an event and carries out what it asks for. What that brings about at once
// waits until the actions before it are done.
func (m *Engine) handle(ev decide.Event) {
	m.events = append(m.events, ev)
	if m.handling {
		return
	}
	m.handling = true
	var actions []decide.Action
	for len(m.events) > 0 {
		ev := m.events[0]
		m.events = m.events[1:]
		actions = m.balancer.Handle(m.now, ev, actions[:0])
		for _, a := range actions {
			m.act(a)
		}
		switch ev := ev.(type) {
		case decide.AttemptEnded:
			m.mayAvoid(ev.Server)
		case decide.ProbeCompleted:
			m.mayAvoid(ev.Server)
		}
	}
	m.events, m.handling = nil, false
}

func (m *Engine) act(a decide.Action) {
	switch a := a.(type) {
	case decide.StartAttempt:
		m.place(a)
	case decide.Reject:
		if c := m.calls[a.ID]; c != nil {
			c.refuse(cmp.Or(c.after, a.RetryAfter))
		}
	case decide.Fail:
		if c := m.calls[a.ID]; c != nil {
			c.fail()
		}
	case decide.Migrate:
		if c := m.calls[a.ID]; c != nil {
			c.move()
		}
	case decide.Probe:
		m.probe(a.Server)
	case decide.WatchList:
		m.resubscribe()
	case decide.FetchList:
		m.refetch()
	case decide.SetTimer:
		m.deadlines.set(m.now+a.Delay, func() { m.handle(decide.TimerFired{Token: a.Token}) })
	case decide.Log:
		m.cfg.Log(a.Text)
	}
}

// SetFleetSize tells among how many balancers the fleet's budgets are divided from now on.
func (m *Engine) SetFleetSize(size decide.FleetSize) {
	m.post(func() {
		m.reach.times.SetFleetSize(size.Fleet)
		m.handle(size)
	})
}

// ---- probes

func (m *Engine) probe(server decide.ServerID) {
	s := m.subchannels[server]
	if s == nil {
		return
	}
	m.counters.Probes++
	m.probeSeq++
	seq := m.probeSeq
	ctx, cancel := context.WithCancel(m.ctx)
	p := &probe{server: server, sent: m.now, cancel: cancel}
	p.due = m.deadlines.set(m.now+probeWait, func() { m.probed(seq, decide.TimedOut, decide.NoLoadReport) })
	m.probes[seq] = p
	m.prober.Probe(ctx, seq, s.Upstream)
}

// ProbeCompleted tells the result of a probe.
func (m *Engine) ProbeCompleted(seq uint64, code decide.Code, report decide.LoadReport) {
	m.post(func() { m.probed(seq, code, report) })
}

func (m *Engine) probed(seq uint64, code decide.Code, report decide.LoadReport) {
	p := m.probes[seq]
	if p == nil {
		return // it has timed out
	}
	delete(m.probes, seq)
	m.deadlines.drop(p.due)
	p.cancel()
	if s := m.subchannels[p.server]; s != nil && report.Load >= 0 {
		s.load = report.Load
	}
	m.handle(decide.ProbeCompleted{Server: p.server, Code: code, Elapsed: m.now - p.sent, Report: report})
}

// ---- the list

// subscribe opens a watch. One that is open stays until the new one answers, so that no change is missed.
func (m *Engine) subscribe() {
	ctx, cancel := context.WithCancel(m.ctx)
	m.lastWatch++
	watch := m.lastWatch
	// One that was asked for before and has not answered keeps its deadline: nothing else would end it.
	m.asked = &listCall{watch: watch, begun: m.now, cancel: cancel, due: m.deadlines.set(m.now+listWait, func() {
		cancel()
		if m.asked != nil && m.asked.watch == watch { // its resolver may have left the order out, and tell nothing
			m.failed(EndpointUpdate{Kind: decide.ListFailed, WatchID: watch})
		}
	})}
	m.resolver.Watch(ctx, watch)
}

// resubscribe opens a watch unless one is being opened, which its own deadline ends, or the way back to discovery leads
// to one.
func (m *Engine) resubscribe() {
	if m.asked == nil && m.reach.step == reached {
		m.subscribe()
	}
}

// refetch asks for the whole list, unless discovery cannot be reached: the call that ends the way back to it brings what
// has changed. Guards a discovery that is down against a fleet that asks again with each time-out.
func (m *Engine) refetch() {
	if m.reach.step == reached {
		m.fetchList()
	}
}

// SetDiscoveryAddress turns to discovery at another address and begins the watch there at once. The list as it is stands
// meanwhile, and no channel hears of it.
func (m *Engine) SetDiscoveryAddress(address string) {
	m.post(func() {
		m.resolver.SetAddress(address)
		m.endReach() // what failed, or was found, was the old address
		m.reach.moved = m.lastWatch
		m.subscribe()
	})
}

// askList asks discovery ahead of the decision module's own poll.
func (m *Engine) askList() {
	if m.cfg.Settings.WatchList {
		m.subscribe()
	} else {
		m.fetchList()
	}
}

func (m *Engine) fetchList() {
	if m.fetch != nil {
		m.deadlines.drop(m.fetch.due)
		m.fetch.cancel()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.fetch = &listCall{begun: m.now, cancel: cancel, due: m.deadlines.set(m.now+listWait, func() {
		cancel()
		if m.reach.step == calling && !m.cfg.Settings.WatchList { // guards the way back against an order that was left out
			m.failed(EndpointUpdate{Kind: decide.ListFailed})
		}
	})}
	m.resolver.Fetch(ctx)
}

// WatchAlive tells that a watch shows a sign of life.
func (m *Engine) WatchAlive(watch uint64) {
	m.post(func() {
		m.told(watch)
		m.reachedBy(watch)
		// Guards against a watch that has fallen silent: what it misses is found by one that is opened beside it.
		m.deadlines.drop(m.silent)
		m.silent = m.deadlines.set(m.now+watchWait, m.resubscribe)
	})
}

// told ends the wait for a watch that was asked for: it has come, or has failed.
func (m *Engine) told(watch uint64) {
	if m.asked != nil && m.asked.watch == watch {
		m.deadlines.drop(m.asked.due)
		m.asked = nil
	}
}

// failed begins the way back to discovery, whose steps are the core's. The decision module hears of it, and what it asks
// for meanwhile waits for the way's end.
func (m *Engine) failed(r EndpointUpdate) {
	begun := m.now // of a watch that was open: until now
	switch {
	case m.asked != nil && m.asked.watch == r.WatchID:
		begun = m.asked.begun
	case m.fetch != nil && r.WatchID == 0:
		begun = m.fetch.begun
	}
	m.told(r.WatchID)
	if m.reach.step != waiting && (r.WatchID == 0 || r.WatchID == m.lastWatch) {
		m.lostDiscovery(begun)
	}
	m.handle(decide.ListReceived{Kind: r.Kind})
}

// EndpointsUpdated brings a resolver result.
func (m *Engine) EndpointsUpdated(r EndpointUpdate) { m.post(func() { m.resolved(r) }) }

func (m *Engine) resolved(r EndpointUpdate) {
	if r.Kind == decide.ListFailed {
		m.failed(r)
		return
	}
	if m.fetch != nil && r.Kind == decide.ListSnapshot {
		m.deadlines.drop(m.fetch.due)
		m.fetch = nil
	}
	if !m.cfg.Settings.WatchList && r.Kind != decide.ListRestored {
		m.endReach() // there is no watch that would tell
	}
	m.listAt = m.now
	left := map[*subchannel]bool{} // that want nothing new, or are another process from now on
	if r.Kind == decide.ListSnapshot {
		m.counters.ListSnapshots++
		listed := make(map[decide.ServerID]bool, len(r.Endpoints))
		for _, in := range r.Endpoints {
			listed[in.ID] = true
		}
		for id, s := range m.subchannels {
			if !listed[id] {
				m.setGone(s)
				left[s] = true
			}
		}
	}
	lines := make([]decide.Server, 0, len(r.Endpoints))
	for _, in := range r.Endpoints {
		s := m.subchannels[in.ID]
		if s == nil {
			s = &subchannel{load: -1, Upstream: Upstream{Address: in.Address}, started: in.Started}
			m.subchannels[in.ID] = s
			m.listed++ // as ready, until setState tells
		}
		if in.State != decide.Ready || s.Address != in.Address || !s.started.Equal(in.Started) {
			left[s] = true
		}
		s.Upstream = Upstream{ID: in.ID, Name: in.Name, Address: in.Address}
		s.zone, s.started = in.Zone, in.Started
		m.setState(s, in.State, r.Kind)
		delete(m.departed, in.Name)
		if in.State == decide.Removed {
			m.setGone(s)
		}
		line := in.Server
		line.Started = m.hostClock(in.Started)
		lines = append(lines, line)
	}
	m.handle(decide.ListReceived{Kind: r.Kind, Servers: lines})
	m.recall(left)
	if r.Kind != decide.ListRestored {
		m.started()
	}
}

// recall gives up the attempts that are on their way to room servers and not sent yet. Guards the grace of a drain: a
// connection that comes up late would be a new send there.
func (m *Engine) recall(left map[*subchannel]bool) {
	if len(left) == 0 {
		return
	}
	for c := range m.dialing {
		if c.out && c.phase == pending && left[c.server] {
			c.ch.CancelAttempt(c.n, decide.NotSent) // no room server is to blame
		}
	}
}

// setState notes when a room server was told to take nothing new.
func (m *Engine) setState(s *subchannel, state decide.State, kind decide.ListKind) {
	switch {
	case state == decide.Ready:
		s.told = 0
	case s.state == decide.Ready && kind != decide.ListRestored:
		s.told = m.now
	}
	m.count(s.state, -1)
	s.state = state
	m.count(s.state, 1)
}

// count counts a room server in or out, so that nobody has to go through them all.
func (m *Engine) count(state decide.State, n int) {
	if state != decide.Removed {
		m.listed += n
	}
	if state == decide.Draining {
		m.draining += n
	}
}

// shut tells whether nothing may be sent to a room server any more.
func (m *Engine) shut(s *subchannel) bool {
	return s.state == decide.Removed || s.told > 0 && m.now >= s.told+m.cfg.Settings.Safety.DrainGrace
}

func (m *Engine) setGone(s *subchannel) {
	m.setState(s, decide.Removed, decide.ListDelta)
	m.depart(s.Upstream)
	m.prober.Remove(s.ID)
	m.dropGone(s)
}

// dropGone guards against a table that grows with each deploy: a room server that is gone stays in it only
// while connections stand there. One that was listed again meanwhile has a new entry, which stays.
func (m *Engine) dropGone(s *subchannel) {
	if s.state == decide.Removed && s.open == 0 && m.subchannels[s.ID] == s {
		delete(m.subchannels, s.ID)
	}
}

// hostClock turns a wall time into host-clock time; 0 stays long ago.
func (m *Engine) hostClock(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(clockStart+t.Sub(m.epoch), 1)
}

// ---- placement

func (m *Engine) place(a decide.StartAttempt) {
	c := m.calls[a.ID]
	if c == nil {
		return
	}
	s := m.subchannels[a.Server]
	if s == nil {
		c.n++
		m.handle(decide.AttemptEnded{ID: a.ID, Attempt: c.n, Server: a.Server, Code: decide.NotSent, Report: decide.NoLoadReport})
		return
	}
	c.attempt(s, a.Timeout)
}

func (m *Engine) newID() decide.RequestID {
	m.lastID++
	return decide.RequestID(strconv.FormatUint(m.lastID, 10))
}
