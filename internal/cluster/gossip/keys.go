package gossip

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"cottonplank/internal/session/token"

	"github.com/hashicorp/memberlist"
)

var errNoPrimaryKey = errors.New("membership: no key is currently valid for sealing")

// newKeyring returns a keyring for the library with all keys of the ring that are not retired. It returns
// errNoPrimaryKey if none of them may encrypt at this time.
func newKeyring(ring *token.Ring, now time.Time) (*memberlist.Keyring, error) {
	primary, secrets := validSecrets(ring, now)
	if primary == nil {
		return nil, errNoPrimaryKey
	}
	return memberlist.NewKeyring(secrets, primary)
}

// updateKeyring makes the library's keyring match the keys of the ring that are valid now. It is called regularly,
// because the ring may be replaced and because each of its keys has its own times to start encrypting and to retire. If
// no key may encrypt at this time, it keeps the primary key, removes no key and returns errNoPrimaryKey.
func updateKeyring(keyring *memberlist.Keyring, ring *token.Ring, now time.Time) error {
	primary, secrets := validSecrets(ring, now)
	for _, secret := range secrets {
		if err := keyring.AddKey(secret); err != nil {
			return err
		}
	}
	if primary == nil {
		return errNoPrimaryKey
	}
	if err := keyring.UseKey(primary); err != nil {
		return err
	}
	for _, installed := range keyring.GetKeys() {
		valid := slices.ContainsFunc(secrets, func(secret []byte) bool { return bytes.Equal(secret, installed) })
		if valid {
			continue
		}
		if err := keyring.RemoveKey(installed); err != nil {
			return err
		}
	}
	return nil
}

// validSecrets returns the secrets of all keys that are not retired. primary is the secret that encrypts, or nil if no
// key may encrypt at this time.
func validSecrets(ring *token.Ring, now time.Time) (primary []byte, secrets [][]byte) {
	for _, key := range ring.Keys() {
		switch ring.KeyUse(key.ID, now) {
		case token.KeyRetired:
			continue
		case token.KeySeals:
			primary = key.Secret
		}
		secrets = append(secrets, key.Secret)
	}
	return primary, secrets
}
