package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"cottonplank/internal/session/token"
)

// A key that cluster members share, or control-plane servers and their followers, is accepted for peerKeyGrace plus
// twice token.Leeway after its not_after.
const peerKeyGrace = time.Minute

// groupAndOtherAccess are the permission bits of a file for everybody but its owner.
const groupAndOtherAccess fs.FileMode = 0o077

// errNoSealingKey reports that no key of a keys file can seal at the current time.
var errNoSealingKey = errors.New("no key can seal now: check not_before and not_after")

// LoadKeys reads a keys file. It rejects a file that anybody but its owner may access, because whoever has a key can
// create valid session tokens or impersonate a peer.
func LoadKeys(path string) ([]token.Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, keysError(err)
	}
	if mode := info.Mode().Perm(); mode&groupAndOtherAccess != 0 {
		return nil, keysError(fmt.Errorf("%s: accessible to group or others (mode %04o): expected 0600", path,
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

// loadRing reads a keys file. One of its keys has to be able to seal now. Each key is accepted for grace plus twice
// token.Leeway after its not_after.
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
