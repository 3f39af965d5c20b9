package token

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// An error for an invalid keys file describes the fault, but does not contain the secret, which would be written to
// logs. If a key is rejected, the error names the key's index and field.
func TestInvalidKeys(t *testing.T) {
	const secret = "8f95f09245765f80256934e50c66207f8f95f09245765f80256934e50c66207f"
	oneKey := func(id, secret, notBefore string) string {
		return fmt.Sprintf(`{"keys":[{"id":%q,"secret":%q,"not_before":%q,"not_after":"2026-12-02T00:00:00Z"}]}`,
			id, secret, notBefore)
	}
	for name, v := range map[string]struct{ raw, want string }{
		"no keys":              {`{"keys":[]}`, "keys: 0"},
		"ID":                   {oneKey("x", secret, "2026-12-01T00:00:00Z"), `keys[0].id: "x"`},
		"long secret":          {oneKey("0a0b0c0d", secret+"ff", "2026-12-01T00:00:00Z"), "keys[0].secret: has 33"},
		"secret not hex":       {oneKey("0a0b0c0d", secret+"zz", "2026-12-01T00:00:00Z"), "keys[0].secret"},
		"ends before it seals": {oneKey("0a0b0c0d", secret, "2026-12-03T00:00:00Z"), "keys[0].not_after"},
		"keys of another type": {`{"keys":7}`, "keys"},
		"truncated":            {`{"keys":`, "unexpected end"},
	} {
		t.Run(name, func(t *testing.T) {
			keys, err := ParseKeys([]byte(v.raw))
			if err == nil {
				_, err = NewRing(keys, time.Hour)
			}
			if err == nil || !strings.Contains(err.Error(), v.want) || strings.Contains(err.Error(), secret) {
				t.Errorf("%s: error %v, want one with %q and without the secret", v.raw, err, v.want)
			}
		})
	}
	key := newTestKey(t, 0, time.Hour)
	if _, err := NewRing([]Key{key, key}, time.Hour); err == nil || !strings.Contains(err.Error(), "duplicate ID") {
		t.Errorf("two keys with one ID: error %v, want one with \"duplicate ID\"", err)
	}
}

// ParseKeys accepts what FormatKeys returns, and gets the same secret.
func TestFormattedKeysAreParsed(t *testing.T) {
	key := newTestKey(t, 0, time.Hour)
	raw, err := FormatKeys([]Key{key})
	if err != nil {
		t.Fatal(err)
	}
	if keys, err := ParseKeys(raw); err != nil || len(keys) != 1 || !bytes.Equal(keys[0].Secret, key.Secret) {
		t.Errorf("formatted and parsed: %+v, %v", keys, err)
	}
}

// Operators copy the keys file between balancers of different versions, so its format must not change.
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

// Neither ParseKeys nor NewRing panics, whatever the text of a keys file is.
func FuzzParseKeys(f *testing.F) {
	raw, _ := FormatKeys([]Key{newTestKey(f, 0, time.Hour)})
	fuzzcorpus.Add(f, raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if keys, err := ParseKeys(raw); err == nil {
			_, _ = NewRing(keys, time.Hour)
		}
	})
}
