package token

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"
)

var (
	noon   = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	random = rand.NewChaCha8([32]byte{7})
)

func testKey(t testing.TB, from, to time.Duration) Key {
	t.Helper()
	k, err := NewKey(noon.Add(from), noon.Add(to), random)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func testRing(t testing.TB, keys ...Key) *Ring {
	t.Helper()
	r, err := NewRing(keys, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testToken() Token {
	return Token{Ref: Ref{SessionID{1, 2, 3}, 4, 5}, Site: "armor", Room: "tpl/c0dweahp9g9at", Server: "s-5be2a07c",
		Position: 67, Expires: noon.Add(time.Hour)}
}

func seal(t testing.TB, r *Ring, tok Token, now time.Time) string {
	t.Helper()
	text, err := r.Seal(tok, now, random)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// What one ring seals another with the same key opens, as it was, and it fits a first line with room to spare.
func TestOpensWhatAnotherSealed(t *testing.T) {
	k := testKey(t, -time.Hour, time.Hour)
	tok := testToken()
	tok.Room, tok.Server, tok.Site = strings.Repeat("r", MaxName), strings.Repeat("s", MaxName), strings.Repeat("a", MaxName)
	text := seal(t, testRing(t, k), tok, noon)
	got, err := testRing(t, k, testKey(t, -time.Minute, time.Hour)).Open(text, tok.Site, noon.Add(time.Minute))
	if err != nil || !got.Expires.Equal(tok.Expires) {
		t.Fatalf("opened as %+v: %v", got, err)
	}
	if got.Expires = tok.Expires; got != tok {
		t.Errorf("sealed %+v, opened %+v", tok, got)
	}
	if len(text) > 700 || len(text) > MaxText || strings.ContainsAny(text, " ,=\r\n") {
		t.Errorf("%d characters, or some that a list cannot hold: %q", len(text), text)
	}
}

// Guards against a token that is taken in any form but the one that was sealed: cut at every byte, changed at every
// byte, and every cut says malformed, forged or unknown key, nothing else.
func TestCutOrChangedTokensAreRefused(t *testing.T) {
	r := testRing(t, testKey(t, -time.Hour, time.Hour))
	text := seal(t, r, testToken(), noon)
	for i := range text {
		if _, err := r.Open(text[:i], "armor", noon); !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrForged) {
			t.Errorf("cut at %d: %v", i, err)
		}
		for _, b := range []byte{'A', 'z', '0', '.', '~'} {
			changed := []byte(text)
			if changed[i] == b {
				continue
			}
			changed[i] = b
			if _, err := r.Open(string(changed), "armor", noon); err == nil {
				t.Errorf("opened with %q at %d", b, i)
			}
		}
	}
	if _, err := r.Open(text+strings.Repeat("A", MaxText), "armor", noon); !errors.Is(err, ErrMalformed) {
		t.Errorf("too long: %v", err)
	}
}

// Every reason for a refusal is told apart, and clocks 30 s off are no reason.
func TestReasons(t *testing.T) {
	k := testKey(t, -time.Hour, time.Hour)
	r := testRing(t, k)
	text := seal(t, r, testToken(), noon)
	twin := k // another site's key under the same id: guards against trust in the id alone
	twin.Secret = bytes.Repeat([]byte{9}, 32)
	for name, v := range map[string]struct {
		ring *Ring
		text string
		site string
		at   time.Duration
		want error
	}{
		"good":              {r, text, "armor", 0, nil},
		"clock 30 s ahead":  {r, text, "armor", time.Hour + 30*time.Second, nil},
		"clock 30 s behind": {r, text, "armor", -time.Hour - 30*time.Second, nil},
		"expired":           {r, text, "armor", time.Hour + 2*Leeway, ErrExpired},
		"version":           {r, "2" + text[1:], "armor", 0, ErrVersion},
		"version 77, long":  {r, "77.x", "armor", 0, ErrVersion},
		"other site":        {r, text, "brest", 0, ErrSite},
		"unknown key":       {testRing(t, testKey(t, -time.Hour, time.Hour)), text, "armor", 0, ErrKey},
		"forged":            {testRing(t, twin), text, "armor", 0, ErrForged},
		"empty":             {r, "", "armor", 0, ErrMalformed},
		"words":             {r, "hello", "armor", 0, ErrMalformed},
	} {
		if _, err := v.ring.Open(v.text, v.site, noon.Add(v.at)); !errors.Is(err, v.want) {
			t.Errorf("%s: %v, expected %v", name, err, v.want)
		}
	}
}

// A key that goes out of use opens until the last token that it sealed has expired, and then no longer; the next one
// seals from its time on. Guards rotation against refusing children whose tokens are still good.
func TestRotation(t *testing.T) {
	old, next := testKey(t, -time.Hour, time.Minute), testKey(t, 0, 3*time.Hour)
	r := testRing(t, next, old)
	tok := testToken()
	for _, v := range []struct {
		at        time.Duration
		old, next Use
	}{
		{-time.Minute, Seals, Waits}, {0, Opens, Seals}, {time.Hour, Opens, Seals},
		{time.Hour + 4*time.Minute, Retired, Seals}, {4*time.Hour - time.Minute, Retired, Opens},
	} {
		now := noon.Add(v.at)
		if a, b := r.Use(old.ID, now), r.Use(next.ID, now); a != v.old || b != v.next {
			t.Errorf("at %v: %s and %s, expected %s and %s", v.at, a, b, v.old, v.next)
		}
	}
	last := noon.Add(59 * time.Second)
	tok.Expires = last.Add(time.Hour)
	text := seal(t, testRing(t, old), tok, last)
	if _, err := r.Open(text, "armor", tok.Expires.Add(-time.Second)); err != nil {
		t.Errorf("the retired key's last token, before it expires: %v", err)
	}
	if _, err := r.Open(text, "armor", noon.Add(time.Hour+4*time.Minute)); !errors.Is(err, ErrKey) {
		t.Errorf("the retired key's last token, once it is retired: %v", err)
	}
	if _, err := testRing(t, old).Seal(tok, noon.Add(2*time.Minute), random); err == nil {
		t.Error("sealed with a key out of use")
	}
}

// Faulty rings are refused with the key and the value, and without the secret.
func TestFaultyKeys(t *testing.T) {
	const secret = "8f95f09245765f80256934e50c66207f8f95f09245765f80256934e50c66207f"
	for raw, says := range map[string]string{
		`{"keys":[]}`: "keys: 0",
		`{"keys":[{"id":"x","secret":"` + secret + `","not_before":"2026-12-01T00:00:00Z","not_after":"2026-12-02T00:00:00Z"}]}`:          `keys[0].id: "x"`,
		`{"keys":[{"id":"0a0b0c0d","secret":"` + secret + `ff","not_before":"2026-12-01T00:00:00Z","not_after":"2026-12-02T00:00:00Z"}]}`: "keys[0].secret: has 33",
		`{"keys":[{"id":"0a0b0c0d","secret":"` + secret + `zz","not_before":"2026-12-01T00:00:00Z","not_after":"2026-12-02T00:00:00Z"}]}`: "keys[0].secret",
		`{"keys":[{"id":"0a0b0c0d","secret":"` + secret + `","not_before":"2026-12-03T00:00:00Z","not_after":"2026-12-02T00:00:00Z"}]}`:   "keys[0].not_after",
		`{"keys":7}`: "keys",
		`{"keys":`:   "unexpected end",
	} {
		keys, err := ParseKeys([]byte(raw))
		if err == nil {
			_, err = NewRing(keys, time.Hour)
		}
		if err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), secret) {
			t.Errorf("%s: %v, expected it to say %q", raw, err, says)
		}
	}
	k := testKey(t, 0, time.Hour)
	if _, err := NewRing([]Key{k, k}, time.Hour); err == nil || !strings.Contains(err.Error(), "twice") {
		t.Errorf("one id twice: %v", err)
	}
	raw, _ := FormatKeys([]Key{k})
	if again, err := ParseKeys(raw); err != nil || len(again) != 1 || !bytes.Equal(again[0].Secret, k.Secret) {
		t.Errorf("written and read again: %+v, %v", again, err)
	}
}

// Whatever comes is refused with one of the reasons, or is what was sealed.
func FuzzOpen(f *testing.F) {
	r := testRing(f, testKey(f, -time.Hour, time.Hour))
	tok := testToken()
	text := seal(f, r, tok, noon)
	fuzzcorpus.Add(f, []byte(text))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := r.Open(string(raw), "armor", noon)
		if err == nil && got.Ref != tok.Ref {
			t.Errorf("%q opened as %+v", raw, got)
		}
	})
}

func FuzzParseKeys(f *testing.F) {
	raw, _ := FormatKeys([]Key{testKey(f, 0, time.Hour)})
	fuzzcorpus.Add(f, raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if keys, err := ParseKeys(raw); err == nil {
			_, _ = NewRing(keys, time.Hour)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	r, tok := testRing(b, testKey(b, -time.Hour, time.Hour)), testToken()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Seal(tok, noon, random); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	r := testRing(b, testKey(b, -time.Hour, time.Hour))
	text := seal(b, r, testToken(), noon)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Open(text, "armor", noon); err != nil {
			b.Fatal(err)
		}
	}
}
