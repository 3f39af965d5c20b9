package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cottonplank/decide"

	"golang.org/x/sys/unix"
)

// resetCheckInterval is the interval at which a write to a server that does not read is interrupted, to see whether the
// client has reset its connection.
const resetCheckInterval = 250 * time.Millisecond

// relayToUpstream forwards the client's bytes as they arrive. It returns the error with which reading from the client
// ended, or nil if the upstream connection failed. If the server does not read, relayToUpstream stops reading from
// the client. What a client has sent before it reset its connection is not forwarded after the reset, if it fills the
// buffer: the kernel returns the data that it holds before it returns the error.
func (c *clientConn) relayToUpstream(up *upstreamConn) error {
	for {
		if _, err := c.text.R.Peek(1); err != nil {
			return err
		}
		c.setAwaitingResponse(true) // Before the write, as the response may follow it at once.
		raw, _ := c.text.R.Peek(c.text.R.Buffered())
		var err error
		if len(raw) < c.text.R.Size() {
			_, err = up.conn.Write(raw)
		} else {
			err = c.writeUnlessReset(up, raw)
		}
		if errors.Is(err, errClientReset) {
			return err
		}
		if err != nil {
			return nil // relayToClient reports how the server's side ended.
		}
		c.text.R.Discard(len(raw))
	}
}

// errClientReset means that the client has reset its connection.
var errClientReset = errors.New("the client has reset its connection")

// writeUnlessReset writes data to the server. It returns errClientReset, after a part of the data or none, once the
// client has reset its connection.
func (c *clientConn) writeUnlessReset(up *upstreamConn, raw []byte) error {
	defer up.conn.SetWriteDeadline(time.Time{})
	for {
		if isReset(c.conn) {
			return errClientReset
		}
		up.conn.SetWriteDeadline(time.Now().Add(resetCheckInterval))
		n, err := up.conn.Write(raw)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		raw = raw[n:]
	}
}

// isReset reports whether the kernel has received a reset of the connection, also if unread data precedes it.
func isReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	poll := []unix.PollFd{{}} // POLLERR is always reported
	err = raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		// A failed poll counts as no reset.
		_, _ = unix.Poll(poll, 0)
	})
	return err == nil && poll[0].Revents&unix.POLLERR != 0
}

// setAwaitingResponse records whether the client waits for a response, and reports each change to the engine.
func (c *clientConn) setAwaitingResponse(awaiting bool) {
	c.awaitingMutex.Lock()
	defer c.awaitingMutex.Unlock()
	if c.awaitingResponse == awaiting {
		return
	}
	c.awaitingResponse = awaiting
	if awaiting {
		c.frontend.engine.ResponseAwaited(c.call)
	} else {
		c.frontend.engine.ServerResponded(c.call)
	}
}

// relayToClient forwards the server's data line by line, so that a migration can write MOVE between two lines. A line
// that is longer than the read buffer is forwarded in parts. relayToClient runs in its own goroutine and sends an
// upstreamClosedEvent when reading from the server has ended.
func (c *clientConn) relayToClient(up *upstreamConn) {
	var tokens *tokenIssuer
	if c.session != nil {
		tokens = &c.session.tokens
	}
	code := decide.Reset
	closeAnnounced := false
	lines := serverLines{upstream: up}
	for {
		startsLine := !lines.withinLine
		raw, err := lines.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if closeAnnounced {
				err = io.EOF // The server's BYE or MOVE was forwarded, and no MOVE may follow it.
			} else {
				code = decide.Cancelled
			}
			c.notify(upstreamClosedEvent{code, err})
			return
		}
		if len(raw) > 0 {
			if announced, ok := c.inspectServerLine(raw); ok {
				code, closeAnnounced = announced, true
			}
			c.setAwaitingResponse(false)
			if tokens != nil && startsLine && !lines.withinLine {
				raw = tokens.filterLine(raw)
			}
			if _, err := c.conn.Write(raw); err != nil {
				// If the client's side has ended, readClient reports how. If the deadline of a migrate command has
				// expired, the engine aborts the connection.
				return
			}
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			c.notify(upstreamClosedEvent{code, err})
			return
		}
	}
}

// inspectServerLine reports the connection's load to the engine if the line is a valid LOAD line. If the first word is
// BYE or MOVE, which announce the end of the connection, it returns the outcome to report and true.
func (c *clientConn) inspectServerLine(raw []byte) (code decide.Code, closeAnnounced bool) {
	word, rest, _ := bytes.Cut(bytes.TrimRight(raw, lineEnd), []byte{' '})
	switch string(word) {
	case wordLoad:
		if load, err := parseLoad(string(rest)); err == nil {
			c.frontend.engine.SetLoad(c.call, load)
		}
	case wordBye:
		return decide.OK, true
	case wordMove:
		return decide.Cancelled, true
	}
	return decide.OK, false
}

// handleClientClosed relays the end of the client's side to the room server: a FIN as a FIN, a reset as a reset. It
// returns false if the actor has to end.
func (c *clientConn) handleClientClosed(err error) bool {
	if !c.established || c.upstream == nil {
		return false // The client closed before its answer, after a final answer, or after the end of the relay.
	}
	if err == nil {
		return true // The write to the server failed. relayToClient reports how the server's side ended.
	}
	if !errors.Is(err, io.EOF) {
		c.abandonUpstream(true)
		return false
	}
	if c.upstream.conn.CloseWrite() != nil {
		c.abandonUpstream(false)
		return false
	}
	c.clientHalfClosed = true
	c.frontend.engine.HalfClosed(c.call)
	return true
}

// abandonUpstream closes the connection to the room server after the client of an established connection has closed
// or reset its side, and reports the end to the engine. If reset is true, the server receives a TCP reset.
func (c *clientConn) abandonUpstream(reset bool) {
	attempt := c.upstream.number
	c.closeUpstream(reset)
	c.frontend.engine.AttemptEnded(c.call, attempt, decide.Cancelled, decide.NoLoadReport)
}

// handleUpstreamClosed relays the end of the server's side to the client: a FIN as a FIN, a reset as a reset. If a
// migrate command interrupted the reader, it sends MOVE to the client instead. It returns false if the actor has to
// end.
func (c *clientConn) handleUpstreamClosed(e upstreamClosedEvent) bool {
	if c.upstream == nil {
		return false
	}
	attempt := c.upstream.number
	code := e.code
	if c.clientHalfClosed && code == decide.Reset {
		code = decide.Cancelled // A reset that follows the client's close is not a fault of the server.
	}
	if errors.Is(e.err, os.ErrDeadlineExceeded) {
		if !c.sendMigrate() {
			return false
		}
	} else if !errors.Is(e.err, io.EOF) {
		c.conn.SetLinger(0)
		c.closeUpstream(true)
		c.frontend.engine.AttemptEnded(c.call, attempt, code, decide.NoLoadReport)
		return false
	}
	c.closeUpstream(false)
	c.frontend.engine.AttemptEnded(c.call, attempt, code, decide.NoLoadReport)
	c.frontend.engine.HalfClosed(c.call)
	return c.conn.CloseWrite() == nil
}

// sendMigrate writes MOVE to the client. If the client's session can be resumed, a line with a new session token
// precedes it. sendMigrate returns false if the write fails.
func (c *clientConn) sendMigrate() bool {
	line := wordMove
	if c.session != nil {
		line = c.session.tokens.newTokenLine() + line
	}
	return c.text.PrintfLine("%s", line) == nil
}
