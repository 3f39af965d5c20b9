package core

import (
	"errors"
	"time"

	"cottonplank/decide"
)

// Times of a planned stop, from its signal on.
const (
	drainGrace = 450 * time.Millisecond // new clients go on coming for up to 400 ms
	drainSpare = 300 * time.Millisecond // left of the budget when the last requests are refused
	drainLook  = 10 * time.Millisecond  // apart, looks at whether clients wait to be accepted
	drainLeast = 900 * time.Millisecond // it does not end sooner, for what comes late
)

// Times of a lame duck, from the call on.
const (
	lameFirst = 500 * time.Millisecond  // the front still sends clients for a while after the first no
	lameLast  = 2500 * time.Millisecond // all are moved by then, and those that take nothing dropped 0.9 s later
)

var errStopping = errors.New("stopping")

// drain sends all clients away: in a planned stop, which is final, or as a lame duck, which may be called back. What
// arrives at first is served, all is answered, all standing clients are moved, one after the other: the instances
// that take them over get them in turn. A stop moves them late. All at once, and at once, would leave every client of a
// rolling restart without a balancer where the one that was restarted before is not back yet.
type drain struct {
	final  bool
	moving bool // all are sent away, also those that stand from now on
	ending bool // what comes now is refused at once
	least  bool
	done   chan struct{} // of a stop
	closed bool
	look   *deadline   // the next look at whether it is over
	waits  func() bool // tells whether clients wait to be accepted; nil: none do
	due    []*deadline // its steps, which a call back takes back
}

// step sets one step of the drain.
func (m *Engine) step(after time.Duration, do func()) {
	m.drain.due = append(m.drain.due, m.deadlines.set(m.now+after, do))
}

// calledBack takes back what a lame duck still had to do.
func (m *Engine) calledBack() {
	if m.drain != nil {
		for _, d := range m.drain.due {
			m.deadlines.drop(d)
		}
	}
	m.drain = nil
}

// moveBetween paces the moves of what stands.
func (m *Engine) moveBetween(first, last time.Duration) {
	m.step(first, func() {
		n, pause := 0, (last-first)/time.Duration(max(len(m.open), 1))
		for c := range m.open {
			n++
			m.step(time.Duration(n)*pause, c.sendAway)
		}
	})
	m.step(last, func() {
		m.drain.moving = true
		for c := range m.open {
			c.sendAway()
		}
	})
}

// refuseAll answers what waits and what comes from now on.
func (m *Engine) refuseAll() {
	m.drain.ending = true
	for c := range m.open {
		c.answerNow()
	}
}

// answerNow gives the final answer ahead of its time. Whether it may say that trying again is harmless is the decision
// module's to tell, as an attempt may have run.
func (c *Call) answerNow() {
	switch {
	case c.phase != pending:
	case c.reopened:
		c.fail() // its attempt is one at a room server that held the connection before
	default:
		c.m.handle(decide.RequestExpired{ID: c.id})
	}
}

// Drain begins a planned stop that must be over within budget; the channel closes when it is, no sooner than waits tells
// that no client waits to be accepted, if there is time.
func (m *Engine) Drain(budget time.Duration, waits func() bool) <-chan struct{} {
	done := make(chan struct{})
	m.post(func() {
		if m.drain != nil && m.drain.final {
			return
		}
		m.calledBack() // a lame duck's steps: the stop has its own, and goes on from there
		m.drain = &drain{final: true, done: done, waits: waits}
		m.enter(Stopping)
		last := max(budget-moveWait, drainGrace) // a client that takes nothing is dropped before the budget is over
		m.moveBetween(min(budget/2, last), last)
		m.step(drainLeast, func() {
			m.drain.least = true
			m.drained()
		})
		m.step(budget-drainSpare, m.refuseAll)
		m.step(budget, m.drainOver)
	})
	return done
}

// EnterLameDuck sends all clients away while the process stays: new ones are served for a while, and refused once all are
// moved. Called again, or in a stop, it changes nothing.
func (m *Engine) EnterLameDuck(within time.Duration) error {
	return m.await(within, func() {
		if m.drain != nil {
			return
		}
		m.drain = &drain{}
		m.enter(LameDuck)
		m.moveBetween(lameFirst, lameLast)
		m.step(lameLast, m.refuseAll)
	})
}

// LeaveLameDuck calls a lame duck back: whom it has not sent away yet stays. A stop is final.
func (m *Engine) LeaveLameDuck(within time.Duration) error {
	var refused error
	if err := m.await(within, func() {
		switch {
		case m.drain == nil:
		case m.drain.final:
			refused = errStopping
		default:
			m.calledBack()
			m.enter(Serving)
		}
	}); err != nil {
		return err
	}
	return refused
}

// sendAway ends this process's part in a standing connection. At a stop, one that the next process can go on with is
// served until the end; a lame duck has no next process.
func (c *Call) sendAway() {
	if !c.traits.Resumable || !c.m.drain.final {
		c.move()
	}
}

func (m *Engine) drainEnds() bool { return m.drain != nil && m.drain.ending }

// drained ends the stop early once no client waits to be accepted, no first line is on its way, no request waits and
// nothing stands.
func (m *Engine) drained() {
	if m.drain == nil || !m.drain.least || m.drain.closed {
		return
	}
	over, again := true, false
	for c := range m.open {
		switch c.phase {
		case accepted:
			over = false
			// One that has said nothing is closed. Guards a line that is here and was not read yet: the channel looks, and
			// stays then, as one does whose line has begun to come.
			switch {
			case c.begun || c.dropped:
			case m.now-c.since < shedAfter:
				again = true
			default:
				c.dropped = true
				c.ch.Abort()
			}
		case pending:
			over = false
		default:
			over = over && c.traits.Resumable
		}
	}
	if over && m.drain.waits != nil && m.drain.waits() { // they are accepted in a moment
		over, again = false, true
	}
	if over {
		m.drainOver()
	} else if again && m.drain.look == nil {
		m.drain.look = m.deadlines.set(m.now+drainLook, func() {
			m.drain.look = nil
			m.drained()
		})
	}
}

func (m *Engine) drainOver() {
	if !m.drain.closed {
		m.drain.closed = true
		close(m.drain.done)
	}
}
