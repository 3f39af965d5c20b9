package migration

import (
	"errors"

	"cottonplank/internal/session/token"
)

// Reason is why a client has to start over. Its text is a word of the wire protocol.
type Reason uint8

// The reasons. Those up to WrongRoom are faults of the token, which are found before any room server is asked. The
// order is that of the MIB's table.
const (
	// Malformed means that the token is cut off, too long, or not in a known form.
	Malformed Reason = iota
	// Version means that the token's version is not supported.
	Version
	// UnknownKey means that the token's key is not in the ring, or is retired.
	UnknownKey
	// Forged means that the token's key did not seal it.
	Forged
	// Expired means that the token has expired.
	Expired
	// WrongSite means that the balancers of another site sealed the token.
	WrongSite
	// WrongRoom means that the client requests another room than the token's.
	WrongRoom
	// TokenUsed means that the session has continued from the token already.
	TokenUsed
	// SessionEnded means that the session has ended.
	SessionEnded
	// HolderUnavailable means that the room server that should hold the state has none, or cannot be reached.
	HolderUnavailable
	// StateTimeout means that the state did not arrive in time, or that the claim on it was lost.
	StateTimeout
	// StateTooLarge means that the state is larger than the balancer transfers.
	StateTooLarge
	// Stale means that the state lacks moves that were acknowledged to the client.
	Stale
	// Lost means that the balancer cannot find out whether the migration was committed.
	Lost
	// Unsupported means that the new room server does not support session migration.
	Unsupported

	// NumReasons is the number of reasons.
	NumReasons
)

var reasonWords = [NumReasons]string{
	Malformed:         "malformed",
	Version:           "version",
	UnknownKey:        "unknown-key",
	Forged:            "forged",
	Expired:           "expired",
	WrongSite:         "site",
	WrongRoom:         "room",
	TokenUsed:         "used",
	SessionEnded:      "over",
	HolderUnavailable: "gone",
	StateTimeout:      "late",
	StateTooLarge:     "large",
	Stale:             "stale",
	Lost:              "lost",
	Unsupported:       "unsupported",
}

// String returns the word of the wire protocol.
func (r Reason) String() string { return reasonWords[r] }

// IsTokenError reports whether the fault is in the token, so that no room server was asked.
func (r Reason) IsTokenError() bool { return r <= WrongRoom }

// ReasonWords returns the words of all reasons, in their order.
func ReasonWords() []string {
	words := reasonWords
	return words[:]
}

// ReasonForError returns the reason for an error of token.Ring.Open.
func ReasonForError(err error) Reason {
	switch {
	case errors.Is(err, token.ErrUnsupportedVersion):
		return Version
	case errors.Is(err, token.ErrUnknownKey):
		return UnknownKey
	case errors.Is(err, token.ErrForged):
		return Forged
	case errors.Is(err, token.ErrExpired):
		return Expired
	case errors.Is(err, token.ErrWrongSite):
		return WrongSite
	}
	return Malformed
}
