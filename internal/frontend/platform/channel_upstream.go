package platform

// The connection of one call attempt: its dial, its first line, its answer and its end.

import (
	"context"
	"errors"
	"net"
	"net/textproto"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/textline"
)

// upstream is the connection of one call attempt.
type upstream struct {
	n      int
	cancel context.CancelFunc // ends the dial
	conn   *net.TCPConn
	text   *textproto.Conn
	answer string
	told   bool          // the core was told that it stands
	wait   time.Duration // of the attempt
	sent   bool          // its first line is written
	start  chan struct{} // closed when it stands
}

// dial starts a call attempt. The dial has its own goroutine; the line is written by the actor, so that an
// attempt that was given up meanwhile writes nothing.
func (c *channel) dial(ctx context.Context, a core.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	up := &upstream{n: a.Number, cancel: cancel, start: make(chan struct{}), wait: a.Timeout}
	c.up = up
	if c.session != nil {
		c.session.at = a.Upstream
	}
	c.front.readers.Go(func() {
		conn, err := c.connect(ctx, a.Upstream.Address)
		select {
		case c.news <- newsDialled{up, conn, err}:
		case <-c.done:
			c.front.close(conn)
		}
	})
}

// errNotAwaited ends a dial that nobody waits for any more.
var errNotAwaited = errors.New("the client has left, or has sent more than its line")

// connect dials a room server once there is a descriptor. It runs beside the actor. Guards room servers against connections
// for clients that left while their request waited: the actor may not have heard of that yet.
func (c *channel) connect(ctx context.Context, address string) (net.Conn, error) {
	if err := c.front.roomToDial(ctx); err != nil {
		return nil, err
	}
	if left, more := c.clientState(); left || more {
		c.front.free()
		return nil, errNotAwaited
	}
	conn, err := c.front.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.front.free()
		return nil, err
	}
	return conn, nil
}

func (c *channel) dialled(n newsDialled) bool {
	if n.up != c.up {
		c.front.close(n.conn)
		return true
	}
	if errors.Is(n.err, errNotAwaited) { // no room server is to blame
		_, stays := c.awaited()
		return stays
	}
	if n.err != nil {
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
		return true
	}
	up := c.up
	up.conn = n.conn.(*net.TCPConn)
	up.text = textproto.NewConn(up.conn)
	resumes := c.session != nil && c.session.flow != nil
	if resumes {
		if !c.resumes() {
			return false
		}
	} else if !c.sendFirst() {
		return false
	}
	if c.up != up || !resumes && !up.sent {
		return true
	}
	c.front.readers.Go(func() {
		for {
			line, err := textline.Read(up.text.R)
			c.tell(newsReply{up, line, err})
			if !resumes || err != nil || parseReply(line).up {
				break
			}
		}
		select {
		case <-up.start:
			c.relayDown(up)
		case <-c.done:
		}
	})
	return true
}

// sendFirst writes the attempt's first line, which is what the attempt counts from; false ends the actor. Guards clients
// that have left while their request waited, anywhere: what they asked for is not sent on, and a client that has sent
// more is answered by the core.
func (c *channel) sendFirst() bool {
	up := c.up
	if yes, stays := c.awaited(); !yes {
		return stays
	}
	if err := up.text.PrintfLine("%s", c.firstLine(up.wait)); err != nil {
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
		return true
	}
	up.sent = true
	c.front.module.AttemptSent(c.call, up.n)
	return true
}

// awaited tells whether the client waits for its answer still. One that has sent more is answered by the core; stays is false
// for one that has left, which ends the actor.
func (c *channel) awaited() (yes, stays bool) {
	left, more := c.clientState()
	if more {
		c.front.module.RequestMalformed(c.call)
	}
	return !left && !more, !left
}

// giveUp ends the attempt that is out, where it can be told what became of it: this actor writes its line and takes its
// answer, so that neither can cross the end.
func (c *channel) giveUp(n int, why decide.Code) {
	switch up := c.up; {
	case up == nil || up.n != n || up.told: // its end, or its answer, is told already
	case up.sent && why.NeverExecuted(): // its line was written as the time-out of its dial fell due: it goes on
	case !up.sent && !why.NeverExecuted():
		c.endAttempt(decide.ConnectFailed, decide.NoLoadReport)
	default:
		c.endAttempt(why, decide.NoLoadReport)
	}
}

func (c *channel) replied(n newsReply) bool {
	if n.up != c.up {
		return true
	}
	if errors.Is(n.err, textline.ErrLong) || errors.Is(n.err, textline.ErrBare) {
		c.endAttempt(decide.ServerError, decide.NoLoadReport)
		return true
	}
	if n.err != nil {
		c.endAttempt(c.broken(), decide.NoLoadReport)
		return true
	}
	r := parseReply(n.line)
	if c.session != nil && c.session.flow != nil {
		if r.up {
			c.up.answer = n.line
			return c.step(c.session.flow.UpstreamAccepted())
		}
		if known, more := c.said(n.line); known {
			return more
		}
	}
	if !r.up {
		c.endAttempt(r.code, r.report)
		return true
	}
	c.up.answer = n.line
	c.isUp()
	return true
}

// isUp tells the core that the attempt has its answer.
func (c *channel) isUp() {
	c.up.told = true
	c.front.module.AttemptAccepted(c.call, c.up.n)
}

// broken is what became of an attempt whose connection broke: it may have run once its line was written.
func (c *channel) broken() decide.Code {
	if c.up.sent {
		return decide.Reset
	}
	return decide.ConnectFailed
}

// endAttempt closes the attempt's connection before the core hears that it ended.
func (c *channel) endAttempt(code decide.Code, report decide.LoadReport) {
	n := c.up.n
	c.closeUp(false)
	c.front.module.AttemptEnded(c.call, n, code, report)
}

// closeUp closes the connection to the room server; with reset it is cut off.
func (c *channel) closeUp(reset bool) {
	if c.up == nil {
		return
	}
	c.up.cancel()
	if c.up.conn != nil {
		if reset {
			c.up.conn.SetLinger(0)
		}
		c.front.close(c.up.conn)
	}
	c.up = nil
}
