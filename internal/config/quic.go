package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"cottonplank/decide"
)

// QUIC configures the QUIC frontend. An empty Listen switches it off.
type QUIC struct {
	Listen      string
	ConfigID    int    // config ID of the connection IDs (QUIC-LB)
	NonceLength int    // bytes of the nonce in the connection IDs
	IDKey       []byte // AES-128 key that encrypts the connection IDs; empty: plaintext IDs
	ResetKey    []byte // key from which the stateless reset tokens are derived
	ClassIndex  int    // index of the request class of all QUIC requests
	IdleTimeout time.Duration
	MaxFlows    int
}

// quicFile is the section quic of a fronts file.
type quicFile struct {
	Listen      string  `json:"listen"`
	Class       string  `json:"class"`
	ConfigID    int     `json:"config_id"`
	NonceLength int     `json:"nonce_length"`
	IDKey       string  `json:"id_key"`
	ResetKey    string  `json:"reset_key"`
	IdleTimeout float64 `json:"idle_s"`
	MaxFlows    int     `json:"max_flows"`
}

// Defaults and bounds of the section; lengths in bytes, times in seconds.
const (
	defaultNonceLength = 8
	minNonceLength     = 4
	maxNonceLength     = 15 // of the 20 bytes of a connection ID, 5 are for the first octet and the server ID
	maxConfigID        = 6  // QUIC-LB reserves 7 for connection IDs that name no server
	idKeyLength        = 16
	minResetKeyLength  = 16
	defaultIdleTimeout = 30.0
	minIdleTimeout     = 1
	maxIdleTimeout     = 3600
	defaultMaxFlows    = 256
)

// decode validates and converts the section; its class has to be one of classes.
func (f quicFile) decode(classes []decide.Class) (QUIC, error) {
	if err := checkAddress("listen", f.Listen); err != nil {
		return QUIC{}, err
	}
	classIndex := slices.IndexFunc(classes, func(c decide.Class) bool { return c.Name == f.Class })
	if classIndex < 0 {
		return QUIC{}, invalid("class", f.Class, "is unknown: expected the name of one of settings.profiles")
	}
	idKey, err := hex.DecodeString(f.IDKey)
	if err != nil || len(idKey) != 0 && len(idKey) != idKeyLength {
		reason := fmt.Sprintf("invalid key: expected %d bytes in hexadecimal, or an empty string", idKeyLength)
		return QUIC{}, &FieldError{Key: "id_key", Reason: reason}
	}
	resetKey, err := hex.DecodeString(f.ResetKey)
	if err != nil || len(resetKey) < minResetKeyLength {
		reason := fmt.Sprintf("invalid key: expected at least %d bytes in hexadecimal", minResetKeyLength)
		return QUIC{}, &FieldError{Key: "reset_key", Reason: reason}
	}
	f.setDefaults()
	if err := f.checkNumbers(); err != nil {
		return QUIC{}, err
	}
	return QUIC{
		Listen:      f.Listen,
		ConfigID:    f.ConfigID,
		NonceLength: f.NonceLength,
		IDKey:       idKey,
		ResetKey:    resetKey,
		ClassIndex:  classIndex,
		IdleTimeout: seconds(f.IdleTimeout),
		MaxFlows:    f.MaxFlows,
	}, nil
}

func (f *quicFile) setDefaults() {
	f.NonceLength = cmp.Or(f.NonceLength, defaultNonceLength)
	f.IdleTimeout = cmp.Or(f.IdleTimeout, defaultIdleTimeout)
	f.MaxFlows = cmp.Or(f.MaxFlows, defaultMaxFlows)
}

func (f *quicFile) checkNumbers() error {
	if f.NonceLength < minNonceLength || f.NonceLength > maxNonceLength {
		reason := fmt.Sprintf("is out of range: expected %d to %d", minNonceLength, maxNonceLength)
		return invalid("nonce_length", f.NonceLength, reason)
	}
	if f.ConfigID < 0 || f.ConfigID > maxConfigID {
		return invalid("config_id", f.ConfigID, fmt.Sprintf("is out of range: expected 0 to %d", maxConfigID))
	}
	if f.IdleTimeout < minIdleTimeout || f.IdleTimeout > maxIdleTimeout {
		reason := fmt.Sprintf("is out of range: expected %d to %d", minIdleTimeout, maxIdleTimeout)
		return invalid("idle_s", f.IdleTimeout, reason)
	}
	if f.MaxFlows < 0 {
		return invalid("max_flows", f.MaxFlows, reasonBelowZero)
	}
	return nil
}
