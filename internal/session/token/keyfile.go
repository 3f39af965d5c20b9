package token

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// keysFile is the JSON form of a keys file.
type keysFile struct {
	Keys []keyJSON `json:"keys"`
}

// keyJSON is the JSON form of a Key.
type keyJSON struct {
	ID        string    `json:"id"`
	Secret    string    `json:"secret"` // hexadecimal
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
}

// ParseKeys parses the JSON text of a keys file. Errors never contain the value of a secret. The error for a secret
// names the key by its index, and one for a value of another JSON type names only the field. Errors for invalid JSON
// and invalid times name neither.
func ParseKeys(raw []byte) ([]Key, error) {
	var file keysFile
	if err := json.Unmarshal(raw, &file); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: expected %s, found %s", typeError.Field, typeError.Type, typeError.Value)
		}
		return nil, err
	}
	var keys []Key
	for i, key := range file.Keys {
		secret, err := hex.DecodeString(key.Secret)
		if err != nil {
			return nil, fmt.Errorf("keys[%d].secret: invalid value: expected hexadecimal digits", i)
		}
		keys = append(keys, Key{ID: key.ID, Secret: secret, NotBefore: key.NotBefore, NotAfter: key.NotAfter})
	}
	return keys, nil
}

// FormatKeys returns the JSON text of a keys file with the given keys, which ParseKeys parses.
func FormatKeys(keys []Key) ([]byte, error) {
	file := keysFile{Keys: []keyJSON{}}
	for _, key := range keys {
		file.Keys = append(file.Keys, keyJSON{
			ID:        key.ID,
			Secret:    hex.EncodeToString(key.Secret),
			NotBefore: key.NotBefore.UTC(),
			NotAfter:  key.NotAfter.UTC(),
		})
	}
	raw, err := json.MarshalIndent(file, "", "  ")
	return append(raw, '\n'), err
}
