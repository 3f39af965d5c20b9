package platform

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cottonplank/internal/textline"

	"golang.org/x/sys/unix"
)

// maxPipelinedPings limits how many health checks a client may send without waiting for the answers. A further one is
// treated as a malformed request. A regular health check waits for each answer.
const maxPipelinedPings = 8

// maxDiscardedBytes limits how much is read and discarded after a final answer. If the connection were closed with
// unread bytes, the kernel would reset it, and the client could lose the answer. The limit bounds the cost of a
// client that never stops sending.
const maxDiscardedBytes = 1 << 20

// firstLineStartedInterval limits how often the engine is notified of a line that arrives byte by byte. It is the
// minimum interval between two FirstLineStarted reports for one line.
const firstLineStartedInterval = 50 * time.Millisecond

// readClient reads from the client: health checks, the request line and, once the connection is established,
// everything else. It runs in its own goroutine until the client closes, a write to the room server fails,
// maxDiscardedBytes are discarded after a final answer, or the actor ends.
func (c *clientConn) readClient() {
	line, err := c.readUntilRequest()
	if err != nil {
		c.notify(clientClosedEvent{err})
		return
	}
	c.notify(requestLineEvent{line, time.Now()})
	// An interruptReader that came while the line was read has no effect. The actor calls it no more once it has
	// received the event.
	c.conn.SetReadDeadline(time.Time{})
	if _, err := c.text.R.Peek(1); err != nil {
		c.notify(clientClosedEvent{err})
		return
	}
	c.earlyDataRead.Store(true)
	c.notify(earlyDataEvent{})
	select {
	case up := <-c.relayTo:
		c.notify(clientClosedEvent{c.relayToUpstream(up)})
	case <-c.finalAnswerSent:
		c.discard()
	case <-c.done:
	}
}

// readUntilRequest answers health checks and returns the first other line without its CRLF. It returns an empty
// string, which is not a valid request, if the line is malformed or if more data has arrived with it.
func (c *clientConn) readUntilRequest() (string, error) {
	for pipelined := 0; ; {
		line, err := c.readRequestLine()
		if err == nil && line == wordPing && pipelined < maxPipelinedPings {
			pipelined++
			if c.text.R.Buffered() == 0 {
				pipelined = 0
			}
			err = c.text.PrintfLine("%s", c.frontend.pingResponse())
			c.frontend.engine.HealthCheckReceived(c.call)
			if err == nil {
				continue
			}
		}
		if isMalformedLine(err) {
			return "", nil
		}
		if err != nil {
			return "", err
		}
		if c.text.R.Buffered() > 0 {
			return "", nil
		}
		return line, nil
	}
}

// errUnused is the error with which readRequestLine ends after interruptReader.
var errUnused = errors.New("closed without a request")

// readRequestLine reads one line. If the line arrives in pieces, it reports that to the engine, which then allows more
// time for the line. After interruptReader it returns errUnused, unless more has arrived.
func (c *clientConn) readRequestLine() (string, error) {
	var reported time.Time
	for n := 0; ; {
		_, err := c.text.R.Peek(n + 1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !hasUnreadData(c.conn) {
				return "", errUnused
			}
			c.conn.SetReadDeadline(time.Time{})
			continue
		}
		if err != nil {
			break // textline.Read returns the same error.
		}
		n = c.text.R.Buffered()
		if raw, _ := c.text.R.Peek(n); n == c.text.R.Size() || bytes.IndexByte(raw, '\n') >= 0 {
			break
		}
		if time.Since(reported) >= firstLineStartedInterval {
			reported = time.Now()
			c.frontend.engine.FirstLineStarted(c.call)
		}
	}
	return textline.Read(c.text.R)
}

// isMalformedLine reports whether err means that a line was too long or did not end with CRLF.
func isMalformedLine(err error) bool {
	return errors.Is(err, textline.ErrTooLong) || errors.Is(err, textline.ErrMissingCR)
}

// discard reads and discards the client's data after a final answer, up to maxDiscardedBytes. If the client does not
// close the connection, the engine aborts it.
func (c *clientConn) discard() {
	if _, err := io.CopyN(io.Discard, c.conn, maxDiscardedBytes); err != nil {
		c.notify(clientClosedEvent{err})
	}
}

// clientState reports whether a client that waits for its answer has closed the connection, and whether it has sent
// more data. It queries the kernel, because the events of readClient may be delayed on a busy machine.
func (c *clientConn) clientState() (closed, sentMore bool) {
	n, err := peekSocket(c.conn)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return false, c.earlyDataRead.Load()
	}
	return err != nil || n == 0, n > 0
}

// checkClientWaits reports whether the client still waits for its answer. If it has sent more data instead, the
// request is reported to the engine as malformed, and the engine answers it. keepRunning is false if the client has
// closed the connection, which ends the actor.
func (c *clientConn) checkClientWaits() (waits, keepRunning bool) {
	closed, sentMore := c.clientState()
	if sentMore {
		c.frontend.engine.RequestMalformed(c.call)
	}
	return !closed && !sentMore, !closed
}

// hasUnreadData reports whether the kernel's receive buffer of conn holds data. It consumes none.
func hasUnreadData(conn *net.TCPConn) bool {
	n, err := peekSocket(conn)
	return err == nil && n > 0
}

// peekSocket inspects the kernel's receive buffer of conn without blocking and without consuming data. n is 1 if
// there is data, and 0 without an error if the peer has closed its side. If there is neither, err is EAGAIN.
// Otherwise err is the error with which the connection ended.
func peekSocket(conn *net.TCPConn) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var receiveErr error
	err = raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return max(n, 0), cmp.Or(err, receiveErr)
}
