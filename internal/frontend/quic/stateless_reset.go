package quic

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
)

const (
	// resetTokenLength is the length of a stateless reset token (RFC 9000, section 10.3).
	resetTokenLength = 16
	// minResetSize is the minimum size of a stateless reset (RFC 9000, section 10.3).
	minResetSize = 21
	// maxResetSize is the maximum size of the stateless resets that are sent. Datagrams of 43 bytes or more are answered
	// with a reset of this size (RFC 9000, section 10.3). Larger resets would not be harder to distinguish from other
	// packets with a short header.
	maxResetSize = 42
)

// resetToken returns the stateless reset token of a connection ID (RFC 9000, section 10.3.2). Balancers and room
// servers share the key, so that they compute the same token.
func resetToken(key, id []byte) [resetTokenLength]byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(id)
	return [resetTokenLength]byte(mac.Sum(nil))
}

// resetSize returns the size of the stateless reset that answers a datagram of triggerSize bytes. It is smaller than
// the datagram, so that two endpoints that answer each other's resets stop after some time (RFC 9000, section
// 10.3.3). It returns false if the datagram is too small to be answered.
func resetSize(triggerSize int) (int, bool) {
	size := min(triggerSize-1, maxResetSize)
	return size, size >= minResetSize
}

// newStatelessReset returns a stateless reset of the given size for a connection ID.
func newStatelessReset(key, id []byte, size int) ([]byte, error) {
	raw := make([]byte, size)
	if _, err := rand.Read(raw); err != nil {
		return nil, fmt.Errorf("read random bytes: %w", err)
	}
	raw[0] = raw[0]&^longHeader | fixedBit
	token := resetToken(key, id)
	copy(raw[size-resetTokenLength:], token[:])
	return raw, nil
}

// isStatelessReset reports whether a datagram ends with the stateless reset token of a connection ID.
func isStatelessReset(raw, key, id []byte) bool {
	if len(raw) < minResetSize {
		return false
	}
	token := resetToken(key, id)
	return hmac.Equal(raw[len(raw)-resetTokenLength:], token[:])
}
