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

// channel is the actor of one client: it owns the client's connection and the one to its room server. Commands
// come from the core through the mailbox, news from its own readers.
type channel struct {
	front  *Frontend
	call   *core.Call
	client *net.TCPConn
	text   *textproto.Conn

	commands chan command
	news     chan any
	done     chan struct{} // closed when the actor ends
	relay    chan *upstream

	answered chan struct{} // closed with the final answer

	first   firstLine
	session *session  // nil: the client asks for none
	up      *upstream // the attempt that is out, or the server of a standing connection
	stands  bool
	left    bool        // the client has ended its side
	asked   bool        // its first line was handed to the core,
	heard   atomic.Bool // or has been read at least
	early   atomic.Bool // so was more, before its answer

	awaits   sync.Mutex // also held while the core is told, so that it hears both in the order in which they came
	awaiting bool       // the client sent something that is not answered yet
}

// mailboxSize holds all commands that a call can have waiting, however many attempts the settings allow: the next one is
// commanded when the end of the one before was told. Each has three reasons to be given up at most.
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

// tell brings news to the actor, unless it has ended.
func (c *channel) tell(news any) {
	select {
	case c.news <- news:
	case <-c.done:
	}
}

// run is the actor. It returns when both connections are closed.
func (c *channel) run(ctx context.Context) {
	defer c.front.module.ClientClosed(c.call)
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
		case cmd := <-c.commands:
			more = c.execute(ctx, cmd)
		case n := <-c.news:
			more = c.handle(n)
		}
		if !more {
			return
		}
	}
}

// handle takes news from the readers; false ends the actor.
func (c *channel) handle(news any) bool {
	switch n := news.(type) {
	case newsFirst:
		c.asked = true
		c.begin(n.line, n.at)
	case newsEarly:
		if !c.stands {
			c.front.module.RequestMalformed(c.call)
		}
	case newsClientEnd:
		return c.clientEnded(n.err)
	case newsDialled:
		return c.dialled(n)
	case newsReply:
		return c.replied(n)
	case newsHolder:
		return c.exported(n)
	case newsCommit:
		return c.committed(n)
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
		c.front.module.RequestMalformed(c.call)
		return
	}
	c.first = first
	r := core.Request{ID: first.id, Class: first.class, Key: first.key, Group: first.group,
		Deadline: at.Add(first.wait), Load: first.load, Returning: first.returning}
	if first.at != "" {
		c.front.module.RestoreConnection(c.call, r, core.ServerID(first.at), reopenWithin)
		return
	}
	if !c.beginSession(&r, at) {
		return
	}
	c.front.module.RequestReceived(c.call, r)
}

// reopenWithin is how long a connection that was open before the start may take to stand again.
const reopenWithin = 40 * time.Second

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

// execute carries out a command; false ends the actor.
func (c *channel) execute(ctx context.Context, cmd command) bool { return cmd.execute(ctx, c) }
