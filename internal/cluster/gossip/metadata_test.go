package gossip

import (
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"
)

func TestMetadataFitsLibraryLimit(t *testing.T) {
	longest := strings.Repeat("n", 64)
	raw, err := nodeMetadata{
		Zone:        longest,
		Region:      longest,
		Version:     longest,
		Incarnation: 1 << 60,
		Divisor:     maxDivisor,
	}.encode()
	if err != nil || len(raw) > memberlist.MetaMaxSize {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	if d, err := decodeMetadata(raw); err != nil || d.Zone != longest || d.Divisor != maxDivisor {
		t.Errorf("%+v, %v", d, err)
	}
	for name, malformed := range map[string][]byte{
		"empty":                nil,
		"not a map":            []byte("x"),
		"divisor out of range": {0xa1, 0x05, 0x20},
		"truncated":            raw[:len(raw)-3],
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decodeMetadata(malformed); err == nil {
				t.Errorf("%x is accepted", malformed)
			}
		})
	}
}

func TestMetadataOfLaterVersion(t *testing.T) {
	raw := []byte{0xa3, 0x01, 0x61, 'a', 0x04, 0x07, 0x18, 0x63, 0x01} // 1: "a", 4: 7, 99: 1
	if d, err := decodeMetadata(raw); err != nil || d.Zone != "a" || d.Incarnation != 7 {
		t.Errorf("%+v, %v", d, err)
	}
}
