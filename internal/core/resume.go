package core

import (
	"time"

	"cottonplank/decide"
)

// departKeep is how long the address of a room server that has left the list is known: it may finish what it has, and
// hand its sessions over, for as long as a process takes to end.
const departKeep = 30 * time.Second

// answerSpare is left of the client's time for the answer itself.
const answerSpare = 20 * time.Millisecond

// departMost bounds the table of those.
const departMost = 256

// departure is a room server that has left the list.
type departure struct {
	Upstream
	due *deadline
}

// depart keeps the address of a room server that is gone, where sessions are resumed.
func (m *Engine) depart(s Upstream) {
	if m.cfg.StateTimeout == 0 || len(m.departed) >= departMost {
		return
	}
	if d, ok := m.departed[s.Name]; ok {
		m.deadlines.drop(d.due)
	}
	m.departed[s.Name] = departure{s, m.deadlines.set(m.now+departKeep, func() { delete(m.departed, s.Name) })}
}

// AttemptDialed tells that an attempt has its connection, and that its line is yet to be written.
func (m *Engine) AttemptDialed(c *Call, n int) {
	m.post(func() {
		if c.out && c.n == n {
			m.deadlines.drop(c.connect)
		}
	})
}

// LocateHolder asks where the room server is that holds the session of attempt n; Resumer.Holder brings the answer. From the
// first such question on, the state has StateWait to come. What is asked there is no request: it goes to one that
// drains too.
func (m *Engine) LocateHolder(c *Call, n int, instance string) {
	m.post(func() {
		if !c.out || c.n != n || c.phase != pending {
			return
		}
		if c.state == nil {
			c.state = m.deadlines.set(m.now+m.cfg.StateTimeout, func() { c.startOver(ReasonStateTimeout) })
		}
		id := ServerID(instance)
		if s := m.subchannels[id]; s != nil && s.Name == instance {
			c.req.Resumer.HolderLocated(n, s.Upstream, true)
			return
		}
		d, known := m.departed[instance]
		c.req.Resumer.HolderLocated(n, d.Upstream, known)
	})
}

// StateFetched tells that the state has come. The attempt's time begins anew, as far as the client waits: what the state took
// is no fault of the room server that is to have it.
func (m *Engine) StateFetched(c *Call, n int) {
	m.post(func() {
		if c.out && c.n == n && c.phase == pending {
			m.deadlines.drop(c.wait)
			c.wait = m.deadlines.set(m.now+max(min(c.given, c.remaining()-answerSpare), 0), func() { c.giveUp(n, decide.TimedOut) })
			m.deadlines.drop(c.state)
			c.state = nil
		}
	})
}

// StartOver tells that attempt n found that its session cannot go on: that is the final answer.
func (m *Engine) StartOver(c *Call, n int, why Reason) {
	m.post(func() {
		if c.out && c.n == n {
			c.startOver(why)
		}
	})
}

// RetryLater tells that the session of attempt n is held by another request: come again is the final answer.
func (m *Engine) RetryLater(c *Call, n int, after time.Duration) {
	m.post(func() {
		if c.out && c.n == n {
			c.after = after
			c.answerNow()
		}
	})
}

// RejectToken tells of a request whose token is refused before anything is asked for it.
func (m *Engine) RejectToken(c *Call, r Request, why Reason) {
	m.post(func() {
		if c.phase == accepted && c.take(r) {
			c.startOver(why)
		}
	})
}

// TokenIssued tells that a client was given a token, or was not as no key seals.
func (m *Engine) TokenIssued(sealed bool) {
	m.post(func() {
		if sealed {
			m.counters.TokensIssued++
		} else {
			m.counters.TokensUnsealed++
		}
	})
}

// startOver gives the final answer that the session cannot go on. The decision module hears that the attempt was
// withdrawn: the room server that it chose is not to blame.
func (c *Call) startOver(why Reason) {
	if !c.settle() {
		return
	}
	c.m.counters.StartedOver[why]++
	c.req.Resumer.StartOver(why)
	if c.out {
		c.ended(c.n, decide.Cancelled, decide.NoLoadReport)
	}
	delete(c.m.calls, c.id)
}
