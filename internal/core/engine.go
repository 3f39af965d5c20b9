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

	firstLineTimeout        = 2 * time.Second         // a channel that has asked for nothing is dropped after this,
	startedLineTimeout      = 2800 * time.Millisecond // so is one whose line has begun to come, but is not whole
	minHealthCheckInterval  = time.Second             // unless it goes on showing that it lives, so far apart at least
	minShedAge              = 10 * time.Millisecond   // a channel younger than this is not shed: its line is on its way
	requestIDRetention      = 10 * time.Second        // a request's id is not taken again for so long after its end
	responseTimeout         = 3 * time.Second         // a standing connection that brings nothing back is moved after this
	defaultLinger           = 500 * time.Millisecond  // a side that does not close after the other is dropped after this
	migrationTimeout        = 900 * time.Millisecond  // a moved client that takes nothing any more is dropped after this
	connectSlack            = 20 * time.Millisecond   // the machine's own delay, on top of the connect timeout
	probeTimeout            = 200 * time.Millisecond  // a probe without answer counts as timed out
	discoveryTimeout        = 4 * time.Second         // a call to discovery without any answer has failed
	watchTimeout            = 3 * time.Second         // a watch that brings not even its empty line of every 2 s hangs
	maxPushedReconnectDelay = 250 * time.Millisecond  // before a broken watch is opened anew where lists are pushed, at most:
	minPushedReconnectDelay = 20 * time.Millisecond   // a part of the grace, and this at least
	restoreRetryInterval    = 250 * time.Millisecond  // between dials for a connection that was open before the start
	overloadRetryAfter      = time.Second             // told to clients past the bound on channels
	snapshotInterval        = 250 * time.Millisecond
	detailedRetention       = 10 * time.Second // the rows of the last detailed snapshot are kept for who asks again
	startTimeout            = 3 * time.Second  // without an answer of discovery a successor serves from the list it has
)

// Engine is the module's actor: it owns the decision module, the calls, the subchannels and all deadlines.
type Engine struct {
	cfg       Config
	balancer  *decide.Balancer
	prober    Prober
	discovery Discovery

	inbox     chan func()
	done      chan struct{}
	ready     chan struct{}
	readyOnce sync.Once
	epoch     time.Time

	// Owned by Run's goroutine.
	ctx             context.Context
	now             time.Duration
	timers          *timerQueue
	events          []decide.Event
	handling        bool
	lastRequestID   uint64
	openCalls       map[*Call]struct{}                 // channels that have not closed
	calls           map[decide.RequestID]*Call         // requests that the decision module still knows
	upstreams       map[decide.ServerID]*upstreamState // the room servers listed, and those gone that still hold connections
	probes          map[uint64]*probe
	probeSeq        uint64
	pendingWatch    *discoveryCall // the watch that was asked for and has shown no sign of life yet
	lastWatchID     uint64
	watchTimer      *timer    // of the watches that are open
	reconnect       reconnect // the way back to discovery
	fetch           *discoveryCall
	pendingRequests int // requests that have no final answer and do not stand
	established     int
	requestIDs      map[string]struct{} // of requests that are open or ended lately
	drain           *drain
	counters        Counters
	classes         []ClassCounters
	service         ServiceState
	generation      uint64
	listUpdated     time.Duration
	departed        map[string]departedUpstream

	listed          int                          // room servers that are not gone,
	draining        int                          // and those of them that drain
	ejectedServers  map[decide.ServerID]struct{} // room servers that the decision module has left out of late
	pendingAttempts map[*Call]struct{}           // calls with an attempt that is out and does not stand

	snapshot         atomic.Pointer[Snapshot]
	detailedSnapshot atomic.Pointer[detailedSnapshot] // nil: nobody has asked of late
}

// upstreamState is what the core keeps of one room server.
type upstreamState struct {
	Upstream
	zone            string
	started         time.Time
	state           decide.State
	drainNotifiedAt time.Duration // when it was told that this one drains or is gone; 0: it was not, or not in this process
	connections     int           // connections that stand
	attempts        uint64
	load            float64
}

type probe struct {
	server decide.ServerID
	sent   time.Duration
	cancel context.CancelFunc
	timer  *timer
}

type discoveryCall struct {
	watchID uint64
	started time.Duration
	cancel  context.CancelFunc
	timer   *timer
}

// New checks the settings and returns a module that Run starts.
func New(cfg Config) (*Engine, error) {
	b, err := decide.New(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	e := &Engine{
		cfg: cfg, balancer: b, epoch: time.Now(),
		inbox: make(chan func(), 1024), done: make(chan struct{}), ready: make(chan struct{}),
		timers: newTimerQueue(), openCalls: map[*Call]struct{}{}, calls: map[decide.RequestID]*Call{},
		upstreams: map[decide.ServerID]*upstreamState{}, probes: map[uint64]*probe{}, requestIDs: map[string]struct{}{},
		ejectedServers: map[decide.ServerID]struct{}{}, pendingAttempts: map[*Call]struct{}{},
		departed: map[string]departedUpstream{}, classes: make([]ClassCounters, len(cfg.Settings.Classes)), reconnect: newReconnect(cfg),
	}
	e.counters.StartedOver = map[Reason]uint64{}
	e.now = clockStart
	e.listUpdated = e.now
	e.publish()
	return e, nil
}

// Run serves until ctx ends. The prober and the resolver are called from its goroutine alone.
func (e *Engine) Run(ctx context.Context, prober Prober, resolver Discovery) {
	defer close(e.done)
	e.ctx, e.prober, e.discovery = ctx, prober, resolver
	e.tick()
	e.handle(decide.Started{})
	e.applyUpdate(EndpointUpdate{Kind: decide.ListRestored, Endpoints: e.cfg.Known})
	e.balancer.ImportLearned(e.cfg.Learned)
	for _, l := range e.cfg.Learned {
		e.noteEjection(l.Server)
	}
	if e.cfg.AwaitList || e.cfg.ListPushed {
		e.requestList() // at once: nobody waits for this process while another still serves, or before it is ready
		e.timers.set(e.now+startTimeout, e.finishStarting)
	} else {
		e.finishStarting()
	}
	e.publishPeriodically()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case turn := <-e.inbox:
			RunMonitored(e.cfg.Watchdog, func() { e.runIteration(turn) })
		case <-timer.C:
			RunMonitored(e.cfg.Watchdog, func() { e.runIteration(nil) })
		}
		if at, ok := e.timers.next(); ok {
			timer.Reset(max(at-e.now, 0))
		}
	}
}

// runIteration does what the mailbox brought, if anything, and what has fallen due.
func (e *Engine) runIteration(do func()) {
	if do != nil {
		e.tick()
		do()
	}
	e.tick()
	e.timers.runExpired(e.now)
}

// tick reads the host clock, the module's only time.
func (e *Engine) tick() { e.now = clockStart + time.Since(e.epoch) }

// post puts a turn into the mailbox; a sender waits while it is full, the module's actor never does.
func (e *Engine) post(turn func()) {
	select {
	case e.inbox <- turn:
	case <-e.done:
	}
}

// handle gives the decision module an event and carries out what it asks for. What that brings about at once
// waits until the actions before it are done.
func (e *Engine) handle(ev decide.Event) {
	e.events = append(e.events, ev)
	if e.handling {
		return
	}
	e.handling = true
	var actions []decide.Action
	for len(e.events) > 0 {
		ev := e.events[0]
		e.events = e.events[1:]
		actions = e.balancer.Handle(e.now, ev, actions[:0])
		for _, a := range actions {
			e.execute(a)
		}
		switch ev := ev.(type) {
		case decide.AttemptEnded:
			e.noteEjection(ev.Server)
		case decide.ProbeCompleted:
			e.noteEjection(ev.Server)
		}
	}
	e.events, e.handling = nil, false
}

func (e *Engine) execute(a decide.Action) {
	switch a := a.(type) {
	case decide.StartAttempt:
		e.startAttempt(a)
	case decide.Reject:
		if c := e.calls[a.ID]; c != nil {
			c.reject(cmp.Or(c.retryAfter, a.RetryAfter))
		}
	case decide.Fail:
		if c := e.calls[a.ID]; c != nil {
			c.fail()
		}
	case decide.Migrate:
		if c := e.calls[a.ID]; c != nil {
			c.migrate()
		}
	case decide.Probe:
		e.probe(a.Server)
	case decide.WatchList:
		e.ensureWatch()
	case decide.FetchList:
		e.requestSnapshot()
	case decide.SetTimer:
		e.timers.set(e.now+a.Delay, func() { e.handle(decide.TimerFired{Token: a.Token}) })
	case decide.Log:
		e.cfg.Log(a.Text)
	}
}

// SetFleetSize tells among how many balancers the fleet's budgets are divided from now on.
func (e *Engine) SetFleetSize(size decide.FleetSize) {
	e.post(func() {
		e.reconnect.schedule.SetFleetSize(size.Fleet)
		e.handle(size)
	})
}

// ---- probes

func (e *Engine) probe(server decide.ServerID) {
	s := e.upstreams[server]
	if s == nil {
		return
	}
	e.counters.Probes++
	e.probeSeq++
	seq := e.probeSeq
	ctx, cancel := context.WithCancel(e.ctx)
	p := &probe{server: server, sent: e.now, cancel: cancel}
	p.timer = e.timers.set(e.now+probeTimeout, func() { e.probeCompleted(seq, decide.TimedOut, decide.NoLoadReport) })
	e.probes[seq] = p
	e.prober.Probe(ctx, seq, s.Upstream)
}

// ProbeCompleted tells the result of a probe.
func (e *Engine) ProbeCompleted(seq uint64, code decide.Code, report decide.LoadReport) {
	e.post(func() { e.probeCompleted(seq, code, report) })
}

func (e *Engine) probeCompleted(seq uint64, code decide.Code, report decide.LoadReport) {
	p := e.probes[seq]
	if p == nil {
		return // it has timed out
	}
	delete(e.probes, seq)
	e.timers.stop(p.timer)
	p.cancel()
	if s := e.upstreams[p.server]; s != nil && report.Load >= 0 {
		s.load = report.Load
	}
	e.handle(decide.ProbeCompleted{Server: p.server, Code: code, Elapsed: e.now - p.sent, Report: report})
}

// ---- the list

// openWatch opens a watch. One that is open stays until the new one answers, so that no change is missed.
func (e *Engine) openWatch() {
	ctx, cancel := context.WithCancel(e.ctx)
	e.lastWatchID++
	watch := e.lastWatchID
	// One that was asked for before and has not answered keeps its deadline: nothing else would end it.
	e.pendingWatch = &discoveryCall{watchID: watch, started: e.now, cancel: cancel, timer: e.timers.set(e.now+discoveryTimeout, func() {
		cancel()
		if e.pendingWatch != nil && e.pendingWatch.watchID == watch { // its resolver may have left the order out, and tell nothing
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed, WatchID: watch})
		}
	})}
	e.discovery.Watch(ctx, watch)
}

// ensureWatch opens a watch unless one is being opened, which its own deadline ends, or the way back to discovery leads
// to one.
func (e *Engine) ensureWatch() {
	if e.pendingWatch == nil && e.reconnect.step == reconnectIdle {
		e.openWatch()
	}
}

// requestSnapshot asks for the whole list, unless discovery cannot be reached: the call that ends the way back to it brings what
// has changed. Guards a discovery that is down against a fleet that asks again with each time-out.
func (e *Engine) requestSnapshot() {
	if e.reconnect.step == reconnectIdle {
		e.fetchSnapshot()
	}
}

// SetDiscoveryAddress turns to discovery at another address and begins the watch there at once. The list as it is stands
// meanwhile, and no channel hears of it.
func (e *Engine) SetDiscoveryAddress(address string) {
	e.post(func() {
		e.discovery.SetAddress(address)
		e.stopReconnect() // what failed, or was found, was the old address
		e.reconnect.lastStaleWatchID = e.lastWatchID
		e.openWatch()
	})
}

// requestList asks discovery ahead of the decision module's own poll.
func (e *Engine) requestList() {
	if e.cfg.Settings.WatchList {
		e.openWatch()
	} else {
		e.fetchSnapshot()
	}
}

func (e *Engine) fetchSnapshot() {
	if e.fetch != nil {
		e.timers.stop(e.fetch.timer)
		e.fetch.cancel()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.fetch = &discoveryCall{started: e.now, cancel: cancel, timer: e.timers.set(e.now+discoveryTimeout, func() {
		cancel()
		if e.reconnect.step == reconnectCalling && !e.cfg.Settings.WatchList { // guards the way back against an order that was left out
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed})
		}
	})}
	e.discovery.Fetch(ctx)
}

// WatchAlive tells that a watch shows a sign of life.
func (e *Engine) WatchAlive(watch uint64) {
	e.post(func() {
		e.resolvePendingWatch(watch)
		e.watchConfirmsDiscovery(watch)
		// Guards against a watch that has fallen silent: what it misses is found by one that is opened beside it.
		e.timers.stop(e.watchTimer)
		e.watchTimer = e.timers.set(e.now+watchTimeout, e.ensureWatch)
	})
}

// resolvePendingWatch ends the wait for a watch that was asked for: it has come, or has failed.
func (e *Engine) resolvePendingWatch(watch uint64) {
	if e.pendingWatch != nil && e.pendingWatch.watchID == watch {
		e.timers.stop(e.pendingWatch.timer)
		e.pendingWatch = nil
	}
}

// discoveryFailed begins the way back to discovery, whose steps are the core's. The decision module hears of it, and what it asks
// for meanwhile waits for the way's end.
func (e *Engine) discoveryFailed(r EndpointUpdate) {
	begun := e.now // of a watch that was open: until now
	switch {
	case e.pendingWatch != nil && e.pendingWatch.watchID == r.WatchID:
		begun = e.pendingWatch.started
	case e.fetch != nil && r.WatchID == 0:
		begun = e.fetch.started
	}
	e.resolvePendingWatch(r.WatchID)
	if e.reconnect.step != reconnectWaiting && (r.WatchID == 0 || r.WatchID == e.lastWatchID) {
		e.startReconnect(begun)
	}
	e.handle(decide.ListReceived{Kind: r.Kind})
}

// EndpointsUpdated brings a resolver result.
func (e *Engine) EndpointsUpdated(r EndpointUpdate) { e.post(func() { e.applyUpdate(r) }) }

func (e *Engine) applyUpdate(r EndpointUpdate) {
	if r.Kind == decide.ListFailed {
		e.discoveryFailed(r)
		return
	}
	if e.fetch != nil && r.Kind == decide.ListSnapshot {
		e.timers.stop(e.fetch.timer)
		e.fetch = nil
	}
	if !e.cfg.Settings.WatchList && r.Kind != decide.ListRestored {
		e.stopReconnect() // there is no watch that would tell
	}
	e.listUpdated = e.now
	left := map[*upstreamState]bool{} // that want nothing new, or are another process from now on
	if r.Kind == decide.ListSnapshot {
		e.counters.ListSnapshots++
		listed := make(map[decide.ServerID]bool, len(r.Endpoints))
		for _, in := range r.Endpoints {
			listed[in.ID] = true
		}
		for id, s := range e.upstreams {
			if !listed[id] {
				e.removeUpstream(s)
				left[s] = true
			}
		}
	}
	lines := make([]decide.Server, 0, len(r.Endpoints))
	for _, in := range r.Endpoints {
		s := e.upstreams[in.ID]
		if s == nil {
			s = &upstreamState{load: -1, Upstream: Upstream{Address: in.Address}, started: in.Started}
			e.upstreams[in.ID] = s
			e.listed++ // as ready, until setState tells
		}
		if in.State != decide.Ready || s.Address != in.Address || !s.started.Equal(in.Started) {
			left[s] = true
		}
		s.Upstream = Upstream{ID: in.ID, Name: in.Name, Address: in.Address}
		s.zone, s.started = in.Zone, in.Started
		e.setUpstreamState(s, in.State, r.Kind)
		delete(e.departed, in.Name)
		if in.State == decide.Removed {
			e.removeUpstream(s)
		}
		line := in.Server
		line.Started = e.hostClock(in.Started)
		lines = append(lines, line)
	}
	e.handle(decide.ListReceived{Kind: r.Kind, Servers: lines})
	e.cancelUnsentAttempts(left)
	if r.Kind != decide.ListRestored {
		e.finishStarting()
	}
}

// cancelUnsentAttempts gives up the attempts that are on their way to room servers and not sent yet. Guards the grace of a drain: a
// connection that comes up late would be a new send there.
func (e *Engine) cancelUnsentAttempts(left map[*upstreamState]bool) {
	if len(left) == 0 {
		return
	}
	for c := range e.pendingAttempts {
		if c.out && c.phase == phasePending && left[c.server] {
			c.conn.CancelAttempt(c.n, decide.NotSent) // no room server is to blame
		}
	}
}

// setUpstreamState notes when a room server was told to take nothing new.
func (e *Engine) setUpstreamState(s *upstreamState, state decide.State, kind decide.ListKind) {
	switch {
	case state == decide.Ready:
		s.drainNotifiedAt = 0
	case s.state == decide.Ready && kind != decide.ListRestored:
		s.drainNotifiedAt = e.now
	}
	e.countUpstream(s.state, -1)
	s.state = state
	e.countUpstream(s.state, 1)
}

// countUpstream counts a room server in or out, so that nobody has to go through them all.
func (e *Engine) countUpstream(state decide.State, n int) {
	if state != decide.Removed {
		e.listed += n
	}
	if state == decide.Draining {
		e.draining += n
	}
}

// closedToAttempts tells whether nothing may be sent to a room server any more.
func (e *Engine) closedToAttempts(s *upstreamState) bool {
	return s.state == decide.Removed || s.drainNotifiedAt > 0 && e.now >= s.drainNotifiedAt+e.cfg.Settings.Safety.DrainGrace
}

func (e *Engine) removeUpstream(s *upstreamState) {
	e.setUpstreamState(s, decide.Removed, decide.ListDelta)
	e.rememberDeparted(s.Upstream)
	e.prober.Remove(s.ID)
	e.deleteUnusedUpstream(s)
}

// deleteUnusedUpstream guards against a table that grows with each deploy: a room server that is gone stays in it only
// while connections stand there. One that was listed again meanwhile has a new entry, which stays.
func (e *Engine) deleteUnusedUpstream(s *upstreamState) {
	if s.state == decide.Removed && s.connections == 0 && e.upstreams[s.ID] == s {
		delete(e.upstreams, s.ID)
	}
}

// hostClock turns a wall time into host-clock time; 0 stays long ago.
func (e *Engine) hostClock(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(clockStart+t.Sub(e.epoch), 1)
}

// ---- placement

func (e *Engine) startAttempt(a decide.StartAttempt) {
	c := e.calls[a.ID]
	if c == nil {
		return
	}
	s := e.upstreams[a.Server]
	if s == nil {
		c.n++
		e.handle(decide.AttemptEnded{ID: a.ID, Attempt: c.n, Server: a.Server, Code: decide.NotSent, Report: decide.NoLoadReport})
		return
	}
	c.startAttempt(s, a.Timeout)
}

func (e *Engine) newRequestID() decide.RequestID {
	e.lastRequestID++
	return decide.RequestID(strconv.FormatUint(e.lastRequestID, 10))
}
