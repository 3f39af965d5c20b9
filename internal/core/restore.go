package core

import (
	"time"

	"cottonplank/decide"
)

// restoreRetryInterval is the interval between attempts to restore a connection.
const restoreRetryInterval = 250 * time.Millisecond

// restoreState describes a connection that was established before this process started and is opened again.
// Its zero value belongs to all other calls.
type restoreState struct {
	active bool
	server decide.ServerID
	// deadline is when the attempts end.
	deadline time.Duration
	// firstAttempt is the attempt that restored the connection; the decision module counts it as attempt 0.
	firstAttempt int
}

// RestoreConnection reopens a connection that was established before this process started, at the same server
// and at no other. It tries for the time of patience, also while the server is not listed; after that the
// request fails.
func (e *Engine) RestoreConnection(c *Call, r Request, server decide.ServerID, patience time.Duration) {
	e.post(func() {
		if c.phase != phaseAccepted || !c.bindRequest(r) {
			return
		}
		c.restore = restoreState{active: true, server: server, deadline: e.now + patience}
		c.tryRestore()
	})
}

// tryRestore starts an attempt at the server, or schedules one if the server accepts none now.
func (c *Call) tryRestore() {
	if c.phase != phasePending {
		return
	}
	e := c.engine
	u := e.upstreams.byID[c.restore.server]
	if u == nil || e.closedToAttempts(u) {
		c.retryRestore()
		return
	}
	c.startAttempt(u, max(c.restore.deadline-e.now, restoreRetryInterval))
}

// retryRestore schedules the next attempt, or fails the request after the deadline.
func (c *Call) retryRestore() {
	e := c.engine
	if e.now >= c.restore.deadline {
		c.fail()
		return
	}
	c.closeTimer = e.timers.set(min(e.now+restoreRetryInterval, c.restore.deadline), c.tryRestore)
}

// connectionRestored notifies the decision module of a restored connection.
func (c *Call) connectionRestored() {
	e := c.engine
	e.statistics.counters.Restored++
	c.restore.firstAttempt = c.attempt.number
	c.register()
	e.handle(decide.ConnectionRestored{Request: c.requestArrived(), Server: c.attempt.upstream.ID})
}
