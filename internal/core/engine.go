package core

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/decide"
)

const (
	// clockStart is the host clock's reading when the engine is created. It is far above 0, so that servers
	// that started before this process have positive start times.
	clockStart = 24 * time.Hour
	// inboxSize is how many functions the inbox holds before senders block.
	inboxSize = 1024
	// startTimeout ends state Starting without an answer of discovery: the engine then serves from the list
	// it has.
	startTimeout = 3 * time.Second
)

// Engine runs the decision module of one balancer and owns all state around it. Create one with New, then
// call Run.
type Engine struct {
	// cfg is constant except for MaxClients, which the event loop owns.
	cfg       Config
	balancer  *decide.Balancer
	prober    Prober
	discovery Discovery

	// inbox carries functions to the event loop.
	inbox chan func()
	// done is closed when Run returns.
	done chan struct{}
	// ready is closed when the service state becomes Serving for the first time.
	ready     chan struct{}
	readyOnce sync.Once
	// epoch is the wall time at which the host clock read clockStart.
	epoch time.Time

	// The fields from here to generation are owned by the event loop, the goroutine of Run.

	// ctx is the context of Run; probes and discovery calls derive theirs from it.
	ctx context.Context
	// now is the host clock's reading in the present iteration.
	now            time.Duration
	timers         *timerQueue
	events         eventQueue
	calls          callTable
	upstreams      upstreamTable
	probes         probeTable
	discoveryCalls discoveryCalls
	reconnect      reconnect
	statistics     statistics
	// drain is the drain in progress, else nil.
	drain   *drain
	service ServiceState
	// generation numbers the configuration in force.
	generation uint64

	// snapshot is the latest published snapshot; any goroutine may read it.
	snapshot atomic.Pointer[Snapshot]
	// detailedSnapshot is nil if none was requested lately; any goroutine may read it.
	detailedSnapshot atomic.Pointer[detailedSnapshot]
}

// eventQueue holds events for the decision module that were raised while it handles another one.
type eventQueue struct {
	pending     []decide.Event
	dispatching bool
}

// New returns an engine that Run starts. It returns an error if the decision module does not accept the
// settings.
func New(cfg Config) (*Engine, error) {
	balancer, err := decide.New(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	e := &Engine{
		cfg:            cfg,
		balancer:       balancer,
		epoch:          time.Now(),
		inbox:          make(chan func(), inboxSize),
		done:           make(chan struct{}),
		ready:          make(chan struct{}),
		now:            clockStart,
		timers:         newTimerQueue(),
		calls:          newCallTable(),
		upstreams:      newUpstreamTable(),
		probes:         newProbeTable(),
		discoveryCalls: discoveryCalls{listUpdated: clockStart},
		reconnect:      newReconnect(cfg),
		statistics:     newStatistics(len(cfg.Settings.Classes)),
	}
	e.publish()
	return e, nil
}

// Run runs the event loop until ctx ends. It calls the prober and discovery from this goroutine alone.
func (e *Engine) Run(ctx context.Context, prober Prober, discovery Discovery) {
	defer close(e.done)
	e.ctx, e.prober, e.discovery = ctx, prober, discovery
	e.start()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-e.inbox:
			RunMonitored(e.cfg.Watchdog, func() { e.runIteration(do) })
		case <-wakeup.C:
			RunMonitored(e.cfg.Watchdog, func() { e.runIteration(nil) })
		}
		if at, ok := e.timers.next(); ok {
			wakeup.Reset(max(at-e.now, 0))
		}
	}
}

// start hands the decision module what is known at the start and begins the periodic work.
func (e *Engine) start() {
	e.tick()
	e.handle(decide.Started{})
	e.applyUpdate(EndpointUpdate{Kind: decide.ListRestored, Endpoints: e.cfg.Known})
	e.balancer.ImportLearned(e.cfg.Learned)
	for _, learned := range e.cfg.Learned {
		e.noteEjection(learned.Server)
	}
	if e.cfg.AwaitFirstList || e.cfg.ListPushed {
		// Without the random delay of the first poll: no client waits for this process yet.
		e.requestList()
		e.timers.set(e.now+startTimeout, e.finishStarting)
	} else {
		e.finishStarting()
	}
	e.publishPeriodically()
}

// runIteration runs a function from the inbox, which may be nil, and the timers that have expired.
func (e *Engine) runIteration(do func()) {
	if do != nil {
		e.tick()
		do()
	}
	e.tick()
	e.timers.runExpired(e.now)
}

// tick reads the host clock, the only time that the decision module knows.
func (e *Engine) tick() { e.now = clockStart + time.Since(e.epoch) }

// post puts a function into the inbox and blocks while that is full. The event loop itself must not call it:
// nothing would empty the inbox.
func (e *Engine) post(do func()) {
	select {
	case e.inbox <- do:
	case <-e.done:
	}
}

// await runs a function in the event loop and waits for its end, for at most the given time. It returns
// ErrBusy after that, although the function may still run later, and ErrStopping if the event loop has ended.
func (e *Engine) await(within time.Duration, do func()) error {
	finished := make(chan struct{})
	timeout := time.After(within)
	select {
	case e.inbox <- func() { do(); close(finished) }:
	case <-e.done:
		return ErrStopping
	case <-timeout:
		return ErrBusy
	}
	select {
	case <-finished:
		return nil
	case <-e.done:
		return ErrStopping
	case <-timeout:
		return ErrBusy
	}
}

// handle passes an event to the decision module and executes the actions that it returns. An event that is
// raised by such an action is handled after the remaining actions of the present one.
func (e *Engine) handle(event decide.Event) {
	e.events.pending = append(e.events.pending, event)
	if e.events.dispatching {
		return
	}
	e.events.dispatching = true
	var actions []decide.Action
	for len(e.events.pending) > 0 {
		next := e.events.pending[0]
		e.events.pending = e.events.pending[1:]
		actions = e.balancer.Handle(e.now, next, actions[:0])
		for _, action := range actions {
			e.execute(action)
		}
		switch next := next.(type) {
		case decide.AttemptEnded:
			e.noteEjection(next.Server)
		case decide.ProbeCompleted:
			e.noteEjection(next.Server)
		}
	}
	e.events = eventQueue{}
}

// execute carries out one action of the decision module.
func (e *Engine) execute(action decide.Action) {
	switch action := action.(type) {
	case decide.StartAttempt:
		e.startAttempt(action)
	case decide.Reject:
		if c := e.calls.byID[action.ID]; c != nil {
			c.reject(cmp.Or(c.retryAfter, action.RetryAfter))
		}
	case decide.Fail:
		if c := e.calls.byID[action.ID]; c != nil {
			c.fail()
		}
	case decide.Migrate:
		if c := e.calls.byID[action.ID]; c != nil {
			c.migrate()
		}
	case decide.Probe:
		e.startProbe(action.Server)
	case decide.WatchList:
		e.ensureWatch()
	case decide.FetchList:
		e.requestSnapshot()
	case decide.SetTimer:
		e.timers.set(e.now+action.Delay, func() { e.handle(decide.TimerFired{Token: action.Token}) })
	case decide.Log:
		e.cfg.Log(action.Text)
	}
}

// SetFleetSize sets the number of balancers among which the budgets of the fleet are divided.
func (e *Engine) SetFleetSize(size decide.FleetSize) {
	e.post(func() {
		e.reconnect.schedule.SetFleetSize(size.Fleet)
		e.handle(size)
	})
}
