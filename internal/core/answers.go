package core

import (
	"time"

	"cottonplank/decide"
)

// claimFinalAnswer finishes a pending request. It returns true at most once for each request, and the caller that gets
// true has to give the final answer. The client connection is aborted if it is still open after ConnTraits.Linger.
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

// reject answers that the request was not executed and may be retried after retryAfter, which is limited to the
// settings' MaxRetryAfter.
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

// startOver answers that the session cannot be resumed. The active attempt ends with code Cancelled, because its
// server has not failed.
func (c *Call) startOver(why Reason) {
	if !c.claimFinalAnswer() {
		return
	}
	c.engine.statistics.counters.StartedOver[why]++
	c.request.Resumer.StartOver(why)
	c.releaseRequest(decide.Cancelled)
}

// releaseRequest ends the active attempt, if there is one, with the given code, and removes the request from
// callTable.byID. The client connection closes the attempt's transport when it sends the final answer.
func (c *Call) releaseRequest(code decide.Code) {
	if c.attempt.active {
		c.attemptEnded(c.attempt.number, code, decide.NoLoadReport)
	}
	delete(c.engine.calls.byID, c.id)
}

// answeredAttemptCode returns the code with which the final answer ends the active attempt: TimedOut if the attempt's
// timer has expired, even if its callback has not run yet, otherwise Cancelled.
func (c *Call) answeredAttemptCode() decide.Code {
	if t := c.attempt.timer; t != nil && t.at <= c.engine.now {
		return decide.TimedOut
	}
	return decide.Cancelled
}

// answerNow gives a pending request its final answer before the client's deadline. The decision module chooses the
// answer, because an attempt may have been executed.
func (c *Call) answerNow() {
	switch {
	case c.phase != phasePending:
	case c.restore.active:
		c.fail() // a rejection would be wrong: the server may have executed the request in the earlier connection
	default:
		c.engine.handle(decide.RequestExpired{ID: c.id})
	}
}

// RequestMalformed reports that the first line of a client connection is not a valid request, or that the client sent
// more data before the answer. The request fails and its active attempt is cancelled.
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
			// This answer is not from the decision module, which may still hold the request.
			e.handle(decide.ClientDisconnected{ID: id})
		}
	})
}
