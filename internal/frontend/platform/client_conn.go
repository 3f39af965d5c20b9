package platform

import (
	"context"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// clientConn is the actor of one client connection and implements core.ClientConn. It owns the connection to the
// client and the one to the client's room server.
//
// The goroutine of run owns every field that has no other owner below. The engine reaches it by commands; the
// goroutines that read from the two connections reach it by events. Only readClient reads from the client. Writes to
// the client come from one goroutine at a time: from readClient, which answers health checks, until the request line;
// from relayToClient while the connection is established; from run's goroutine between the two and after the relay.
type clientConn struct {
	frontend *Frontend
	// call is the engine's record of this connection.
	call *core.Call
	conn *net.TCPConn
	// text reads and writes conn line by line.
	text *textproto.Conn

	// commands is the mailbox for the engine's commands, which are executed in order.
	commands chan command
	// events brings what the reader and dial goroutines have observed.
	events chan event
	// done is closed when run returns.
	done chan struct{}
	// relayTo hands the established upstream connection to readClient, once.
	relayTo chan *upstreamConn
	// finalAnswerSent is closed once a final answer has been written to the client.
	finalAnswerSent chan struct{}

	// request is the client's parsed request line.
	request requestLine
	// session is nil if the client uses no session.
	session *session
	// upstream is the connection of the current attempt, later that of the established connection; nil between
	// attempts.
	upstream *upstreamConn
	// established reports whether bytes are relayed in both directions.
	established bool
	// clientHalfClosed reports whether the client of an established connection has closed its sending side.
	clientHalfClosed bool
	// requestSubmitted reports whether the request line was handled by the actor.
	requestSubmitted bool
	// requestLineRead reports whether readClient has read the request line; the actor may not have handled it yet.
	requestLineRead atomic.Bool
	// earlyDataRead reports whether readClient has seen data after the request line and before the answer.
	earlyDataRead atomic.Bool

	// awaitingMutex guards awaitingResponse. It is held during the report to the engine as well, so that the engine
	// receives the reports of both relay goroutines in the order in which the field changed.
	awaitingMutex sync.Mutex
	// awaitingResponse reports whether the client has sent something that the server has not answered yet.
	awaitingResponse bool
}

// mailboxSize is the number of commands that can be pending for one call, whatever the settings allow: the engine
// starts an attempt only after it was told of the end of the one before, and each attempt can be cancelled for at
// most three reasons.
const mailboxSize = 32

// restoreTimeout is how long a connection that was open before a restart may take to be established again.
const restoreTimeout = 40 * time.Second

// expiredDeadline is a deadline in the past: setting it interrupts pending reads and writes of a connection.
var expiredDeadline = time.Unix(1, 0)

// event is something that a reader or dial goroutine has observed.
type event interface {
	// handle applies the event. It is called by the actor and returns false if the actor has to end.
	handle(c *clientConn) (keepRunning bool)
}

type (
	// requestLineEvent is the client's first line that is no health check.
	requestLineEvent struct {
		// line has no CRLF; it is empty if what was read is malformed.
		line string
		// readAt is when the last byte of the line was read.
		readAt time.Time
	}
	// earlyDataEvent is data from the client before its request was answered.
	earlyDataEvent struct{}
	// clientClosedEvent is the end of what the client sends.
	clientClosedEvent struct {
		// err is io.EOF after a regular close; nil if the upstream connection failed first.
		err error
	}
	// dialedEvent is the end of an attempt's dial.
	dialedEvent struct {
		upstream *upstreamConn
		conn     net.Conn
		err      error
	}
	// responseEvent is a line that a room server sent before the connection was established.
	responseEvent struct {
		upstream *upstreamConn
		line     string
		err      error
	}
	// upstreamClosedEvent is the end of what the room server sends on an established connection.
	upstreamClosedEvent struct {
		// code is the outcome that the engine is told.
		code decide.Code
		// err is io.EOF after a regular close and os.ErrDeadlineExceeded if a migration interrupted the reader.
		err error
	}
)

// notify delivers an event to the actor, unless the actor has ended.
func (c *clientConn) notify(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// run executes commands and handles events until one of them ends the connection or ctx ends. Both connections are
// closed when it returns.
func (c *clientConn) run(ctx context.Context) {
	defer c.frontend.engine.ClientClosed(c.call)
	defer c.closeUpstream(false)
	defer c.closeHolder()
	defer c.frontend.releaseDescriptor()
	defer c.conn.Close()
	defer close(c.done)
	c.frontend.readers.Go(c.readClient)
	for {
		var keepRunning bool
		select {
		case <-ctx.Done():
			return
		case cmd := <-c.commands:
			keepRunning = c.execute(ctx, cmd)
		case e := <-c.events:
			keepRunning = c.handle(e)
		}
		if !keepRunning {
			return
		}
	}
}

// execute carries out a command; it returns false if the actor has to end.
func (c *clientConn) execute(ctx context.Context, cmd command) bool { return cmd.execute(ctx, c) }

// handle applies an event; it returns false if the actor has to end.
func (c *clientConn) handle(e event) bool { return e.handle(c) }

func (e requestLineEvent) handle(c *clientConn) bool {
	c.requestSubmitted = true
	c.submitRequest(e.line, e.readAt)
	return true
}

func (earlyDataEvent) handle(c *clientConn) bool {
	if !c.established {
		c.frontend.engine.RequestMalformed(c.call)
	}
	return true
}

func (e clientClosedEvent) handle(c *clientConn) bool   { return c.handleClientClosed(e.err) }
func (e dialedEvent) handle(c *clientConn) bool         { return c.handleDialed(e) }
func (e responseEvent) handle(c *clientConn) bool       { return c.handleResponse(e) }
func (e upstreamClosedEvent) handle(c *clientConn) bool { return c.handleUpstreamClosed(e) }

// submitRequest parses the request line and submits the request to the engine. The client's timeout counts from readAt.
func (c *clientConn) submitRequest(line string, readAt time.Time) {
	parsed, err := parseRequestLine(line, c.frontend.names)
	// Only a balancer may tell a room server to attach a session, so a client's line with that field is malformed.
	if err != nil || parsed.hasSessionField && c.frontend.sessions != nil {
		c.frontend.engine.RequestMalformed(c.call)
		return
	}
	c.request = parsed
	request := core.Request{
		ID:        parsed.id,
		Class:     parsed.class,
		Key:       parsed.key,
		Group:     parsed.group,
		Deadline:  readAt.Add(parsed.timeout),
		Load:      parsed.load,
		Returning: parsed.returning,
	}
	if parsed.previousServer != "" {
		server := core.ServerID(parsed.previousServer)
		c.frontend.engine.RestoreConnection(c.call, request, server, restoreTimeout)
		return
	}
	if !c.beginSession(&request, readAt) {
		return
	}
	c.frontend.engine.RequestReceived(c.call, request)
}

// sendFinalAnswer writes the final answer and closes the sending side to the client. The client closes then, or the
// engine aborts the connection after a while. It returns false if the actor has to end.
func (c *clientConn) sendFinalAnswer(line string) bool {
	c.closeUpstream(false)
	c.closeHolder()
	if err := c.text.PrintfLine("%s", line); err != nil {
		return false
	}
	close(c.finalAnswerSent)
	return c.conn.CloseWrite() == nil
}

// establish passes the room server's acceptance of the attempt on to the client and starts to relay in both directions.
// It returns false if the actor has to end.
func (c *clientConn) establish(attempt int) bool {
	if c.upstream == nil || c.upstream.number != attempt {
		return true // The attempt has ended meanwhile, and the engine is being told.
	}
	if err := c.text.PrintfLine("%s", c.upstream.acceptLine); err != nil {
		return false
	}
	c.established = true
	if c.session != nil {
		c.closeHolder()
		c.enableTokens()
	}
	close(c.upstream.established)
	c.relayTo <- c.upstream
	return true
}
