package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"cottonplank/decide"
)

// lineRemainderTimeout is how long a migration waits for the rest of a line of which a part has been read.
const lineRemainderTimeout = 300 * time.Millisecond

// migrateWriteTimeout is the time from the start of a migration in which the client must accept what is written to it,
// MOVE included. A wait of up to lineRemainderTimeout is part of it.
const migrateWriteTimeout = 500 * time.Millisecond

// relayToUpstream forwards the client's bytes as they arrive. It returns the error that ended the client's side, or nil
// if the upstream connection failed. A server that does not read holds the client back.
func (c *clientConn) relayToUpstream(up *upstreamConn) error {
	for {
		if _, err := c.text.R.Peek(1); err != nil {
			return err
		}
		c.setAwaitingResponse(true) // Before the write, as the response may follow it at once.
		raw, _ := c.text.R.Peek(c.text.R.Buffered())
		if _, err := up.conn.Write(raw); err != nil {
			return nil // relayToClient reports how the server's side ended.
		}
		c.text.R.Discard(len(raw))
	}
}

// setAwaitingResponse tells the engine when the client begins to wait for a response, and when one has come.
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

// relayToClient forwards the server's lines, each one complete, so that a migration can write MOVE between two of them.
// It runs in its own goroutine and sends an upstreamClosedEvent when the server's side has ended.
func (c *clientConn) relayToClient(up *upstreamConn) {
	var tokens *tokenIssuer
	if c.session != nil {
		tokens = &c.session.tokens
	}
	code := decide.Reset
	closeAnnounced := false
	atLineStart := true
	for {
		raw, err := readLineOrChunk(up)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if closeAnnounced {
				err = io.EOF // The client has been told already and must not get MOVE after that.
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
			startsLine := atLineStart
			atLineStart = raw[len(raw)-1] == '\n'
			if tokens != nil && startsLine && atLineStart {
				raw = tokens.filterLine(raw)
			}
			if _, err := c.conn.Write(raw); err != nil {
				return // readClient reports how the client's side ended.
			}
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			c.notify(upstreamClosedEvent{code, err})
			return
		}
	}
}

// inspectServerLine tells the engine the connection's load if the line names it. If the line announces the end of the
// connection, it returns the outcome to report and true.
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

// readLineOrChunk reads a line, or as much of a long one as the buffer holds. If a migration interrupts it within a
// line, it waits up to lineRemainderTimeout for the rest, so that the client gets the complete line or nothing of it.
// It returns os.ErrDeadlineExceeded once it is interrupted between two lines.
func readLineOrChunk(up *upstreamConn) ([]byte, error) {
	raw, err := up.text.R.ReadSlice('\n')
	if len(raw) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return raw, err
	}
	start := bytes.Clone(raw)
	up.conn.SetReadDeadline(time.Now().Add(lineRemainderTimeout))
	raw, err = up.text.R.ReadSlice('\n')
	if err != nil {
		return nil, os.ErrDeadlineExceeded
	}
	up.conn.SetReadDeadline(expiredDeadline)
	return append(start, raw...), nil
}

// handleClientClosed relays the end of the client's side to the room server: a close as a close, a reset as a reset.
func (c *clientConn) handleClientClosed(err error) bool {
	if !c.established || c.upstream == nil {
		return false // The client closed before its answer, or after a final one.
	}
	if err == nil {
		return true
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

// abandonUpstream closes the server's side of an established connection whose client has gone, with a TCP reset if
// reset is true.
func (c *clientConn) abandonUpstream(reset bool) {
	attempt := c.upstream.number
	c.closeUpstream(reset)
	c.frontend.engine.AttemptEnded(c.call, attempt, decide.Cancelled, decide.NoLoadReport)
}

// handleUpstreamClosed relays the end of the server's side to the client: a close as a close, a reset as a reset. If a
// migration interrupted the reader, it tells the client to connect again.
func (c *clientConn) handleUpstreamClosed(e upstreamClosedEvent) bool {
	if c.upstream == nil {
		return false
	}
	attempt := c.upstream.number
	code := e.code
	if c.clientHalfClosed && code == decide.Reset {
		code = decide.Cancelled // The server is not to blame for a reset that follows its client's close.
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

// sendMigrate tells the client to connect again, with a new session token where it has a session. It returns false if
// the client cannot be written to.
func (c *clientConn) sendMigrate() bool {
	line := wordMove
	if c.session != nil {
		line = c.session.tokens.newTokenLine() + line
	}
	return c.text.PrintfLine("%s", line) == nil
}
