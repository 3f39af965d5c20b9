package token

import (
	"bytes"
	"testing"
)

// Balancers of different versions open each other's tokens, so the bytes of a sealed token must not change. The
// tokens in this test are sealed with a constant key and nonce.
func TestSealedBytes(t *testing.T) {
	ring := newTestRing(t, fixedKey())
	withoutRoom := newTestToken()
	withoutRoom.Room = ""
	const (
		withRoomText = "1.0a0b0c0d.QEFCQ0RFRkdISUpLTE1OT1BRUlNUVVZXfDhVcdLjeRaP9Ie-r5xlkpK6rcYXWlaeD1CPK" +
			"GZ2JuFiiW5BNqLgZ5rTnDwzveOQ720Xm0Kw1vmEnTjDcLVUF1Iw-HIVEXMfrYO9fDHpxmW0MFd_Jwozd" +
			"lGE"
		withoutRoomText = "1.0a0b0c0d.QEFCQ0RFRkdISUpLTE1OT1BRUlNUVVZXczhVcdLjeRaP9Ie-r5xlkpK6rcYXWlaeD1CPK" +
			"GZ2Jfpl1DcMMKDlIMjR81RJ0sHxm2rf3ritNEnjZFwM_jbJ6ltJ8QqNb0M"
	)
	for name, v := range map[string]struct {
		token Token
		want  string
	}{
		"with a room":    {newTestToken(), withRoomText},
		"without a room": {withoutRoom, withoutRoomText},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ring.Seal(v.token, noon, bytes.NewReader(sequence(0x40, 24)))
			if err != nil || got != v.want {
				t.Errorf("sealed as %s, %v, want %s", got, err, v.want)
			}
			opened, err := ring.Open(v.want, "armor", noon)
			if err != nil || !opened.Expires.Equal(v.token.Expires) {
				t.Fatalf("opened as %+v, %v", opened, err)
			}
			if opened.Expires = v.token.Expires; opened != v.token {
				t.Errorf("opened as %+v, want %+v", opened, v.token)
			}
		})
	}
}

// These texts must not change: room servers receive session IDs in this form, clients receive the words of the
// errors, and operators read the uses of keys.
func TestReferenceAndReasonTexts(t *testing.T) {
	ref := newTestToken().Ref
	for _, v := range []struct{ got, want string }{
		{ref.Session.String(), "01020300000000000000000000000000"},
		{ref.String(), "01020300000000000000000000000000/4/5"},
		{Ref{Fence: 0xabc}.String(), "00000000000000000000000000000000/0/abc"},
		{ErrMalformed.Error(), "malformed"},
		{ErrUnsupportedVersion.Error(), "version"},
		{ErrUnknownKey.Error(), "unknown-key"},
		{ErrForged.Error(), "forged"},
		{ErrExpired.Error(), "expired"},
		{ErrWrongSite.Error(), "site"},
		{string(KeyWaits), "waits"},
		{string(KeySeals), "seals"},
		{string(KeyOpens), "opens"},
		{string(KeyRetired), "retired"},
	} {
		if v.got != v.want {
			t.Errorf("text %q, want %q", v.got, v.want)
		}
	}
}
