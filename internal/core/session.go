package core

import (
	"time"

	"cottonplank/decide"
)

// departedRetention is how long the address of a room server that has left the list is known: it may finish what it has, and
// hand its sessions over, for as long as a process takes to end.
const departedRetention = 30 * time.Second

// answerReserve is left of the client's time for the answer itself.
const answerReserve = 20 * time.Millisecond

// maxDeparted bounds the table of those.
const maxDeparted = 256

// departedUpstream is a room server that has left the list.
type departedUpstream struct {
	Upstream
	timer *timer
}

// rememberDeparted keeps the address of a room server that is gone, where sessions are resumed.
func (e *Engine) rememberDeparted(s Upstream) {
	if e.cfg.StateTimeout == 0 || len(e.departed) >= maxDeparted {
		return
	}
	if d, ok := e.departed[s.Name]; ok {
		e.timers.stop(d.timer)
	}
	e.departed[s.Name] = departedUpstream{s, e.timers.set(e.now+departedRetention, func() { delete(e.departed, s.Name) })}
}

// AttemptDialed tells that an attempt has its connection, and that its line is yet to be written.
func (e *Engine) AttemptDialed(c *Call, n int) {
	e.post(func() {
		if c.out && c.n == n {
			e.timers.stop(c.connect)
		}
	})
}

// LocateHolder asks where the room server is that holds the session of attempt n; Resumer.Holder brings the answer. From the
// first such question on, the state has StateWait to come. What is asked there is no request: it goes to one that
// drains too.
func (e *Engine) LocateHolder(c *Call, n int, instance string) {
	e.post(func() {
		if !c.out || c.n != n || c.phase != phasePending {
			return
		}
		if c.stateTimer == nil {
			c.stateTimer = e.timers.set(e.now+e.cfg.StateTimeout, func() { c.startOver(ReasonStateTimeout) })
		}
		id := ServerID(instance)
		if s := e.upstreams[id]; s != nil && s.Name == instance {
			c.request.Resumer.HolderLocated(n, s.Upstream, true)
			return
		}
		d, known := e.departed[instance]
		c.request.Resumer.HolderLocated(n, d.Upstream, known)
	})
}

// StateFetched tells that the state has come. The attempt's time begins anew, as far as the client waits: what the state took
// is no fault of the room server that is to have it.
func (e *Engine) StateFetched(c *Call, n int) {
	e.post(func() {
		if c.out && c.n == n && c.phase == phasePending {
			e.timers.stop(c.wait)
			c.wait = e.timers.set(e.now+max(min(c.given, c.remaining()-answerReserve), 0), func() { c.cancelAttempt(n, decide.TimedOut) })
			e.timers.stop(c.stateTimer)
			c.stateTimer = nil
		}
	})
}

// StartOver tells that attempt n found that its session cannot go on: that is the final answer.
func (e *Engine) StartOver(c *Call, n int, why Reason) {
	e.post(func() {
		if c.out && c.n == n {
			c.startOver(why)
		}
	})
}

// RetryLater tells that the session of attempt n is held by another request: come again is the final answer.
func (e *Engine) RetryLater(c *Call, n int, after time.Duration) {
	e.post(func() {
		if c.out && c.n == n {
			c.retryAfter = after
			c.answerNow()
		}
	})
}

// RejectToken tells of a request whose token is refused before anything is asked for it.
func (e *Engine) RejectToken(c *Call, r Request, why Reason) {
	e.post(func() {
		if c.phase == phaseAccepted && c.bindRequest(r) {
			c.startOver(why)
		}
	})
}

// TokenIssued tells that a client was given a token, or was not as no key seals.
func (e *Engine) TokenIssued(sealed bool) {
	e.post(func() {
		if sealed {
			e.counters.TokensIssued++
		} else {
			e.counters.TokensUnsealed++
		}
	})
}

// startOver gives the final answer that the session cannot go on. The decision module hears that the attempt was
// withdrawn: the room server that it chose is not to blame.
func (c *Call) startOver(why Reason) {
	if !c.claimFinalAnswer() {
		return
	}
	c.engine.counters.StartedOver[why]++
	c.request.Resumer.StartOver(why)
	if c.out {
		c.attemptEnded(c.n, decide.Cancelled, decide.NoLoadReport)
	}
	delete(c.engine.calls, c.id)
}
