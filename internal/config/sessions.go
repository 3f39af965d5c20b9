package config

import (
	"cmp"
	"fmt"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
)

// Sessions configures how sessions resume by session tokens, at the same or another room server. An empty KeysFile
// switches it off.
type Sessions struct {
	KeysFile         string
	Site             string
	TokenLifetime    time.Duration
	StateTimeout     time.Duration // from the first request for a session's state until the state has arrived
	MaxStateBytes    int           // maximum size of one session's state
	MaxBytesInFlight int64         // maximum total size of the states in migration
	MaxMigrations    int           // maximum number of states in migration
}

// sessionsFile is the section resume of a fronts file.
type sessionsFile struct {
	Keys             string  `json:"keys"`
	Site             string  `json:"site"`
	TokenLifetime    float64 `json:"token_life_s"`
	StateTimeout     float64 `json:"state_wait_s"`
	MaxStateBytes    int     `json:"max_state_bytes"`
	MaxBytesInFlight int64   `json:"max_bytes_in_flight"`
	MaxMigrations    int     `json:"max_moves"`
}

// Defaults and bounds of the section; times in seconds.
const (
	defaultTokenLifetime    = 3600.0
	minTokenLifetime        = 10.0
	defaultStateTimeout     = 0.4
	minStateTimeout         = 0.01
	maxStateTimeout         = 10.0
	defaultMaxStateBytes    = 64 << 10
	defaultMaxBytesInFlight = 4 << 20
	defaultMaxMigrations    = 64
)

// decode validates and converts the section; paths in it are relative to base.
func (f sessionsFile) decode(base string) (Sessions, error) {
	if err := checkSite(f.Site); err != nil {
		return Sessions{}, err
	}
	f.setDefaults()
	if err := f.check(); err != nil {
		return Sessions{}, err
	}
	return Sessions{
		KeysFile:         resolvePath(base, f.Keys),
		Site:             f.Site,
		TokenLifetime:    seconds(f.TokenLifetime),
		StateTimeout:     seconds(f.StateTimeout),
		MaxStateBytes:    f.MaxStateBytes,
		MaxBytesInFlight: f.MaxBytesInFlight,
		MaxMigrations:    f.MaxMigrations,
	}, nil
}

func (f *sessionsFile) setDefaults() {
	f.TokenLifetime = cmp.Or(f.TokenLifetime, defaultTokenLifetime)
	f.StateTimeout = cmp.Or(f.StateTimeout, defaultStateTimeout)
	f.MaxStateBytes = cmp.Or(f.MaxStateBytes, defaultMaxStateBytes)
	f.MaxBytesInFlight = cmp.Or(f.MaxBytesInFlight, max(defaultMaxBytesInFlight, int64(f.MaxStateBytes)))
	f.MaxMigrations = cmp.Or(f.MaxMigrations, defaultMaxMigrations)
}

func (f *sessionsFile) check() error {
	maxLifetime := token.MaxLifetime.Seconds()
	if !(f.TokenLifetime >= minTokenLifetime && f.TokenLifetime <= maxLifetime) {
		return invalid("token_life_s", f.TokenLifetime,
			fmt.Sprintf("is out of range: expected %v to %v", minTokenLifetime, maxLifetime))
	}
	if !(f.StateTimeout >= minStateTimeout && f.StateTimeout <= maxStateTimeout) {
		reason := fmt.Sprintf("is out of range: expected %v to %v", minStateTimeout, maxStateTimeout)
		return invalid("state_wait_s", f.StateTimeout, reason)
	}
	if f.MaxStateBytes < 1 || f.MaxStateBytes > protocol.MaxState {
		return invalid("max_state_bytes", f.MaxStateBytes,
			fmt.Sprintf("is out of range: expected 1 to %d", protocol.MaxState))
	}
	if f.MaxBytesInFlight < int64(f.MaxStateBytes) {
		reason := fmt.Sprintf("is out of range: expected at least the %d of max_state_bytes", f.MaxStateBytes)
		return invalid("max_bytes_in_flight", f.MaxBytesInFlight, reason)
	}
	if f.MaxMigrations < 1 {
		return invalid("max_moves", f.MaxMigrations, "is out of range: expected at least 1")
	}
	return nil
}

// LoadRing reads the session keys, or returns nil if resuming sessions is switched off. A key is accepted for
// TokenLifetime plus twice token.Leeway after its not_after. The last token that it has sealed has expired by then.
func (s Sessions) LoadRing() (*token.Ring, error) {
	if s.KeysFile == "" {
		return nil, nil
	}
	return loadRing(s.KeysFile, s.TokenLifetime)
}
