package token

import (
	"cmp"
	"crypto/cipher"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// Leeway is how far the clocks of two balancers may be apart.
	Leeway = time.Minute
	// MaxLifetime bounds how long a token is good, and so how long a key opens after it has stopped to seal.
	MaxLifetime = 24 * time.Hour
	maxKeys     = 64
)

// Key is one key of a ring.
type Key struct {
	ID        string // names it in tokens; 8 hexadecimal digits
	Secret    []byte // 32 bytes
	NotBefore time.Time
	NotAfter  time.Time
	aead      cipher.AEAD
}

// Ring holds the keys of a site's balancers. It is not changed after it was made: a reload makes another.
type Ring struct {
	keys []*Key // the one that seals soonest first
	life time.Duration
}

type keysFile struct {
	Keys []keyJSON `json:"keys"`
}

type keyJSON struct {
	ID        string    `json:"id"`
	Secret    string    `json:"secret"`
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
}

// NewRing checks the keys. Tokens live for life at most, 24 h or less, and a key opens for so long after its last seal.
func NewRing(keys []Key, life time.Duration) (*Ring, error) {
	if life <= 0 || life > MaxLifetime {
		return nil, fmt.Errorf("a token's life: %v is not above 0 and up to %v", life, MaxLifetime)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("keys: %d of them, 1 to %d expected", len(keys), maxKeys)
	}
	r := &Ring{life: life}
	seen := map[string]bool{}
	for i, k := range keys {
		if !isKeyID(k.ID) {
			return nil, fmt.Errorf("keys[%d].id: %q is not %d hexadecimal digits", i, k.ID, keyIDLen)
		}
		if seen[k.ID] {
			return nil, fmt.Errorf("keys[%d].id: %q is there twice", i, k.ID)
		}
		seen[k.ID] = true
		if !k.NotAfter.After(k.NotBefore) {
			return nil, fmt.Errorf("keys[%d].not_after: %s is not after not_before %s", i, k.NotAfter.Format(time.RFC3339),
				k.NotBefore.Format(time.RFC3339))
		}
		aead, err := chacha20poly1305.NewX(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("keys[%d].secret: has %d bytes, %d expected", i, len(k.Secret), chacha20poly1305.KeySize)
		}
		k.aead = aead
		r.keys = append(r.keys, &k)
	}
	slices.SortStableFunc(r.keys, func(a, b *Key) int {
		if c := a.NotBefore.Compare(b.NotBefore); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return r, nil
}

// ParseKeys reads the JSON of a keys file; errors name the key and its faulty value, never a secret.
func ParseKeys(raw []byte) ([]Key, error) {
	var f keysFile
	if err := json.Unmarshal(raw, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a %s was expected, found %s", wrong.Field, wrong.Type, wrong.Value)
		}
		return nil, err
	}
	var keys []Key
	for i, k := range f.Keys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("keys[%d].secret: is not hexadecimal", i)
		}
		keys = append(keys, Key{ID: k.ID, Secret: secret, NotBefore: k.NotBefore, NotAfter: k.NotAfter})
	}
	return keys, nil
}

// FormatKeys writes what ParseKeys reads.
func FormatKeys(keys []Key) ([]byte, error) {
	f := keysFile{Keys: []keyJSON{}}
	for _, k := range keys {
		f.Keys = append(f.Keys, keyJSON{k.ID, hex.EncodeToString(k.Secret), k.NotBefore.UTC(), k.NotAfter.UTC()})
	}
	raw, err := json.MarshalIndent(f, "", "  ")
	return append(raw, '\n'), err
}

// NewKey makes a key that seals from one moment to another.
func NewKey(from, to time.Time, random io.Reader) (Key, error) {
	raw := make([]byte, keyIDLen/2+chacha20poly1305.KeySize)
	if _, err := io.ReadFull(random, raw); err != nil {
		return Key{}, fmt.Errorf("random numbers: %w", err)
	}
	return Key{ID: hex.EncodeToString(raw[:keyIDLen/2]), Secret: raw[keyIDLen/2:], NotBefore: from.Truncate(time.Second),
		NotAfter: to.Truncate(time.Second)}, nil
}

// Use says what a key does at a moment.
type Use string

// What a key does.
const (
	Waits   Use = "waits" // seals later; opens already, for balancers whose clock is ahead
	Seals   Use = "seals"
	Opens   Use = "opens" // another key seals, or it has stopped to and what it sealed is still good
	Retired Use = "retired"
)

// Use tells what the i-th key does at now, in the order of Keys.
func (r *Ring) Use(id string, now time.Time) Use {
	k := r.opening(id, now)
	switch {
	case k == nil:
		return Retired
	case k == r.sealing(now):
		return Seals
	case now.Before(k.NotBefore):
		return Waits
	}
	return Opens
}

// Keys are the ring's keys, the one that begins to seal first before the others.
func (r *Ring) Keys() []Key {
	var all []Key
	for _, k := range r.keys {
		all = append(all, *k)
	}
	return all
}

// sealing is the key in force that began last, so that a new key takes over when its time comes.
func (r *Ring) sealing(now time.Time) *Key {
	for _, k := range slices.Backward(r.keys) {
		if !now.Before(k.NotBefore) && now.Before(k.NotAfter) {
			return k
		}
	}
	return nil
}

// opening is the key with that id, unless the last token that it sealed has expired, at a balancer whose clock is
// behind too.
func (r *Ring) opening(id string, now time.Time) *Key {
	for _, k := range r.keys {
		if k.ID == id && !now.After(k.NotAfter.Add(r.life+2*Leeway)) {
			return k
		}
	}
	return nil
}

// Sealing is the id of the key that seals at now; empty: none does.
func (r *Ring) Sealing(now time.Time) string {
	if k := r.sealing(now); k != nil {
		return k.ID
	}
	return ""
}
