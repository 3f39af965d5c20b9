package gossip

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"cottonplank/internal/session/token"

	"github.com/hashicorp/memberlist"
)

var errNoPrimaryKey = errors.New("membership: no key seals now")

// newKeyring returns the library's keyring with the keys of the ring that are valid now. It returns errNoPrimaryKey
// if none of them seals.
func newKeyring(ring *token.Ring, now time.Time) (*memberlist.Keyring, error) {
	primary, secrets := validSecrets(ring, now)
	if primary == nil {
		return nil, errNoPrimaryKey
	}
	return memberlist.NewKeyring(secrets, primary)
}

// updateKeyring brings the library's keyring up to date, because a key may begin to seal, or retire, at any time. If
// no key seals, it leaves the primary key as it is and returns errNoPrimaryKey.
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

// validSecrets returns the secrets that decrypt now, and among them the one that encrypts, or nil if none does.
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
