package experiment

import (
	"crypto/rand"
	"os"
	"time"

	"cottonplank/internal/session/token"
)

// keyLifetime is how long a sealing key is valid: longer than any run.
const keyLifetime = time.Hour

// sessionKeys is the keyring file that all balancers of a run share: for session tokens, or for gossip in membership
// runs.
type sessionKeys struct {
	path string
	keys []token.Key
}

// rotate adds a new sealing key to the file. Earlier keys stay in it.
func (k *sessionKeys) rotate() error {
	now := time.Now()
	key, err := token.NewKey(now.Add(-time.Second), now.Add(keyLifetime), rand.Reader)
	if err != nil {
		return err
	}
	k.keys = append(k.keys, key)
	raw, err := token.FormatKeys(k.keys)
	if err != nil {
		return err
	}
	return replaceFile(k.path, raw)
}

// replaceFile replaces the contents of a file atomically.
func replaceFile(path string, raw []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
