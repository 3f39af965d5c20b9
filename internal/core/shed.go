package core

import "time"

// minShedAge is how long a client connection must have been inactive before it is shed or, in a drain, closed: the
// first line of a connection that was accepted more recently is probably still in transit.
const minShedAge = 10 * time.Millisecond

// ShedIdle reports that a frontend is short of file descriptors. The engine closes the longest-inactive client
// connection that has not sent a request or whose call has finished. This keeps clients that open many connections
// and send nothing from using the descriptors that regular clients and connections to servers need.
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
			victim.closeIdle()
		}
	})
}

// closeIdle closes a connection that has not sent a request or whose call has finished.
func (c *Call) closeIdle() {
	if c.phase == phaseAccepted {
		c.conn.CloseUnused()
	} else {
		c.conn.Abort()
	}
}

// isSheddable reports whether the client connection may be shed.
func (c *Call) isSheddable() bool {
	return c.traits.Descriptor && !c.shed &&
		(c.phase == phaseAccepted || c.phase == phaseFinished) &&
		c.engine.now-c.lastActivity >= minShedAge
}

// shedsBefore reports whether the client connection is shed before another one. Connections whose first line has
// started to arrive are shed last; otherwise the connection that has been inactive for longer is shed first.
func (c *Call) shedsBefore(other *Call) bool {
	mine, others := c.isReceivingLine(), other.isReceivingLine()
	if mine != others {
		return others
	}
	return c.lastActivity < other.lastActivity
}

// isReceivingLine reports whether the first line has started to arrive but is incomplete.
func (c *Call) isReceivingLine() bool { return c.phase == phaseAccepted && c.lineStarted }
