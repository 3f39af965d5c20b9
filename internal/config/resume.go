package config

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
)

// Resume lets sessions go on at another room server with a token. An empty KeysFile is off.
type Resume struct {
	KeysFile  string
	Site      string
	Life      time.Duration // of a token
	StateWait time.Duration // for a session's state, from the first question for it
	MaxState  int           // bytes of one session's state
	MaxBytes  int64         // of all states in flight
	MaxMoves  int           // states in flight
}

type resumeFile struct {
	Keys      string  `json:"keys"`
	Site      string  `json:"site"`
	Life      float64 `json:"token_life_s"`
	StateWait float64 `json:"state_wait_s"`
	MaxState  int     `json:"max_state_bytes"`
	MaxBytes  int64   `json:"max_bytes_in_flight"`
	MaxMoves  int     `json:"max_moves"`
}

// Defaults of the resumption.
const (
	defaultTokenLife = 3600.0
	defaultStateWait = 0.4
	defaultMaxState  = 64 << 10
	defaultMaxBytes  = 4 << 20
	defaultMaxMoves  = 64
)

// resume checks the section; base is the folder of the file that it stands in.
func (w resumeFile) resume(base string) (r Resume, err error) {
	r = Resume{KeysFile: w.Keys, Site: w.Site, MaxState: w.MaxState, MaxBytes: w.MaxBytes, MaxMoves: w.MaxMoves}
	if !filepath.IsAbs(r.KeysFile) {
		r.KeysFile = filepath.Join(base, r.KeysFile)
	}
	if r.Site == "" || len(r.Site) > token.MaxName {
		return r, fmt.Errorf("site: %q is not 1 to %d bytes long", r.Site, token.MaxName)
	}
	life, wait := w.Life, w.StateWait
	if life == 0 {
		life = defaultTokenLife
	}
	if !(life >= 10 && life <= token.MaxLifetime.Seconds()) {
		return r, fmt.Errorf("token_life_s: %v is not within 10 to %v", life, token.MaxLifetime.Seconds())
	}
	if wait == 0 {
		wait = defaultStateWait
	}
	if !(wait >= 0.01 && wait <= 10) || math.IsNaN(wait) {
		return r, fmt.Errorf("state_wait_s: %v is not within 0.01 to 10", wait)
	}
	r.Life, r.StateWait = seconds(life), seconds(wait)
	if r.MaxState == 0 {
		r.MaxState = defaultMaxState
	}
	if r.MaxState < 1 || r.MaxState > protocol.MaxState {
		return r, fmt.Errorf("max_state_bytes: %d is not within 1 to %d", r.MaxState, protocol.MaxState)
	}
	if r.MaxBytes == 0 {
		r.MaxBytes = max(defaultMaxBytes, int64(r.MaxState))
	}
	if r.MaxBytes < int64(r.MaxState) {
		return r, fmt.Errorf("max_bytes_in_flight: %d is less than max_state_bytes %d", r.MaxBytes, r.MaxState)
	}
	if r.MaxMoves == 0 {
		r.MaxMoves = defaultMaxMoves
	}
	if r.MaxMoves < 1 {
		return r, fmt.Errorf("max_moves: %d is below 1", r.MaxMoves)
	}
	return r, nil
}

// loosePermissions are those that let others than the owner at a file.
const loosePermissions fs.FileMode = 0o077

// ReadKeys reads a keys file. One that others than its owner may read or write is refused: who has a key makes tokens.
func ReadKeys(path string) ([]token.Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if info.Mode().Perm()&loosePermissions != 0 {
		return nil, fmt.Errorf("keys: %s: others than its owner have access (mode %04o), 0600 is expected", path, info.Mode().Perm())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	keys, err := token.ParseKeys(raw)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return keys, nil
}

// Ring reads the keys that the section names; nil where it is off.
func (r Resume) Ring() (*token.Ring, error) {
	if r.KeysFile == "" {
		return nil, nil
	}
	keys, err := ReadKeys(r.KeysFile)
	if err != nil {
		return nil, err
	}
	ring, err := token.NewRing(keys, r.Life)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", r.KeysFile, err)
	}
	if ring.Sealing(time.Now()) == "" {
		return nil, errors.New("keys: " + r.KeysFile + ": no key seals now, see not_before and not_after")
	}
	return ring, nil
}
