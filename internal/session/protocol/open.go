package protocol

import (
	"fmt"
	"strings"

	"cottonplank/internal/session/token"
)

// Mode says how a request line opens a session.
type Mode string

// The modes.
const (
	// ModeNew begins a new session.
	ModeNew Mode = "new"
	// ModeReattach attaches a session that the room server holds.
	ModeReattach Mode = "back"
	// ModeMigrate announces the state of a session that another room server holds. The balancer sends the state after
	// the room server has answered with ReadyLine.
	ModeMigrate Mode = "move"
)

// Open is the value of the field FieldName in a request line. It specifies which session a room server opens, and how.
type Open struct {
	// Mode determines how the session is opened, and which other fields are used.
	Mode Mode
	// Ref identifies the copy of the session's state: with ModeReattach the copy that the room server holds, with the
	// other modes the copy that it is to hold.
	Ref token.Ref
	// NextFence is the fencing token of the new attachment. It is used with ModeReattach.
	NextFence uint64
	// ViaRedirect says that Ref is not from the client's token, but from a tombstone or from a migration for the same
	// request. It is used with ModeReattach.
	ViaRedirect bool
	// Position is the number of the client's moves in the state. It is used with ModeMigrate.
	Position uint64
	// Size is the size of the state in bytes. It is used with ModeMigrate.
	Size int
}

// minOpenFields is the number of fields that are common to all modes: the mode and the three fields of Ref.
const minOpenFields = 4

// String returns the value of the request line's field, which ParseOpen parses.
func (o Open) String() string {
	common := fmt.Sprintf("%s:%s:%d:%x", o.Mode, o.Ref.Session, o.Ref.Epoch, o.Ref.Fence)
	switch o.Mode {
	case ModeReattach:
		return fmt.Sprintf("%s:%x:%d", common, o.NextFence, flagDigit(o.ViaRedirect))
	case ModeMigrate:
		return fmt.Sprintf("%s:%d:%d", common, o.Position, o.Size)
	}
	return common
}

// ParseOpen parses the result of Open.String. It returns an error for any other text.
func ParseOpen(text string) (Open, error) {
	parts := strings.Split(text, ":")
	if len(parts) < minOpenFields {
		return Open{}, errFieldCount
	}
	f := newFields(parts[1:])
	o := Open{Mode: Mode(parts[0]), Ref: f.ref()}
	switch o.Mode {
	case ModeNew:
	case ModeReattach:
		o.NextFence = f.hexadecimal()
		o.ViaRedirect = f.flag()
	case ModeMigrate:
		o.Position = f.decimal()
		o.Size = f.stateSize()
	default:
		return o, fmt.Errorf("unknown mode %q", parts[0])
	}
	return o, f.end()
}
