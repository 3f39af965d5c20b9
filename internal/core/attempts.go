package core

import (
	"time"

	"cottonplank/decide"
)

// connectSlack is added to the configured connect timeout, to allow for scheduling delays on this machine.
const connectSlack = 20 * time.Millisecond

// noAttempt is the attempt number before the first attempt.
const noAttempt = -1

// attemptState is the latest attempt of a call.
type attemptState struct {
	// number counts the attempts of the request from 0; noAttempt before the first.
	number int
	// active is set from the attempt's start to its end. An attempt that establishes a connection ends with that
	// connection.
	active   bool
	upstream *upstreamState
	started  time.Duration
	timeout  time.Duration
	// connectTimer expires when connecting to the server takes too long.
	connectTimer *timer
	// timer expires if the attempt is not accepted within timeout.
	timer *timer
}

// startAttempt executes the action StartAttempt of the decision module. An attempt at a server that the engine no
// longer knows ends immediately with code decide.NotSent.
func (e *Engine) startAttempt(action decide.StartAttempt) {
	c := e.calls.byID[action.ID]
	if c == nil {
		return
	}
	u := e.upstreams.byID[action.Server]
	if u == nil {
		c.attempt.number++
		e.handle(decide.AttemptEnded{ID: action.ID, Attempt: c.attempt.number, Server: action.Server,
			Code: decide.NotSent, Report: decide.NoLoadReport})
		return
	}
	c.startAttempt(u, action.Timeout)
}

// startAttempt starts the next attempt of the request.
func (c *Call) startAttempt(u *upstreamState, timeout time.Duration) {
	e := c.engine
	n := c.attempt.number + 1
	c.attempt = attemptState{number: n, active: true, upstream: u, started: e.now, timeout: timeout}
	u.attempts++
	e.calls.attempting[c] = struct{}{}
	c.attempt.timer = e.timers.set(e.now+timeout, func() { c.cancelAttempt(n, decide.TimedOut) })
	if connect := e.connectTimeout(u, timeout); connect < timeout {
		c.attempt.connectTimer = e.timers.set(e.now+connect, func() { c.cancelAttempt(n, decide.ConnectFailed) })
	}
	c.conn.StartAttempt(Attempt{Number: n, Upstream: u.Upstream, Timeout: timeout})
}

// connectTimeout returns how long connecting to a server may take in an attempt with the given timeout. If the server
// is in its drain grace, connecting may take at most the rest of the grace, because no request may be sent to the
// server after that.
func (e *Engine) connectTimeout(u *upstreamState, timeout time.Duration) time.Duration {
	connect := timeout
	if configured := e.cfg.Settings.ConnectTimeout; configured > 0 && configured < timeout {
		connect = configured + connectSlack
	}
	if graceEnd, draining := e.drainGraceEnd(u); draining {
		connect = min(connect, graceEnd-e.now)
	}
	return connect
}

// isActiveAttempt reports whether attempt n is active. Only the latest attempt can be active.
func (c *Call) isActiveAttempt(n int) bool {
	return c.attempt.active && c.attempt.number == n
}

// isPendingAttempt reports whether n is the active attempt of a pending request.
func (c *Call) isPendingAttempt(n int) bool {
	return c.isActiveAttempt(n) && c.phase == phasePending
}

// cancelAttempt cancels an attempt that has timed out. The attempt stays active until the client connection has
// reported how it ended, so that a request never has two active attempts. The engine cannot determine the outcome
// itself: the request may have been sent to the server just now, with the report still in the inbox.
func (c *Call) cancelAttempt(n int, why decide.Code) {
	if c.isPendingAttempt(n) {
		c.conn.CancelAttempt(n, why)
	}
}

// AttemptDialed reports that attempt n has connected to the server. Its request is not sent yet.
func (e *Engine) AttemptDialed(c *Call, n int) {
	e.post(func() { c.stopConnectTimer(n) })
}

// AttemptSent reports that the request of attempt n was written completely. ClassCounters.Attempts counts the attempt
// even if the request has got its final answer in the meantime, because the server receives the request anyway.
func (e *Engine) AttemptSent(c *Call, n int) {
	e.post(func() {
		if counters := c.classCounters(); counters != nil {
			counters.Attempts++
		}
		c.stopConnectTimer(n)
	})
}

// stopConnectTimer stops the connect timer of attempt n, unless that attempt has ended.
func (c *Call) stopConnectTimer(n int) {
	if c.isActiveAttempt(n) {
		c.engine.timers.stop(c.attempt.connectTimer)
	}
}

// AttemptAccepted reports that the server has accepted attempt n. It is ignored unless n is the active
// attempt of a pending request.
func (e *Engine) AttemptAccepted(c *Call, n int) {
	e.post(func() {
		if c.isPendingAttempt(n) {
			c.establish()
		}
	})
}

// establish passes the server's answer to the client and notifies the decision module.
func (c *Call) establish() {
	e := c.engine
	c.stopAttemptTimers()
	c.phase = phaseEstablished
	delete(e.calls.attempting, c)
	e.calls.pending--
	e.calls.established++
	c.attempt.upstream.connections++
	c.resetIdleTimer()
	c.conn.Establish(c.attempt.number)
	if c.request.Resumer != nil {
		e.statistics.counters.Resumed++
	}
	if counters := c.classCounters(); counters != nil {
		counters.Served++
	}
	if c.restore.active {
		c.connectionRestored()
	} else {
		e.handle(decide.Established{ID: c.id, Attempt: c.attempt.number, Server: c.attempt.upstream.ID,
			Elapsed: e.now - c.attempt.started})
	}
	if e.drain != nil && e.drain.migrateAll {
		c.migrateForDrain()
	}
}

// AttemptEnded reports how attempt n, or the connection that it established, ended. The transport to the server must
// be closed already.
func (e *Engine) AttemptEnded(c *Call, n int, code decide.Code, report decide.LoadReport) {
	e.post(func() { c.attemptEnded(n, code, report) })
}

// attemptEnded ends an attempt. It does nothing if the attempt has ended already.
func (c *Call) attemptEnded(n int, code decide.Code, report decide.LoadReport) {
	if !c.isActiveAttempt(n) {
		return
	}
	e := c.engine
	c.attempt.active = false
	delete(e.calls.attempting, c)
	c.stopAttemptTimers()
	final := c.phase != phasePending
	if c.phase == phaseEstablished {
		c.attempt.upstream.connections--
		c.phase, c.lastActivity = phaseFinished, e.now
		e.calls.established--
		e.upstreams.deleteUnused(c.attempt.upstream)
	}
	if c.restore.active && !final {
		c.retryRestore()
		return
	}
	if final {
		delete(e.calls.byID, c.id)
	}
	e.handle(decide.AttemptEnded{
		ID:      c.id,
		Attempt: n - c.restore.successfulAttempt,
		Server:  c.attempt.upstream.ID,
		Code:    code,
		Final:   final,
		Elapsed: e.now - c.attempt.started,
		Report:  report,
	})
}

// stopAttemptTimers stops all timers of the latest attempt.
func (c *Call) stopAttemptTimers() {
	timers := c.engine.timers
	timers.stop(c.attempt.connectTimer)
	timers.stop(c.attempt.timer)
	timers.stop(c.responseTimer)
	timers.stop(c.stateTimer)
	c.attempt.connectTimer, c.attempt.timer, c.responseTimer, c.stateTimer = nil, nil, nil, nil
}
