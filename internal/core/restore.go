package core

import (
	"time"

	"cottonplank/decide"
)

// restoreRetryInterval is the interval between attempts to restore a connection.
const restoreRetryInterval = 250 * time.Millisecond

// restoreState is the state of a call that was opened by RestoreConnection. It is the zero value for all other calls.
type restoreState struct {
	active bool
	server decide.ServerID
	// deadline is the latest time at which an attempt is started. An attempt may run until the deadline, or for
	// restoreRetryInterval if that is longer. The request fails if, after the deadline, the connection is not restored
	// and no attempt is running.
	deadline time.Duration
	// successfulAttempt is the number of the attempt that restored the connection. The decision module counts that
	// attempt as attempt 0.
	successfulAttempt int
}

// RestoreConnection reconnects a client to the server of a connection that is unknown to this process, usually because
// an earlier process established it. It tries only the given server and waits while that server is not listed. The
// request fails if no attempt has succeeded when patience is over.
func (e *Engine) RestoreConnection(c *Call, r Request, server decide.ServerID, patience time.Duration) {
	e.post(func() {
		if c.phase != phaseAccepted || !c.bindRequest(r) {
			return
		}
		c.restore = restoreState{active: true, server: server, deadline: e.now + patience}
		if e.rejectsNewRequests() && !c.traits.Resumable {
			c.answerNow()
			return
		}
		c.tryRestore()
	})
}

// tryRestore starts an attempt at the server. If the server is unknown or may not get requests now, it schedules a
// retry.
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

// retryRestore schedules the next attempt, or fails the request if the deadline is over.
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
	c.restore.successfulAttempt = c.attempt.number
	c.register()
	e.handle(decide.ConnectionRestored{Request: c.requestArrived(), Server: c.attempt.upstream.ID})
}
