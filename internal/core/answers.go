package core

import (
	"time"

	"cottonplank/decide"
)

// claimFinalAnswer ends the wait for the final answer. It reports true once for each request: the caller then
// gives the answer.
func (c *Call) claimFinalAnswer() bool {
	if c.phase != phasePending {
		return false
	}
	e := c.engine
	c.phase, c.lastActivity = phaseFinished, e.now
	e.calls.pending--
	c.closeTimer = e.timers.set(e.now+c.traits.Linger, c.conn.Abort)
	return true
}

// reject answers that the request was not executed and may be retried, after retryAfter as far as the
// settings allow it.
func (c *Call) reject(retryAfter time.Duration) {
	retryAfter = min(retryAfter, c.engine.cfg.Settings.MaxRetryAfter)
	if !c.claimFinalAnswer() {
		return
	}
	if counters := c.classCounters(); counters != nil {
		counters.Rejected++
	}
	c.conn.Reject(retryAfter)
	c.releaseRequest(c.answeredAttemptCode())
}

// fail answers that the request failed.
func (c *Call) fail() {
	if !c.claimFinalAnswer() {
		return
	}
	if counters := c.classCounters(); counters != nil {
		counters.Failed++
	} else {
		c.engine.statistics.counters.Malformed++
	}
	c.conn.Fail()
	c.releaseRequest(c.answeredAttemptCode())
}

// startOver answers that the session cannot be resumed. The active attempt ends as cancelled, as the server
// that it was sent to is not at fault.
func (c *Call) startOver(why Reason) {
	if !c.claimFinalAnswer() {
		return
	}
	c.engine.statistics.counters.StartedOver[why]++
	c.request.Resumer.StartOver(why)
	c.releaseRequest(decide.Cancelled)
}

// releaseRequest ends the active attempt, if there is one, with the given code and removes the request from
// the table of those that the decision module knows. The client connection closes the attempt's transport
// with the answer.
func (c *Call) releaseRequest(code decide.Code) {
	if c.attempt.active {
		c.attemptEnded(c.attempt.number, code, decide.NoLoadReport)
	}
	delete(c.engine.calls.byID, c.id)
}

// answeredAttemptCode returns how the active attempt ends when the final answer is given: as timed out if its
// timer has expired at this moment too, else as cancelled.
func (c *Call) answeredAttemptCode() decide.Code {
	if t := c.attempt.timer; t != nil && t.at <= c.engine.now {
		return decide.TimedOut
	}
	return decide.Cancelled
}

// answerNow gives the final answer before the request has expired. The decision module chooses the answer,
// because an attempt may have been executed.
func (c *Call) answerNow() {
	switch {
	case c.phase != phasePending:
	case c.restore.active:
		c.fail() // the server held the connection before, so nothing says that it was not executed
	default:
		c.engine.handle(decide.RequestExpired{ID: c.id})
	}
}

// RequestMalformed reports that the first line of a client connection is no request, or that more was sent
// before the answer. The request fails and its active attempt is cancelled.
func (e *Engine) RequestMalformed(c *Call) {
	e.post(func() {
		if c.phase == phaseAccepted {
			e.timers.stop(c.closeTimer)
			c.phase = phasePending
			e.calls.pending++
		}
		if c.phase == phasePending {
			id := c.id
			c.fail()
			// The answer was not the decision module's, which may still hold the request.
			e.handle(decide.ClientDisconnected{ID: id})
		}
	})
}
