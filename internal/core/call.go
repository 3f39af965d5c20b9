package core

import (
	"time"

	"cottonplank/decide"
)

// phase is how far a call has come.
type phase uint8

const (
	phaseAccepted    phase = iota // a channel is open and has asked for nothing
	phasePending                  // the request has no final answer
	phaseEstablished              // a room server's answer was passed on; the connection is open
	phaseFinished                 // the one final answer was given, or the connection has ended
)

// Call is one client's request from its channel's opening to its close. The module's actor owns its fields.
type Call struct {
	engine *Engine
	conn   ClientConn
	id     decide.RequestID

	traits       Traits
	phase        phase
	request      Request
	n            int // the latest attempt, -1 before the first
	first        int // the attempt that the decision module counts as 0
	out          bool
	server       *upstreamState // of the latest attempt
	sent         time.Duration
	reopen       decide.ServerID // where it was open before the start
	reopened     bool
	patience     time.Duration
	given        time.Duration // to the latest attempt
	retryAfter   time.Duration // when to come back, where a room server has told; 0: it has not
	migrating    bool
	lastActivity time.Duration // when it last showed that it lives, or had its answer
	shed         bool          // it was shed
	lineStarted  bool          // bytes of its line have come
	pinged       bool          // it is a health check, or looks like one

	connect, wait, responseTimer, closeTimer *timer
	stateTimer                               *timer // of a session's state that is on its way
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
func (e *Engine) Accept(ch ClientConn, t Traits) *Call {
	c := &Call{engine: e, conn: ch, traits: t, n: -1, request: Request{Class: noClass}}
	if c.traits.Linger == 0 {
		c.traits.Linger = defaultLinger
	}
	e.post(func() {
		e.openCalls[c] = struct{}{}
		c.lastActivity = e.now
		c.closeTimer = e.timers.set(e.now+firstLineTimeout, ch.Abort)
		e.finishDrainIfIdle()
	})
	return c
}

// FirstLineStarted tells that a part of a channel's line has come, and again when more has. Guards clients that take their time to
// write it: they have longer than those that send nothing, and are shed after them. No piece renews the wait.
func (e *Engine) FirstLineStarted(c *Call) {
	e.post(func() {
		if c.phase != phaseAccepted {
			return
		}
		if !c.lineStarted {
			// From the accept, or from the latest PING of a health check, which may stay for long before it asks.
			c.lineStarted = true
			e.timers.stop(c.closeTimer)
			c.closeTimer = e.timers.set(c.lastActivity+startedLineTimeout, c.conn.Abort)
		}
		c.lastActivity = e.now
	})
}

// HealthCheckReceived tells that a channel which has asked for nothing shows that it lives. A health check that asks again and
// again may stay; one that asked once, or many times at a stroke, is dropped as one that said nothing.
func (e *Engine) HealthCheckReceived(c *Call) {
	e.post(func() {
		c.pinged, c.lineStarted, c.shed = true, false, false // what had begun to come, or lay unread, was that
		if c.phase == phaseAccepted && e.now-c.lastActivity >= minHealthCheckInterval {
			c.lastActivity = e.now
			e.timers.stop(c.closeTimer)
			c.closeTimer = e.timers.set(e.now+firstLineTimeout, c.conn.Abort)
		}
		e.finishDrainIfIdle()
	})
}

// ShedIdle tells that a front is short of descriptors: of the channels that have asked for nothing, and those that
// linger after their answer, the one that has been silent longest is dropped. Guards usual clients, dials and
// probes against clients that open connections by hundreds and say nothing.
func (e *Engine) ShedIdle() {
	e.post(func() {
		var longest *Call
		for c := range e.openCalls {
			if c.traits.Descriptor && !c.shed && (c.phase == phaseAccepted || c.phase == phaseFinished) &&
				e.now-c.lastActivity >= minShedAge && (longest == nil || c.shedsBefore(longest)) {
				longest = c
			}
		}
		if longest != nil {
			longest.shed = true
			e.counters.Shed++
			longest.conn.Abort()
		}
	})
}

// shedsBefore is the order in which channels are shed.
func (c *Call) shedsBefore(other *Call) bool {
	if mine, others := c.phase == phaseAccepted && c.lineStarted, other.phase == phaseAccepted && other.lineStarted; mine != others {
		return others
	}
	return c.lastActivity < other.lastActivity
}

// RequestReceived tells what a channel asks for. Exactly one final answer follows while the channel stays open.
func (e *Engine) RequestReceived(c *Call, r Request) {
	e.post(func() {
		if !c.admit(r) {
			return
		}
		e.handle(decide.RequestArrived{ID: c.id, Class: r.Class, Key: r.Key, Group: r.Group,
			Remaining: c.remaining(), Load: r.Load, Returning: r.Returning})
	})
}

// RestoreConnection tells of a connection that was open at a room server before the start. It is opened there and nowhere
// else, within patience; a server that is not listed is waited for as long.
func (e *Engine) RestoreConnection(c *Call, r Request, server decide.ServerID, patience time.Duration) {
	e.post(func() {
		if c.phase != phaseAccepted || !c.bindRequest(r) {
			return
		}
		c.reopen, c.reopened = server, true
		c.patience = e.now + patience
		c.tryRestore()
	})
}

// admit takes a request on, or answers it at once where there are too many.
func (c *Call) admit(r Request) bool {
	e := c.engine
	if c.phase != phaseAccepted || !c.bindRequest(r) {
		return false
	}
	// Guards the descriptors and the memory: past the bound nothing is dialled any more.
	if e.pendingRequests+e.established > e.cfg.MaxClients || e.rejectsNewRequests() {
		c.reject(overloadRetryAfter)
		return false
	}
	c.id = e.newRequestID()
	e.calls[c.id] = c
	return true
}

// bindRequest makes an accepted channel's request pending. One whose id is in use already is answered as failed.
func (c *Call) bindRequest(r Request) bool {
	e := c.engine
	e.timers.stop(c.closeTimer)
	c.request, c.phase = r, phasePending
	e.pendingRequests++
	if r.ID == "" {
		return true
	}
	if _, taken := e.requestIDs[r.ID]; taken {
		// Guards the other request: an id is new with each channel, and room servers keep requests apart by it.
		c.request.ID = ""
		c.fail()
		return false
	}
	e.requestIDs[r.ID] = struct{}{}
	return true
}

// noClass stands for the class of a channel whose first line has not told one.
const noClass = -1

// classCounters are those of the request's class; nil where its first line told none.
func (c *Call) classCounters() *ClassCounters {
	if c.request.Class < 0 || c.request.Class >= len(c.engine.classes) {
		return nil
	}
	return &c.engine.classes[c.request.Class]
}

func (c *Call) remaining() time.Duration {
	return clockStart + c.request.Deadline.Sub(c.engine.epoch) - c.engine.now
}

func (c *Call) tryRestore() {
	if c.phase != phasePending {
		return
	}
	s := c.engine.upstreams[c.reopen]
	if s == nil || c.engine.closedToAttempts(s) {
		c.retryRestore()
		return
	}
	c.startAttempt(s, max(c.patience-c.engine.now, restoreRetryInterval))
}

func (c *Call) retryRestore() {
	if c.engine.now >= c.patience {
		c.fail()
		return
	}
	c.closeTimer = c.engine.timers.set(min(c.engine.now+restoreRetryInterval, c.patience), c.tryRestore)
}

// startAttempt starts the next call attempt.
func (c *Call) startAttempt(s *upstreamState, wait time.Duration) {
	e := c.engine
	c.n++
	n := c.n
	c.out, c.server, c.sent, c.given = true, s, e.now, wait
	s.attempts++
	e.pendingAttempts[c] = struct{}{}
	c.wait = e.timers.set(e.now+wait, func() { c.cancelAttempt(n, decide.TimedOut) })
	connect := wait
	if t := e.cfg.Settings.ConnectTimeout; t > 0 && t < wait {
		connect = t + connectSlack
	}
	if s.drainNotifiedAt > 0 { // within its grace; what is not sent by its end is not sent
		connect = min(connect, s.drainNotifiedAt+e.cfg.Settings.Safety.DrainGrace-e.now)
	}
	if connect < wait {
		c.connect = e.timers.set(e.now+connect, func() { c.cancelAttempt(n, decide.ConnectFailed) })
	}
	c.conn.StartAttempt(Attempt{Number: n, Upstream: s.Upstream, Timeout: wait})
}

// cancelAttempt ends an attempt that brought no answer in time, or no connection. What became of it is the channel's to say: an
// attempt that seems never to have run here may have been written there at the same moment. It is out until then, so
// that two attempts are never out together.
func (c *Call) cancelAttempt(n int, why decide.Code) {
	if c.out && c.n == n && c.phase == phasePending {
		c.conn.CancelAttempt(n, why)
	}
}

// AttemptSent tells that an attempt's line is with a room server: its connect timeout runs no more. It counts from here
// on, whatever became of the request meanwhile: the room server has it.
func (e *Engine) AttemptSent(c *Call, n int) {
	e.post(func() {
		if k := c.classCounters(); k != nil {
			k.Attempts++
		}
		if c.out && c.n == n {
			e.timers.stop(c.connect)
		}
	})
}

// AttemptAccepted tells that a room server has taken an attempt. Only the attempt that is out may stand.
func (e *Engine) AttemptAccepted(c *Call, n int) {
	e.post(func() {
		if !c.out || c.n != n || c.phase != phasePending {
			return
		}
		c.stopAttemptTimers()
		c.phase = phaseEstablished
		delete(e.pendingAttempts, c)
		e.pendingRequests--
		e.established++
		c.server.connections++
		c.resetIdleTimer()
		c.conn.Establish(n)
		if c.request.Resumer != nil {
			e.counters.Resumed++
		}
		if k := c.classCounters(); k != nil {
			k.Served++
		}
		if c.reopened {
			e.counters.Restored++
			c.id, c.first = e.newRequestID(), n
			e.calls[c.id] = c
			e.handle(decide.ConnectionRestored{Request: decide.RequestArrived{ID: c.id, Class: c.request.Class, Key: c.request.Key,
				Group: c.request.Group, Load: c.request.Load, Returning: c.request.Returning}, Server: c.server.ID})
		} else {
			e.handle(decide.Established{ID: c.id, Attempt: n, Server: c.server.ID, Elapsed: e.now - c.sent})
		}
		if e.drain != nil && e.drain.migrateAll {
			c.migrateForDrain()
		}
	})
}

// AttemptEnded tells how an attempt or a standing connection ended. Its transport to the room server is closed.
func (e *Engine) AttemptEnded(c *Call, n int, code decide.Code, report decide.LoadReport) {
	e.post(func() { c.attemptEnded(n, code, report) })
}

func (c *Call) attemptEnded(n int, code decide.Code, report decide.LoadReport) {
	if !c.out || c.n != n {
		return // it was given up before
	}
	e := c.engine
	c.out = false
	delete(e.pendingAttempts, c)
	c.stopAttemptTimers()
	final := c.phase != phasePending
	if c.phase == phaseEstablished {
		c.server.connections--
		c.phase, c.lastActivity = phaseFinished, e.now
		e.established--
		e.deleteUnusedUpstream(c.server)
	}
	if c.reopened && !final {
		c.retryRestore()
		return
	}
	id, first := c.id, c.first
	if final {
		delete(e.calls, id)
	}
	e.handle(decide.AttemptEnded{ID: id, Attempt: n - first, Server: c.server.ID, Code: code, Final: final,
		Elapsed: e.now - c.sent, Report: report})
}

// stopAttemptTimers takes back the deadlines of the attempt that is out.
func (c *Call) stopAttemptTimers() {
	c.engine.timers.stop(c.connect)
	c.engine.timers.stop(c.wait)
	c.engine.timers.stop(c.responseTimer)
	c.engine.timers.stop(c.stateTimer)
	c.connect, c.wait, c.responseTimer, c.stateTimer = nil, nil, nil, nil
}

// claimFinalAnswer ends the wait for a final answer, once for each request: what comes later finds phase answered.
func (c *Call) claimFinalAnswer() bool {
	if c.phase != phasePending {
		return false
	}
	e := c.engine
	c.phase, c.lastActivity = phaseFinished, e.now
	e.pendingRequests--
	c.closeTimer = e.timers.set(e.now+c.traits.Linger, c.conn.Abort)
	return true
}

// releaseAttempt closes the attempt that is still out for the decision module; the channel closes its transport
// with the answer.
func (c *Call) releaseAttempt() {
	if c.out {
		code := decide.Cancelled
		if c.wait != nil && c.wait.at <= c.engine.now {
			code = decide.TimedOut // the request's deadline and the attempt's fell due together
		}
		c.attemptEnded(c.n, code, decide.NoLoadReport)
	}
	delete(c.engine.calls, c.id)
}

// reject answers that trying again is harmless. When to come back is told only where the settings allow.
func (c *Call) reject(retryAfter time.Duration) {
	retryAfter = min(retryAfter, c.engine.cfg.Settings.MaxRetryAfter)
	if c.claimFinalAnswer() {
		if k := c.classCounters(); k != nil {
			k.Rejected++
		}
		c.conn.Reject(retryAfter)
		c.releaseAttempt()
	}
}

func (c *Call) fail() {
	if c.claimFinalAnswer() {
		if k := c.classCounters(); k != nil {
			k.Failed++
		} else {
			c.engine.counters.Malformed++
		}
		c.conn.Fail()
		c.releaseAttempt()
	}
}

// RequestMalformed tells that a channel's first line is no request, or that more came before its answer; it is answered as
// failed, and an attempt that is out is given up.
func (e *Engine) RequestMalformed(c *Call) {
	e.post(func() {
		if c.phase == phaseAccepted {
			e.timers.stop(c.closeTimer)
			c.phase = phasePending
			e.pendingRequests++
		}
		if c.phase == phasePending {
			id := c.id
			c.fail()
			e.handle(decide.ClientDisconnected{ID: id}) // the module did not answer it, and may hold it still
		}
	})
}

// migrate sends a standing connection's client away.
func (c *Call) migrate() {
	if c.phase != phaseEstablished || c.migrating {
		return
	}
	c.migrating = true
	c.engine.counters.Migrations++
	c.engine.timers.stop(c.responseTimer)
	c.conn.Migrate()
	// Guards against a client that reads nothing any more: the move must not wait for it.
	c.closeTimer = c.engine.timers.set(c.engine.now+max(migrationTimeout, c.traits.Linger), c.conn.Abort)
}

// ResponseAwaited tells that a standing connection's client sent something that the server has not answered yet.
func (e *Engine) ResponseAwaited(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished && !c.migrating {
			e.timers.stop(c.responseTimer)
			c.responseTimer = e.timers.set(e.now+responseTimeout, func() { c.serverUnresponsive() })
		}
	})
}

// ServerResponded tells that the server brought something back.
func (e *Engine) ServerResponded(c *Call) {
	e.post(func() {
		e.timers.stop(c.responseTimer)
		c.responseTimer = nil
	})
}

// serverUnresponsive moves the client of a server that vanished without a word: TCP does not notice that, and the
// decision module learns of a broken connection.
func (c *Call) serverUnresponsive() {
	if c.phase == phaseEstablished && !c.migrating {
		c.engine.counters.Unresponsive++
		c.migrate()
		c.attemptEnded(c.n, decide.Reset, decide.NoLoadReport)
	}
}

// TrafficSeen tells that a standing connection shows traffic; a front says so now and then, not for each packet.
func (e *Engine) TrafficSeen(c *Call) {
	e.post(func() {
		if c.phase == phaseEstablished {
			c.resetIdleTimer()
		}
	})
}

func (c *Call) resetIdleTimer() {
	if c.traits.Idle > 0 && !c.migrating {
		c.engine.timers.stop(c.closeTimer)
		c.closeTimer = c.engine.timers.set(c.engine.now+c.traits.Idle, func() {
			c.conn.Abort()
			c.attemptEnded(c.n, decide.OK, decide.NoLoadReport) // its end, unseen, is the likely cause
		})
	}
}

// HalfClosed tells that one side of a standing connection has ended; the other gets a while to follow.
func (e *Engine) HalfClosed(c *Call) {
	e.post(func() {
		e.timers.stop(c.closeTimer)
		c.closeTimer = e.timers.set(e.now+c.traits.Linger, c.conn.Abort)
	})
}

// SetLoad tells the present load of a standing connection, in seconds of work a second.
func (e *Engine) SetLoad(c *Call, load float64) {
	e.post(func() {
		if c.phase == phaseEstablished {
			e.handle(decide.LoadChanged{ID: c.id, Load: load})
		}
	})
}

// ClientClosed tells that a channel and all that belonged to it are closed. A client that left before its answer
// is owed nothing.
func (e *Engine) ClientClosed(c *Call) {
	e.post(func() {
		e.timers.stop(c.closeTimer)
		if c.phase == phasePending {
			c.phase, c.lastActivity = phaseFinished, e.now
			e.pendingRequests--
			e.counters.ClientsLeft++
			if e.calls[c.id] == c {
				delete(e.calls, c.id)
				e.handle(decide.ClientDisconnected{ID: c.id})
			}
		}
		if c.out {
			c.attemptEnded(c.n, decide.Cancelled, decide.NoLoadReport)
		}
		c.stopAttemptTimers()
		if id := c.request.ID; id != "" {
			// What was sent while the request was open may still wait to be accepted.
			e.timers.set(e.now+requestIDRetention, func() { delete(e.requestIDs, id) })
		}
		delete(e.openCalls, c)
		e.finishDrainIfIdle()
	})
}
