package gossip

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

func TestDescriptionFitsTheLibrary(t *testing.T) {
	longest := strings.Repeat("n", 64)
	raw, err := description{Zone: longest, Region: longest, Version: longest, Incarnation: 1 << 60, Divisor: mostDivisor}.encode()
	if err != nil || len(raw) > memberlist.MetaMaxSize {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	if d, err := decodeDescription(raw); err != nil || d.Zone != longest || d.Divisor != mostDivisor {
		t.Errorf("%+v, %v", d, err)
	}
	for _, spoilt := range [][]byte{nil, []byte("x"), {0xa1, 0x05, 0x20}, raw[:len(raw)-3]} {
		if _, err := decodeDescription(spoilt); err == nil {
			t.Errorf("%x is taken", spoilt)
		}
	}
}

func TestDescriptionOfALaterVersion(t *testing.T) {
	raw := []byte{0xa3, 0x01, 0x61, 'a', 0x04, 0x07, 0x18, 0x63, 0x01} // 1: "a", 4: 7, 99: 1
	if d, err := decodeDescription(raw); err != nil || d.Zone != "a" || d.Incarnation != 7 {
		t.Errorf("%+v, %v", d, err)
	}
}

func TestBackoff(t *testing.T) {
	var b backoff
	now := time.Unix(0, 0)
	attempts := 0
	for range 600 {
		if b.next(now, 17*time.Second) {
			attempts++
		}
		now = now.Add(time.Second)
	}
	if attempts < 20 || attempts > 70 {
		t.Errorf("%d attempts in 600 s", attempts)
	}
}

func TestNoncesForgetTheOldest(t *testing.T) {
	var n nonces
	if !n.add([12]byte{1}) || n.add([12]byte{1}) {
		t.Error("a nonce is new once")
	}
	for i := range 3 * noncesKept {
		n.add([12]byte{2, byte(i), byte(i >> 8), byte(i >> 16)})
	}
	if len(n.recent)+len(n.older) > 2*noncesKept {
		t.Errorf("%d kept", len(n.recent)+len(n.older))
	}
}
