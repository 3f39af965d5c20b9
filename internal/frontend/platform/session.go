package platform

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/migration"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
)

// maxSessionFieldGrowth is an upper bound of the bytes by which a request line grows when the client's resume field is
// replaced by the balancer's session field. If a request line has less room than that, its resume field is not
// replaced but forwarded like an unknown field, because the new line could exceed maxLineLength.
const maxSessionFieldGrowth = 160

// session is the state of a client connection that uses a session. The goroutine of clientConn.run owns all fields
// but tokens; see tokenIssuer.
type session struct {
	// open is the session field of the request line to the room server.
	open protocol.Open
	// flow decides how the session is resumed. It is nil for a new session.
	flow *migration.Flow
	// holder is the connection to the server that holds the session's state. It is nil unless the state is claimed, or
	// about to be claimed, for this client connection.
	holder *stateHolder
	// server is the room server of the current attempt.
	server core.Upstream
	// tokens issues session tokens to the client of an established connection.
	tokens tokenIssuer
}

// resumesSession reports whether the request resumes an existing session. It is false for a new session, and for a
// request without a session.
func (c *clientConn) resumesSession() bool { return c.session != nil && c.session.flow != nil }

// beginSession handles the resume field of the request line. It returns false if the token is invalid; it has then
// reported that to the engine, which answers the client. A resume field that cannot be used is forwarded like an
// unknown field.
func (c *clientConn) beginSession(request *core.Request, now time.Time) bool {
	resumeToken, sessions := c.request.resumeToken, c.frontend.sessions
	lineLength := len(c.request.beforeTimeout) + len(c.request.afterTimeout)
	if sessions == nil || resumeToken == "" || c.request.previousServer != "" ||
		lineLength > maxLineLength-maxSessionFieldGrowth {
		return true
	}
	if resumeToken == protocol.NewSession {
		var id token.SessionID
		rand.Read(id[:])
		ref := token.Ref{Session: id, Epoch: 1, Fence: randomNonzero()}
		c.session = &session{open: protocol.Open{Mode: protocol.ModeNew, Ref: ref}}
		return true
	}
	request.Resumer = c
	opened, err := sessions.ring.Load().Open(resumeToken, sessions.limits.Site, now)
	if err != nil {
		c.frontend.engine.RejectToken(c.call, *request, coreReason(migration.ReasonForError(err)))
		return false
	}
	if opened.Room != c.request.group {
		c.frontend.engine.RejectToken(c.call, *request, coreReason(migration.WrongRoom))
		return false
	}
	c.session = &session{flow: migration.New(opened, randomNonzero())}
	return true
}

// coreReason returns the reason as the word that the engine counts and the client receives.
func coreReason(reason migration.Reason) core.Reason { return core.Reason(reason.String()) }

// randomNonzero returns a random number that is not 0, for fencing tokens and claims.
func randomNonzero() uint64 {
	var raw [8]byte
	for {
		rand.Read(raw[:])
		if n := binary.BigEndian.Uint64(raw[:]); n != 0 {
			return n
		}
	}
}

// formatRequestLine returns the request line for an attempt, without its CRLF.
func (c *clientConn) formatRequestLine(timeout time.Duration) string {
	if c.session == nil {
		return c.request.withTimeout(timeout)
	}
	return c.request.withSession(timeout, c.session.open)
}

// writeUpstreamLine writes a line to the attempt's room server. It ignores a failure, because the reader of the
// connection reports it.
func (c *clientConn) writeUpstreamLine(line string) { c.upstream.text.PrintfLine("%s", line) }

// resumeSession starts the resumption of the session at the attempt's room server, to which the connection is open.
// It returns false if the actor has to end.
func (c *clientConn) resumeSession() bool {
	c.frontend.engine.AttemptDialed(c.call, c.upstream.number)
	return c.executeStep(c.session.flow.Attempt(c.session.server.Name))
}

// executeStep executes a step of the session's migration.Flow. It returns false if the actor has to end.
func (c *clientConn) executeStep(step migration.Step) bool {
	flow, engine, attempt := c.session.flow, c.frontend.engine, c.upstream.number
	// Nothing more is sent for a client that no longer waits, for example because it closed during the transfer.
	if waits, keepRunning := c.checkClientWaits(); !waits {
		return keepRunning
	}
	switch step {
	case migration.Locate:
		engine.LocateHolder(c.call, attempt, flow.Holder)
	case migration.OpenReattach:
		return c.openSession(protocol.Open{
			Mode:        protocol.ModeReattach,
			Ref:         flow.Ref,
			NextFence:   flow.Claim,
			ViaRedirect: flow.ViaRedirect,
		})
	case migration.OpenMigrated:
		return c.openSession(protocol.Open{
			Mode:     protocol.ModeMigrate,
			Ref:      flow.Next,
			Position: flow.Position,
			Size:     len(flow.State),
		})
	case migration.SendState:
		// A room server that reads slowly must not block the actor, so the write has its own goroutine. The reader of
		// the connection reports a failure.
		up, state := c.upstream, flow.State
		c.frontend.readers.Go(func() { up.conn.Write(state) })
	case migration.Commit:
		c.requestCommit()
	case migration.Activate:
		c.closeHolder()
		c.writeUpstreamLine(protocol.ActivateLine)
	case migration.Establish:
		c.reportAccepted()
	case migration.StartOver:
		engine.StartOver(c.call, attempt, coreReason(flow.Reason))
	case migration.RetryLater:
		engine.RetryLater(c.call, attempt, flow.RetryAfter)
	}
	return true
}

// openSession writes a request line that opens the session at the attempt's room server. If a request line was sent on
// the same connection before, AttemptSent is not reported to the engine again. openSession returns false if the actor
// has to end.
func (c *clientConn) openSession(open protocol.Open) bool {
	c.session.open = open
	if c.upstream.requestLineSent {
		c.writeUpstreamLine(c.formatRequestLine(c.upstream.timeout))
		return true
	}
	return c.sendRequestLine()
}

// handleSessionResponse handles a line that the attempt's room server sends while it resumes a session. known is
// false if the line does not belong to the resumption. keepRunning is false if the actor has to end.
func (c *clientConn) handleSessionResponse(line string) (known, keepRunning bool) {
	flow := c.session.flow
	if line == protocol.ReadyLine {
		return true, c.executeStep(flow.UpstreamReady())
	}
	var epoch, position uint64
	if protocol.ParseNumbers(line, wordHeld, &epoch, &position) {
		return true, c.executeStep(flow.UpstreamHolds(epoch, position))
	}
	answer, _, ok := protocol.ParseAnswer(line, flow.Ref.Session)
	if !ok || answer.Verdict == arbiter.Granted || c.session.open.Mode != protocol.ModeReattach {
		return false, true
	}
	return true, c.executeStep(flow.HolderAnswered(answer))
}

// initTokenIssuer sets up the tokenIssuer of an established connection. The tokenIssuer issues no tokens until the
// room server has confirmed with KEPT that it keeps the session.
func (c *clientConn) initTokenIssuer() {
	ref := c.session.open.Ref
	if flow := c.session.flow; flow != nil {
		ref = flow.Next
	}
	c.session.tokens = tokenIssuer{
		frontend: c.frontend,
		token: token.Token{
			Ref:    ref,
			Site:   c.frontend.sessions.limits.Site,
			Room:   c.request.group,
			Server: c.session.server.Name,
		},
	}
}
