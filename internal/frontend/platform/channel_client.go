package platform

// What is read from a client before its connection stands.

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"time"

	"cottonplank/internal/textline"

	"golang.org/x/sys/unix"
)

// unread tells whether the kernel holds bytes that have come and were not read. It takes none.
func unread(conn *net.TCPConn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// peek looks at what the kernel holds of a connection, without waiting: bytes, its end (0), or the error that it ended
// with. EAGAIN: nothing.
func peek(conn *net.TCPConn) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		n, _, failed = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return max(n, 0), cmp.Or(err, failed)
}

// clientState tells whether a client that waits has left, or has sent more. It asks the kernel: on a busy machine the
// reader's news may lie behind the order that is carried out.
func (c *channel) clientState() (left, more bool) {
	n, err := peek(c.client)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return false, c.early.Load()
	}
	return err != nil || n == 0, n > 0
}

// pingsAtOnce is how many PINGs may come at a stroke: a health check waits for its answer.
const pingsAtOnce = 8

// discardMost bounds what is read and thrown away after a final answer. Reading lets the client take the answer
// before a reset over unread bytes; a client that sends without end costs no more than this.
const discardMost = 1 << 20

// readClient reads the client's lines: PING, the first line, then all that follows once it stands.
func (c *channel) readClient() {
	for pings := 0; ; {
		line, err := c.readLine()
		if err == nil && line == "PING" && pings < pingsAtOnce {
			if pings++; c.text.R.Buffered() == 0 {
				pings = 0
			}
			err = c.text.PrintfLine("%s", c.front.pong())
			c.front.module.HealthCheckReceived(c.call)
			if err == nil {
				continue
			}
		}
		if err != nil && !errors.Is(err, textline.ErrLong) && !errors.Is(err, textline.ErrBare) {
			c.tell(newsClientEnd{err})
			return
		}
		if err != nil || c.text.R.Buffered() > 0 {
			line = "" // malformed, or more came with it: no client's form
		}
		c.heard.Store(true)
		c.tell(newsFirst{line, time.Now()})
		break
	}
	if _, err := c.text.R.Peek(1); err != nil {
		c.tell(newsClientEnd{err})
		return
	}
	c.early.Store(true)
	c.tell(newsEarly{})
	select {
	case up := <-c.relay:
		c.tell(newsClientEnd{c.relayUp(up)})
	case <-c.answered:
		c.discard()
	case <-c.done:
	}
}

// begunEvery bounds how often the core hears of a line that comes byte by byte.
const begunEvery = 50 * time.Millisecond

// readLine reads one of the client's first lines. The core hears when it comes in pieces.
func (c *channel) readLine() (string, error) {
	var told time.Time
	for n := 0; ; {
		if _, err := c.text.R.Peek(n + 1); err != nil {
			break // the read tells
		}
		n = c.text.R.Buffered()
		if raw, _ := c.text.R.Peek(n); n == c.text.R.Size() || bytes.IndexByte(raw, '\n') >= 0 {
			break
		}
		if time.Since(told) >= begunEvery {
			told = time.Now()
			c.front.module.FirstLineStarted(c.call)
		}
	}
	return textline.Read(c.text.R)
}

// discard reads on after a final answer, up to a bound; the core drops the channel after a while.
func (c *channel) discard() {
	if _, err := io.CopyN(io.Discard, c.client, discardMost); err != nil {
		c.tell(newsClientEnd{err})
	}
}
