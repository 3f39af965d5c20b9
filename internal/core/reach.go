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

// step is where a module stands on its way back to discovery.
type step uint8

const (
	reached step = iota // no call has failed since the last answer
	waiting             // to dial, for the dial's end, or to call
	calling             // the call is out
)

// reach is the way back to discovery after a failed call. The module's actor owns it.
type reach struct {
	times  decide.ReconnectSchedule
	step   step
	failed time.Duration // when the attempt that failed last was begun
	dialed time.Duration // when the dial was begun that is out
	moved  uint64        // the latest watch that was asked for before discovery's address changed
	turn   uint64        // counts the steps, so that the end of an earlier dial says nothing
	due    *deadline     // of the next step
	cancel context.CancelFunc
}

func newReach(cfg Config) reach {
	atOnce := time.Duration(0)
	if cfg.ListPushed {
		// What discovery has counts at its return, so that the watch has to be back before the grace is over.
		atOnce = max(min(cfg.Settings.Safety.DrainGrace/4, pushedPause), pushedLeast)
	}
	return reach{times: decide.NewReconnectSchedule(cfg.Settings.Seed, max(cfg.Settings.Balancers, 1), atOnce), cancel: func() {}}
}

// lostDiscovery begins the way back, or begins it anew, after an attempt that was begun at some time and has failed.
func (m *Engine) lostDiscovery(begun time.Duration) {
	m.reach.failed = begun
	m.reachAt(m.reach.times.DialAt(begun, m.now), m.dialDiscovery)
}

// reachAt sets the next step.
func (m *Engine) reachAt(at time.Duration, next func()) {
	m.endReach()
	m.reach.step = waiting
	m.reach.due = m.deadlines.set(at, next)
}

// endReach gives up what is under way to discovery, the call that is out apart.
func (m *Engine) endReach() {
	r := &m.reach
	m.deadlines.drop(r.due)
	r.cancel()
	r.step, r.turn = reached, r.turn+1
}

// reachedBy ends the way back, for a watch shows a sign of life: one that stood all the time does as well, as nothing is
// missed. One of the address that was left does not speak for the one that is asked now.
func (m *Engine) reachedBy(watch uint64) {
	if watch > m.reach.moved {
		m.endReach()
	}
}

// dialDiscovery finds out whether discovery is there. A resolver that cannot tell is called at once.
func (m *Engine) dialDiscovery() {
	r := &m.reach
	dialer, ok := m.resolver.(Dialer)
	if !ok {
		m.foundDiscovery()
		return
	}
	r.dialed = m.now
	m.reachAt(m.now+r.times.DialTimeout(), func() { m.lostDiscovery(r.dialed) })
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(m.ctx)
	turn := r.turn
	dialer.Dial(ctx, func(there bool) {
		m.post(func() {
			switch {
			case turn != r.turn:
			case there:
				m.foundDiscovery()
			default:
				m.lostDiscovery(r.dialed)
			}
		})
	})
}

// foundDiscovery spreads the one call that follows.
func (m *Engine) foundDiscovery() {
	m.reachAt(m.reach.times.CallAt(m.reach.failed, m.now), func() {
		m.endReach()
		m.reach.step = calling
		m.askList()
	})
}
