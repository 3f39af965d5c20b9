package gossip

import (
	"bytes"
	"errors"
	"time"

	"cottonplank/internal/session/token"

	"github.com/hashicorp/memberlist"
)

var errNoKey = errors.New("membership: no key seals now")

// newKeyring makes the library's ring of the site's keys.
func newKeyring(ring *token.Ring, now time.Time) (*memberlist.Keyring, error) {
	primary, all := secrets(ring, now)
	if primary == nil {
		return nil, errNoKey
	}
	return memberlist.NewKeyring(all, primary)
}

// useKeys brings the library's ring up to date: a key may begin to seal, or end, at any time. The old primary key stays where
// none seals.
func useKeys(keyring *memberlist.Keyring, ring *token.Ring, now time.Time) error {
	primary, all := secrets(ring, now)
	for _, secret := range all {
		if err := keyring.AddKey(secret); err != nil {
			return err
		}
	}
	if primary == nil {
		return errNoKey
	}
	if err := keyring.UseKey(primary); err != nil {
		return err
	}
	for _, secret := range keyring.GetKeys() {
		kept := func() bool {
			for _, other := range all {
				if bytes.Equal(other, secret) {
					return true
				}
			}
			return false
		}
		if !kept() {
			if err := keyring.RemoveKey(secret); err != nil {
				return err
			}
		}
	}
	return nil
}

// secrets are those that open now, and the one of them that seals; nil: none does.
func secrets(ring *token.Ring, now time.Time) (primary []byte, all [][]byte) {
	for _, key := range ring.Keys() {
		switch ring.Use(key.ID, now) {
		case token.Retired:
			continue
		case token.Seals:
			primary = key.Secret
		}
		all = append(all, key.Secret)
	}
	return primary, all
}
