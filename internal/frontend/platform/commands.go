package platform

import (
	"context"
	"strconv"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/session/protocol"
)

// migrateWriteTimeout limits the time for all writes to the client after a migrate command, MOVE included. It leaves
// half a second after a line whose rest arrives late, and ends before the engine aborts the connection.
const migrateWriteTimeout = lineRemainderTimeout + 500*time.Millisecond

// command is an instruction of the engine to a clientConn. The actor executes the commands in the order in which the
// engine issued them.
type command interface {
	// execute carries out the command. It returns false if the actor has to end.
	execute(ctx context.Context, c *clientConn) (keepRunning bool)
}

// The commands, one for each method of core.ClientConn and core.Resumer.
type (
	startAttemptCommand  struct{ core.Attempt }
	cancelAttemptCommand struct {
		attempt int
		code    decide.Code
	}
	establishCommand     struct{ attempt int }
	rejectCommand        struct{ retryAfter time.Duration }
	failCommand          struct{}
	migrateCommand       struct{}
	closeUnusedCommand   struct{}
	abortCommand         struct{}
	holderLocatedCommand struct {
		attempt int
		holder  core.Upstream
		known   bool
	}
	startOverCommand struct{ reason core.Reason }
)

// enqueue puts a command into the mailbox. The engine must never block, so if the mailbox is full, the client
// connection is closed instead.
func (c *clientConn) enqueue(cmd command) {
	select {
	case c.commands <- cmd:
	default:
		c.conn.Close()
	}
}

// StartAttempt implements core.ClientConn: it starts an attempt at a room server.
func (c *clientConn) StartAttempt(attempt core.Attempt) { c.enqueue(startAttemptCommand{attempt}) }

// CancelAttempt implements core.ClientConn: it cancels an attempt that has no answer yet.
func (c *clientConn) CancelAttempt(attempt int, code decide.Code) {
	c.enqueue(cancelAttemptCommand{attempt, code})
}

// Establish implements core.ClientConn: it forwards the room server's acceptance to the client and starts the relay.
func (c *clientConn) Establish(attempt int) { c.enqueue(establishCommand{attempt}) }

// Reject implements core.ClientConn: it answers that the request was not executed and may be retried, after
// retryAfter if that is not 0, and closes.
func (c *clientConn) Reject(retryAfter time.Duration) { c.enqueue(rejectCommand{retryAfter}) }

// Fail implements core.ClientConn: it answers that the request failed, and closes.
func (c *clientConn) Fail() { c.enqueue(failCommand{}) }

// Migrate implements core.ClientConn: it sends MOVE to the client of an established connection, and closes.
func (c *clientConn) Migrate() { c.enqueue(migrateCommand{}) }

// CloseUnused implements core.ClientConn: it closes the client connection unless a request may have arrived.
func (c *clientConn) CloseUnused() { c.enqueue(closeUnusedCommand{}) }

// Abort implements core.ClientConn: it closes all connections that are still open.
func (c *clientConn) Abort() { c.enqueue(abortCommand{}) }

// HolderLocated implements core.Resumer: it delivers the result of Engine.LocateHolder.
func (c *clientConn) HolderLocated(attempt int, holder core.Upstream, known bool) {
	c.enqueue(holderLocatedCommand{attempt, holder, known})
}

// StartOver implements core.Resumer: it answers that the session cannot be resumed, and closes.
func (c *clientConn) StartOver(reason core.Reason) { c.enqueue(startOverCommand{reason}) }

func (cmd startAttemptCommand) execute(ctx context.Context, c *clientConn) bool {
	c.closeUpstream(false)
	c.cancelPendingCall()
	c.startAttempt(ctx, cmd.Attempt)
	return true
}

func (cmd cancelAttemptCommand) execute(_ context.Context, c *clientConn) bool {
	c.cancelAttempt(cmd.attempt, cmd.code)
	return true
}

func (cmd establishCommand) execute(_ context.Context, c *clientConn) bool {
	return c.establish(cmd.attempt)
}

func (cmd rejectCommand) execute(_ context.Context, c *clientConn) bool {
	answer := wordBusy
	if ms := cmd.retryAfter.Milliseconds(); ms > 0 {
		answer += " " + strconv.FormatInt(ms, 10)
	}
	return c.sendFinalAnswer(answer)
}

func (failCommand) execute(_ context.Context, c *clientConn) bool { return c.sendFinalAnswer(wordErr) }

func (cmd startOverCommand) execute(_ context.Context, c *clientConn) bool {
	return c.sendFinalAnswer(protocol.StartOverLine(string(cmd.reason)))
}

func (cmd holderLocatedCommand) execute(ctx context.Context, c *clientConn) bool {
	return c.handleHolderLocated(ctx, cmd)
}

func (migrateCommand) execute(_ context.Context, c *clientConn) bool {
	// A draining room server closes its connections itself, so this command may arrive after the connection to it has
	// ended. In that case the end was relayed to the client before, and nothing is left to do.
	if c.established && c.upstream != nil {
		now := time.Now()
		// A client that does not read must not block relayToClient or this actor in a write, or the process would not
		// stop in time. Without the limit, the kernel takes what is left to write.
		limitUnsentBytes(c.conn, unlimitedUnsentBytes)
		c.conn.SetWriteDeadline(now.Add(migrateWriteTimeout))
		remainderDeadline := now.Add(lineRemainderTimeout)
		c.upstream.remainderDeadline.Store(&remainderDeadline)
		// The expired deadline interrupts relayToClient, which stops between two lines and sends an upstreamClosedEvent.
		// Until then the actor handles other events and commands.
		c.upstream.conn.SetReadDeadline(expiredDeadline)
	}
	return true
}

func (closeUnusedCommand) execute(_ context.Context, c *clientConn) bool {
	if !c.requestSubmitted {
		c.interruptReader()
	}
	return true
}

func (abortCommand) execute(_ context.Context, c *clientConn) bool {
	c.logMissingMigration()
	return false
}

// interruptReader makes readClient stop reading if nothing has arrived that it has not read, and report errUnused. The
// decision is left to readClient: while it reads, a request could arrive between a check of another goroutine and the
// close, and be read and dropped. Bytes that arrive after readClient has stopped stay unread, so that the close resets
// the connection, which tells the client that its request was not read. interruptReader must not be called once
// requestSubmitted is set.
func (c *clientConn) interruptReader() { c.conn.SetReadDeadline(expiredDeadline) }

// logMissingMigration logs that the client is aborted after a migrate command but before MOVE was written, because its
// connection accepts no more data.
func (c *clientConn) logMissingMigration() {
	if c.upstream == nil || c.upstream.remainderDeadline.Load() == nil || c.clientHalfClosed {
		return
	}
	c.frontend.log.WithField("client", c.conn.RemoteAddr()).Warn("client closed without MOVE: it does not read")
}
