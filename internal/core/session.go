package core

import (
	"time"

	"cottonplank/decide"
)

// answerReserve is the time that StateFetched leaves between the attempt's time-out and the client's deadline, for
// the final answer.
const answerReserve = 20 * time.Millisecond

// LocateHolder requests the address of the server that holds the session of attempt n, whose instance name is given.
// Resumer.HolderLocated delivers the result. The first call for an attempt starts Config.StateTimeout, within which
// StateFetched must be called. Servers that are draining or were removed recently are located too, because fetching a
// session's state is not a new request.
func (e *Engine) LocateHolder(c *Call, n int, instance string) {
	e.post(func() {
		if !c.isPendingAttempt(n) {
			return
		}
		if c.stateTimer == nil {
			c.stateTimer = e.timers.set(e.now+e.cfg.StateTimeout, func() { c.startOver(ReasonStateTimeout) })
		}
		holder, known := e.locate(instance)
		c.request.Resumer.HolderLocated(n, holder, known)
	})
}

// locate returns the server with the given instance name, also if it was removed but still has connections or is kept
// by rememberDeparted.
func (e *Engine) locate(instance string) (Upstream, bool) {
	if u := e.upstreams.byID[ServerID(instance)]; u != nil && u.Name == instance {
		return u.Upstream, true
	}
	departed, known := e.upstreams.departed[instance]
	return departed.Upstream, known
}

// StateFetched reports that the session's state has arrived. The attempt's timeout starts again, limited by the
// client's deadline: the duration of the transfer must not count against the server that receives the session.
func (e *Engine) StateFetched(c *Call, n int) {
	e.post(func() {
		if !c.isPendingAttempt(n) {
			return
		}
		e.timers.stop(c.attempt.timer)
		timeout := max(min(c.attempt.timeout, c.remaining()-answerReserve), 0)
		c.attempt.timer = e.timers.set(e.now+timeout, func() { c.cancelAttempt(n, decide.TimedOut) })
		e.timers.stop(c.stateTimer)
		c.stateTimer = nil
	})
}

// StartOver reports that the session of attempt n cannot be resumed. The client gets this as the final answer.
func (e *Engine) StartOver(c *Call, n int, why Reason) {
	e.post(func() {
		if c.isActiveAttempt(n) {
			c.startOver(why)
		}
	})
}

// RetryLater reports that the session of attempt n cannot be resumed yet, for example because another request holds it.
// The request is answered immediately; if it is rejected, the answer contains the given time as its retry-after.
func (e *Engine) RetryLater(c *Call, n int, after time.Duration) {
	e.post(func() {
		if c.isActiveAttempt(n) {
			c.retryAfter = after
			c.answerNow()
		}
	})
}

// RejectToken reports a request whose session token is not valid. No attempt is made: the final answer is that the
// client has to start over.
func (e *Engine) RejectToken(c *Call, r Request, why Reason) {
	e.post(func() {
		if c.phase == phaseAccepted && c.bindRequest(r) {
			c.startOver(why)
		}
	})
}

// TokenIssued counts a session token for a client. If sealed is false, it counts a token that could not be sealed,
// usually because no key was available, and was not sent.
func (e *Engine) TokenIssued(sealed bool) {
	e.post(func() {
		if sealed {
			e.statistics.counters.TokensIssued++
		} else {
			e.statistics.counters.TokensUnsealed++
		}
	})
}
