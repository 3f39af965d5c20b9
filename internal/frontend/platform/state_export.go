package platform

import (
	"context"
	"io"
	"net"
	"net/textproto"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/migration"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/textline"
)

// claimMargin is added to the attempt's timeout to get the lifetime of a claim on a session's state. The lifetime
// starts with the export.
//
// Known fault: the attempt's timeout starts again with Engine.StateFetched, but the lifetime of the claim does not. If
// the transfer takes longer than claimMargin, the claim may therefore end before the attempt. This requires a
// core.Config.StateTimeout above claimMargin.
const claimMargin = time.Second

// stateHolder is the connection to the room server that holds a session's state. The claim on the state ends when the
// connection closes, or when its lifetime (protocol.Export.ClaimFor) is over. A call is one request to the holder and
// its answer. The goroutine of clientConn.run owns the stateHolder. While callPending is set, the goroutine of the
// call owns it instead, and returns the ownership with its event.
type stateHolder struct {
	// ctx interrupts calls. It is a field because calls are started by different commands and events.
	ctx    context.Context
	cancel context.CancelFunc
	// conn is nil until the dial has succeeded.
	conn net.Conn
	// text reads and writes conn line by line.
	text *textproto.Conn
	// callPending reports whether a call is in progress. This field is always owned by the goroutine of
	// clientConn.run.
	callPending bool
	// reservedBytes is the number of bytes acquired from SessionResumer.stateBytes.
	reservedBytes int64
	// migrationReserved reports whether a slot was acquired from SessionResumer.migrations.
	migrationReserved bool
}

type (
	// exportAnsweredEvent reports the result of an export call.
	exportAnsweredEvent struct {
		holder *stateHolder
		answer arbiter.Answer
		err    error
	}
	// commitAnsweredEvent reports the result of a commit call.
	commitAnsweredEvent struct {
		holder *stateHolder
		// done reports whether the holder has released the session.
		done bool
		err  error
	}
)

func (e exportAnsweredEvent) handle(c *clientConn) bool { return c.handleExportAnswered(e) }
func (e commitAnsweredEvent) handle(c *clientConn) bool { return c.handleCommitAnswered(e) }

// handleHolderLocated starts the export of the state from the server that holds it, if the engine knows that server.
// It returns false if the actor has to end.
func (c *clientConn) handleHolderLocated(ctx context.Context, cmd holderLocatedCommand) bool {
	if c.upstream == nil || c.upstream.number != cmd.attempt {
		return true
	}
	flow := c.session.flow
	if step := flow.Located(cmd.known); step != migration.Export {
		return c.executeStep(step)
	}
	c.closeHolder()
	ctx, cancel := context.WithCancel(ctx)
	holder := &stateHolder{ctx: ctx, cancel: cancel}
	c.session.holder = holder
	export := protocol.Export{
		Ref:         flow.Ref,
		Claim:       flow.Claim,
		ClaimFor:    (c.upstream.timeout + claimMargin).Truncate(time.Millisecond),
		MaxState:    c.frontend.sessions.limits.MaxState,
		ViaRedirect: flow.ViaRedirect,
	}
	c.callHolder(holder, func() event {
		answer, err := c.exportState(ctx, holder, cmd.holder.Address, export)
		return exportAnsweredEvent{holder, answer, err}
	})
	return true
}

// requestCommit asks the holder to release the session to the attempt's room server.
func (c *clientConn) requestCommit() {
	flow, holder := c.session.flow, c.session.holder
	commit := protocol.Commit{Session: flow.Ref.Session, Claim: flow.Claim, To: c.session.server.Name}
	c.callHolder(holder, func() event {
		line, err := holder.call(commit.String())
		return commitAnsweredEvent{holder, line == protocol.CommitDone, err}
	})
}

// callHolder runs call in its own goroutine, which owns holder until the actor receives the event that call returns.
// If the actor has ended, the goroutine releases holder.
func (c *clientConn) callHolder(holder *stateHolder, call func() event) {
	holder.callPending = true
	c.frontend.readers.Go(func() {
		result := call()
		select {
		case c.events <- result:
		case <-c.done:
			c.releaseHolder(holder)
		}
	})
}

// exportState connects to the holder and fetches the session's state. It runs in the goroutine of callHolder. An
// answer that does not grant the state is not an error. An error means that the holder was not reached, has
// disconnected or has sent a malformed line, that the client no longer waits, or that ctx has ended.
func (c *clientConn) exportState(ctx context.Context, holder *stateHolder, address string, export protocol.Export) (
	arbiter.Answer, error,
) {
	if err := c.frontend.sessions.migrations.Acquire(ctx, 1); err != nil {
		return arbiter.Answer{}, err
	}
	holder.migrationReserved = true
	conn, err := c.dialUpstream(ctx, address)
	if err != nil {
		return arbiter.Answer{}, err
	}
	holder.conn, holder.text = conn, textproto.NewConn(conn)
	line, err := holder.call(export.String())
	if err != nil {
		return arbiter.Answer{}, err
	}
	answer, size, ok := protocol.ParseAnswer(line, export.Ref.Session)
	if !ok { // The server does not support the session extension.
		return arbiter.Answer{Verdict: arbiter.Unknown}, nil
	}
	if size > export.MaxState {
		return arbiter.Answer{Verdict: arbiter.StateTooLarge}, nil
	}
	if answer.Verdict != arbiter.Granted {
		return answer, nil
	}
	// If the state exceeds the remaining budget of MaxBytes, the client is asked to retry later. The state stays with
	// its holder, and the claim on it ends with the connection.
	if !c.frontend.sessions.stateBytes.TryAcquire(int64(size)) {
		return arbiter.Answer{Verdict: arbiter.InUse}, nil
	}
	holder.reservedBytes = int64(size)
	answer.State, err = holder.readState(size)
	return answer, err
}

// call sends a line to the holder and returns the line with which the holder answers.
func (h *stateHolder) call(line string) (string, error) {
	stop := h.interruptOnCancel()
	defer stop()
	if err := h.text.PrintfLine("%s", line); err != nil {
		return "", err
	}
	return textline.Read(h.text.R)
}

// readState reads the size bytes of state that follow the holder's answer.
func (h *stateHolder) readState(size int) ([]byte, error) {
	stop := h.interruptOnCancel()
	defer stop()
	state := make([]byte, size)
	_, err := io.ReadFull(h.text.R, state)
	return state, err
}

// interruptOnCancel makes the end of h.ctx interrupt reads and writes of the connection until stop is called.
func (h *stateHolder) interruptOnCancel() (stop func() bool) {
	return context.AfterFunc(h.ctx, func() { h.conn.SetDeadline(expiredDeadline) })
}

// handleExportAnswered passes the result of an export call to the session's migration.Flow and executes the next
// step. It returns false if the actor has to end.
func (c *clientConn) handleExportAnswered(e exportAnsweredEvent) bool {
	if !c.reclaimHolder(e.holder) {
		return true
	}
	if c.upstream == nil {
		c.closeHolder() // The attempt ended during the call. The next one exports the state again.
		return true
	}
	if e.err != nil {
		c.closeHolder()
		return c.executeStep(c.session.flow.HolderDisconnected())
	}
	if e.answer.Verdict == arbiter.Granted {
		c.frontend.engine.StateFetched(c.call, c.upstream.number)
	} else {
		c.closeHolder()
	}
	return c.executeStep(c.session.flow.HolderAnswered(e.answer))
}

// handleCommitAnswered passes the result of a commit call to the session's migration.Flow and executes the next step.
// It returns false if the actor has to end.
func (c *clientConn) handleCommitAnswered(e commitAnsweredEvent) bool {
	if !c.reclaimHolder(e.holder) {
		return true
	}
	c.closeHolder()
	if c.upstream == nil {
		return true // The attempt has ended. The next one finds out whether the migration was committed.
	}
	if e.err != nil {
		return c.executeStep(c.session.flow.HolderDisconnected())
	}
	return c.executeStep(c.session.flow.Committed(e.done))
}

// reclaimHolder returns the ownership of a holder to the actor after a call. If closeHolder was called during the
// call, it releases the holder and returns false.
func (c *clientConn) reclaimHolder(holder *stateHolder) bool {
	holder.callPending = false
	if c.session.holder == holder {
		return true
	}
	c.releaseHolder(holder)
	return false
}

// closeHolder ends the claim on the session's state, if there is one, by closing the connection to the holder. If a
// call is pending, it is interrupted, and the holder is released when the event of the call arrives.
func (c *clientConn) closeHolder() {
	if c.session == nil || c.session.holder == nil {
		return
	}
	holder := c.session.holder
	c.session.holder = nil
	holder.cancel()
	if !holder.callPending {
		c.releaseHolder(holder)
	}
}

// cancelPendingCall closes the holder if a call of an earlier attempt is pending. Otherwise it keeps the holder and
// its claim, because the next attempt uses the state that was fetched before.
func (c *clientConn) cancelPendingCall() {
	if c.session != nil && c.session.holder != nil && c.session.holder.callPending {
		c.closeHolder()
	}
}

// releaseHolder closes a holder's connection and releases the resources that were acquired for it.
func (c *clientConn) releaseHolder(holder *stateHolder) {
	c.frontend.closeServerConn(holder.conn)
	holder.conn = nil
	if holder.reservedBytes > 0 {
		c.frontend.sessions.stateBytes.Release(holder.reservedBytes)
		holder.reservedBytes = 0
	}
	if holder.migrationReserved {
		c.frontend.sessions.migrations.Release(1)
		holder.migrationReserved = false
	}
}
