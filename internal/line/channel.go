package line

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/resumeline"
	"cottonplank/internal/textline"

	"golang.org/x/sys/unix"
)

// channel is the actor of one client: it owns the client's connection and the one to its room server. Orders
// come from the core through the mailbox, news from its own readers.
type channel struct {
	front  *Front
	call   *core.Call
	client *net.TCPConn
	text   *textproto.Conn

	orders chan order
	news   chan any
	done   chan struct{} // closed when the actor ends
	relay  chan *upstream

	answered chan struct{} // closed with the final answer

	first    firstLine
	session  *session  // nil: the client asks for none
	up       *upstream // the attempt that is out, or the server of a standing connection
	stands   bool
	left     bool        // the client has ended its side
	asked    bool        // its first line was handed to the core,
	heard    atomic.Bool // or has been read at least
	awaiting atomic.Bool // the client sent something that is not answered yet
}

// upstream is the connection of one call attempt.
type upstream struct {
	n       int
	cancel  context.CancelFunc // ends the dial
	conn    *net.TCPConn
	text    *textproto.Conn
	answer  string
	wait    time.Duration // of the attempt
	counted bool          // its first line is written
	start   chan struct{} // closed when it stands
}

// order is what the core asks of a channel.
type order struct {
	kind       orderKind
	attempt    core.CallAttempt
	n          int
	retryAfter time.Duration
	holder     core.Subchannel
	known      bool
	why        core.Reason
}

type orderKind uint8

const (
	orderAttempt orderKind = iota
	orderGiveUp
	orderStand
	orderUnavailable
	orderFail
	orderMove
	orderDrop
	orderHolder
	orderStartOver
)

// mailboxSize holds all orders that a call can have waiting: three attempts, their ends and the answer.
const mailboxSize = 32

// News of the readers.
type (
	newsFirst struct {
		line string
		at   time.Time // when its last byte was here
	}
	newsEarly     struct{} // the client sent more before its answer
	newsClientEnd struct{ err error }
	newsDialled   struct {
		up   *upstream
		conn net.Conn
		err  error
	}
	newsReply struct {
		up   *upstream
		line string
		err  error
	}
	newsServerEnd struct {
		code decide.Code
		err  error
	}
)

// order puts an order into the mailbox. The core must not wait: a channel that cannot keep up is cut off.
func (c *channel) order(o order) {
	select {
	case c.orders <- o:
	default:
		c.client.Close()
	}
}

func (c *channel) Attempt(a core.CallAttempt) { c.order(order{kind: orderAttempt, attempt: a}) }
func (c *channel) GiveUp(n int)               { c.order(order{kind: orderGiveUp, n: n}) }
func (c *channel) Stand(n int)                { c.order(order{kind: orderStand, n: n}) }
func (c *channel) Fail()                      { c.order(order{kind: orderFail}) }
func (c *channel) Move()                      { c.order(order{kind: orderMove}) }
func (c *channel) Drop()                      { c.order(order{kind: orderDrop}) }
func (c *channel) Unavailable(retryAfter time.Duration) {
	c.order(order{kind: orderUnavailable, retryAfter: retryAfter})
}

// tell brings news to the actor, unless it has ended.
func (c *channel) tell(news any) {
	select {
	case c.news <- news:
	case <-c.done:
	}
}

// run is the actor. It returns when both connections are closed.
func (c *channel) run(ctx context.Context) {
	defer c.front.module.Closed(c.call)
	defer c.closeUp(false)
	defer c.closeHolder()
	defer c.front.free()
	defer c.client.Close()
	defer close(c.done)
	c.front.readers.Go(c.readClient)
	for {
		var more bool
		select {
		case <-ctx.Done():
			return
		case o := <-c.orders:
			more = c.obey(ctx, o)
		case n := <-c.news:
			more = c.hear(n)
		}
		if !more {
			return
		}
	}
}

// obey carries out an order; false ends the actor.
func (c *channel) obey(ctx context.Context, o order) bool {
	switch o.kind {
	case orderAttempt:
		c.closeUp(false)
		c.dropCall()
		c.dial(ctx, o.attempt)
	case orderGiveUp:
		if c.up != nil && c.up.n == o.n {
			c.closeUp(false)
		}
	case orderStand:
		return c.stand(o.n)
	case orderUnavailable:
		answer := "BUSY"
		if ms := o.retryAfter.Milliseconds(); ms > 0 {
			answer += " " + strconv.FormatInt(ms, 10)
		}
		return c.answer(answer)
	case orderFail:
		return c.answer("ERR")
	case orderStartOver:
		return c.answer(resumeline.Anew(string(o.why)))
	case orderHolder:
		c.located(ctx, o)
	case orderMove:
		// Guards against an order that was under way when the room server ended the connection itself: as a drain
		// sends all clients away, the module may move some of the same. What it ended is passed on already.
		if c.stands && c.up != nil {
			// The reader stops between two lines and tells; until then the actor goes on listening.
			c.up.conn.SetReadDeadline(time.Unix(1, 0))
			// Guards against a client that reads nothing: neither the reader nor this actor may hang in a
			// write to it, or the process would not end in time.
			c.client.SetWriteDeadline(time.Now().Add(moveWithin))
		}
	case orderDrop:
		// Guards a request that is here already: a busy machine may read it later than the core waits for it.
		return !c.asked && (c.heard.Load() || unread(c.client))
	}
	return true
}

// unread tells whether the kernel holds bytes that have come and were not read. It takes none.
func unread(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) // an error is no byte
	})
	return err == nil && n > 0
}

// hear takes news from the readers; false ends the actor.
func (c *channel) hear(news any) bool {
	switch n := news.(type) {
	case newsFirst:
		c.asked = true
		c.begin(n.line, n.at)
	case newsEarly:
		if !c.stands {
			c.front.module.Malformed(c.call)
		}
	case newsClientEnd:
		return c.clientEnded(n.err)
	case newsDialled:
		c.dialled(n)
	case newsReply:
		c.replied(n)
	case newsHolder:
		c.exported(n)
	case newsCommit:
		c.committed(n)
	case newsServerEnd:
		return c.serverEnded(n)
	}
	return true
}

// begin hands the request to the core.
func (c *channel) begin(line string, at time.Time) {
	first, err := parseFirst(line, c.front.names)
	// Guards sessions against a client that tells a room server to attach one, as only a balancer may.
	if err != nil || first.session && c.front.resuming != nil {
		c.front.module.Malformed(c.call)
		return
	}
	c.first = first
	r := core.Request{ID: first.id, Class: first.class, Key: first.key, Group: first.group,
		Deadline: at.Add(first.wait), Load: first.load, Returning: first.returning}
	if first.at != "" {
		c.front.module.Reopen(c.call, r, core.ServerID(first.at), reopenWithin)
		return
	}
	if !c.beginSession(&r, at) {
		return
	}
	c.front.module.Request(c.call, r)
}

// reopenWithin is how long a connection that was open before the start may take to stand again.
const reopenWithin = 40 * time.Second

// moveWithin is how long a client may take to accept its MOVE.
const moveWithin = 500 * time.Millisecond

// dial starts a call attempt. The dial has its own goroutine; the line is written by the actor, so that an
// attempt that was given up meanwhile writes nothing.
func (c *channel) dial(ctx context.Context, a core.CallAttempt) {
	ctx, cancel := context.WithCancel(ctx)
	up := &upstream{n: a.N, cancel: cancel, start: make(chan struct{}), wait: a.Wait}
	c.up = up
	if c.session != nil {
		c.session.at = a.Server
	}
	c.front.readers.Go(func() {
		err := c.front.roomToDial(ctx)
		var conn net.Conn
		if err == nil {
			if conn, err = c.front.dialer.DialContext(ctx, "tcp", a.Server.Address); err != nil {
				c.front.free()
			}
		}
		select {
		case c.news <- newsDialled{up, conn, err}:
		case <-c.done:
			c.front.close(conn)
		}
	})
}

func (c *channel) dialled(n newsDialled) {
	if n.up != c.up {
		c.front.close(n.conn)
		return
	}
	if n.err != nil {
		c.endAttempt(decide.ConnectFailed, decide.NoReport)
		return
	}
	up := c.up
	up.conn = n.conn.(*net.TCPConn)
	up.text = textproto.NewConn(up.conn)
	resumes := c.session != nil && c.session.flow != nil
	if resumes {
		c.resumes()
	} else {
		if err := up.text.PrintfLine("%s", c.firstLine(up.wait)); err != nil {
			c.endAttempt(decide.ConnectFailed, decide.NoReport)
			return
		}
		c.front.module.Connected(c.call, up.n)
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
}

func (c *channel) replied(n newsReply) {
	if n.up != c.up {
		return
	}
	if errors.Is(n.err, textline.ErrLong) || errors.Is(n.err, textline.ErrBare) {
		c.endAttempt(decide.ServerError, decide.NoReport)
		return
	}
	if n.err != nil {
		c.endAttempt(decide.Reset, decide.NoReport)
		return
	}
	r := parseReply(n.line)
	if c.session != nil && c.session.flow != nil {
		if r.up {
			c.up.answer = n.line
			c.step(c.session.flow.Up())
			return
		}
		if c.said(n.line) {
			return
		}
	}
	if !r.up {
		c.endAttempt(r.code, r.report)
		return
	}
	c.up.answer = n.line
	c.front.module.Up(c.call, c.up.n)
}

// endAttempt closes the attempt's connection before the core hears that it ended.
func (c *channel) endAttempt(code decide.Code, report decide.Report) {
	n := c.up.n
	c.closeUp(false)
	c.front.module.Ended(c.call, n, code, report)
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

// answer writes a final answer and ends the client's side; the client closes, or the core drops it.
func (c *channel) answer(line string) bool {
	c.closeUp(false)
	c.closeHolder()
	if err := c.text.PrintfLine("%s", line); err != nil {
		return false
	}
	close(c.answered)
	return c.client.CloseWrite() == nil
}

// stand passes the room server's answer on and starts to relay both ways.
func (c *channel) stand(n int) bool {
	if c.up == nil || c.up.n != n {
		return true // it ended meanwhile, and the core hears of that
	}
	if err := c.text.PrintfLine("%s", c.up.answer); err != nil {
		return false
	}
	c.stands = true
	if c.session != nil {
		c.closeHolder()
		c.keeps()
	}
	close(c.up.start)
	c.relay <- c.up
	return true
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
			c.front.module.Pinged(c.call)
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
			c.front.module.Begun(c.call)
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

// relayUp passes the client's bytes on, as they come, until one side ends; a server that takes nothing
// holds the client back.
func (c *channel) relayUp(up *upstream) error {
	for {
		if _, err := c.text.R.Peek(1); err != nil {
			return err
		}
		if c.awaiting.CompareAndSwap(false, true) {
			c.front.module.Awaiting(c.call) // before the bytes go out: no answer can come sooner
		}
		raw, _ := c.text.R.Peek(c.text.R.Buffered())
		if _, err := up.conn.Write(raw); err != nil {
			return nil // the server's reader tells how that side ended
		}
		c.text.R.Discard(len(raw))
	}
}

// relayDown passes the server's lines on, whole, so that MOVE can come between two of them.
func (c *channel) relayDown(up *upstream) {
	code := decide.Reset
	var tokens *kept
	if c.session != nil {
		tokens = &c.session.kept
	}
	for whole := true; ; {
		raw, err := up.text.R.ReadSlice('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.tell(newsServerEnd{decide.Cancelled, err})
			return
		}
		if len(raw) > 0 {
			switch word, rest, _ := bytes.Cut(bytes.TrimRight(raw, "\r\n"), []byte{' '}); string(word) {
			case "LOAD":
				if load, err := parseLoad(string(rest)); err == nil {
					c.front.module.Load(c.call, load)
				}
			case "BYE":
				code = decide.OK
			case "MOVE":
				code = decide.Cancelled
			}
			if c.awaiting.CompareAndSwap(true, false) {
				c.front.module.Answered(c.call)
			}
			if begins := whole; tokens != nil {
				whole = raw[len(raw)-1] == '\n'
				if begins && whole {
					before, goes := tokens.pass(raw)
					if !goes {
						raw = nil
					}
					raw = append([]byte(before), raw...) // one write: neither comes without the other
				}
			}
			if _, err := c.client.Write(raw); err != nil {
				return // the client's reader tells how that side ended
			}
		}
		if err != nil && !errors.Is(err, bufferFull) {
			c.tell(newsServerEnd{code, err})
			return
		}
	}
}

// clientEnded passes the client's end on to the room server in the same way.
func (c *channel) clientEnded(err error) bool {
	if !c.stands || c.up == nil {
		return false // it left before its answer, or after a final one
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, io.EOF) {
		c.leave(true)
		return false
	}
	if c.up.conn.CloseWrite() != nil {
		c.leave(false)
		return false
	}
	c.left = true
	c.front.module.Lingering(c.call)
	return true
}

// leave closes the server's side of a standing connection whose client left.
func (c *channel) leave(reset bool) {
	n := c.up.n
	c.closeUp(reset)
	c.front.module.Ended(c.call, n, decide.Cancelled, decide.NoReport)
}

// serverEnded passes the server's end on to the client in the same way, or finishes a move.
func (c *channel) serverEnded(n newsServerEnd) bool {
	if c.up == nil {
		return false
	}
	number := c.up.n
	if c.left && n.code == decide.Reset { // Guards a room server against blame for an end that follows its client's.
		n.code = decide.Cancelled
	}
	moved := errors.Is(n.err, os.ErrDeadlineExceeded)
	if moved {
		move := "MOVE"
		if c.session != nil {
			move = c.session.kept.line() + move
		}
		if c.text.PrintfLine("%s", move) != nil {
			return false
		}
	} else if !errors.Is(n.err, io.EOF) {
		c.client.SetLinger(0)
		c.closeUp(true)
		c.front.module.Ended(c.call, number, n.code, decide.NoReport)
		return false
	}
	c.closeUp(false)
	c.front.module.Ended(c.call, number, n.code, decide.NoReport)
	c.front.module.Lingering(c.call)
	return c.client.CloseWrite() == nil
}
