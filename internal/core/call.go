package core

import (
	"time"

	"cottonplank/decide"
)

// phase is how far a call has come.
type phase uint8

const (
	accepted phase = iota // a channel is open and has asked for nothing
	pending               // the request has no final answer
	standing              // a room server's answer was passed on; the connection is open
	answered              // the one final answer was given, or the connection has ended
)

// Call is one client's request from its channel's opening to its close. The module's actor owns its fields.
type Call struct {
	m  *Engine
	ch ClientConn
	id decide.RequestID

	traits   Traits
	phase    phase
	req      Request
	n        int // the latest attempt, -1 before the first
	first    int // the attempt that the decision module counts as 0
	out      bool
	server   *subchannel // of the latest attempt
	sent     time.Duration
	reopen   decide.ServerID // where it was open before the start
	reopened bool
	patience time.Duration
	given    time.Duration // to the latest attempt
	after    time.Duration // when to come back, where a room server has told; 0: it has not
	moved    bool
	since    time.Duration // when it last showed that it lives, or had its answer
	dropped  bool          // it was shed
	begun    bool          // bytes of its line have come
	pinged   bool          // it is a health check, or looks like one

	connect, wait, silence, end *deadline
	state                       *deadline // of a session's state that is on its way
}

// Traits are how a front's channels differ.
type Traits struct {
	// Linger is how long a channel may stay after its end, for the client to take the answer.
	Linger time.Duration
	// Idle ends a standing connection that shows no traffic for so long, where an end cannot be seen; 0: never.
	Idle time.Duration
	// Resumable connections outlive this process: a planned stop leaves them to the one that starts next.
	Resumable bool
	// Descriptor says that the client's side holds a descriptor, which a dropped channel frees.
	Descriptor bool
}

// Accept tells that a channel is open; its first line is awaited.
func (m *Engine) Accept(ch ClientConn, t Traits) *Call {
	c := &Call{m: m, ch: ch, traits: t, n: -1, req: Request{Class: noClass}}
	if c.traits.Linger == 0 {
		c.traits.Linger = lingerWait
	}
	m.post(func() {
		m.open[c] = struct{}{}
		c.since = m.now
		c.end = m.deadlines.set(m.now+firstLineWait, ch.Abort)
		m.drained()
	})
	return c
}

// FirstLineStarted tells that a part of a channel's line has come, and again when more has. Guards clients that take their time to
// write it: they have longer than those that send nothing, and are shed after them. No piece renews the wait.
func (m *Engine) FirstLineStarted(c *Call) {
	m.post(func() {
		if c.phase != accepted {
			return
		}
		if !c.begun {
			// From the accept, or from the latest PING of a health check, which may stay for long before it asks.
			c.begun = true
			m.deadlines.drop(c.end)
			c.end = m.deadlines.set(c.since+begunLineWait, c.ch.Abort)
		}
		c.since = m.now
	})
}

// HealthCheckReceived tells that a channel which has asked for nothing shows that it lives. A health check that asks again and
// again may stay; one that asked once, or many times at a stroke, is dropped as one that said nothing.
func (m *Engine) HealthCheckReceived(c *Call) {
	m.post(func() {
		c.pinged, c.begun, c.dropped = true, false, false // what had begun to come, or lay unread, was that
		if c.phase == accepted && m.now-c.since >= pingApart {
			c.since = m.now
			m.deadlines.drop(c.end)
			c.end = m.deadlines.set(m.now+firstLineWait, c.ch.Abort)
		}
		m.drained()
	})
}

// ShedIdle tells that a front is short of descriptors: of the channels that have asked for nothing, and those that
// linger after their answer, the one that has been silent longest is dropped. Guards usual clients, dials and
// probes against clients that open connections by hundreds and say nothing.
func (m *Engine) ShedIdle() {
	m.post(func() {
		var longest *Call
		for c := range m.open {
			if c.traits.Descriptor && !c.dropped && (c.phase == accepted || c.phase == answered) &&
				m.now-c.since >= shedAfter && (longest == nil || c.shedBefore(longest)) {
				longest = c
			}
		}
		if longest != nil {
			longest.dropped = true
			m.counters.Shed++
			longest.ch.Abort()
		}
	})
}

// shedBefore is the order in which channels are shed.
func (c *Call) shedBefore(o *Call) bool {
	if mine, others := c.phase == accepted && c.begun, o.phase == accepted && o.begun; mine != others {
		return others
	}
	return c.since < o.since
}

// RequestReceived tells what a channel asks for. Exactly one final answer follows while the channel stays open.
func (m *Engine) RequestReceived(c *Call, r Request) {
	m.post(func() {
		if !c.begin(r) {
			return
		}
		m.handle(decide.RequestArrived{ID: c.id, Class: r.Class, Key: r.Key, Group: r.Group,
			Remaining: c.remaining(), Load: r.Load, Returning: r.Returning})
	})
}

// RestoreConnection tells of a connection that was open at a room server before the start. It is opened there and nowhere
// else, within patience; a server that is not listed is waited for as long.
func (m *Engine) RestoreConnection(c *Call, r Request, server decide.ServerID, patience time.Duration) {
	m.post(func() {
		if c.phase != accepted || !c.take(r) {
			return
		}
		c.reopen, c.reopened = server, true
		c.patience = m.now + patience
		c.tryReopen()
	})
}

// begin takes a request on, or answers it at once where there are too many.
func (c *Call) begin(r Request) bool {
	m := c.m
	if c.phase != accepted || !c.take(r) {
		return false
	}
	// Guards the descriptors and the memory: past the bound nothing is dialled any more.
	if m.waiting+m.standing > m.cfg.MaxClients || m.drainEnds() {
		c.refuse(busyRetry)
		return false
	}
	c.id = m.newID()
	m.calls[c.id] = c
	return true
}

// take makes an accepted channel's request pending. One whose id is in use already is answered as failed.
func (c *Call) take(r Request) bool {
	m := c.m
	m.deadlines.drop(c.end)
	c.req, c.phase = r, pending
	m.waiting++
	if r.ID == "" {
		return true
	}
	if _, taken := m.ids[r.ID]; taken {
		// Guards the other request: an id is new with each channel, and room servers keep requests apart by it.
		c.req.ID = ""
		c.fail()
		return false
	}
	m.ids[r.ID] = struct{}{}
	return true
}

// noClass stands for the class of a channel whose first line has not told one.
const noClass = -1

// counters are those of the request's class; nil where its first line told none.
func (c *Call) counters() *ClassCounters {
	if c.req.Class < 0 || c.req.Class >= len(c.m.classes) {
		return nil
	}
	return &c.m.classes[c.req.Class]
}

func (c *Call) remaining() time.Duration {
	return clockStart + c.req.Deadline.Sub(c.m.epoch) - c.m.now
}

func (c *Call) tryReopen() {
	if c.phase != pending {
		return
	}
	s := c.m.subchannels[c.reopen]
	if s == nil || c.m.shut(s) {
		c.retryReopen()
		return
	}
	c.attempt(s, max(c.patience-c.m.now, reopenPause))
}

func (c *Call) retryReopen() {
	if c.m.now >= c.patience {
		c.fail()
		return
	}
	c.end = c.m.deadlines.set(min(c.m.now+reopenPause, c.patience), c.tryReopen)
}

// attempt starts the next call attempt.
func (c *Call) attempt(s *subchannel, wait time.Duration) {
	m := c.m
	c.n++
	n := c.n
	c.out, c.server, c.sent, c.given = true, s, m.now, wait
	s.attempts++
	m.dialing[c] = struct{}{}
	c.wait = m.deadlines.set(m.now+wait, func() { c.giveUp(n, decide.TimedOut) })
	connect := wait
	if t := m.cfg.Settings.ConnectTimeout; t > 0 && t < wait {
		connect = t + connectSlack
	}
	if s.told > 0 { // within its grace; what is not sent by its end is not sent
		connect = min(connect, s.told+m.cfg.Settings.Safety.DrainGrace-m.now)
	}
	if connect < wait {
		c.connect = m.deadlines.set(m.now+connect, func() { c.giveUp(n, decide.ConnectFailed) })
	}
	c.ch.StartAttempt(Attempt{Number: n, Upstream: s.Upstream, Timeout: wait})
}

// giveUp ends an attempt that brought no answer in time, or no connection. What became of it is the channel's to say: an
// attempt that seems never to have run here may have been written there at the same moment. It is out until then, so
// that two attempts are never out together.
func (c *Call) giveUp(n int, why decide.Code) {
	if c.out && c.n == n && c.phase == pending {
		c.ch.CancelAttempt(n, why)
	}
}

// AttemptSent tells that an attempt's line is with a room server: its connect timeout runs no more. It counts from here
// on, whatever became of the request meanwhile: the room server has it.
func (m *Engine) AttemptSent(c *Call, n int) {
	m.post(func() {
		if k := c.counters(); k != nil {
			k.Attempts++
		}
		if c.out && c.n == n {
			m.deadlines.drop(c.connect)
		}
	})
}

// AttemptAccepted tells that a room server has taken an attempt. Only the attempt that is out may stand.
func (m *Engine) AttemptAccepted(c *Call, n int) {
	m.post(func() {
		if !c.out || c.n != n || c.phase != pending {
			return
		}
		c.stopClocks()
		c.phase = standing
		delete(m.dialing, c)
		m.waiting--
		m.standing++
		c.server.open++
		c.touched()
		c.ch.Establish(n)
		if c.req.Resumer != nil {
			m.counters.Resumed++
		}
		if k := c.counters(); k != nil {
			k.Served++
		}
		if c.reopened {
			m.counters.Restored++
			c.id, c.first = m.newID(), n
			m.calls[c.id] = c
			m.handle(decide.ConnectionRestored{Request: decide.RequestArrived{ID: c.id, Class: c.req.Class, Key: c.req.Key,
				Group: c.req.Group, Load: c.req.Load, Returning: c.req.Returning}, Server: c.server.ID})
		} else {
			m.handle(decide.Established{ID: c.id, Attempt: n, Server: c.server.ID, Elapsed: m.now - c.sent})
		}
		if m.drain != nil && m.drain.moving {
			c.sendAway()
		}
	})
}

// AttemptEnded tells how an attempt or a standing connection ended. Its transport to the room server is closed.
func (m *Engine) AttemptEnded(c *Call, n int, code decide.Code, report decide.LoadReport) {
	m.post(func() { c.ended(n, code, report) })
}

func (c *Call) ended(n int, code decide.Code, report decide.LoadReport) {
	if !c.out || c.n != n {
		return // it was given up before
	}
	m := c.m
	c.out = false
	delete(m.dialing, c)
	c.stopClocks()
	final := c.phase != pending
	if c.phase == standing {
		c.server.open--
		c.phase, c.since = answered, m.now
		m.standing--
		m.dropGone(c.server)
	}
	if c.reopened && !final {
		c.retryReopen()
		return
	}
	id, first := c.id, c.first
	if final {
		delete(m.calls, id)
	}
	m.handle(decide.AttemptEnded{ID: id, Attempt: n - first, Server: c.server.ID, Code: code, Final: final,
		Elapsed: m.now - c.sent, Report: report})
}

// stopClocks takes back the deadlines of the attempt that is out.
func (c *Call) stopClocks() {
	c.m.deadlines.drop(c.connect)
	c.m.deadlines.drop(c.wait)
	c.m.deadlines.drop(c.silence)
	c.m.deadlines.drop(c.state)
	c.connect, c.wait, c.silence, c.state = nil, nil, nil, nil
}

// settle ends the wait for a final answer, once for each request: what comes later finds phase answered.
func (c *Call) settle() bool {
	if c.phase != pending {
		return false
	}
	m := c.m
	c.phase, c.since = answered, m.now
	m.waiting--
	c.end = m.deadlines.set(m.now+c.traits.Linger, c.ch.Abort)
	return true
}

// settled closes the attempt that is still out for the decision module; the channel closes its transport
// with the answer.
func (c *Call) settled() {
	if c.out {
		code := decide.Cancelled
		if c.wait != nil && c.wait.at <= c.m.now {
			code = decide.TimedOut // the request's deadline and the attempt's fell due together
		}
		c.ended(c.n, code, decide.NoLoadReport)
	}
	delete(c.m.calls, c.id)
}

// refuse answers that trying again is harmless. When to come back is told only where the settings allow.
func (c *Call) refuse(retryAfter time.Duration) {
	retryAfter = min(retryAfter, c.m.cfg.Settings.MaxRetryAfter)
	if c.settle() {
		if k := c.counters(); k != nil {
			k.Rejected++
		}
		c.ch.Reject(retryAfter)
		c.settled()
	}
}

func (c *Call) fail() {
	if c.settle() {
		if k := c.counters(); k != nil {
			k.Failed++
		} else {
			c.m.counters.Malformed++
		}
		c.ch.Fail()
		c.settled()
	}
}

// RequestMalformed tells that a channel's first line is no request, or that more came before its answer; it is answered as
// failed, and an attempt that is out is given up.
func (m *Engine) RequestMalformed(c *Call) {
	m.post(func() {
		if c.phase == accepted {
			m.deadlines.drop(c.end)
			c.phase = pending
			m.waiting++
		}
		if c.phase == pending {
			id := c.id
			c.fail()
			m.handle(decide.ClientDisconnected{ID: id}) // the module did not answer it, and may hold it still
		}
	})
}

// move sends a standing connection's client away.
func (c *Call) move() {
	if c.phase != standing || c.moved {
		return
	}
	c.moved = true
	c.m.counters.Migrations++
	c.m.deadlines.drop(c.silence)
	c.ch.Migrate()
	// Guards against a client that reads nothing any more: the move must not wait for it.
	c.end = c.m.deadlines.set(c.m.now+max(moveWait, c.traits.Linger), c.ch.Abort)
}

// ResponseAwaited tells that a standing connection's client sent something that the server has not answered yet.
func (m *Engine) ResponseAwaited(c *Call) {
	m.post(func() {
		if c.phase == standing && !c.moved {
			m.deadlines.drop(c.silence)
			c.silence = m.deadlines.set(m.now+silenceWait, func() { c.silent() })
		}
	})
}

// ServerResponded tells that the server brought something back.
func (m *Engine) ServerResponded(c *Call) {
	m.post(func() {
		m.deadlines.drop(c.silence)
		c.silence = nil
	})
}

// silent moves the client of a server that vanished without a word: TCP does not notice that, and the
// decision module learns of a broken connection.
func (c *Call) silent() {
	if c.phase == standing && !c.moved {
		c.m.counters.Unresponsive++
		c.move()
		c.ended(c.n, decide.Reset, decide.NoLoadReport)
	}
}

// TrafficSeen tells that a standing connection shows traffic; a front says so now and then, not for each packet.
func (m *Engine) TrafficSeen(c *Call) {
	m.post(func() {
		if c.phase == standing {
			c.touched()
		}
	})
}

func (c *Call) touched() {
	if c.traits.Idle > 0 && !c.moved {
		c.m.deadlines.drop(c.end)
		c.end = c.m.deadlines.set(c.m.now+c.traits.Idle, func() {
			c.ch.Abort()
			c.ended(c.n, decide.OK, decide.NoLoadReport) // its end, unseen, is the likely cause
		})
	}
}

// HalfClosed tells that one side of a standing connection has ended; the other gets a while to follow.
func (m *Engine) HalfClosed(c *Call) {
	m.post(func() {
		m.deadlines.drop(c.end)
		c.end = m.deadlines.set(m.now+c.traits.Linger, c.ch.Abort)
	})
}

// SetLoad tells the present load of a standing connection, in seconds of work a second.
func (m *Engine) SetLoad(c *Call, load float64) {
	m.post(func() {
		if c.phase == standing {
			m.handle(decide.LoadChanged{ID: c.id, Load: load})
		}
	})
}

// ClientClosed tells that a channel and all that belonged to it are closed. A client that left before its answer
// is owed nothing.
func (m *Engine) ClientClosed(c *Call) {
	m.post(func() {
		m.deadlines.drop(c.end)
		if c.phase == pending {
			c.phase, c.since = answered, m.now
			m.waiting--
			m.counters.ClientsLeft++
			if m.calls[c.id] == c {
				delete(m.calls, c.id)
				m.handle(decide.ClientDisconnected{ID: c.id})
			}
		}
		if c.out {
			c.ended(c.n, decide.Cancelled, decide.NoLoadReport)
		}
		c.stopClocks()
		if id := c.req.ID; id != "" {
			// What was sent while the request was open may still wait to be accepted.
			m.deadlines.set(m.now+idMemory, func() { delete(m.ids, id) })
		}
		delete(m.open, c)
		m.drained()
	})
}
