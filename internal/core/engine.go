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
	// clockStart is the host-clock time at which the engine is created. It is far above 0, so that servers that
	// started before this process have positive start times.
	clockStart = 24 * time.Hour
	// inboxSize is how many functions the inbox holds before senders block.
	inboxSize = 1024
	// startTimeout is the maximum time in state Starting. After that, the engine serves with its current endpoint
	// list, even without an answer from discovery.
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
	// epoch is the wall-clock time that corresponds to the host-clock time clockStart.
	epoch time.Time

	// The fields from here to generation are owned by the event loop, the goroutine of Run.

	// ctx is the context of Run; probes and discovery calls derive theirs from it.
	ctx context.Context
	// now is the host-clock time of the current iteration: clockStart plus the time since the engine was created. The
	// host clock is the only clock that the decision module uses.
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
	// generation is the number of the configuration in force.
	generation uint64

	// snapshot is the latest published snapshot; any goroutine may read it.
	snapshot atomic.Pointer[Snapshot]
	// detailedSnapshot is the latest detailed snapshot, nil if none was requested within detailedRetention; any
	// goroutine may read it.
	detailedSnapshot atomic.Pointer[detailedSnapshot]
}

// eventQueue holds the events that wait for the decision module.
type eventQueue struct {
	pending []decide.Event
	// dispatching says that handle is running; events that are raised during it are only queued.
	dispatching bool
}

// New returns an engine, which does nothing until Run is called. It returns an error if the decision module does not
// accept the settings.
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
		calls:          newCallTable(cfg.RequestIDs),
		upstreams:      newUpstreamTable(),
		probes:         newProbeTable(),
		discoveryCalls: discoveryCalls{listUpdated: clockStart},
		reconnect:      newReconnect(cfg),
		statistics:     newStatistics(len(cfg.Settings.Classes)),
	}
	e.publish()
	return e, nil
}

// Run runs the event loop until ctx ends. It calls the prober and discovery only from the goroutine that calls Run.
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

// start passes the restored endpoint list and the learned state to the decision module, requests the first endpoint
// list if the engine has to wait for one, and starts the periodic publication of snapshots.
func (e *Engine) start() {
	e.tick()
	e.handle(decide.Started{})
	e.applyUpdate(EndpointUpdate{Kind: decide.ListRestored, Endpoints: e.cfg.Known})
	e.balancer.ImportLearned(e.cfg.Learned)
	for _, learned := range e.cfg.Learned {
		e.noteEjection(learned.Server)
	}
	if e.cfg.AwaitFirstList || e.cfg.ListPushed {
		// The list is requested without the random delay that the decision module adds to its first poll: clients use
		// this process only once it has left state Starting, which is when the list arrives.
		e.requestList()
		e.timers.set(e.now+startTimeout, e.finishStarting)
	} else {
		e.finishStarting()
	}
	e.publishPeriodically()
}

// runIteration runs a function from the inbox, which may be nil, and then the timers that have expired.
func (e *Engine) runIteration(do func()) {
	if do != nil {
		e.tick()
		do()
	}
	e.tick()
	e.timers.runExpired(e.now)
}

// tick sets now to the current host-clock time.
func (e *Engine) tick() { e.now = clockStart + time.Since(e.epoch) }

// post puts a function into the inbox and blocks while the inbox is full. The event loop itself must not call it:
// with a full inbox it would wait for itself.
func (e *Engine) post(do func()) {
	select {
	case e.inbox <- do:
	case <-e.done:
	}
}

// await runs a function in the event loop and waits for its end, for at most the given time. It returns ErrBusy if
// the time is over; the function may still run later. It returns ErrStopping if the event loop has ended.
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

// handle passes an event to the decision module and executes the actions that the module returns. An event that is
// raised by such an action is handled after the remaining actions of the current event.
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

// execute executes one action of the decision module. It ignores actions for requests that are not in callTable.byID,
// such as requests with a final answer.
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
		e.fetchUnlessReconnecting()
	case decide.SetTimer:
		e.timers.set(e.now+action.Delay, func() { e.handle(decide.TimerFired{Token: action.Token}) })
	case decide.Log:
		e.cfg.Log(action.Text)
	}
}

// SetFleetSize sets the number of balancers among which the decision module divides the budgets of the fleet, such as
// the slow-start budgets. It also sets the number by which the reconnects to discovery are spread over time.
func (e *Engine) SetFleetSize(size decide.FleetSize) {
	e.post(func() {
		e.reconnect.schedule.SetFleetSize(size.Fleet)
		e.handle(size)
	})
}
