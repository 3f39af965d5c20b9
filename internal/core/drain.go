package core

import "time"

// Times of a planned stop, from the call of Drain on.
const (
	// drainAcceptWindow is the least time before the last clients are migrated: new ones still arrive for up
	// to 400 ms.
	drainAcceptWindow = 450 * time.Millisecond
	// drainAnswerReserve is the part of the budget that remains when the last pending requests are answered.
	drainAnswerReserve = 300 * time.Millisecond
	// drainRecheckInterval is the interval between checks whether clients still wait to be accepted.
	drainRecheckInterval = 10 * time.Millisecond
	// drainMinDuration is the least duration of a drain, for clients that arrive late.
	drainMinDuration = 900 * time.Millisecond
)

// drain sends all clients to other balancers: in a planned stop, which is final, or as a lame duck, which may
// be revoked. Clients that arrive at first are served, all pending requests are answered, and all established
// connections are migrated. The migrations are spread over time, and in a planned stop they begin late:
// migrating all clients at once, at the signal, would leave clients without a balancer in a rolling restart
// whose previous balancer is not back yet.
type drain struct {
	// final is set in a planned stop.
	final bool
	// migrateAll says that all connections were migrated and that new ones are migrated as soon as they are
	// established.
	migrateAll bool
	// rejectNew says that new requests are rejected at once.
	rejectNew bool
	// minimumElapsed says that drainMinDuration is over.
	minimumElapsed bool
	// done is closed at the end of a planned stop.
	done chan struct{}
	// closed says that done is closed.
	closed bool
	// recheckTimer starts the next check whether the drain is complete.
	recheckTimer *timer
	// clientsQueued reports whether clients wait to be accepted; nil means that none do.
	clientsQueued func() bool
	// timers are the scheduled steps.
	timers []*timer
}

// Drain starts a planned stop that lasts at most for the given budget. The returned channel is closed when it
// is complete. While clientsQueued reports that clients wait to be accepted the drain goes on, within the
// budget; nil means that none do. If a planned stop is in progress already, Drain changes nothing and its
// channel is never closed.
func (e *Engine) Drain(budget time.Duration, clientsQueued func() bool) <-chan struct{} {
	done := make(chan struct{})
	e.post(func() {
		if e.drain != nil && e.drain.final {
			return
		}
		e.cancelDrain() // of a lame duck
		e.drain = &drain{final: true, done: done, clientsQueued: clientsQueued}
		e.setServiceState(Stopping)
		// A client that reads nothing any more is disconnected before the budget is over.
		last := max(budget-migrationTimeout, drainAcceptWindow)
		e.migrateBetween(min(budget/2, last), last)
		e.scheduleDrainStep(drainMinDuration, func() {
			e.drain.minimumElapsed = true
			e.finishDrainIfIdle()
		})
		e.scheduleDrainStep(budget-drainAnswerReserve, e.rejectAll)
		e.scheduleDrainStep(budget, e.finishDrain)
	})
	return done
}

// scheduleDrainStep schedules a step of the drain in progress.
func (e *Engine) scheduleDrainStep(after time.Duration, run func()) {
	e.drain.timers = append(e.drain.timers, e.timers.set(e.now+after, run))
}

// cancelDrain ends the drain in progress, if there is one, and cancels its remaining steps.
func (e *Engine) cancelDrain() {
	if e.drain != nil {
		for _, t := range e.drain.timers {
			e.timers.stop(t)
		}
	}
	e.drain = nil
}

// migrateBetween spreads the migration of all established connections between two times from now.
func (e *Engine) migrateBetween(first, last time.Duration) {
	e.scheduleDrainStep(first, func() {
		interval := (last - first) / time.Duration(max(len(e.calls.open), 1))
		position := 0
		for c := range e.calls.open {
			position++
			e.scheduleDrainStep(time.Duration(position)*interval, c.migrateForDrain)
		}
	})
	e.scheduleDrainStep(last, func() {
		e.drain.migrateAll = true
		for c := range e.calls.open {
			c.migrateForDrain()
		}
	})
}

// migrateForDrain migrates an established connection. A planned stop leaves resumable connections to the next
// process; a lame duck has no next process.
func (c *Call) migrateForDrain() {
	if !c.traits.Resumable || !c.engine.drain.final {
		c.migrate()
	}
}

// rejectAll answers all pending requests and rejects new ones from now on.
func (e *Engine) rejectAll() {
	e.drain.rejectNew = true
	for c := range e.calls.open {
		c.answerNow()
	}
}

// rejectsNewRequests reports whether a drain has come to the point where new requests are rejected.
func (e *Engine) rejectsNewRequests() bool { return e.drain != nil && e.drain.rejectNew }

// finishDrainIfIdle ends a planned stop before its budget is over, once no client waits to be accepted, no
// first line is awaited, no request is pending, and all connections that remain are resumable.
func (e *Engine) finishDrainIfIdle() {
	if e.drain == nil || !e.drain.minimumElapsed || e.drain.closed {
		return
	}
	idle, recheck := true, false
	for c := range e.calls.open {
		if c.blocksDrain() {
			idle = false
		}
		if c.phase == phaseAccepted && c.closeUnusedForDrain() {
			recheck = true
		}
	}
	if idle && e.drain.clientsQueued != nil && e.drain.clientsQueued() {
		idle, recheck = false, true
	}
	if idle {
		e.finishDrain()
	} else if recheck {
		e.scheduleDrainRecheck()
	}
}

// blocksDrain reports whether a planned stop must not end before this call.
func (c *Call) blocksDrain() bool {
	switch c.phase {
	case phaseAccepted, phasePending:
		return true
	default:
		return !c.traits.Resumable
	}
}

// closeUnusedForDrain closes an accepted client connection that has sent nothing. It reports true if the
// connection is too young for that, as its first line may not be read yet. The implementation of ClientConn
// checks for unread data too and keeps the connection open then, as for one whose first line has started to
// arrive.
func (c *Call) closeUnusedForDrain() (tooYoung bool) {
	switch {
	case c.lineStarted || c.shed:
		return false
	case c.engine.now-c.lastActivity < minShedAge:
		return true
	default:
		c.shed = true
		c.conn.Abort()
		return false
	}
}

// scheduleDrainRecheck calls finishDrainIfIdle again after drainRecheckInterval.
func (e *Engine) scheduleDrainRecheck() {
	if e.drain.recheckTimer != nil {
		return
	}
	e.drain.recheckTimer = e.timers.set(e.now+drainRecheckInterval, func() {
		e.drain.recheckTimer = nil
		e.finishDrainIfIdle()
	})
}

// finishDrain reports the end of a planned stop.
func (e *Engine) finishDrain() {
	if !e.drain.closed {
		e.drain.closed = true
		close(e.drain.done)
	}
}
