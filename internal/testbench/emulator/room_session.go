package emulator

import (
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/testbench/invariants"
)

// positionBytes is the size in bytes of the position at the start of a session's state.
const positionBytes = 8

// openSession handles a first line that has session parameters.
func (c *roomConn) openSession(session protocol.Open) bool {
	c.session = &session
	switch session.Mode {
	case protocol.ModeNew:
		return c.createSession(session)
	case protocol.ModeReattach:
		return c.reattachSession(session)
	}
	return c.importSession(session)
}

// createSession starts a new session. If the arbiter does not accept the session, because it has too many or has this
// one already, the connection is established without a session.
func (c *roomConn) createSession(session protocol.Open) bool {
	s, now := c.server, time.Now()
	s.mu.Lock()
	created := s.arbiter.Create(now, session.Ref, c.id)
	if created {
		s.arbiter.SaveState(c.id, session.Ref.Session, 0, c.encodeState(0))
		c.sessionAttached(session.Ref.Epoch, 0)
	}
	s.mu.Unlock()
	if !created {
		c.session = nil
		return c.establish("")
	}
	return c.establish(protocol.SessionRetainedLine(session.Ref.Epoch, 0))
}

// reattachSession asks the arbiter to attach a session that this server retains to this connection. If the arbiter
// grants the session, reattachSession reports the session's epoch and position to the balancer, which may then send GO.
// Otherwise it sends the arbiter's answer, and the balancer may send another first line on this connection.
func (c *roomConn) reattachSession(session protocol.Open) bool {
	s, now := c.server, time.Now()
	s.mu.Lock()
	answer := s.arbiter.Reattach(now, session.Ref, session.NextFence, session.ViaRedirect, c.id)
	s.closeDisplaced(answer.Displaced)
	if answer.Verdict == arbiter.Granted {
		c.epoch, c.position = answer.Ref.Epoch, answer.Position
	}
	s.mu.Unlock()
	if answer.Verdict != arbiter.Granted {
		return c.writeLine(protocol.AnswerLine(answer))
	}
	return c.writeLine(protocol.SessionReadyLine(answer.Ref.Epoch, answer.Position))
}

// importSession receives the state of a session that the balancer has exported from another room server, and stores
// it without attaching the session.
func (c *roomConn) importSession(session protocol.Open) bool {
	s, now := c.server, time.Now()
	if !c.writeLine(protocol.ReadyLine) {
		return false
	}
	state := make([]byte, session.Size)
	if _, err := io.ReadFull(c.reader, state); err != nil {
		return false
	}
	s.mu.Lock()
	prepared := s.arbiter.Prepare(now, session.Ref, session.Position, state, c.id)
	c.epoch, c.position = session.Ref.Epoch, session.Position
	s.mu.Unlock()
	if !prepared {
		return c.endAttempt(answerBusy)
	}
	return c.writeLine(protocol.SessionReadyLine(session.Ref.Epoch, session.Position))
}

// activateSession handles GO: it attaches a session that was reattached or imported, and establishes the connection.
// The arbiter has already attached a reattached session.
func (c *roomConn) activateSession() bool {
	s := c.server
	if c.session == nil || c.established || s.faults.Load().BreakAtActivate {
		return false
	}
	s.mu.Lock()
	activated := c.session.Mode == protocol.ModeReattach ||
		s.arbiter.Activate(time.Now(), c.id, c.session.Ref.Session)
	if activated {
		c.sessionAttached(c.epoch, c.position)
	}
	s.mu.Unlock()
	return activated && c.establish(protocol.SessionRetainedLine(c.epoch, c.position))
}

// sessionAttached records that the session is attached to this connection. The caller holds the server's mu, so that
// events are recorded in the order of the arbiter's decisions.
func (c *roomConn) sessionAttached(epoch, position uint64) {
	c.epoch, c.position, c.playing = epoch, position, true
	c.server.cfg.Recorder.Add(invariants.Event{
		Kind:    invariants.SessionAttached,
		Session: c.session.Ref.Session.String(),
		Epoch:   epoch,
		Server:  c.server.cfg.Name,
	})
}

// sessionDetached records that the session is no longer attached to this connection, if its attachment was recorded.
// The caller holds the server's mu.
func (c *roomConn) sessionDetached() {
	if !c.playing {
		return
	}
	c.playing = false
	c.server.cfg.Recorder.Add(invariants.Event{
		Kind:    invariants.SessionDetached,
		Session: c.session.Ref.Session.String(),
		Server:  c.server.cfg.Name,
	})
}

// encodeState returns a session's state at a position: the position, followed by zeros up to the configured size.
func (c *roomConn) encodeState(position uint64) []byte {
	state := make([]byte, max(c.server.cfg.StateBytes, positionBytes))
	binary.BigEndian.PutUint64(state, position)
	return state
}

// confirmToken handles the client's confirmation that it has its token. It answers with the session's position.
func (c *roomConn) confirmToken() bool {
	s := c.server
	s.mu.Lock()
	if c.session != nil {
		s.arbiter.ConfirmToken(c.id, c.session.Ref.Session)
	}
	position := c.position
	s.mu.Unlock()
	return c.writeLine(protocol.PositionLine(position))
}

// play executes a move of the game if it is the next one. In either case it answers with the session's position. There
// is one exception: if the next move cannot be saved because the connection has lost its session, play sends no answer
// and reports false. It also reports false if the write fails.
func (c *roomConn) play(text string) bool {
	move, err := strconv.ParseUint(text, 10, 64)
	position, ok := c.savePosition(move, err == nil)
	return ok && c.writeLine(protocol.PositionLine(position))
}

// savePosition saves a move if it is valid and the next one, and returns the resulting position. It reports false if
// it cannot save such a move because the connection has lost its session. A saved move also confirms the session's
// token.
func (c *roomConn) savePosition(move uint64, valid bool) (position uint64, ok bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !valid || move != c.position+1 {
		return c.position, true
	}
	if c.session != nil {
		s.arbiter.ConfirmToken(c.id, c.session.Ref.Session)
		if !s.arbiter.SaveState(c.id, c.session.Ref.Session, move, c.encodeState(move)) {
			return 0, false
		}
	}
	c.position = move
	return c.position, true
}

// endSession ends the session, because its game has ended, and confirms that to the client.
func (c *roomConn) endSession() {
	if c.session != nil {
		c.server.mu.Lock()
		c.server.arbiter.End(time.Now(), c.id, c.session.Ref.Session)
		c.server.mu.Unlock()
	}
	c.writeLine(endOfGame)
}

// exportSession handles EXPORT: it sends the state of a session to the balancer if the arbiter grants it. It reports
// false if the connection has to be closed.
func (c *roomConn) exportSession(line string) bool {
	s, faults := c.server, c.server.faults.Load()
	export, err := protocol.ParseExport(line)
	if err != nil {
		c.writeLine(answerSyntax)
		return false
	}
	if faults.StallExport {
		return true
	}
	c.session = &protocol.Open{Ref: export.Ref}
	now := time.Now()
	s.mu.Lock()
	answer := s.arbiter.Export(now, export.Ref, export.Claim, now.Add(export.ClaimFor), export.MaxState,
		export.ViaRedirect, c.id)
	s.closeDisplaced(answer.Displaced)
	s.mu.Unlock()
	if answer.Verdict != arbiter.Granted {
		return c.writeLine(protocol.AnswerLine(answer))
	}
	return c.sendState(answer, faults)
}

// sendState sends an exported state and applies the faults TruncateExport and OverstateSize. It reports false if the
// connection has to be closed.
func (c *roomConn) sendState(answer arbiter.Answer, faults *Faults) bool {
	line, state := protocol.AnswerLine(answer), answer.State
	if faults.TruncateExport {
		state = state[:len(state)/2]
	}
	if faults.OverstateSize {
		line = fmt.Sprintf("STATE %d %d %d", answer.Ref.Epoch, answer.Position, len(state)+1)
	}
	if !c.writeLine(line) {
		return false
	}
	c.writes.Lock()
	_, err := c.conn.Write(state)
	c.writes.Unlock()
	return err == nil && !faults.TruncateExport && !faults.OverstateSize
}

// commitExport handles COMMIT: it releases a session that was exported. It reports false if the connection has to be
// closed.
func (c *roomConn) commitExport(line string) bool {
	s, faults := c.server, c.server.faults.Load()
	commit, err := protocol.ParseCommit(line)
	if err != nil {
		c.writeLine(answerSyntax)
		return false
	}
	if faults.StallCommit {
		s.stalledCommits.Add(1)
		return true
	}
	s.mu.Lock()
	done := s.arbiter.Commit(time.Now(), commit.Session, commit.Claim, commit.To)
	s.mu.Unlock()
	if faults.LoseCommit {
		return false
	}
	if done {
		return c.writeLine(protocol.CommitDone)
	}
	return c.writeLine(protocol.CommitRejected)
}
