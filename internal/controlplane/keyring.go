package controlplane

import (
	"fmt"
	"sync"
	"time"

	"cottonplank/internal/session/token"
)

// Keyring holds the keys that control-plane servers and followers share. It reads them again for each connection,
// so that a new key takes effect without a signal to the process. If they cannot be read, the keys of the last
// successful read stay in use.
type Keyring struct {
	read func() (*token.Ring, error)

	mu   sync.Mutex  // guards read and last
	last *token.Ring // result of the last successful read
}

// NewKeyring returns a keyring that calls read to read the keys. It makes the first call itself, and returns that
// call's error.
func NewKeyring(read func() (*token.Ring, error)) (*Keyring, error) {
	first, err := read()
	return &Keyring{read: read, last: first}, err
}

// reload reads the keys and returns them, or the keys of the last successful read if that fails. It ignores the
// error.
func (k *Keyring) reload() *token.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current, err := k.read(); err == nil {
		k.last = current
	}
	return k.last
}

// sealingKey returns the ID and the secret of the key that a follower uses for new connections: the ring's current
// sealing key (token.Ring.SealingKeyID). If there is none, the error names the key "".
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

// findSecret returns the secret of the key with the given ID unless the key is retired.
func findSecret(ring *token.Ring, id string, now time.Time) ([]byte, error) {
	for _, key := range ring.Keys() {
		if key.ID == id && ring.KeyUse(id, now) != token.KeyRetired {
			return key.Secret, nil
		}
	}
	return nil, fmt.Errorf("key %q is unknown or retired", id)
}
