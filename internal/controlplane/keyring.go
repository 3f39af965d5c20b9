package controlplane

import (
	"fmt"
	"sync"
	"time"

	"cottonplank/internal/session/token"
)

// Keyring holds the shared keys of servers and followers. It reads them again for each connection, so that a
// new key takes effect without a signal. While they cannot be read, the keys that were read last stay in use.
type Keyring struct {
	read func() (*token.Ring, error)

	mu   sync.Mutex // guards read and last
	last *token.Ring
}

// NewKeyring returns a keyring that calls read to read the keys. It returns read's error if the first call fails.
func NewKeyring(read func() (*token.Ring, error)) (*Keyring, error) {
	first, err := read()
	return &Keyring{read: read, last: first}, err
}

// reload returns the current keys.
func (k *Keyring) reload() *token.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current, err := k.read(); err == nil {
		k.last = current
	}
	return k.last
}

// sealingKey returns the ID and the secret of the key that new connections use.
func (k *Keyring) sealingKey() (id string, secret []byte, err error) {
	ring, now := k.reload(), time.Now()
	id = ring.SealingKeyID(now)
	secret, err = findSecret(ring, id, now)
	return id, secret, err
}

// secret returns the secret of a key. It returns an error if the key is unknown or retired.
func (k *Keyring) secret(id string) ([]byte, error) {
	return findSecret(k.reload(), id, time.Now())
}

func findSecret(ring *token.Ring, id string, now time.Time) ([]byte, error) {
	for _, key := range ring.Keys() {
		if key.ID == id && ring.KeyUse(id, now) != token.KeyRetired {
			return key.Secret, nil
		}
	}
	return nil, fmt.Errorf("key %q is unknown or retired", id)
}
