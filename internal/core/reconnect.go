package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

// Bounds of the delay before a broken watch is reopened where lists are pushed; between them it is a quarter
// of the drain grace.
const (
	maxPushedReconnectDelay = 250 * time.Millisecond
	minPushedReconnectDelay = 20 * time.Millisecond
)

// Dialer is implemented by a Discovery that can dial without making a call, to find out whether discovery is
// reachable.
type Dialer interface {
	// Dial must not block. It reports with done whether discovery accepted the connection, unless ctx ends
	// first.
	Dial(ctx context.Context, done func(reachable bool))
}

// reconnectStep says what a reconnect to discovery waits for.
type reconnectStep uint8

const (
	reconnectIdle    reconnectStep = iota // there is no reconnect in progress
	reconnectWaiting                      // waits to dial, for the end of a dial, or to call
	reconnectCalling                      // waits for the answer of a call
)

// reconnect is the state of the reconnect to discovery after a failed call. The event loop owns it.
type reconnect struct {
	schedule decide.ReconnectSchedule
	step     reconnectStep
	// failedStart is when the latest attempt that failed was started.
	failedStart time.Duration
	// dialStart is when the present dial was started.
	dialStart time.Duration
	// lastStaleWatchID is the latest watch that was opened before discovery's address changed; 0 if it never
	// has.
	lastStaleWatchID uint64
	// generation counts the steps, to recognize the result of a dial that was cancelled.
	generation uint64
	// timer starts the next step.
	timer *timer
	// cancel ends the present dial.
	cancel context.CancelFunc
}

func newReconnect(cfg Config) reconnect {
	fixedDelay := time.Duration(0)
	if cfg.ListPushed {
		// Changes are binding at once, so the watch has to be back before the drain grace of a server ends.
		fixedDelay = max(min(cfg.Settings.Safety.DrainGrace/4, maxPushedReconnectDelay), minPushedReconnectDelay)
	}
	balancers := max(cfg.Settings.Balancers, 1)
	return reconnect{
		schedule: decide.NewReconnectSchedule(cfg.Settings.Seed, balancers, fixedDelay),
		cancel:   func() {},
	}
}

// startReconnect starts or restarts a reconnect after the failure of an attempt that was started at the given
// time.
func (e *Engine) startReconnect(failedStart time.Duration) {
	e.reconnect.failedStart = failedStart
	e.scheduleReconnect(e.reconnect.schedule.DialAt(failedStart, e.now), e.dialDiscovery)
}

// scheduleReconnect cancels the present step and schedules the next one.
func (e *Engine) scheduleReconnect(at time.Duration, next func()) {
	e.stopReconnect()
	e.reconnect.step = reconnectWaiting
	e.reconnect.timer = e.timers.set(at, next)
}

// stopReconnect cancels the present dial and the next step. A call in progress goes on.
func (e *Engine) stopReconnect() {
	r := &e.reconnect
	e.timers.stop(r.timer)
	r.cancel()
	r.step = reconnectIdle
	r.generation++
}

// watchConfirmsDiscovery stops the reconnect on a heartbeat of any watch, as one that was open all the time
// has missed no change. A watch at a former address confirms nothing about the present one.
func (e *Engine) watchConfirmsDiscovery(watch uint64) {
	if watch > e.reconnect.lastStaleWatchID {
		e.stopReconnect()
	}
}

// dialDiscovery finds out whether discovery is reachable. A Discovery that is no Dialer is called at once
// instead.
func (e *Engine) dialDiscovery() {
	r := &e.reconnect
	dialer, ok := e.discovery.(Dialer)
	if !ok {
		e.scheduleDiscoveryCall()
		return
	}
	r.dialStart = e.now
	e.scheduleReconnect(e.now+r.schedule.DialTimeout(), func() { e.startReconnect(r.dialStart) })
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(e.ctx)
	generation := r.generation
	dialer.Dial(ctx, func(reachable bool) {
		e.post(func() { e.dialCompleted(generation, reachable) })
	})
}

// dialCompleted handles the result of a dial, unless the reconnect has gone on without it.
func (e *Engine) dialCompleted(generation uint64, reachable bool) {
	switch {
	case generation != e.reconnect.generation:
		return
	case reachable:
		e.scheduleDiscoveryCall()
	default:
		e.startReconnect(e.reconnect.dialStart)
	}
}

// scheduleDiscoveryCall schedules the one call that follows a successful dial; the schedule spreads these
// calls over the fleet.
func (e *Engine) scheduleDiscoveryCall() {
	e.scheduleReconnect(e.reconnect.schedule.CallAt(e.reconnect.failedStart, e.now), func() {
		e.stopReconnect()
		e.reconnect.step = reconnectCalling
		e.requestList()
	})
}
