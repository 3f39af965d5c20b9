package platform

// The core's commands to a channel, which its actor executes in the order in which they were given.

import (
	"context"
	"strconv"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/session/protocol"
)

// command is what the core wants of a channel. It is executed by the channel's actor; false ends the actor.
type command interface {
	execute(ctx context.Context, c *channel) bool
}

type (
	attemptCommand struct{ core.Attempt }
	giveUpCommand  struct {
		n   int
		why decide.Code
	}
	standCommand       struct{ n int }
	unavailableCommand struct{ retryAfter time.Duration }
	failCommand        struct{}
	moveCommand        struct{}
	dropCommand        struct{}
	holderCommand      struct {
		n      int
		server core.Upstream
		known  bool
	}
	startOverCommand struct{ why core.Reason }
)

// enqueue puts a command into the mailbox. The core must not wait: a channel that cannot keep up is cut off.
func (c *channel) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
		c.client.Close()
	}
}

// StartAttempt starts a call attempt.
func (c *channel) StartAttempt(a core.Attempt) { c.enqueue(attemptCommand{a}) }

// CancelAttempt asks for the end of a call attempt that has no answer.
func (c *channel) CancelAttempt(n int, why decide.Code) { c.enqueue(giveUpCommand{n, why}) }

// Establish passes the room server's answer to the client and relays from then on.
func (c *channel) Establish(n int) { c.enqueue(standCommand{n}) }

// Reject answers that trying again is harmless, and closes.
func (c *channel) Reject(retryAfter time.Duration) { c.enqueue(unavailableCommand{retryAfter}) }

// Fail answers that the request failed, and closes.
func (c *channel) Fail() { c.enqueue(failCommand{}) }

// Migrate sends the client of a standing connection away.
func (c *channel) Migrate() { c.enqueue(moveCommand{}) }

// Abort closes whatever is still open.
func (c *channel) Abort() { c.enqueue(dropCommand{}) }

// HolderLocated answers what Locate asked.
func (c *channel) HolderLocated(n int, s core.Upstream, known bool) {
	c.enqueue(holderCommand{n, s, known})
}

// StartOver is the final answer that the session cannot go on.
func (c *channel) StartOver(why core.Reason) { c.enqueue(startOverCommand{why}) }

func (cmd attemptCommand) execute(ctx context.Context, c *channel) bool {
	c.closeUp(false)
	c.dropCall()
	c.dial(ctx, cmd.Attempt)
	return true
}

func (cmd giveUpCommand) execute(_ context.Context, c *channel) bool {
	c.giveUp(cmd.n, cmd.why)
	return true
}

func (cmd standCommand) execute(_ context.Context, c *channel) bool { return c.stand(cmd.n) }

func (cmd unavailableCommand) execute(_ context.Context, c *channel) bool {
	answer := "BUSY"
	if ms := cmd.retryAfter.Milliseconds(); ms > 0 {
		answer += " " + strconv.FormatInt(ms, 10)
	}
	return c.answer(answer)
}

func (failCommand) execute(_ context.Context, c *channel) bool { return c.answer("ERR") }

func (cmd startOverCommand) execute(_ context.Context, c *channel) bool {
	return c.answer(protocol.StartOverLine(string(cmd.why)))
}

func (cmd holderCommand) execute(ctx context.Context, c *channel) bool { return c.located(ctx, cmd) }

func (moveCommand) execute(_ context.Context, c *channel) bool {
	// Guards against a command that was under way when the room server ended the connection itself: as a drain sends all
	// clients away, the module may move some of the same. What it ended is passed on already.
	if c.stands && c.up != nil {
		// The reader stops between two lines and tells; until then the actor goes on listening.
		c.up.conn.SetReadDeadline(time.Unix(1, 0))
		// Guards against a client that reads nothing: neither the reader nor this actor may hang in a write to it, or the
		// process would not end in time.
		c.client.SetWriteDeadline(time.Now().Add(moveWithin))
	}
	return true
}

func (dropCommand) execute(_ context.Context, c *channel) bool {
	// Guards a request that is here already: a busy machine may read it later than the core waits for it.
	return !c.asked && (c.heard.Load() || unread(c.client))
}
