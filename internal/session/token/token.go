// Package token seals and opens session tokens. A client presents its token to continue its session. Any balancer of
// the site can open the token, also after a restart, because it contains all that the balancer needs to know about
// the session, and because all balancers of the site have the keys of the Ring. A token is a bearer token: whoever
// has it can take over the session.
//
// The package does no I/O and reads no clock; its callers pass the time and a source of random numbers.
package token

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// MaxText is the maximum length in bytes of the text that Ring.Open accepts. The texts that Ring.Seal returns are
	// shorter: with names of MaxName bytes they have at most 700 bytes, so that a token fits into a 4 KiB request
	// line beside the client's other fields.
	MaxText = 1024
	// MaxName is the maximum length in bytes of the name of a site, a room or a room server.
	MaxName = 128
	// IDBytes is the length of a session ID in bytes.
	IDBytes = 16
)

// Errors of Ring.Open. Each text is also the reason word of the wire protocol that the client receives.
var (
	// ErrMalformed means that the token is truncated, too long, or not in the expected form.
	ErrMalformed = errors.New("malformed")
	// ErrUnsupportedVersion means that the token has a version or content that this balancer does not support.
	ErrUnsupportedVersion = errors.New("version")
	// ErrUnknownKey means that the token's key is not in the ring, or is retired (see KeyRetired).
	ErrUnknownKey = errors.New("unknown-key")
	// ErrForged means that the token's key is in the ring, but that the key did not seal this text: the token was
	// altered, truncated, or sealed with another key of the same ID.
	ErrForged = errors.New("forged")
	// ErrExpired means that the token expired more than Leeway ago.
	ErrExpired = errors.New("expired")
	// ErrWrongSite means that a balancer of another site sealed the token.
	ErrWrongSite = errors.New("site")
)

// SessionID identifies a session. It consists of 128 random bits and stays the same when the session is migrated.
type SessionID [IDBytes]byte

// String returns the ID as lower-case hexadecimal digits.
func (id SessionID) String() string { return hex.EncodeToString(id[:]) }

// ParseSessionID parses the result of SessionID.String.
func ParseSessionID(text string) (SessionID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != IDBytes || strings.ToLower(text) != text {
		return SessionID{}, fmt.Errorf("invalid session ID %q: expected %d lower-case hexadecimal digits", text, 2*IDBytes)
	}
	return SessionID(raw), nil
}

// Ref identifies one copy of a session's state at one room server.
type Ref struct {
	// Session is the ID of the session.
	Session SessionID
	// Epoch is 1 for a new session and rises with each attachment to a client connection. It never decreases.
	Epoch uint64
	// Fence is the fencing token of the copy: a random number that distinguishes copies of the same epoch. At most
	// one of them is ever attached.
	Fence uint64
}

// String returns the reference as SESSION/EPOCH/FENCE, with the session and the fence in hexadecimal.
func (r Ref) String() string { return fmt.Sprintf("%s/%d/%x", r.Session, r.Epoch, r.Fence) }

// Token is the content of a session token: which room server held the session, and at which position, when the token
// was sealed.
type Token struct {
	// Ref identifies the copy of the session's state.
	Ref
	// Site is the site of the balancer that seals the token. Balancers of other sites reject it.
	Site string
	// Room is the room group that the client requested; empty if none.
	Room string
	// Server is the instance ID of the room server that holds the copy.
	Server string
	// Position is the number of the client's moves that the room server had acknowledged.
	Position uint64
	// Expires is the expiry time, which is sealed with a resolution of one millisecond. Ring.Open accepts the token
	// until Leeway later.
	Expires time.Time
}
