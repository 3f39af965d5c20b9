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

// claimMargin is by how much a claim on a state outlives the timeout of the attempt that made it.
const claimMargin = time.Second

// stateHolder is the connection to the room server that holds a session's state. The claim on the state lasts as long
// as the connection. The goroutine of clientConn.run owns it; while callPending is set, the goroutine of the call
// does, and gives it back with its event.
type stateHolder struct {
	// ctx interrupts calls. It is stored because the calls begin in different commands and events.
	ctx    context.Context
	cancel context.CancelFunc
	// conn is nil until the dial has succeeded.
	conn net.Conn
	// text reads and writes conn line by line.
	text *textproto.Conn
	// callPending reports whether a call is in progress. The actor's goroutine always owns it.
	callPending bool
	// reservedBytes is what was acquired from SessionResumer.stateBytes.
	reservedBytes int64
	// migrationReserved reports whether one was acquired from SessionResumer.migrations.
	migrationReserved bool
}

type (
	// exportAnsweredEvent is the end of an export call.
	exportAnsweredEvent struct {
		holder *stateHolder
		answer arbiter.Answer
		err    error
	}
	// commitAnsweredEvent is the end of a commit call.
	commitAnsweredEvent struct {
		holder *stateHolder
		// done reports whether the holder has let the session go.
		done bool
		err  error
	}
)

func (e exportAnsweredEvent) handle(c *clientConn) bool { return c.handleExportAnswered(e) }
func (e commitAnsweredEvent) handle(c *clientConn) bool { return c.handleCommitAnswered(e) }

// handleHolderLocated exports the state from the server that holds it, if the engine knows that server. It returns
// false if the actor has to end.
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

// requestCommit asks the holder to let the session go to the attempt's room server.
func (c *clientConn) requestCommit() {
	flow, holder := c.session.flow, c.session.holder
	commit := protocol.Commit{Session: flow.Ref.Session, Claim: flow.Claim, To: c.session.server.Name}
	c.callHolder(holder, func() event {
		line, err := holder.call(commit.String())
		return commitAnsweredEvent{holder, line == protocol.CommitDone, err}
	})
}

// callHolder runs call in a goroutine of its own, which owns holder until the actor gets the event.
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

// exportState connects to the holder and fetches the session's state. It runs in the goroutine of callHolder. An answer
// that grants no state is no error; an error means that the holder could not be reached or has disconnected.
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
	if !ok { // The server does not know the session extension.
		return arbiter.Answer{Verdict: arbiter.Unknown}, nil
	}
	if size > export.MaxState {
		return arbiter.Answer{Verdict: arbiter.StateTooLarge}, nil
	}
	if answer.Verdict != arbiter.Granted {
		return answer, nil
	}
	// Beyond the limit the client is told to retry later. The state stays with its holder, and the claim on it ends
	// with the connection.
	if !c.frontend.sessions.stateBytes.TryAcquire(int64(size)) {
		return arbiter.Answer{Verdict: arbiter.InUse}, nil
	}
	holder.reservedBytes = int64(size)
	answer.State, err = holder.readState(size)
	return answer, err
}

// call sends a line to the holder and returns the line that answers it.
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

// interruptOnCancel makes the end of h.ctx interrupt reads and writes of the connection, until stop is called.
func (h *stateHolder) interruptOnCancel() (stop func() bool) {
	return context.AfterFunc(h.ctx, func() { h.conn.SetDeadline(expiredDeadline) })
}

// handleExportAnswered continues with the answer to an export call. It returns false if the actor has to end.
func (c *clientConn) handleExportAnswered(e exportAnsweredEvent) bool {
	if !c.reclaimHolder(e.holder) {
		return true
	}
	if c.upstream == nil {
		c.closeHolder() // The attempt has ended meanwhile; the next one exports the state again.
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

// handleCommitAnswered continues with the answer to a commit call. It returns false if the actor has to end.
func (c *clientConn) handleCommitAnswered(e commitAnsweredEvent) bool {
	if !c.reclaimHolder(e.holder) {
		return true
	}
	c.closeHolder()
	if c.upstream == nil {
		return true // The next attempt asks whether the move was committed.
	}
	if e.err != nil {
		return c.executeStep(c.session.flow.HolderDisconnected())
	}
	return c.executeStep(c.session.flow.Committed(e.done))
}

// reclaimHolder ends a holder's pending call. It returns false if the holder was given up meanwhile, and releases it
// then.
func (c *clientConn) reclaimHolder(holder *stateHolder) bool {
	holder.callPending = false
	if c.session.holder == holder {
		return true
	}
	c.releaseHolder(holder)
	return false
}

// closeHolder gives up the claim on the session's state, if there is one. A holder with a pending call is released when
// the event of the call arrives.
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

// cancelPendingCall gives up the holder if a call is pending whose attempt is over. A state that has been fetched is
// retained for the next attempt.
func (c *clientConn) cancelPendingCall() {
	if c.session != nil && c.session.holder != nil && c.session.holder.callPending {
		c.closeHolder()
	}
}

// releaseHolder closes a holder's connection and releases the resources that it has acquired.
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
