package token

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// Balancers that share a key open each other's tokens. A token with the longest names leaves enough space for other
// fields in a request line, and contains no character that the line uses as a separator.
func TestOpenWithSharedKey(t *testing.T) {
	key := newTestKey(t, -time.Hour, time.Hour)
	want := newTestToken()
	want.Room = strings.Repeat("r", MaxName)
	want.Server = strings.Repeat("s", MaxName)
	want.Site = strings.Repeat("a", MaxName)
	text := mustSeal(t, newTestRing(t, key), want, noon)
	otherRing := newTestRing(t, key, newTestKey(t, -time.Minute, time.Hour))
	got, err := otherRing.Open(text, want.Site, noon.Add(time.Minute))
	if err != nil || !got.Expires.Equal(want.Expires) {
		t.Fatalf("opened as %+v, error %v", got, err)
	}
	if got.Expires = want.Expires; got != want {
		t.Errorf("sealed %+v, opened %+v", want, got)
	}
	if len(text) > 700 || len(text) > MaxText || strings.ContainsAny(text, " ,=\r\n") {
		t.Errorf("token of %d bytes, which is too long or contains a separator of request lines: %q", len(text), text)
	}
}

// A token that is truncated or changed at any byte is rejected. If it is truncated, the error is ErrMalformed or
// ErrForged, and not one such as ErrExpired that only a complete token can cause.
func TestOpenRejectsAlteredTokens(t *testing.T) {
	ring := newTestRing(t, newTestKey(t, -time.Hour, time.Hour))
	text := mustSeal(t, ring, newTestToken(), noon)
	for i := range text {
		if _, err := ring.Open(text[:i], "armor", noon); !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrForged) {
			t.Errorf("truncated to %d bytes: error %v, want ErrMalformed or ErrForged", i, err)
		}
		for _, b := range []byte{'A', 'z', '0', '.', '~'} {
			changed := []byte(text)
			if changed[i] == b {
				continue
			}
			changed[i] = b
			if _, err := ring.Open(string(changed), "armor", noon); err == nil {
				t.Errorf("opened with %q at byte %d, want an error", b, i)
			}
		}
	}
	if _, err := ring.Open(text+strings.Repeat("A", MaxText), "armor", noon); !errors.Is(err, ErrMalformed) {
		t.Errorf("longer than MaxText: error %v, want ErrMalformed", err)
	}
}

// Each cause of a rejection has its own error, and a clock that is 30 s ahead or behind causes none.
func TestOpenErrors(t *testing.T) {
	key := newTestKey(t, -time.Hour, time.Hour)
	ring := newTestRing(t, key)
	text := mustSeal(t, ring, newTestToken(), noon)
	sameID := key // another key, whose ID is the same by chance
	sameID.Secret = bytes.Repeat([]byte{9}, 32)
	otherRing := newTestRing(t, newTestKey(t, -time.Hour, time.Hour))
	for name, v := range map[string]struct {
		ring *Ring
		text string
		site string
		at   time.Duration // after noon
		want error
	}{
		"valid":                  {ring, text, "armor", 0, nil},
		"clock 30 s ahead":       {ring, text, "armor", time.Hour + 30*time.Second, nil},
		"clock 30 s behind":      {ring, text, "armor", -time.Hour - 30*time.Second, nil},
		"expired":                {ring, text, "armor", time.Hour + 2*Leeway, ErrExpired},
		"unsupported version":    {ring, "2" + text[1:], "armor", 0, ErrUnsupportedVersion},
		"version of two digits":  {ring, "77.x", "armor", 0, ErrUnsupportedVersion},
		"other site":             {ring, text, "brest", 0, ErrWrongSite},
		"unknown key":            {otherRing, text, "armor", 0, ErrUnknownKey},
		"other key with same ID": {newTestRing(t, sameID), text, "armor", 0, ErrForged},
		"empty":                  {ring, "", "armor", 0, ErrMalformed},
		"not a token":            {ring, "hello", "armor", 0, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := v.ring.Open(v.text, v.site, noon.Add(v.at)); !errors.Is(err, v.want) {
				t.Errorf("error %v, want %v", err, v.want)
			}
		})
	}
}

// Open rejects any text that Seal has not returned. The fuzzer has no key, so it can create no other valid token.
func FuzzOpen(f *testing.F) {
	ring := newTestRing(f, newTestKey(f, -time.Hour, time.Hour))
	token := newTestToken()
	fuzzcorpus.Add(f, []byte(mustSeal(f, ring, token, noon)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := ring.Open(string(raw), "armor", noon)
		if err == nil && got.Ref != token.Ref {
			t.Errorf("%q opened as %+v", raw, got)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	ring, token := newTestRing(b, newTestKey(b, -time.Hour, time.Hour)), newTestToken()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ring.Seal(token, noon, random); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	ring := newTestRing(b, newTestKey(b, -time.Hour, time.Hour))
	text := mustSeal(b, ring, newTestToken(), noon)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ring.Open(text, "armor", noon); err != nil {
			b.Fatal(err)
		}
	}
}
