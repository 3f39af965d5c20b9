package platform

import (
	"context"
	"errors"
	"net"
	"net/textproto"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/textline"
)

// upstreamConn is the connection of one attempt to its room server. The goroutine of clientConn.run owns it. Before
// established is closed, readUpstream reads from it; afterwards relayToClient reads from it and relayToUpstream
// writes to it.
type upstreamConn struct {
	// number is the engine's number of the attempt.
	number int
	// cancel ends the dial.
	cancel context.CancelFunc
	// conn is nil until the dial has succeeded.
	conn *net.TCPConn
	// text reads and writes conn line by line.
	text *textproto.Conn
	// acceptLine is the server's acceptance of the request, without its CRLF.
	acceptLine string
	// accepted reports whether the acceptance by the server was reported to the engine.
	accepted bool
	// timeout is the engine's time limit for the attempt, from its start to the server's acceptance. It starts again with
	// Engine.StateFetched.
	timeout time.Duration
	// requestLineSent reports whether the request line was written, after which the server may have executed the
	// request.
	requestLineSent bool
	// established is closed when the relay of this connection starts.
	established chan struct{}
	// remainderDeadline is until when a migration waits for the rest of a line that has arrived in part. A migrate
	// command sets it before it interrupts relayToClient.
	remainderDeadline atomic.Pointer[time.Time]
}

// errClientNotWaiting is returned instead of dialing for a client that has closed the connection or has sent data
// after its request line.
var errClientNotWaiting = errors.New("the client has closed the connection or sent data after its request line")

// startAttempt starts a goroutine that dials the room server of an attempt. The actor writes the request line after
// the dial, so that an attempt that is cancelled during the dial writes nothing.
func (c *clientConn) startAttempt(ctx context.Context, attempt core.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	up := &upstreamConn{
		number:      attempt.Number,
		cancel:      cancel,
		timeout:     attempt.Timeout,
		established: make(chan struct{}),
	}
	c.upstream = up
	if c.session != nil {
		c.session.server = attempt.Upstream
	}
	c.frontend.readers.Go(func() {
		conn, err := c.dialUpstream(ctx, attempt.Upstream.Address)
		select {
		case c.events <- dialedEvent{up, conn, err}:
		case <-c.done:
			c.frontend.closeServerConn(conn)
		}
	})
}

// dialUpstream waits for a descriptor and connects to a room server. It runs outside the actor's goroutine. If the
// client has closed or has sent more data, it returns errClientNotWaiting without dialing. It checks this itself,
// because the actor may not have handled the event for the close or the data yet.
func (c *clientConn) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	if err := c.frontend.acquireForDial(ctx); err != nil {
		return nil, err
	}
	if closed, sentMore := c.clientState(); closed || sentMore {
		c.frontend.releaseDescriptor()
		return nil, errClientNotWaiting
	}
	conn, err := c.frontend.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.frontend.releaseDescriptor()
		return nil, err
	}
	return conn, nil
}

// handleDialed sends the request line on the new connection, or starts the resumption of the session on it. If the
// dial has failed, it reports that to the engine. It returns false if the actor has to end.
func (c *clientConn) handleDialed(e dialedEvent) bool {
	if e.upstream != c.upstream {
		c.frontend.closeServerConn(e.conn)
		return true
	}
	if errors.Is(e.err, errClientNotWaiting) { // This is not a fault of the server, which was not dialed.
		_, keepRunning := c.checkClientWaits()
		return keepRunning
	}
	if e.err != nil {
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
		return true
	}
	up := c.upstream
	up.conn = e.conn.(*net.TCPConn)
	up.text = textproto.NewConn(up.conn)
	resuming := c.resumesSession()
	var keepRunning bool
	if resuming {
		keepRunning = c.resumeSession()
	} else {
		keepRunning = c.sendRequestLine()
	}
	if !keepRunning {
		return false
	}
	if c.upstream != up || !resuming && !up.requestLineSent {
		// The attempt has ended, or the line was not sent because the client has sent more data.
		return true
	}
	c.frontend.readers.Go(func() { c.readUpstream(up, resuming) })
	return true
}

// readUpstream reads the server's answer and, once the connection is established, relays the server's data. A server
// that resumes a session sends several lines before its acceptance. readUpstream runs in its own goroutine.
func (c *clientConn) readUpstream(up *upstreamConn, resuming bool) {
	for {
		line, err := textline.Read(up.text.R)
		c.notify(responseEvent{up, line, err})
		if !resuming || err != nil || parseResponse(line).accepted {
			break
		}
	}
	select {
	case <-up.established:
		c.relayToClient(up)
	case <-c.done:
	}
}

// sendRequestLine writes the request line, after which the server may execute the request. It writes nothing for a
// client that no longer waits. It returns false if the actor has to end.
func (c *clientConn) sendRequestLine() bool {
	up := c.upstream
	if waits, keepRunning := c.checkClientWaits(); !waits {
		return keepRunning
	}
	if err := up.text.PrintfLine("%s", c.formatRequestLine(up.timeout)); err != nil {
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
		return true
	}
	up.requestLineSent = true
	c.frontend.engine.AttemptSent(c.call, up.number)
	return true
}

// cancelAttempt cancels an attempt and reports its outcome to the engine. The outcome is determined here, because
// only the actor, which writes the request line and handles the answer, knows how far the attempt has got. code is
// the outcome that the engine proposes.
func (c *clientConn) cancelAttempt(attempt int, code decide.Code) {
	switch up := c.upstream; {
	case up == nil || up.number != attempt || up.accepted:
		// The end or the acceptance of the attempt was reported to the engine before.
	case up.requestLineSent && code.NeverExecuted():
		// The request line was written before this command was handled, so the request may be executed, and code does
		// not apply: the attempt continues.
	case !up.requestLineSent && !code.NeverExecuted():
		// Nothing was written, so the request was not executed, although code would mean that it may have been.
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
	default:
		c.endAttempt(code, decide.NoLoadReport)
	}
}

// handleResponse handles a line that the room server sent before the connection was established. It returns false if
// the actor has to end.
func (c *clientConn) handleResponse(e responseEvent) bool {
	if e.upstream != c.upstream {
		return true
	}
	if isMalformedLine(e.err) {
		c.endAttempt(decide.ServerError, decide.NoLoadReport)
		return true
	}
	if e.err != nil {
		c.endAttempt(c.disconnectCode(), decide.NoLoadReport)
		return true
	}
	answer := parseResponse(e.line)
	if c.resumesSession() {
		if answer.accepted {
			c.upstream.acceptLine = e.line
			return c.executeStep(c.session.flow.UpstreamAccepted())
		}
		if known, keepRunning := c.handleSessionResponse(e.line); known {
			return keepRunning
		}
	}
	if !answer.accepted {
		c.endAttempt(answer.code, answer.report)
		return true
	}
	c.upstream.acceptLine = e.line
	c.reportAccepted()
	return true
}

// reportAccepted reports to the engine that the room server has accepted the request.
func (c *clientConn) reportAccepted() {
	c.upstream.accepted = true
	c.frontend.engine.AttemptAccepted(c.call, c.upstream.number)
}

// disconnectCode returns the outcome of an attempt whose connection has failed. If the request line was written, the
// request may have been executed.
func (c *clientConn) disconnectCode() decide.Code {
	if c.upstream.requestLineSent {
		return decide.Reset
	}
	return decide.ConnectFailed
}

// endAttempt closes the connection of the current attempt, then reports the outcome to the engine.
func (c *clientConn) endAttempt(code decide.Code, report decide.LoadReport) {
	attempt := c.upstream.number
	c.closeUpstream(false)
	c.frontend.engine.AttemptEnded(c.call, attempt, code, report)
}

// closeUpstream closes the connection to the room server, if there is one. If reset is true, the server receives a
// TCP reset.
func (c *clientConn) closeUpstream(reset bool) {
	if c.upstream == nil {
		return
	}
	c.upstream.cancel()
	if c.upstream.conn != nil {
		if reset {
			c.upstream.conn.SetLinger(0)
		}
		c.frontend.closeServerConn(c.upstream.conn)
	}
	c.upstream = nil
}
