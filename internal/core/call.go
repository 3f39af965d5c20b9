package core

import (
	"strconv"
	"time"

	"cottonplank/decide"
)

const (
	// firstLineTimeout is when a client connection that has sent nothing is closed. Each health check renews
	// it.
	firstLineTimeout = 2 * time.Second
	// startedLineTimeout is when a client connection whose first line is still incomplete is closed.
	startedLineTimeout = 2800 * time.Millisecond
	// minHealthCheckInterval is the least interval at which health checks renew firstLineTimeout.
	minHealthCheckInterval = time.Second
	// defaultLinger replaces a ConnTraits.Linger of 0.
	defaultLinger = 500 * time.Millisecond
	// requestIDRetention is how long the ID of a finished request stays in use: copies of its first line that
	// were sent before its end may still wait to be accepted.
	requestIDRetention = 10 * time.Second
	// overloadRetryAfter is what clients beyond Config.MaxClients are told to wait.
	overloadRetryAfter = time.Second
	// unknownClass is the class of a client connection whose first line has not named one.
	unknownClass = -1
)

// phase is the progress of a call.
type phase uint8

const (
	phaseAccepted    phase = iota // the client connection is open and has requested nothing
	phasePending                  // the request has no final answer
	phaseEstablished              // a server's answer was passed on and the connection is open
	phaseFinished                 // the final answer was given, or the established connection has ended
)

// Call is one client connection and its request, from Engine.Accept to Engine.ClientClosed. The event loop
// owns its fields.
type Call struct {
	engine *Engine
	conn   ClientConn
	traits ConnTraits
	phase  phase
	// id names the request to the decision module.
	id      decide.RequestID
	request Request
	attempt attemptState
	restore restoreState
	// retryAfter replaces the decision module's Retry-After if above 0. It is set if another request holds
	// the session.
	retryAfter time.Duration
	// lastActivity is when the client connection last proved to be alive, or when its call finished.
	lastActivity time.Duration
	// lineStarted says that a part of the first line has arrived.
	lineStarted bool
	// shed says that the connection was aborted because it was idle.
	shed bool
	// migrating says that the client was asked to reconnect elsewhere.
	migrating bool
	// closeTimer aborts the client connection. During a restore it starts the next attempt instead.
	closeTimer *timer
	// responseTimer expires when the server does not respond on an established connection.
	responseTimer *timer
	// stateTimer expires when the transfer of a session's state takes too long.
	stateTimer *timer
}

// ConnTraits are the properties of a frontend's client connections.
type ConnTraits struct {
	// Linger is how long a finished client connection may stay open for the client to read the answer; 0
	// means 500 ms.
	Linger time.Duration
	// Idle closes an established connection without traffic after this time, for transports that do not show
	// the end of a connection; 0 disables it.
	Idle time.Duration
	// Resumable connections outlive this process: a planned stop leaves them to the process that starts next.
	Resumable bool
	// Descriptor says that the client connection holds a file descriptor, which is freed when it is aborted.
	Descriptor bool
}

// callTable holds the calls. The event loop owns it.
type callTable struct {
	// open holds the calls whose client connection is open.
	open map[*Call]struct{}
	// byID holds the calls whose request the decision module knows.
	byID   map[decide.RequestID]*Call
	lastID uint64
	// clientIDs holds Request.ID of open requests, and of those that ended within requestIDRetention.
	clientIDs map[string]struct{}
	// attempting holds the calls that have an active attempt and are not established.
	attempting map[*Call]struct{}
	// pending counts the calls in phasePending.
	pending int
	// established counts the calls in phaseEstablished.
	established int
}

func newCallTable() callTable {
	return callTable{
		open:       map[*Call]struct{}{},
		byID:       map[decide.RequestID]*Call{},
		clientIDs:  map[string]struct{}{},
		attempting: map[*Call]struct{}{},
	}
}

// newID returns an ID that no other request of this process has had.
func (t *callTable) newID() decide.RequestID {
	t.lastID++
	return decide.RequestID(strconv.FormatUint(t.lastID, 10))
}

// Accept registers a new client connection, whose first line is awaited for firstLineTimeout.
func (e *Engine) Accept(conn ClientConn, traits ConnTraits) *Call {
	if traits.Linger == 0 {
		traits.Linger = defaultLinger
	}
	c := &Call{
		engine:  e,
		conn:    conn,
		traits:  traits,
		request: Request{Class: unknownClass},
		attempt: attemptState{number: noAttempt},
	}
	e.post(func() {
		e.calls.open[c] = struct{}{}
		c.lastActivity = e.now
		c.abortAt(e.now + firstLineTimeout)
		e.finishDrainIfIdle()
	})
	return c
}

// FirstLineStarted reports that a part of the first line has arrived, and may be called again for further
// parts. Clients that write slowly get startedLineTimeout, which further parts do not renew, and are shed
// only after those that have sent nothing.
func (e *Engine) FirstLineStarted(c *Call) {
	e.post(func() {
		if c.phase != phaseAccepted {
			return
		}
		if !c.lineStarted {
			c.lineStarted = true
			// lastActivity is the accept, or the latest health check: one may request something after a long
			// time.
			c.abortAt(c.lastActivity + startedLineTimeout)
		}
		c.lastActivity = e.now
	})
}

// HealthCheckReceived reports a health check on a client connection that has requested nothing. A connection
// that goes on sending them stays open. Health checks in a burst do not count: such a connection is closed
// like one that sent nothing.
func (e *Engine) HealthCheckReceived(c *Call) {
	e.post(func() {
		// What had started to arrive, or was not read yet, was this health check.
		c.lineStarted, c.shed = false, false
		if c.phase == phaseAccepted && e.now-c.lastActivity >= minHealthCheckInterval {
			c.lastActivity = e.now
			c.abortAt(e.now + firstLineTimeout)
		}
		e.finishDrainIfIdle()
	})
}

// RequestReceived reports the request of a client connection. Exactly one final answer follows while the
// connection is open.
func (e *Engine) RequestReceived(c *Call, r Request) {
	e.post(func() {
		if !c.admit(r) {
			return
		}
		arrived := c.requestArrived()
		arrived.Remaining = c.remaining()
		e.handle(arrived)
	})
}

// ClientClosed reports that a client connection and everything that belonged to it is closed. A client that
// left before its final answer gets none.
func (e *Engine) ClientClosed(c *Call) {
	e.post(func() {
		e.timers.stop(c.closeTimer)
		if c.phase == phasePending {
			c.abandonRequest()
		}
		if c.attempt.active {
			c.attemptEnded(c.attempt.number, decide.Cancelled, decide.NoLoadReport)
		}
		c.stopAttemptTimers()
		if id := c.request.ID; id != "" {
			e.timers.set(e.now+requestIDRetention, func() { delete(e.calls.clientIDs, id) })
		}
		delete(e.calls.open, c)
		e.finishDrainIfIdle()
	})
}

// abandonRequest finishes a pending request whose client has left.
func (c *Call) abandonRequest() {
	e := c.engine
	c.phase, c.lastActivity = phaseFinished, e.now
	e.calls.pending--
	e.statistics.counters.ClientsLeft++
	if e.calls.byID[c.id] == c {
		delete(e.calls.byID, c.id)
		e.handle(decide.ClientDisconnected{ID: c.id})
	}
}

// admit makes the request pending, gives it an ID and reports whether it did. Beyond Config.MaxClients, and
// at the end of a drain, it rejects the request instead.
func (c *Call) admit(r Request) bool {
	e := c.engine
	if c.phase != phaseAccepted || !c.bindRequest(r) {
		return false
	}
	// Each call takes memory and descriptors, so none beyond the bound may start an attempt.
	if e.calls.pending+e.calls.established > e.cfg.MaxClients || e.rejectsNewRequests() {
		c.reject(overloadRetryAfter)
		return false
	}
	c.register()
	return true
}

// register gives the request the ID under which the decision module knows it.
func (c *Call) register() {
	c.id = c.engine.calls.newID()
	c.engine.calls.byID[c.id] = c
}

// bindRequest makes the request of an accepted connection pending and reports whether it did. A request whose
// ID is in use fails instead.
func (c *Call) bindRequest(r Request) bool {
	e := c.engine
	e.timers.stop(c.closeTimer)
	c.request, c.phase = r, phasePending
	e.calls.pending++
	if r.ID == "" {
		return true
	}
	if _, inUse := e.calls.clientIDs[r.ID]; inUse {
		// Servers tell requests apart by their IDs, so this one must not disturb the other. Without an ID of
		// its own it does not release the other's when it closes.
		c.request.ID = ""
		c.fail()
		return false
	}
	e.calls.clientIDs[r.ID] = struct{}{}
	return true
}

// requestArrived returns the event that describes the request, without the remaining time.
func (c *Call) requestArrived() decide.RequestArrived {
	return decide.RequestArrived{
		ID:        c.id,
		Class:     c.request.Class,
		Key:       c.request.Key,
		Group:     c.request.Group,
		Load:      c.request.Load,
		Returning: c.request.Returning,
	}
}

// remaining returns the time until the client stops waiting.
func (c *Call) remaining() time.Duration {
	return clockStart + c.request.Deadline.Sub(c.engine.epoch) - c.engine.now
}

// abortAt replaces the close timer by one that aborts the client connection at the given time.
func (c *Call) abortAt(at time.Duration) {
	c.engine.timers.stop(c.closeTimer)
	c.closeTimer = c.engine.timers.set(at, c.conn.Abort)
}
