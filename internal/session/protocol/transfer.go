package protocol

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

// Export is a balancer's request for a session's state. AnswerLine formats the answer.
type Export struct {
	// Ref identifies the copy of the state.
	Ref token.Ref
	// Claim is the number of the claim that the export makes. It is also the fencing token of the copy that the
	// migration creates.
	Claim uint64
	// ClaimFor is how long the claim is valid. String truncates it to whole milliseconds.
	ClaimFor time.Duration
	// MaxState is the maximum size of the state in bytes that the balancer accepts.
	MaxState int
	// ViaRedirect says that Ref is not from the client's token, but from a tombstone or from a migration for the same
	// request.
	ViaRedirect bool
}

// String returns the line of the request, which ParseExport parses.
func (e Export) String() string {
	return fmt.Sprintf("%s %s %d %x %x %d %d %d", wordExport, e.Ref.Session, e.Ref.Epoch, e.Ref.Fence,
		e.Claim, e.ClaimFor.Milliseconds(), e.MaxState, flagDigit(e.ViaRedirect))
}

// ParseExport parses the result of Export.String. It returns an error for any other line.
func ParseExport(line string) (Export, error) {
	f, err := parametersOf(line, wordExport)
	if err != nil {
		return Export{}, err
	}
	var e Export
	e.Ref = f.ref()
	e.Claim = f.hexadecimal()
	e.ClaimFor = f.milliseconds()
	e.MaxState = f.stateSize()
	e.ViaRedirect = f.flag()
	return e, f.end()
}

// Commit is a balancer's request to release a session that was exported and is prepared at another room server. The
// answer is CommitDone or CommitRejected.
type Commit struct {
	// Session is the session's ID.
	Session token.SessionID
	// Claim is the number of the claim on the session.
	Claim uint64
	// To is the instance ID of the room server with the prepared copy.
	To string
}

// String returns the line of the request, which ParseCommit parses.
func (c Commit) String() string {
	return fmt.Sprintf("%s %s %x %s", wordCommit, c.Session, c.Claim, url.PathEscape(c.To))
}

// ParseCommit parses the result of Commit.String. It returns an error for any other line.
func ParseCommit(line string) (Commit, error) {
	f, err := parametersOf(line, wordCommit)
	if err != nil {
		return Commit{}, err
	}
	var c Commit
	c.Session = f.session()
	c.Claim = f.hexadecimal()
	c.To = f.name()
	return c, f.end()
}

// First words of the lines that answer Export. The balancer also accepts those other than wordState as the rejection
// of a request line with ModeReattach.
const (
	wordState         = "STATE"
	wordMigrated      = "MOVED"
	wordInUse         = "INUSE"
	wordTokenUsed     = "USED"
	wordEnded         = "OVER"
	wordStateTooLarge = "LARGE"
	wordUnknown       = "UNKNOWN"
)

// AnswerLine returns the line with which a room server answers Export, or rejects a request line with ModeReattach.
// If the verdict is Granted, the room server sends the bytes of the state after the line.
func AnswerLine(answer arbiter.Answer) string {
	switch answer.Verdict {
	case arbiter.Granted:
		return fmt.Sprintf("%s %d %d %d", wordState, answer.Ref.Epoch, answer.Position, len(answer.State))
	case arbiter.Migrated:
		server := url.PathEscape(answer.MigratedTo)
		return fmt.Sprintf("%s %s %d %x", wordMigrated, server, answer.Ref.Epoch, answer.Ref.Fence)
	case arbiter.InUse:
		return fmt.Sprintf("%s %d", wordInUse, answer.RetryAfter.Milliseconds())
	case arbiter.TokenUsed:
		return wordTokenUsed
	case arbiter.Ended:
		return wordEnded
	case arbiter.StateTooLarge:
		return wordStateTooLarge
	case arbiter.Unknown:
		return wordUnknown
	}
	return ""
}

// ParseAnswer parses the result of AnswerLine for a session, whose ID the line does not contain. stateSize is the
// number of bytes of state that follow the line; the answer's State is not set. ok is false if the line has another
// form.
func ParseAnswer(line string, session token.SessionID) (answer arbiter.Answer, stateSize int, ok bool) {
	parts := strings.Split(line, " ")
	f := newFields(parts[1:])
	answer.Ref.Session = session
	switch parts[0] {
	case wordState:
		answer.Verdict = arbiter.Granted
		answer.Ref.Epoch = f.decimal()
		answer.Position = f.decimal()
		stateSize = f.stateSize()
	case wordMigrated:
		answer.Verdict = arbiter.Migrated
		answer.MigratedTo = f.name()
		answer.Ref.Epoch = f.decimal()
		answer.Ref.Fence = f.hexadecimal()
	case wordInUse:
		answer.Verdict = arbiter.InUse
		answer.RetryAfter = f.milliseconds()
	case wordTokenUsed:
		answer.Verdict = arbiter.TokenUsed
	case wordEnded:
		answer.Verdict = arbiter.Ended
	case wordStateTooLarge:
		answer.Verdict = arbiter.StateTooLarge
	case wordUnknown:
		answer.Verdict = arbiter.Unknown
	default:
		return answer, 0, false
	}
	return answer, stateSize, f.end() == nil
}
