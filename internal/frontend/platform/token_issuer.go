package platform

import (
	"crypto/rand"
	"strings"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
)

// tokenIssuer issues session tokens to the client of an established connection. The goroutine of relayToClient owns it
// while that runs, the one of clientConn.run before and after.
type tokenIssuer struct {
	frontend *Frontend
	// enabled reports whether the room server keeps the session, so that it can be resumed.
	enabled bool
	// token is the token to issue, but for its position and its expiry.
	token token.Token
	// renewAt is when the client gets a new token: half a lifetime after the last one.
	renewAt time.Time
	// position is the last position that the room server has acknowledged.
	position uint64
}

// filterLine inspects a complete line of the room server and returns the bytes to write to the client in its place. A
// token comes in the same write as the line, so that the client gets both or neither.
func (t *tokenIssuer) filterLine(raw []byte) []byte {
	line := strings.TrimRight(string(raw), lineEnd)
	var epoch, position uint64
	switch {
	case !t.enabled && protocol.ParseNumbers(line, wordKept, &epoch, &position):
		// If the epoch differs, the server keeps another session; the client gets no token for it.
		t.enabled, t.position = epoch == t.token.Epoch, position
		return []byte(t.newTokenLine())
	case protocol.ParseNumbers(line, wordPosition, &position):
		t.position = position
	case line == wordMove:
		return append([]byte(t.newTokenLine()), raw...)
	}
	if t.enabled && time.Now().After(t.renewAt) {
		return append([]byte(t.newTokenLine()), raw...)
	}
	return raw
}

// newTokenLine returns a line with a new token, its CRLF included. It returns an empty string if the session cannot be
// resumed or if no key can seal a token; the client starts over then if it has to connect again.
func (t *tokenIssuer) newTokenLine() string {
	if !t.enabled {
		return ""
	}
	sessions, now := t.frontend.sessions, time.Now()
	t.token.Position = t.position
	t.token.Expires = now.Add(sessions.limits.TokenLifetime)
	t.renewAt = now.Add(sessions.limits.TokenLifetime / 2)
	sealed, err := sessions.ring.Load().Seal(t.token, now, rand.Reader)
	t.frontend.engine.TokenIssued(err == nil)
	if err != nil {
		return ""
	}
	return protocol.TokenLine(sealed) + lineEnd
}
