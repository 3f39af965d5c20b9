// Package token seals and opens session tokens. A client presents its token to continue its session, at any balancer
// of the site and after a restart of the balancer too: balancers share nothing but the keys in a Ring. A token is a
// bearer secret, so whoever has it can take over the session.
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
	// MaxText is the maximum length of a sealed token in bytes. A token with the longest names has 700, so that it
	// fits into a request line of 4 KiB beside the client's other fields.
	MaxText = 1024
	// MaxName is the maximum length in bytes of the name of a site, a room or a room server.
	MaxName = 128
	// IDBytes is the length of a session ID in bytes.
	IDBytes = 16
)

// Errors of Ring.Open. Each text is the reason word that a client is told.
var (
	// ErrMalformed means that the token is cut off, too long, or not in the expected form.
	ErrMalformed = errors.New("malformed")
	// ErrUnsupportedVersion means that the token has a version or content that this balancer does not support.
	ErrUnsupportedVersion = errors.New("version")
	// ErrUnknownKey means that the token's key is not in the ring, or is retired.
	ErrUnknownKey = errors.New("unknown-key")
	// ErrForged means that the token's key is in the ring, but did not seal it.
	ErrForged = errors.New("forged")
	// ErrExpired means that the token expired more than Leeway ago.
	ErrExpired = errors.New("expired")
	// ErrWrongSite means that the balancers of another site sealed the token.
	ErrWrongSite = errors.New("site")
)

// SessionID identifies a session at all room servers. It consists of 128 random bits.
type SessionID [IDBytes]byte

// String returns the ID as lower-case hexadecimal digits.
func (id SessionID) String() string { return hex.EncodeToString(id[:]) }

// ParseSessionID parses the result of SessionID.String.
func ParseSessionID(text string) (SessionID, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != IDBytes || strings.ToLower(text) != text {
		return SessionID{}, fmt.Errorf("session id: %q is not %d hexadecimal digits", text, 2*IDBytes)
	}
	return SessionID(raw), nil
}

// Ref identifies one copy of a session's state at one room server.
type Ref struct {
	// Session is the session whose state it is.
	Session SessionID
	// Epoch counts how often the session was attached to a client connection. It never decreases.
	Epoch uint64
	// Fence is the fencing token of the copy: a random number that tells apart copies of the same epoch, of which
	// at most one is ever attached.
	Fence uint64
}

// String returns the reference as SESSION/EPOCH/FENCE, with the session and the fence in hexadecimal.
func (r Ref) String() string { return fmt.Sprintf("%s/%d/%x", r.Session, r.Epoch, r.Fence) }

// Token says which room server held a session, and how far the session had come, when the token was sealed.
type Token struct {
	// Ref identifies the copy of the session's state.
	Ref
	// Site is the site of the balancers that seal the token. Balancers of other sites reject it.
	Site string
	// Room is the room group that the client requested; empty if none.
	Room string
	// Server is the instance ID of the room server that holds the copy.
	Server string
	// Position is the number of the client's moves that the room server had acknowledged.
	Position uint64
	// Expires is when the token stops being valid. It has a resolution of one millisecond.
	Expires time.Time
}
