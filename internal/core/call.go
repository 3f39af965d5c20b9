package core

import (
	"strconv"
	"time"

	"cottonplank/decide"
)

const (
	// firstLineTimeout is how long a client connection may stay open after its accept without sending anything. A
	// health check restarts the timeout if it arrives at least minHealthCheckInterval after Call.lastActivity.
	firstLineTimeout = 2 * time.Second
	// startedLineTimeout replaces firstLineTimeout once a part of the first line has arrived: firstLineTimeout is too
	// short for clients that write their request slowly.
	startedLineTimeout = 2800 * time.Millisecond
	// minHealthCheckInterval is the minimum time from Call.lastActivity to a health check that restarts
	// firstLineTimeout.
	minHealthCheckInterval = time.Second
	// unusedCloseInterval is the interval between two attempts to close a connection whose first line is late. An
	// attempt has no effect if unread bytes have arrived.
	unusedCloseInterval = 200 * time.Millisecond
	// defaultLinger replaces a ConnTraits.Linger of 0.
	defaultLinger = 500 * time.Millisecond
	// RequestIDRetention is how long the ID of a request stays reserved after its connection was closed. A client may
	// have opened other connections with a copy of the same request before, and these may still wait to be accepted.
	RequestIDRetention = 10 * time.Second
	// overloadRetryAfter is the retry-after of requests that are rejected without the decision module: requests
	// beyond Config.MaxClients, and requests that arrive in the last part of a drain.
	overloadRetryAfter = time.Second
	// unknownClass is the class of a call that has received no valid request.
	unknownClass = -1
)

// phase is the progress of a call.
type phase uint8

const (
	phaseAccepted    phase = iota // the client connection is open and has requested nothing
	phasePending                  // the request was received, and the client has got no answer
	phaseEstablished              // a server has accepted the request and the connection is open
	phaseFinished                 // the final answer was given, the connection has ended, or the client has left
)

// Call is one client connection and its request, from Engine.Accept to Engine.ClientClosed. The event loop
// owns its fields.
type Call struct {
	engine *Engine
	conn   ClientConn
	traits ConnTraits
	phase  phase
	// id identifies the request in the decision module.
	id      decide.RequestID
	request Request
	attempt attemptState
	restore restoreState
	// retryAfter replaces the decision module's retry-after if it is above 0. It is set by Engine.RetryLater.
	retryAfter time.Duration
	// lastActivity is the time of the latest of these events: the accept, a health check that restarted the timeout, a
	// report that a part of the first line has arrived, and the finish of the call.
	lastActivity time.Duration
	// lineStarted says that a part of the first line has arrived.
	lineStarted bool
	// shed says that the connection was aborted because it was idle.
	shed bool
	// migrating says that the client was asked to open a new connection.
	migrating bool
	// closeTimer closes the client connection. During a restore it starts the next attempt instead.
	closeTimer *timer
	// responseTimer expires if the server of an established connection does not respond within responseTimeout.
	responseTimer *timer
	// stateTimer expires when the transfer of a session's state takes too long.
	stateTimer *timer
}

// ConnTraits are the properties of a frontend's client connections.
type ConnTraits struct {
	// Linger is how long a client connection may stay open after its final answer, so that the client can read the
	// answer. It is also how long the connection may stay open after one side has closed. 0 means 500 ms. For migrated
	// connections, a Linger above migrationTimeout replaces migrationTimeout.
	Linger time.Duration
	// Idle is how long an established connection may stay without traffic before it is closed; 0 disables the
	// time-out. It is meant for transports that do not show the end of a connection.
	Idle time.Duration
	// Resumable says that the connection survives the end of this process: a planned stop leaves it open for the
	// process that starts next.
	Resumable bool
	// Descriptor says that the client connection holds a file descriptor, which an abort releases.
	Descriptor bool
}

// callTable holds the calls. The event loop owns it.
type callTable struct {
	// open holds the calls whose client connection is open.
	open map[*Call]struct{}
	// byID holds the calls whose request the decision module knows.
	byID   map[decide.RequestID]*Call
	lastID uint64
	// clientIDs holds the claimed values of Request.ID: the IDs of open client connections, and of connections
	// closed within the last RequestIDRetention.
	clientIDs RequestIDs
	// attempting holds the calls that have an active attempt and are not established.
	attempting map[*Call]struct{}
	// pending counts the calls in phasePending.
	pending int
	// established counts the calls in phaseEstablished.
	established int
}

func newCallTable(ids RequestIDs) callTable {
	if ids == nil {
		ids = localRequestIDs{}
	}
	return callTable{
		open:       map[*Call]struct{}{},
		byID:       map[decide.RequestID]*Call{},
		clientIDs:  ids,
		attempting: map[*Call]struct{}{},
	}
}

// newID returns an ID that no other request of this process has had.
func (t *callTable) newID() decide.RequestID {
	t.lastID++
	return decide.RequestID(strconv.FormatUint(t.lastID, 10))
}

// Accept registers a new client connection. It is closed if no first line arrives within firstLineTimeout, which
// FirstLineStarted and HealthCheckReceived extend.
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
		c.closeUnusedAt(e.now + firstLineTimeout)
		e.finishDrainIfIdle()
	})
	return c
}

// FirstLineStarted reports that a part of the first line has arrived, and may be called again for further parts.
// Clients that write slowly get startedLineTimeout, which further parts do not restart. They are shed only after
// clients that have sent nothing.
func (e *Engine) FirstLineStarted(c *Call) {
	e.post(func() {
		if c.phase != phaseAccepted {
			return
		}
		if !c.lineStarted {
			c.lineStarted = true
			// The timeout counts from lastActivity, so that a connection that sends its request after a long series of
			// health checks gets the whole timeout.
			c.closeUnusedAt(c.lastActivity + startedLineTimeout)
		}
		c.lastActivity = e.now
	})
}

// HealthCheckReceived reports a health check on a client connection without a request. A connection that keeps sending
// health checks stays open. A health check less than minHealthCheckInterval after the last activity does not restart
// the timeout, so a connection that sends only a burst of health checks is closed like a connection that sends nothing.
func (e *Engine) HealthCheckReceived(c *Call) {
	e.post(func() {
		// If a part of a line was reported, this health check completes that line. If the connection was shed, the
		// implementation of ClientConn may have ignored CloseUnused because this health check was still unread.
		c.lineStarted, c.shed = false, false
		if c.phase == phaseAccepted && e.now-c.lastActivity >= minHealthCheckInterval {
			c.lastActivity = e.now
			c.closeUnusedAt(e.now + firstLineTimeout)
		}
		e.finishDrainIfIdle()
	})
}

// RequestReceived reports the request of a client connection. Unless its connection closes first, the client gets
// exactly one answer: either the answer of a server that has accepted the request, or a final answer of the engine,
// which is a rejection, a failure or a start over.
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

// ClientClosed reports that a client connection is closed, including its transport to a server. A client that left
// while its request was pending gets no answer.
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
			e.timers.set(e.now+RequestIDRetention, func() { e.calls.clientIDs.Release(id) })
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

// admit makes the request pending, assigns its ID and reports whether it did so. Beyond Config.MaxClients, and in the
// last part of a drain, it rejects the request instead. A request whose Request.ID is in use fails.
func (c *Call) admit(r Request) bool {
	e := c.engine
	if c.phase != phaseAccepted || !c.bindRequest(r) {
		return false
	}
	// Each call uses memory and file descriptors, so a call beyond the limit may not start an attempt.
	if e.calls.pending+e.calls.established > e.cfg.MaxClients || e.rejectsNewRequests() {
		c.reject(overloadRetryAfter)
		return false
	}
	c.register()
	return true
}

// register assigns the ID that identifies the request in the decision module.
func (c *Call) register() {
	c.id = c.engine.calls.newID()
	c.engine.calls.byID[c.id] = c
}

// bindRequest makes the request of an accepted connection pending and reports whether it did so. A request whose ID
// is in use fails instead.
func (c *Call) bindRequest(r Request) bool {
	e := c.engine
	e.timers.stop(c.closeTimer)
	c.request, c.phase = r, phasePending
	e.calls.pending++
	if r.ID == "" {
		return true
	}
	if !e.calls.clientIDs.Claim(r.ID) {
		// Servers identify requests by their IDs, so this request must not reach a server while another one has the
		// same ID. Its ID is cleared, so that ClientClosed does not release the other request's ID.
		c.request.ID = ""
		c.fail()
		return false
	}
	return true
}

// requestArrived returns the event that describes the request, in which Remaining is not set.
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

// remaining returns the time until the client's deadline.
func (c *Call) remaining() time.Duration {
	return clockStart + c.request.Deadline.Sub(c.engine.epoch) - c.engine.now
}

// closeUnusedAt resets the close timer to close the client connection at the given time if it has sent no request by
// then, and to try that again until the connection ends or the engine knows the request.
func (c *Call) closeUnusedAt(at time.Duration) {
	timers := c.engine.timers
	timers.stop(c.closeTimer)
	c.closeTimer = timers.set(at, func() {
		if c.phase == phaseAccepted {
			c.conn.CloseUnused()
			c.closeUnusedAt(c.engine.now + unusedCloseInterval)
		}
	})
}

// abortAt resets the close timer to abort the client connection at the given time.
func (c *Call) abortAt(at time.Duration) {
	c.engine.timers.stop(c.closeTimer)
	c.closeTimer = c.engine.timers.set(at, c.conn.Abort)
}
