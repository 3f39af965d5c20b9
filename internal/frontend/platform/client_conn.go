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

// clientConn is the actor of one client connection and implements core.ClientConn: the goroutine of run owns its state
// and handles commands and events one at a time. A clientConn owns the connections to the client, to the client's room
// server and, while the state of a session is transferred, to the room server that holds the state.
//
// The goroutine of run owns all fields whose comments name no other owner. The engine sends commands to it; the
// goroutines that dial, read, or wait for an answer of a state holder (callHolder) send events to it. Only readClient
// reads from the client. One goroutine at a time writes to the client:
//
//   - Until the request line is read: readClient, which answers health checks.
//   - From then until the connection is established: the goroutine of run.
//   - While the connection is established: relayToClient.
//   - After the relay: the goroutine of run.
type clientConn struct {
	frontend *Frontend
	// call is the engine's record of this connection.
	call *core.Call
	conn *net.TCPConn
	// text reads and writes conn line by line.
	text *textproto.Conn

	// commands is the mailbox for the engine's commands, which are executed in order.
	commands chan command
	// events receives the events of the connection's other goroutines.
	events chan event
	// done is closed when run stops handling commands and events, before it closes the connections.
	done chan struct{}
	// relayTo passes the established upstream connection to readClient. One value at most is sent.
	relayTo chan *upstreamConn
	// finalAnswerSent is closed once a final answer has been written to the client.
	finalAnswerSent chan struct{}

	// request is the client's parsed request line.
	request requestLine
	// session is nil if the client uses no session.
	session *session
	// upstream is the connection of the current attempt or, later, the established connection. It is nil between
	// attempts and after the end of the established connection.
	upstream *upstreamConn
	// established reports whether the relay in both directions was started. It stays true after the relay has ended.
	established bool
	// clientHalfClosed reports whether the client of an established connection has closed its sending side.
	clientHalfClosed bool
	// requestSubmitted reports whether the actor has handled the request line.
	requestSubmitted bool
	// earlyDataRead reports whether readClient has seen data after the request line. Before the answer, such data is
	// a protocol error.
	earlyDataRead atomic.Bool

	// awaitingMutex guards awaitingResponse. It is also held during the report to the engine, so that the engine
	// receives the reports of both relay goroutines in the order in which the field changed.
	awaitingMutex sync.Mutex
	// awaitingResponse reports whether the client has sent data after which the server has sent nothing yet.
	awaitingResponse bool
}

// mailboxSize is the capacity of a connection's mailbox. No setting requires a larger one. The engine starts an attempt
// only after the previous one was reported as ended. It cancels an attempt at the connect timeout, at the attempt's
// timeout, and at each update of the endpoint list in which the attempt's server is unavailable. Only many such updates
// while the actor is blocked would fill the mailbox.
const mailboxSize = 32

// restoreTimeout is how long the balancer tries to restore a connection that was open before the balancer's restart.
const restoreTimeout = 40 * time.Second

// Times of a connection after the frontend's context has ended.
const (
	// finishTimeout limits the wait for the final answer. The process must exit soon after.
	finishTimeout = 80 * time.Millisecond
	// finishInterruptInterval is the interval at which readClient is interrupted.
	finishInterruptInterval = 5 * time.Millisecond
)

// expiredDeadline is a deadline in the past: setting it interrupts pending reads and writes of a connection.
var expiredDeadline = time.Unix(1, 0)

// event is something that another goroutine of the connection has observed.
type event interface {
	// handle applies the event. It is called by the actor and returns false if the actor has to end.
	handle(c *clientConn) (keepRunning bool)
}

type (
	// requestLineEvent reports the client's first line that is not a health check.
	requestLineEvent struct {
		// line is the line without its CRLF, or an empty string if the input is malformed.
		line string
		// readAt is when the last byte of the line was read.
		readAt time.Time
	}
	// earlyDataEvent reports that the client has sent data after its request line.
	earlyDataEvent struct{}
	// clientClosedEvent reports that readClient has stopped reading from the client.
	clientClosedEvent struct {
		// err is the error that ended the read: io.EOF after a regular close, or errUnused. It is nil if a write to the
		// room server failed instead.
		err error
	}
	// dialedEvent reports the result of an attempt's dial.
	dialedEvent struct {
		upstream *upstreamConn
		conn     net.Conn
		err      error
	}
	// responseEvent reports a line that a room server sent before the connection was established, or the error that
	// ended the read.
	responseEvent struct {
		upstream *upstreamConn
		line     string
		err      error
	}
	// upstreamClosedEvent reports that relayToClient has stopped reading from the room server.
	upstreamClosedEvent struct {
		// code is the outcome of the attempt to report to the engine.
		code decide.Code
		// err is the error that ended the read: io.EOF after a regular close, or os.ErrDeadlineExceeded if a migration
		// interrupted the reader.
		err error
	}
)

// notify sends an event to the actor. It drops the event if the actor has ended.
func (c *clientConn) notify(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// run executes commands and handles events until one of them ends the connection or ctx ends. When ctx ends, a request
// that has arrived still gets its final answer (finish). Before run returns, it
// closes the connections to the client and to room servers, and reports the end to the engine. If a call to the state
// holder is pending, it interrupts the call, whose goroutine then closes that connection.
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
			c.finish(ctx)
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

// finish is the end of run when the frontend stops. It returns once nothing can be lost by closing the client
// connection: no request has arrived, or the engine has answered it, or the connection is established. A request that
// the engine does not answer within finishTimeout is dropped, as is a line that is not complete by then.
func (c *clientConn) finish(ctx context.Context) {
	timeout := time.After(finishTimeout)
	interrupt := time.NewTicker(finishInterruptInterval)
	defer interrupt.Stop()
	for !c.established && !c.answered() {
		// It is repeated, because readClient clears the deadline whenever more has arrived.
		if !c.requestSubmitted {
			c.interruptReader()
		}
		keepRunning := true
		select {
		case <-timeout:
			return
		case <-interrupt.C:
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

// answered reports whether a final answer has been written to the client.
func (c *clientConn) answered() bool {
	select {
	case <-c.finalAnswerSent:
		return true
	default:
		return false
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

// submitRequest parses the request line and submits the request to the engine. The client's timeout starts at readAt.
func (c *clientConn) submitRequest(line string, readAt time.Time) {
	parsed, err := parseRequestLine(line, c.frontend.names)
	// The session field is reserved for balancers: it says which session a room server is to open. While sessions are
	// enabled, a client's line with that field is malformed.
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

// sendFinalAnswer writes the final answer and closes the sending side of the client connection. The engine aborts the
// connection if the client does not close it in time. sendFinalAnswer returns false if the actor has to end.
func (c *clientConn) sendFinalAnswer(line string) bool {
	c.closeUpstream(false)
	c.closeHolder()
	if err := c.text.PrintfLine("%s", line); err != nil {
		return false
	}
	close(c.finalAnswerSent)
	return c.conn.CloseWrite() == nil
}

// establish forwards the room server's acceptance to the client and starts the relay in both directions. It returns
// false if the actor has to end.
func (c *clientConn) establish(attempt int) bool {
	if c.upstream == nil || c.upstream.number != attempt {
		return true // The attempt has ended, and its end was reported to the engine.
	}
	if err := c.text.PrintfLine("%s", c.upstream.acceptLine); err != nil {
		return false
	}
	c.established = true
	if c.session != nil {
		c.closeHolder()
		c.initTokenIssuer()
	}
	limitUnsentBytes(c.conn, maxUnsentBytes)
	close(c.upstream.established)
	c.relayTo <- c.upstream
	return true
}
