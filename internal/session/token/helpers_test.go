package token

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	noon   = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	random = rand.NewChaCha8([32]byte{7})
)

// newTestKey returns a key that seals between two times, which are given relative to noon.
func newTestKey(t testing.TB, notBefore, notAfter time.Duration) Key {
	t.Helper()
	key, err := NewKey(noon.Add(notBefore), noon.Add(notAfter), random)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// fixedKey returns a key with a constant ID and secret, for tests that compare sealed bytes.
func fixedKey() Key {
	return Key{
		ID:        "0a0b0c0d",
		Secret:    sequence(0, 32),
		NotBefore: noon.Add(-time.Hour),
		NotAfter:  noon.Add(time.Hour),
	}
}

// sequence returns n bytes: first, first+1 and so on.
func sequence(first byte, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = first + byte(i)
	}
	return b
}

// newTestRing returns a ring for tokens with a lifetime of one hour.
func newTestRing(t testing.TB, keys ...Key) *Ring {
	t.Helper()
	ring, err := NewRing(keys, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func newTestToken() Token {
	return Token{
		Ref:      Ref{Session: SessionID{1, 2, 3}, Epoch: 4, Fence: 5},
		Site:     "armor",
		Room:     "tpl/c0dweahp9g9at",
		Server:   "s-5be2a07c",
		Position: 67,
		Expires:  noon.Add(time.Hour),
	}
}

func mustSeal(t testing.TB, ring *Ring, token Token, now time.Time) string {
	t.Helper()
	text, err := ring.Seal(token, now, random)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
