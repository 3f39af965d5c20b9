package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"cottonplank/internal/session/token"
)

// peerKeyGrace is how long keys between peers, and between control-plane servers and followers, are accepted after
// their end; the ring adds a margin for clocks that differ.
const peerKeyGrace = time.Minute

// othersAccess are the permissions that give others than its owner access to a file.
const othersAccess fs.FileMode = 0o077

// errNoSealingKey says that none of a file's keys is valid now.
var errNoSealingKey = errors.New("no key seals now, see not_before and not_after")

// LoadKeys reads a keys file. It rejects one that others than its owner may read or write: a key can make valid tokens.
func LoadKeys(path string) ([]token.Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, keysError(err)
	}
	if mode := info.Mode().Perm(); mode&othersAccess != 0 {
		return nil, keysError(fmt.Errorf("%s: others than its owner have access (mode %04o), 0600 is expected", path,
			mode))
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, keysError(err)
	}
	keys, err := token.ParseKeys(raw)
	if err != nil {
		return nil, keysError(fmt.Errorf("%s: %w", path, err))
	}
	return keys, nil
}

// loadRing reads a keys file, one of whose keys has to be valid now. Keys are accepted for grace after their end.
func loadRing(path string, grace time.Duration) (*token.Ring, error) {
	keys, err := LoadKeys(path)
	if err != nil {
		return nil, err
	}
	ring, err := token.NewRing(keys, grace)
	if err != nil {
		return nil, keysError(fmt.Errorf("%s: %w", path, err))
	}
	if ring.SealingKeyID(time.Now()) == "" {
		return nil, keysError(fmt.Errorf("%s: %w", path, errNoSealingKey))
	}
	return ring, nil
}

func keysError(err error) error { return &FieldError{Key: "keys", Err: err} }
