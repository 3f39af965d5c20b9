package core

import "time"

// Times of a planned stop, measured from the call of Drain.
const (
	// drainAcceptWindow is how long new clients are expected to arrive: the platform continues to send them for 0.2 to
	// 0.4 s after it has sent SIGTERM. Clients that remain connected are not migrated all at once before then.
	drainAcceptWindow = 450 * time.Millisecond
	// drainAnswerReserve is how long before the end of the budget all pending requests are answered.
	drainAnswerReserve = 300 * time.Millisecond
	// drainRecheckInterval is the interval between checks whether the drain is complete.
	drainRecheckInterval = 10 * time.Millisecond
	// drainMinDuration is the minimum duration of a planned stop, so that clients that arrive late are served. A smaller
	// budget takes precedence.
	drainMinDuration = 900 * time.Millisecond
)

// drain is the state of a drain, which moves all clients to other balancers. It is either a planned stop, which is
// final, or a lame duck, which LeaveLameDuck can revoke. Clients that arrive early in the drain are served, all
// pending requests are answered, and all established connections are migrated, except for resumable ones in a planned
// stop.
//
// The migrations are spread over time, and in a planned stop they start late. In a rolling restart, the balancer that
// was stopped before this one may not be serving again yet: migrating all clients immediately would leave clients
// without a balancer.
type drain struct {
	// final is set in a planned stop.
	final bool
	// migrateAll says that migrateForDrain was called for all established connections, and that it is called for
	// further ones as soon as they are established.
	migrateAll bool
	// rejectNew says that new requests are answered immediately: those of RestoreConnection fail, others are rejected.
	// Connections to be restored that are resumable are left to the next process.
	rejectNew bool
	// minimumElapsed says that drainMinDuration is over.
	minimumElapsed bool
	// done is closed at the end of a planned stop.
	done chan struct{}
	// closed says that done is closed.
	closed bool
	// recheckTimer starts the next check whether the drain is complete.
	recheckTimer *timer
	// clientsQueued reports whether clients wait to be accepted; nil means never.
	clientsQueued func() bool
	// timers are the scheduled steps.
	timers []*timer
}

// Drain starts a planned stop, which takes at most the given budget, and returns a channel that is closed when the
// stop is complete. While clientsQueued reports that clients wait to be accepted, the stop is not complete until the
// budget is over. A nil clientsQueued means that no clients wait.
//
// Known fault: if a planned stop is already in progress, Drain changes nothing and returns a channel that is never
// closed.
func (e *Engine) Drain(budget time.Duration, clientsQueued func() bool) <-chan struct{} {
	done := make(chan struct{})
	e.post(func() {
		if e.drain != nil && e.drain.final {
			return
		}
		e.cancelDrain() // of a lame duck
		e.drain = &drain{final: true, done: done, clientsQueued: clientsQueued}
		e.setServiceState(Stopping)
		// The last migrations start migrationTimeout before the end of the budget, so that clients that no longer
		// read are disconnected within the budget. This does not hold for a ConnTraits.Linger above migrationTimeout,
		// nor for a budget below migrationTimeout plus drainAcceptWindow.
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

// migrateBetween migrates the established connections one at a time between two times, which are relative to now. At
// the second time it migrates all that remain.
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

// migrateForDrain migrates an established connection, except for a resumable one in a planned stop, which is left
// open for the next process. No process follows a lame duck.
func (c *Call) migrateForDrain() {
	if !c.traits.Resumable || !c.engine.drain.final {
		c.migrate()
	}
}

// rejectAll answers all pending requests and makes the engine reject new ones.
func (e *Engine) rejectAll() {
	e.drain.rejectNew = true
	for c := range e.calls.open {
		c.answerNow()
	}
}

// rejectsNewRequests reports whether a drain has reached the step from which on new requests are rejected.
func (e *Engine) rejectsNewRequests() bool { return e.drain != nil && e.drain.rejectNew }

// finishDrainIfIdle ends a planned stop before its budget is over if all of these conditions hold:
//
//   - drainMinDuration is over.
//   - No client waits to be accepted, and no request is pending.
//   - All open client connections are resumable and have sent their request.
//
// After drainMinDuration it also closes connections that have sent nothing but health checks, so that they do not
// delay the end.
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

// blocksDrain reports whether a planned stop must not end while the client connection is open.
func (c *Call) blocksDrain() bool {
	switch c.phase {
	case phaseAccepted, phasePending:
		return true
	default:
		return !c.traits.Resumable
	}
}

// closeUnusedForDrain closes an accepted client connection that has sent nothing but health checks. It reports true if
// the connection was active too recently to be closed, as its first line may have arrived without being read. A
// connection whose first line has started to arrive stays open. So does one with unread data, for which the
// implementation of ClientConn ignores CloseUnused.
func (c *Call) closeUnusedForDrain() (tooYoung bool) {
	switch {
	case c.lineStarted || c.shed:
		return false
	case c.engine.now-c.lastActivity < minShedAge:
		return true
	default:
		c.shed = true
		c.conn.CloseUnused()
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

// finishDrain reports the end of a planned stop by closing its channel.
func (e *Engine) finishDrain() {
	if !e.drain.closed {
		e.drain.closed = true
		e.rejectAll() // a request may still arrive before the frontends have ended
		close(e.drain.done)
	}
}
