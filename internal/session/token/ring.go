package token

import (
	"cmp"
	"crypto/cipher"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// Leeway is the largest difference between the clocks of two balancers that is tolerated. Ring.Open accepts a
	// token until Leeway after its expiry.
	Leeway = time.Minute
	// MaxLifetime is the maximum lifetime of tokens that a ring can be configured with.
	MaxLifetime = 24 * time.Hour

	maxKeys     = 64 // per ring
	keyIDDigits = 8
)

// Key is a key of a ring. It seals new tokens from NotBefore until NotAfter, except while a key of the ring with a
// later NotBefore seals them.
type Key struct {
	// ID identifies the key in tokens. It consists of 8 lower-case hexadecimal digits.
	ID string
	// Secret is the XChaCha20-Poly1305 key, 32 bytes.
	Secret []byte
	// NotBefore is when the key begins to seal.
	NotBefore time.Time
	// NotAfter is when the key stops sealing.
	NotAfter time.Time
	// aead is the cipher for Secret. It is nil until the key is added to a ring.
	aead cipher.AEAD
}

// NewKey returns a random key that seals from notBefore until notAfter. Both are truncated to whole seconds.
func NewKey(notBefore, notAfter time.Time, random io.Reader) (Key, error) {
	const idBytes = keyIDDigits / 2
	raw := make([]byte, idBytes+chacha20poly1305.KeySize)
	if _, err := io.ReadFull(random, raw); err != nil {
		return Key{}, fmt.Errorf("read random numbers: %w", err)
	}
	return Key{
		ID:        hex.EncodeToString(raw[:idBytes]),
		Secret:    raw[idBytes:],
		NotBefore: notBefore.Truncate(time.Second),
		NotAfter:  notAfter.Truncate(time.Second),
	}, nil
}

// prepare validates the key and creates its cipher. Its errors begin with the name of the faulty field in the keys
// file.
func (k *Key) prepare() error {
	if !isKeyID(k.ID) {
		return fmt.Errorf("id: %q is invalid: expected %d lower-case hexadecimal digits", k.ID, keyIDDigits)
	}
	if !k.NotAfter.After(k.NotBefore) {
		notAfter, notBefore := k.NotAfter.Format(time.RFC3339), k.NotBefore.Format(time.RFC3339)
		return fmt.Errorf("not_after: %s is not after not_before %s", notAfter, notBefore)
	}
	aead, err := chacha20poly1305.NewX(k.Secret)
	if err != nil {
		return fmt.Errorf("secret: has %d bytes: expected %d", len(k.Secret), chacha20poly1305.KeySize)
	}
	k.aead = aead
	return nil
}

// isKeyID reports whether the text has the form of a key's ID.
func isKeyID(text string) bool {
	return len(text) == keyIDDigits && strings.Trim(text, "0123456789abcdef") == ""
}

// Ring is a keyring: the keys that a group of processes shares, such as the balancers of a site. It is immutable; a
// reload of the keys file creates a new Ring.
type Ring struct {
	// keys is sorted by NotBefore, then by ID.
	keys []*Key
	// lifetime is the maximum lifetime of the tokens that the keys seal. It decides when a key is retired; Seal does
	// not check it.
	lifetime time.Duration
}

// NewRing returns a ring with the given keys. lifetime is the maximum lifetime of a token, and must not exceed
// MaxLifetime. A key opens tokens until its NotAfter plus lifetime plus twice Leeway. Errors name the faulty key and
// value, but never a secret.
func NewRing(keys []Key, lifetime time.Duration) (*Ring, error) {
	if lifetime <= 0 || lifetime > MaxLifetime {
		return nil, fmt.Errorf("token lifetime: %v is out of range: expected above 0 and up to %v", lifetime, MaxLifetime)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("keys: %d keys found: expected 1 to %d", len(keys), maxKeys)
	}
	ring := &Ring{lifetime: lifetime}
	seen := map[string]bool{}
	for i, key := range keys {
		if seen[key.ID] {
			return nil, fmt.Errorf("keys[%d].id: duplicate ID %q", i, key.ID)
		}
		seen[key.ID] = true
		if err := key.prepare(); err != nil {
			return nil, fmt.Errorf("keys[%d].%w", i, err)
		}
		ring.keys = append(ring.keys, &key)
	}
	slices.SortStableFunc(ring.keys, func(a, b *Key) int {
		return cmp.Or(a.NotBefore.Compare(b.NotBefore), cmp.Compare(a.ID, b.ID))
	})
	return ring, nil
}

// Keys returns copies of the ring's keys, sorted by NotBefore and then by ID.
func (r *Ring) Keys() []Key {
	var keys []Key
	for _, key := range r.keys {
		keys = append(keys, *key)
	}
	return keys
}

// KeyUse is the use of a key of a ring at a given time.
type KeyUse string

// The uses of a key. Operators see these words in the list of keys.
const (
	// KeyWaits means that the key will seal later. It already opens tokens, because a balancer whose clock is ahead
	// may seal with it.
	KeyWaits KeyUse = "waits"
	// KeySeals means that the key seals new tokens, and opens them.
	KeySeals KeyUse = "seals"
	// KeyOpens means that the key opens tokens, but no longer seals new ones: its NotAfter has passed, or another key
	// seals instead.
	KeyOpens KeyUse = "opens"
	// KeyRetired means that the key neither seals nor opens tokens: all tokens that it has sealed have expired, or
	// the key is not in the ring.
	KeyRetired KeyUse = "retired"
)

// KeyUse returns the use of the key with the given ID at now.
func (r *Ring) KeyUse(keyID string, now time.Time) KeyUse {
	key := r.openingKey(keyID, now)
	switch {
	case key == nil:
		return KeyRetired
	case key == r.sealingKey(now):
		return KeySeals
	case now.Before(key.NotBefore):
		return KeyWaits
	}
	return KeyOpens
}

// SealingKeyID returns the ID of the key that seals at now, or an empty string if none does.
func (r *Ring) SealingKeyID(now time.Time) string {
	if key := r.sealingKey(now); key != nil {
		return key.ID
	}
	return ""
}

// sealingKey returns the key that seals at now, or nil if there is none. If several keys may seal, it is the one with
// the latest NotBefore, and of those with the same NotBefore the one with the highest ID. So a new key replaces an
// old one at the new key's NotBefore, even if the old key's NotAfter is later.
func (r *Ring) sealingKey(now time.Time) *Key {
	for _, key := range slices.Backward(r.keys) {
		if !now.Before(key.NotBefore) && now.Before(key.NotAfter) {
			return key
		}
	}
	return nil
}

// openingKey returns the key with the given ID, or nil if there is none or it is retired. The last token that a key
// seals expires at NotAfter plus lifetime at the latest, and Open accepts it until Leeway after that. The key is
// retired another Leeway later. In between, Open rejects that token with ErrExpired, and afterwards with
// ErrUnknownKey.
func (r *Ring) openingKey(keyID string, now time.Time) *Key {
	for _, key := range r.keys {
		if key.ID == keyID && !now.After(key.NotAfter.Add(r.lifetime+2*Leeway)) {
			return key
		}
	}
	return nil
}
