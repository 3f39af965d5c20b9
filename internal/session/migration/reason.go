package migration

import (
	"errors"

	"cottonplank/internal/session/token"
)

// Reason is why a client has to start over. Its text is a word of the wire protocol.
type Reason uint8

// The reasons. Those up to WrongRoom mean that the token is invalid or does not fit the client's request. The
// balancer finds that out before it sends a request to any room server. The table in the MIB has the same order.
const (
	// Malformed means that the token is truncated, too long, or not in the expected form.
	Malformed Reason = iota
	// Version means that the token has a version or content that this balancer does not support.
	Version
	// UnknownKey means that the token's key is not in the ring, or is retired.
	UnknownKey
	// Forged means that the token's key is in the ring, but did not seal the token.
	Forged
	// Expired means that the token has expired.
	Expired
	// WrongSite means that a balancer of another site sealed the token.
	WrongSite
	// WrongRoom means that the client requests another room group than the one in the token.
	WrongRoom
	// TokenUsed means that the token is not valid, usually because the client has confirmed a newer one.
	TokenUsed
	// SessionEnded means that the session has ended.
	SessionEnded
	// HolderUnavailable means that the room server that should hold the state does not have it or cannot be reached.
	HolderUnavailable
	// StateTimeout means that the state did not arrive within the engine's timeout (core.ReasonStateTimeout), that
	// the holder rejected the commit because the claim had ended, or that the redirects were too many or led to an
	// epoch that was not higher.
	StateTimeout
	// StateTooLarge means that the state is larger than the balancer transfers.
	StateTooLarge
	// Stale means that the state lacks moves that were acknowledged to the client.
	Stale
	// Lost means that the balancer cannot find out whether the migration was committed, because the connection to the
	// holder failed during the commit, and afterwards failed again or could not be opened.
	Lost
	// Unsupported means that the attempt's room server does not support the migration of sessions, or does not follow
	// the protocol.
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

// String returns the word for the reason in the wire protocol.
func (r Reason) String() string { return reasonWords[r] }

// IsTokenError reports whether the token is invalid or does not fit the client's request, so that no request was sent
// to a room server.
func (r Reason) IsTokenError() bool { return r <= WrongRoom }

// ReasonWords returns the words of all reasons, in the order of the constants.
func ReasonWords() []string {
	words := reasonWords
	return words[:]
}

// ReasonForError returns the reason for an error of token.Ring.Open. It is Malformed for any other error too.
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
