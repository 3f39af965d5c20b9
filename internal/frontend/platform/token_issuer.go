package platform

import (
	"crypto/rand"
	"strings"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
)

// tokenIssuer issues session tokens to the client of an established connection. The goroutine of relayToClient owns
// it while that function runs; before and after, the goroutine of clientConn.run does.
type tokenIssuer struct {
	frontend *Frontend
	// enabled reports whether the room server has confirmed that it keeps the session, so that it can be resumed.
	enabled bool
	// token is the content of the next token, without the position and the expiry, which newTokenLine sets.
	token token.Token
	// renewAt is half a token lifetime after the last token. The next complete line of the server after that time is
	// preceded by a new token.
	renewAt time.Time
	// position is the last position that the room server has acknowledged.
	position uint64
}

// filterLine inspects a complete line of the room server and returns the bytes to write to the client instead. A
// token is part of the same write as the line that it accompanies, so that the client gets both or neither.
func (t *tokenIssuer) filterLine(raw []byte) []byte {
	line := strings.TrimRight(string(raw), lineEnd)
	var epoch, position uint64
	switch {
	case !t.enabled && protocol.ParseNumbers(line, wordKept, &epoch, &position):
		// The token line replaces the KEPT line. If the epoch differs, the server keeps another session, for which the
		// client gets no token.
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

// newTokenLine returns a line with a new token, including its CRLF. It returns an empty string if the session cannot
// be resumed or the token cannot be sealed, usually for lack of a key. A client that has no earlier token then has to
// start over if it connects again.
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
