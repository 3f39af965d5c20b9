package token

import (
	"errors"
	"testing"
	"time"
)

// A key that has stopped sealing opens tokens until twice Leeway after the expiry of the last token that it can have
// sealed, and is then retired. The next key seals from its own NotBefore on. So a key rotation rejects no token that
// is still valid.
func TestKeyRotation(t *testing.T) {
	old, next := newTestKey(t, -time.Hour, time.Minute), newTestKey(t, 0, 3*time.Hour)
	ring := newTestRing(t, next, old)
	for _, v := range []struct {
		at        time.Duration // after noon
		old, next KeyUse
	}{
		{-time.Minute, KeySeals, KeyWaits},
		{0, KeyOpens, KeySeals},
		{time.Hour, KeyOpens, KeySeals},
		{time.Hour + 4*time.Minute, KeyRetired, KeySeals},
		{4*time.Hour - time.Minute, KeyRetired, KeyOpens},
	} {
		t.Run(v.at.String(), func(t *testing.T) {
			now := noon.Add(v.at)
			if oldUse, nextUse := ring.KeyUse(old.ID, now), ring.KeyUse(next.ID, now); oldUse != v.old || nextUse != v.next {
				t.Errorf("uses are %s and %s, want %s and %s", oldUse, nextUse, v.old, v.next)
			}
		})
	}
	token := newTestToken()
	lastSealed := noon.Add(59 * time.Second)
	token.Expires = lastSealed.Add(time.Hour)
	text := mustSeal(t, newTestRing(t, old), token, lastSealed)
	if _, err := ring.Open(text, "armor", token.Expires.Add(-time.Second)); err != nil {
		t.Errorf("the old key's last token one second before its expiry: error %v, want none", err)
	}
	if _, err := ring.Open(text, "armor", noon.Add(time.Hour+4*time.Minute)); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("the old key's last token after the key is retired: error %v, want ErrUnknownKey", err)
	}
	if _, err := newTestRing(t, old).Seal(token, noon.Add(2*time.Minute), random); !errors.Is(err, ErrNoSealingKey) {
		t.Errorf("sealing after the only key's NotAfter: error %v, want %v", err, ErrNoSealingKey)
	}
}
