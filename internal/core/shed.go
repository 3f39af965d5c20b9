package core

import "time"

// minShedAge is how long a client connection must have been inactive before it is shed: the first line of a
// younger one is probably on its way.
const minShedAge = 10 * time.Millisecond

// ShedIdle reports that a frontend is short of file descriptors. The client connection that has been inactive
// longest is aborted, out of those that have requested nothing and those that linger after their answer. This
// protects regular clients, upstream connections and probes from clients that open many connections and send
// nothing.
func (e *Engine) ShedIdle() {
	e.post(func() {
		var victim *Call
		for c := range e.calls.open {
			if c.isSheddable() && (victim == nil || c.shedsBefore(victim)) {
				victim = c
			}
		}
		if victim != nil {
			victim.shed = true
			e.statistics.counters.Shed++
			victim.conn.Abort()
		}
	})
}

// isSheddable reports whether the client connection may be shed.
func (c *Call) isSheddable() bool {
	return c.traits.Descriptor && !c.shed &&
		(c.phase == phaseAccepted || c.phase == phaseFinished) &&
		c.engine.now-c.lastActivity >= minShedAge
}

// shedsBefore reports whether the client connection is shed before another one: those whose first line has
// started to arrive come last, otherwise the one that has been inactive longest comes first.
func (c *Call) shedsBefore(other *Call) bool {
	mine, others := c.isReceivingLine(), other.isReceivingLine()
	if mine != others {
		return others
	}
	return c.lastActivity < other.lastActivity
}

// isReceivingLine reports whether the first line has started to arrive but is incomplete.
func (c *Call) isReceivingLine() bool { return c.phase == phaseAccepted && c.lineStarted }
