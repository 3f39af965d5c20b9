package core

import (
	"errors"
	"time"

	"cottonplank/decide"
)

// Times of a planned stop, from its signal on.
const (
	drainAcceptWindow    = 450 * time.Millisecond // new clients go on coming for up to 400 ms
	drainAnswerReserve   = 300 * time.Millisecond // left of the budget when the last requests are refused
	drainRecheckInterval = 10 * time.Millisecond  // apart, looks at whether clients wait to be accepted
	drainMinDuration     = 900 * time.Millisecond // it does not end sooner, for what comes late
)

// Times of a lame duck, from the call on.
const (
	lameDuckMigrationStart = 500 * time.Millisecond  // the front still sends clients for a while after the first no
	lameDuckMigrationEnd   = 2500 * time.Millisecond // all are moved by then, and those that take nothing dropped 0.9 s later
)

var errStopping = errors.New("stopping")

// drain sends all clients away: in a planned stop, which is final, or as a lame duck, which may be called back. What
// arrives at first is served, all is answered, all standing clients are moved, one after the other: the instances
// that take them over get them in turn. A stop moves them late. All at once, and at once, would leave every client of a
// rolling restart without a balancer where the one that was restarted before is not back yet.
type drain struct {
	final          bool
	migrateAll     bool // all are sent away, also those that stand from now on
	rejectNew      bool // what comes now is refused at once
	minimumElapsed bool
	done           chan struct{} // of a stop
	closed         bool
	recheckTimer   *timer      // the next look at whether it is over
	clientsQueued  func() bool // tells whether clients wait to be accepted; nil: none do
	timers         []*timer    // its steps, which a call back takes back
}

// scheduleDrainStep sets one step of the drain.
func (e *Engine) scheduleDrainStep(after time.Duration, do func()) {
	e.drain.timers = append(e.drain.timers, e.timers.set(e.now+after, do))
}

// cancelDrain takes back what a lame duck still had to do.
func (e *Engine) cancelDrain() {
	if e.drain != nil {
		for _, d := range e.drain.timers {
			e.timers.stop(d)
		}
	}
	e.drain = nil
}

// migrateBetween paces the moves of what stands.
func (e *Engine) migrateBetween(first, last time.Duration) {
	e.scheduleDrainStep(first, func() {
		n, pause := 0, (last-first)/time.Duration(max(len(e.openCalls), 1))
		for c := range e.openCalls {
			n++
			e.scheduleDrainStep(time.Duration(n)*pause, c.migrateForDrain)
		}
	})
	e.scheduleDrainStep(last, func() {
		e.drain.migrateAll = true
		for c := range e.openCalls {
			c.migrateForDrain()
		}
	})
}

// rejectAll answers what waits and what comes from now on.
func (e *Engine) rejectAll() {
	e.drain.rejectNew = true
	for c := range e.openCalls {
		c.answerNow()
	}
}

// answerNow gives the final answer ahead of its time. Whether it may say that trying again is harmless is the decision
// module's to tell, as an attempt may have run.
func (c *Call) answerNow() {
	switch {
	case c.phase != phasePending:
	case c.reopened:
		c.fail() // its attempt is one at a room server that held the connection before
	default:
		c.engine.handle(decide.RequestExpired{ID: c.id})
	}
}

// Drain begins a planned stop that must be over within budget; the channel closes when it is, no sooner than waits tells
// that no client waits to be accepted, if there is time.
func (e *Engine) Drain(budget time.Duration, waits func() bool) <-chan struct{} {
	done := make(chan struct{})
	e.post(func() {
		if e.drain != nil && e.drain.final {
			return
		}
		e.cancelDrain() // a lame duck's steps: the stop has its own, and goes on from there
		e.drain = &drain{final: true, done: done, clientsQueued: waits}
		e.setServiceState(Stopping)
		last := max(budget-migrationTimeout, drainAcceptWindow) // a client that takes nothing is dropped before the budget is over
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

// EnterLameDuck sends all clients away while the process stays: new ones are served for a while, and refused once all are
// moved. Called again, or in a stop, it changes nothing.
func (e *Engine) EnterLameDuck(within time.Duration) error {
	return e.await(within, func() {
		if e.drain != nil {
			return
		}
		e.drain = &drain{}
		e.setServiceState(LameDuck)
		e.migrateBetween(lameDuckMigrationStart, lameDuckMigrationEnd)
		e.scheduleDrainStep(lameDuckMigrationEnd, e.rejectAll)
	})
}

// LeaveLameDuck calls a lame duck back: whom it has not sent away yet stays. A stop is final.
func (e *Engine) LeaveLameDuck(within time.Duration) error {
	var refused error
	if err := e.await(within, func() {
		switch {
		case e.drain == nil:
		case e.drain.final:
			refused = errStopping
		default:
			e.cancelDrain()
			e.setServiceState(Serving)
		}
	}); err != nil {
		return err
	}
	return refused
}

// migrateForDrain ends this process's part in a standing connection. At a stop, one that the next process can go on with is
// served until the end; a lame duck has no next process.
func (c *Call) migrateForDrain() {
	if !c.traits.Resumable || !c.engine.drain.final {
		c.migrate()
	}
}

func (e *Engine) rejectsNewRequests() bool { return e.drain != nil && e.drain.rejectNew }

// finishDrainIfIdle ends the stop early once no client waits to be accepted, no first line is on its way, no request waits and
// nothing stands.
func (e *Engine) finishDrainIfIdle() {
	if e.drain == nil || !e.drain.minimumElapsed || e.drain.closed {
		return
	}
	over, again := true, false
	for c := range e.openCalls {
		switch c.phase {
		case phaseAccepted:
			over = false
			// One that has said nothing is closed. Guards a line that is here and was not read yet: the channel looks, and
			// stays then, as one does whose line has begun to come.
			switch {
			case c.lineStarted || c.shed:
			case e.now-c.lastActivity < minShedAge:
				again = true
			default:
				c.shed = true
				c.conn.Abort()
			}
		case phasePending:
			over = false
		default:
			over = over && c.traits.Resumable
		}
	}
	if over && e.drain.clientsQueued != nil && e.drain.clientsQueued() { // they are accepted in a moment
		over, again = false, true
	}
	if over {
		e.finishDrain()
	} else if again && e.drain.recheckTimer == nil {
		e.drain.recheckTimer = e.timers.set(e.now+drainRecheckInterval, func() {
			e.drain.recheckTimer = nil
			e.finishDrainIfIdle()
		})
	}
}

func (e *Engine) finishDrain() {
	if !e.drain.closed {
		e.drain.closed = true
		close(e.drain.done)
	}
}
