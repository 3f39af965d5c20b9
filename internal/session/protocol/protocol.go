// Package protocol is the text of the resumption between balancers, room servers and clients, as
// docs/resume-protocol.md writes it down: what is said in which words, nothing of what follows from it. Lines are
// without their ends.
package protocol

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

// The words between a balancer and a room server.
const (
	ReadyLine     = "READY" // a room server waits for the state
	ActivateLine  = "GO"    // a balancer lets it attach the session
	CommitDone    = "DONE"  // the answer to COMMIT: the session is gone from here
	CommitRefused = "NO"    // or not, as another has it
	HaveLine      = "HAVE"  // a client's line: it has its token
	NewToken      = "new"   // in a client's first line: it asks for a token and has none
	MaxState      = 1 << 20 // bytes; the longest that any balancer carries
	FieldName     = "session"
)

// Mode says how a first line treats a session.
type Mode string

// The modes.
const (
	ModeNew      Mode = "new"  // a new session, held under Ref
	ModeReattach Mode = "back" // the one that lies here under Ref, from now on under Next
	ModeMigrate  Mode = "move" // one that comes, to be held under Ref; Size bytes of state follow READY
)

// Open is the value of the field session in a first line.
type Open struct {
	Mode        Mode
	Ref         token.Ref
	Next        uint64 // Back: the fence of the attach
	ViaRedirect bool   // Back: a trace led here
	Position    uint64 // Move
	Size        int    // Move
}

var (
	errFields = errors.New("wrong number of fields")
	errNumber = errors.New("a number is faulty")
)

func (o Open) String() string {
	head := fmt.Sprintf("%s:%s:%d:%x", o.Mode, o.Ref.Session, o.Ref.Epoch, o.Ref.Fence)
	switch o.Mode {
	case ModeReattach:
		return fmt.Sprintf("%s:%x:%d", head, o.Next, flag(o.ViaRedirect))
	case ModeMigrate:
		return fmt.Sprintf("%s:%d:%d", head, o.Position, o.Size)
	}
	return head
}

// ParseOpen reads what String wrote, and nothing else.
func ParseOpen(text string) (o Open, err error) {
	parts := strings.Split(text, ":")
	if len(parts) < 4 {
		return o, errFields
	}
	o.Mode = Mode(parts[0])
	f := fields{parts[1:], nil}
	o.Ref = f.ref()
	switch o.Mode {
	case ModeNew:
	case ModeReattach:
		o.Next, o.ViaRedirect = f.hex(), f.flag()
	case ModeMigrate:
		o.Position, o.Size = f.number(), f.size()
	default:
		return o, fmt.Errorf("unknown mode %q", parts[0])
	}
	return o, f.end()
}

// Export is a balancer's call for a session's state.
type Export struct {
	Ref         token.Ref
	Claim       uint64
	ClaimFor    time.Duration // how long the claim stands, whole milliseconds
	MaxState    int           // bytes of state that the balancer takes
	ViaRedirect bool
}

// Commit is a balancer's call to let a session go to another room server.
type Commit struct {
	Session token.SessionID
	Claim   uint64
	To      string // instance id
}

func (e Export) String() string {
	return fmt.Sprintf("EXPORT %s %d %x %x %d %d %d", e.Ref.Session, e.Ref.Epoch, e.Ref.Fence, e.Claim, e.ClaimFor.Milliseconds(),
		e.MaxState, flag(e.ViaRedirect))
}

func (c Commit) String() string {
	return fmt.Sprintf("COMMIT %s %x %s", c.Session, c.Claim, url.PathEscape(c.To))
}

// ParseExport reads an EXPORT line.
func ParseExport(line string) (e Export, err error) {
	f, err := call(line, "EXPORT")
	if err != nil {
		return e, err
	}
	e.Ref, e.Claim = f.ref(), f.hex()
	e.ClaimFor, e.MaxState, e.ViaRedirect = time.Duration(f.small())*time.Millisecond, f.size(), f.flag()
	return e, f.end()
}

// ParseCommit reads a COMMIT line.
func ParseCommit(line string) (c Commit, err error) {
	f, err := call(line, "COMMIT")
	if err != nil {
		return c, err
	}
	c.Session, c.Claim, c.To = f.session(), f.hex(), f.name()
	return c, f.end()
}

// AnswerLine is the line with which a room server answers EXPORT, or a first line whose session it does not attach. After
// STATE, the bytes of the state follow.
func AnswerLine(a arbiter.Answer) string {
	switch a.Verdict {
	case arbiter.Granted:
		return fmt.Sprintf("STATE %d %d %d", a.Ref.Epoch, a.Position, len(a.State))
	case arbiter.Migrated:
		return fmt.Sprintf("MOVED %s %d %x", url.PathEscape(a.MigratedTo), a.Ref.Epoch, a.Ref.Fence)
	case arbiter.InUse:
		return fmt.Sprintf("INUSE %d", a.RetryAfter.Milliseconds())
	}
	return map[arbiter.Verdict]string{arbiter.TokenUsed: "USED", arbiter.Ended: "OVER", arbiter.StateTooLarge: "LARGE",
		arbiter.Unknown: "UNKNOWN"}[a.Verdict]
}

// ParseAnswer reads such a line; size bytes of state follow it. ok is false where the line is none of them.
func ParseAnswer(line string, session token.SessionID) (a arbiter.Answer, size int, ok bool) {
	parts := strings.Split(line, " ")
	f := fields{parts[1:], nil}
	a.Ref.Session = session
	switch parts[0] {
	case "STATE":
		a.Verdict, a.Ref.Epoch, a.Position, size = arbiter.Granted, f.number(), f.number(), f.size()
	case "MOVED":
		a.Verdict, a.MigratedTo, a.Ref.Epoch, a.Ref.Fence = arbiter.Migrated, f.name(), f.number(), f.hex()
	case "INUSE":
		a.Verdict, a.RetryAfter = arbiter.InUse, time.Duration(f.small())*time.Millisecond
	case "USED":
		a.Verdict = arbiter.TokenUsed
	case "OVER":
		a.Verdict = arbiter.Ended
	case "LARGE":
		a.Verdict = arbiter.StateTooLarge
	case "UNKNOWN":
		a.Verdict = arbiter.Unknown
	default:
		return a, 0, false
	}
	return a, size, f.end() == nil
}

// HeldLine is the line HELD: the room server has the session at this epoch and position.
func HeldLine(epoch, position uint64) string { return fmt.Sprintf("HELD %d %d", epoch, position) }

// KeptLine is the line KEPT, the first after UP: the session may be moved, and its client gets a token.
func KeptLine(epoch, position uint64) string { return fmt.Sprintf("KEPT %d %d", epoch, position) }

// PositionLine is the line POS: all of the client's moves up to this one are in the state.
func PositionLine(position uint64) string { return fmt.Sprintf("POS %d", position) }

// Parse reads a line of whole numbers after a word, as HELD, KEPT and POS are.
func Parse(line, word string, numbers ...*uint64) bool {
	rest, ok := strings.CutPrefix(line, word+" ")
	if !ok {
		return false
	}
	f := fields{strings.Split(rest, " "), nil}
	for _, n := range numbers {
		*n = f.number()
	}
	return f.end() == nil
}

// TokenLine and Anew are the lines of a balancer to its client.
func TokenLine(text string) string       { return "TOKEN " + text }
func StartOverLine(reason string) string { return "ANEW " + reason }

func flag(v bool) int {
	if v {
		return 1
	}
	return 0
}

func call(line, word string) (fields, error) {
	rest, ok := strings.CutPrefix(line, word+" ")
	if !ok {
		return fields{}, fmt.Errorf("expected %s", word)
	}
	return fields{strings.Split(rest, " "), nil}, nil
}

// fields reads one field after the other and keeps the first error. Numbers have one form only, so that what is read
// is what would be written.
type fields struct {
	left []string
	err  error
}

func (f *fields) next() string {
	if len(f.left) == 0 {
		f.fail(errFields)
		return ""
	}
	text := f.left[0]
	f.left = f.left[1:]
	return text
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) uint(base, bits int) uint64 {
	text := f.next()
	v, err := strconv.ParseUint(text, base, bits)
	if err != nil || strconv.FormatUint(v, base) != text {
		f.fail(errNumber)
		return 0
	}
	return v
}

func (f *fields) number() uint64 { return f.uint(10, 64) }
func (f *fields) small() uint64  { return f.uint(10, 31) }
func (f *fields) hex() uint64    { return f.uint(16, 64) }
func (f *fields) flag() bool     { return f.uint(10, 1) == 1 }

func (f *fields) size() int {
	v := f.number()
	if v > MaxState {
		f.fail(fmt.Errorf("%d bytes of state, %d at most", v, MaxState))
		return 0
	}
	return int(v)
}

func (f *fields) session() token.SessionID {
	id, err := token.ParseSessionID(f.next())
	if err != nil {
		f.fail(err)
	}
	return id
}

func (f *fields) ref() token.Ref {
	return token.Ref{Session: f.session(), Epoch: f.number(), Fence: f.hex()}
}

func (f *fields) name() string {
	text := f.next()
	name, err := url.PathUnescape(text)
	if err != nil || name == "" || url.PathEscape(name) != text {
		f.fail(fmt.Errorf("%q is no name", text))
	}
	return name
}

func (f *fields) end() error {
	if len(f.left) > 0 {
		f.fail(errFields)
	}
	return f.err
}
