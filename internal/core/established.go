package core

import (
	"time"

	"cottonplank/decide"
)

const (
	// responseTimeout is when an established connection is migrated because its server does not respond.
	responseTimeout = 3 * time.Second
	// migrationTimeout is when a client that was asked to migrate is disconnected if it reads nothing any
	// more.
	migrationTimeout = 900 * time.Millisecond
)

// migrate asks the client of an established connection to reconnect elsewhere.
func (c *Call) migrate() {
	if c.phase != phaseEstablished || c.migrating {
		return
	}
	e := c.engine
	c.migrating = true
	e.statistics.counters.Migrations++
	e.timers.stop(c.responseTimer)
	c.conn.Migrate()
	// A client that reads nothing any more must not hold up the migration. An idle timer goes on beside this
	// one.
	c.closeTimer = e.timers.set(e.now+max(migrationTimeout, c.traits.Linger), c.conn.Abort)
}

// ResponseAwaited reports that the client of an established connection has sent something that the server has
// not answered yet. Without a response the connection is migrated after responseTimeout.
func (e *Engine) ResponseAwaited(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished && !c.migrating {
			e.timers.stop(c.responseTimer)
			c.responseTimer = e.timers.set(e.now+responseTimeout, c.serverUnresponsive)
		}
	})
}

// ServerResponded reports that the server of an established connection has sent something.
func (e *Engine) ServerResponded(c *Call) {
	e.post(func() {
		e.timers.stop(c.responseTimer)
		c.responseTimer = nil
	})
}

// serverUnresponsive migrates the client of a server that has vanished without closing the connection. The
// decision module is notified of a reset, as TCP may report nothing for a long time.
func (c *Call) serverUnresponsive() {
	if c.phase == phaseEstablished && !c.migrating {
		c.engine.statistics.counters.Unresponsive++
		c.migrate()
		c.attemptEnded(c.attempt.number, decide.Reset, decide.NoLoadReport)
	}
}

// TrafficSeen reports traffic on an established connection. A frontend calls it now and then, not for each
// packet.
func (e *Engine) TrafficSeen(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished {
			c.resetIdleTimer()
		}
	})
}

// resetIdleTimer restarts the idle timeout of an established connection, if its frontend wants one.
func (c *Call) resetIdleTimer() {
	if c.traits.Idle <= 0 || c.migrating {
		return
	}
	timers := c.engine.timers
	timers.stop(c.closeTimer)
	c.closeTimer = timers.set(c.engine.now+c.traits.Idle, func() {
		c.conn.Abort()
		// The likely cause is a regular end that the transport does not show.
		c.attemptEnded(c.attempt.number, decide.OK, decide.NoLoadReport)
	})
}

// HalfClosed reports that one side of an established connection has closed. The other side is aborted if it
// does not follow within ConnTraits.Linger.
func (e *Engine) HalfClosed(c *Call) {
	e.post(func() { c.abortAt(e.now + c.traits.Linger) })
}

// SetLoad reports the present load of an established connection in seconds of work per second.
func (e *Engine) SetLoad(c *Call, load float64) {
	e.post(func() {
		if c.phase == phaseEstablished {
			e.handle(decide.LoadChanged{ID: c.id, Load: load})
		}
	})
}
