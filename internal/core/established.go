package core

import (
	"time"

	"cottonplank/decide"
)

const (
	// responseTimeout is how long the server of an established connection may take to respond before the connection
	// is migrated.
	responseTimeout = 3 * time.Second
	// migrationTimeout is how long a client connection may stay open after the client was asked to migrate. It is then
	// aborted, because its client may no longer read. A longer ConnTraits.Linger replaces it. If the frontend calls
	// HalfClosed after it has asked the client, ConnTraits.Linger applies from that call on instead.
	migrationTimeout = 900 * time.Millisecond
)

// migrate asks the client of an established connection to open a new connection.
func (c *Call) migrate() {
	if c.phase != phaseEstablished || c.migrating {
		return
	}
	e := c.engine
	c.migrating = true
	e.statistics.counters.Migrations++
	e.timers.stop(c.responseTimer)
	c.conn.Migrate()
	// A client that no longer reads must not delay the migration. Known fault: closeTimer may already hold a running
	// timer, of the idle timeout or of HalfClosed. That timer is not stopped here, and it cannot be stopped later
	// because closeTimer no longer refers to it. It continues beside the new timer.
	c.closeTimer = e.timers.set(e.now+max(migrationTimeout, c.traits.Linger), c.conn.Abort)
}

// ResponseAwaited reports that the client of an established connection has sent data and the server's response is
// pending. The connection is migrated if no response is reported within responseTimeout.
func (e *Engine) ResponseAwaited(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished && !c.migrating {
			e.timers.stop(c.responseTimer)
			c.responseTimer = e.timers.set(e.now+responseTimeout, c.serverUnresponsive)
		}
	})
}

// ServerResponded reports that the server of an established connection has sent data.
func (e *Engine) ServerResponded(c *Call) {
	e.post(func() {
		e.timers.stop(c.responseTimer)
		c.responseTimer = nil
	})
}

// serverUnresponsive migrates the client of a server that no longer responds although its connection is open. It
// reports a reset to the decision module itself, because TCP may take long to report an error.
func (c *Call) serverUnresponsive() {
	if c.phase == phaseEstablished && !c.migrating {
		c.engine.statistics.counters.Unresponsive++
		c.migrate()
		c.attemptEnded(c.attempt.number, decide.Reset, decide.NoLoadReport)
	}
}

// TrafficSeen reports traffic on an established connection, which restarts its idle timeout. A frontend calls it at
// intervals that are shorter than ConnTraits.Idle, not for each packet.
func (e *Engine) TrafficSeen(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished {
			c.resetIdleTimer()
		}
	})
}

// resetIdleTimer restarts the idle timeout of an established connection, if ConnTraits.Idle sets one.
func (c *Call) resetIdleTimer() {
	if c.traits.Idle <= 0 || c.migrating {
		return
	}
	timers := c.engine.timers
	timers.stop(c.closeTimer)
	c.closeTimer = timers.set(c.engine.now+c.traits.Idle, func() {
		c.conn.Abort()
		// The connection has probably ended normally, which the transport does not show.
		c.attemptEnded(c.attempt.number, decide.OK, decide.NoLoadReport)
	})
}

// HalfClosed reports that the client or the server has closed its side of an established connection. The connection
// is aborted if the other side does not close within ConnTraits.Linger.
func (e *Engine) HalfClosed(c *Call) {
	e.post(func() { c.abortAt(e.now + c.traits.Linger) })
}

// SetLoad reports the current load of an established connection in seconds of work per second.
func (e *Engine) SetLoad(c *Call, load float64) {
	e.post(func() {
		if c.phase == phaseEstablished {
			e.handle(decide.LoadChanged{ID: c.id, Load: load})
		}
	})
}
