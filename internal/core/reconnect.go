package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

// Bounds of the delay before a broken watch is reopened if Config.ListPushed is set. Within the bounds, the delay is
// a quarter of the drain grace.
const (
	maxPushedReconnectDelay = 250 * time.Millisecond
	minPushedReconnectDelay = 20 * time.Millisecond
)

// Dialer is implemented by a Discovery that can check whether discovery is reachable without making a call.
type Dialer interface {
	// Dial connects to discovery without blocking the caller. It calls done with whether the connection was accepted,
	// unless ctx ends first.
	Dial(ctx context.Context, done func(reachable bool))
}

// reconnectStep is the current step of a reconnect to discovery.
type reconnectStep uint8

const (
	reconnectIdle    reconnectStep = iota // no reconnect is in progress
	reconnectWaiting                      // a dial or the call is scheduled, or a dial is in progress
	reconnectCalling                      // waits for the answer to the call
)

// reconnect is the state of the reconnect to discovery after a failed call. The event loop owns it.
type reconnect struct {
	schedule decide.ReconnectSchedule
	step     reconnectStep
	// failedStart is when the latest failed call or dial was started. If that was a watch that had already answered,
	// failedStart is when the watch failed.
	failedStart time.Duration
	// dialStart is when the current dial was started.
	dialStart time.Duration
	// lastPreviousWatchID is the ID of the last watch that was opened at a previous address of discovery; 0 if there
	// is none.
	lastPreviousWatchID uint64
	// generation is incremented whenever a step is cancelled, so that the late result of a dial is recognized.
	generation uint64
	// timer starts the next step.
	timer *timer
	// cancel cancels the current dial.
	cancel context.CancelFunc
}

func newReconnect(cfg Config) reconnect {
	fixedDelay := time.Duration(0)
	if cfg.ListPushed {
		// Changes take effect immediately, so the watch must be open again before the drain grace of a server ends.
		fixedDelay = max(min(cfg.Settings.Safety.DrainGrace/4, maxPushedReconnectDelay), minPushedReconnectDelay)
	}
	balancers := max(cfg.Settings.Balancers, 1)
	return reconnect{
		schedule: decide.NewReconnectSchedule(cfg.Settings.Seed, balancers, fixedDelay),
		cancel:   func() {},
	}
}

// startReconnect starts or restarts a reconnect after the failure of a call or dial; see reconnect.failedStart.
func (e *Engine) startReconnect(failedStart time.Duration) {
	e.reconnect.failedStart = failedStart
	e.scheduleReconnect(e.reconnect.schedule.DialAt(failedStart, e.now), e.dialDiscovery)
}

// scheduleReconnect cancels the current step and schedules the next one.
func (e *Engine) scheduleReconnect(at time.Duration, next func()) {
	e.stopReconnect()
	e.reconnect.step = reconnectWaiting
	e.reconnect.timer = e.timers.set(at, next)
}

// stopReconnect cancels the current dial and the next step. A call in progress continues.
func (e *Engine) stopReconnect() {
	r := &e.reconnect
	e.timers.stop(r.timer)
	r.cancel()
	r.step = reconnectIdle
	r.generation++
}

// stopReconnectOnHeartbeat stops the reconnect on a heartbeat of any watch at the current address, because a watch
// that has stayed open has missed no change. A heartbeat of a watch at a previous address does not show that
// discovery is reachable at the current one.
func (e *Engine) stopReconnectOnHeartbeat(watch uint64) {
	if watch > e.reconnect.lastPreviousWatchID {
		e.stopReconnect()
	}
}

// dialDiscovery dials discovery to check whether it is reachable. If the Discovery is not a Dialer, the call is
// scheduled without that check.
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

// dialCompleted handles the result of a dial, unless the dial was cancelled before.
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

// scheduleDiscoveryCall schedules the one call that follows a successful dial. The ReconnectSchedule spreads these
// calls of all balancers over time.
func (e *Engine) scheduleDiscoveryCall() {
	e.scheduleReconnect(e.reconnect.schedule.CallAt(e.reconnect.failedStart, e.now), func() {
		e.stopReconnect()
		e.reconnect.step = reconnectCalling
		e.requestList()
	})
}
