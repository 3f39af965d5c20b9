package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

// Dialer is a resolver that can dial discovery without a call. Dial must not block; it tells whether discovery took the
// connection, unless ctx ends first.
type Dialer interface {
	Dial(ctx context.Context, done func(there bool))
}

// reconnectStep is where a module stands on its way back to discovery.
type reconnectStep uint8

const (
	reconnectIdle    reconnectStep = iota // no call has failed since the last answer
	reconnectWaiting                      // to dial, for the dial's end, or to call
	reconnectCalling                      // the call is out
)

// reconnect is the way back to discovery after a failed call. The module's actor owns it.
type reconnect struct {
	schedule         decide.ReconnectSchedule
	step             reconnectStep
	failedStart      time.Duration // when the attempt that failed last was begun
	dialStart        time.Duration // when the dial was begun that is out
	lastStaleWatchID uint64        // the latest watch that was asked for before discovery's address changed
	generation       uint64        // counts the steps, so that the end of an earlier dial says nothing
	timer            *timer        // of the next step
	cancel           context.CancelFunc
}

func newReconnect(cfg Config) reconnect {
	atOnce := time.Duration(0)
	if cfg.ListPushed {
		// What discovery has counts at its return, so that the watch has to be back before the grace is over.
		atOnce = max(min(cfg.Settings.Safety.DrainGrace/4, maxPushedReconnectDelay), minPushedReconnectDelay)
	}
	return reconnect{schedule: decide.NewReconnectSchedule(cfg.Settings.Seed, max(cfg.Settings.Balancers, 1), atOnce), cancel: func() {}}
}

// startReconnect begins the way back, or begins it anew, after an attempt that was begun at some time and has failed.
func (e *Engine) startReconnect(begun time.Duration) {
	e.reconnect.failedStart = begun
	e.scheduleReconnect(e.reconnect.schedule.DialAt(begun, e.now), e.dialDiscovery)
}

// scheduleReconnect sets the next step.
func (e *Engine) scheduleReconnect(at time.Duration, next func()) {
	e.stopReconnect()
	e.reconnect.step = reconnectWaiting
	e.reconnect.timer = e.timers.set(at, next)
}

// stopReconnect gives up what is under way to discovery, the call that is out apart.
func (e *Engine) stopReconnect() {
	r := &e.reconnect
	e.timers.stop(r.timer)
	r.cancel()
	r.step, r.generation = reconnectIdle, r.generation+1
}

// watchConfirmsDiscovery ends the way back, for a watch shows a sign of life: one that stood all the time does as well, as nothing is
// missed. One of the address that was left does not speak for the one that is asked now.
func (e *Engine) watchConfirmsDiscovery(watch uint64) {
	if watch > e.reconnect.lastStaleWatchID {
		e.stopReconnect()
	}
}

// dialDiscovery finds out whether discovery is there. A resolver that cannot tell is called at once.
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
	turn := r.generation
	dialer.Dial(ctx, func(there bool) {
		e.post(func() {
			switch {
			case turn != r.generation:
			case there:
				e.scheduleDiscoveryCall()
			default:
				e.startReconnect(r.dialStart)
			}
		})
	})
}

// scheduleDiscoveryCall spreads the one call that follows.
func (e *Engine) scheduleDiscoveryCall() {
	e.scheduleReconnect(e.reconnect.schedule.CallAt(e.reconnect.failedStart, e.now), func() {
		e.stopReconnect()
		e.reconnect.step = reconnectCalling
		e.requestList()
	})
}
