package core

import "time"

// Times of a planned stop, from its signal on.
const (
	drainGrace = 450 * time.Millisecond // new clients go on coming for up to 400 ms
	drainSpare = 300 * time.Millisecond // left of the budget when the last requests are refused
	drainLeast = 900 * time.Millisecond // it does not end sooner, for what comes late
)

// drain is a planned stop: what arrives in the grace is served, all is answered, all standing clients are moved.
// They are moved late, and one after the other: until then they are served as before, some end by themselves, and
// the instances that take them over get them in turn. All at once, and at once, would leave every client of a
// rolling restart without a balancer where the one that was restarted before is not back yet.
type drain struct {
	moving bool // all are sent away, also those that stand from now on
	ending bool // what comes now is refused at once
	least  bool
	done   chan struct{}
	closed bool
}

// Drain begins a planned stop that must be over within budget; the channel closes when it is.
func (m *Module) Drain(budget time.Duration) <-chan struct{} {
	done := make(chan struct{})
	m.post(func() {
		if m.drain != nil {
			return
		}
		m.drain = &drain{done: done}
		last := max(budget-moveWait, drainGrace) // a client that takes nothing is dropped before the budget is over
		first := min(budget/2, last)
		m.deadlines.set(m.now+first, func() {
			n, step := 0, (last-first)/time.Duration(max(len(m.open), 1))
			for c := range m.open {
				n++
				m.deadlines.set(m.now+time.Duration(n)*step, c.sendAway)
			}
		})
		m.deadlines.set(m.now+last, func() {
			m.drain.moving = true
			for c := range m.open {
				c.sendAway()
			}
		})
		m.deadlines.set(m.now+drainLeast, func() {
			m.drain.least = true
			m.drained()
		})
		m.deadlines.set(m.now+budget-drainSpare, func() {
			m.drain.ending = true
			for c := range m.open {
				c.refuse(busyRetry)
			}
		})
		m.deadlines.set(m.now+budget, m.drainOver)
	})
	return done
}

// sendAway ends this process's part in a standing connection. One that the next process can go on with is
// served until the end.
func (c *Call) sendAway() {
	if !c.traits.Resumable {
		c.move()
	}
}

func (m *Module) drainEnds() bool { return m.drain != nil && m.drain.ending }

// drained ends the drain early once no request waits and nothing stands.
func (m *Module) drained() {
	if m.drain == nil || !m.drain.least {
		return
	}
	for c := range m.open {
		if c.phase == pending || c.phase != accepted && !c.traits.Resumable {
			return
		}
	}
	m.drainOver()
}

func (m *Module) drainOver() {
	if !m.drain.closed {
		m.drain.closed = true
		close(m.drain.done)
	}
}
