package token

import (
	"bytes"
	"testing"
	"time"
)

// sequence returns n bytes that count up from first.
func sequence(first byte, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = first + byte(i)
	}
	return b
}

// fixedKey returns a key that is the same in each run.
func fixedKey() Key {
	return Key{ID: "0a0b0c0d", Secret: sequence(0, 32), NotBefore: noon.Add(-time.Hour), NotAfter: noon.Add(time.Hour)}
}

// Balancers of different versions share tokens, so the sealed bytes must stay as they are.
func TestSealedBytes(t *testing.T) {
	ring := testRing(t, fixedKey())
	withoutRoom := testToken()
	withoutRoom.Room = ""
	for name, v := range map[string]struct {
		token Token
		want  string
	}{
		"with a room": {testToken(), "1.0a0b0c0d.QEFCQ0RFRkdISUpLTE1OT1BRUlNUVVZXfDhVcdLjeRaP9Ie-r5xlkpK6rcYXWlaeD1CPKGZ2JuFiiW5" +
			"BNqLgZ5rTnDwzveOQ720Xm0Kw1vmEnTjDcLVUF1Iw-HIVEXMfrYO9fDHpxmW0MFd_JwozdlGE"},
		"without a room": {withoutRoom, "1.0a0b0c0d.QEFCQ0RFRkdISUpLTE1OT1BRUlNUVVZXczhVcdLjeRaP9Ie-r5xlkpK6rcYXWlaeD1CPKGZ2Jfpl1Dc" +
			"MMKDlIMjR81RJ0sHxm2rf3ritNEnjZFwM_jbJ6ltJ8QqNb0M"},
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

// Clients and the management interface see these texts.
func TestTexts(t *testing.T) {
	ref := testToken().Ref
	for _, v := range []struct{ got, want string }{
		{ref.Session.String(), "01020300000000000000000000000000"},
		{ref.String(), "01020300000000000000000000000000/4/5"},
		{Ref{Fence: 0xabc}.String(), "00000000000000000000000000000000/0/abc"},
		{ErrMalformed.Error(), "malformed"},
		{ErrVersion.Error(), "version"},
		{ErrKey.Error(), "unknown-key"},
		{ErrForged.Error(), "forged"},
		{ErrExpired.Error(), "expired"},
		{ErrSite.Error(), "site"},
		{string(Waits), "waits"},
		{string(Seals), "seals"},
		{string(Opens), "opens"},
		{string(Retired), "retired"},
	} {
		if v.got != v.want {
			t.Errorf("text %q, want %q", v.got, v.want)
		}
	}
}

// Operators copy the keys file between balancers of different versions.
func TestKeysFileText(t *testing.T) {
	const want = `{
  "keys": [
    {
      "id": "0a0b0c0d",
      "secret": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
      "not_before": "2026-12-02T11:00:00Z",
      "not_after": "2026-12-02T13:00:00Z"
    }
  ]
}
`
	got, err := FormatKeys([]Key{fixedKey()})
	if err != nil || string(got) != want {
		t.Errorf("formatted as %s, %v, want %s", got, err, want)
	}
	keys, err := ParseKeys([]byte(want))
	if err != nil || len(keys) != 1 || keys[0].ID != "0a0b0c0d" || !bytes.Equal(keys[0].Secret, sequence(0, 32)) ||
		!keys[0].NotBefore.Equal(noon.Add(-time.Hour)) || !keys[0].NotAfter.Equal(noon.Add(time.Hour)) {
		t.Errorf("parsed as %+v, %v", keys, err)
	}
	if empty, err := FormatKeys(nil); err != nil || string(empty) != "{\n  \"keys\": []\n}\n" {
		t.Errorf("no keys are formatted as %s, %v", empty, err)
	}
}
