package gossip

import (
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"
)

// The library limits the length of the metadata, and a member whose metadata is longer announces none. The longest
// metadata must fit, and malformed metadata must be rejected.
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
		t.Fatalf("longest metadata has %d bytes, error %v; want at most memberlist.MetaMaxSize", len(raw), err)
	}
	if d, err := decodeMetadata(raw); err != nil || d.Zone != longest || d.Divisor != maxDivisor {
		t.Errorf("decoded %+v, error %v; want the metadata that was encoded", d, err)
	}
	for name, malformed := range map[string][]byte{
		"empty":                nil,
		"not a map":            []byte("x"),
		"divisor out of range": {0xa1, 0x05, 0x20},
		"truncated":            raw[:len(raw)-3],
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decodeMetadata(malformed); err == nil {
				t.Errorf("malformed metadata %x was accepted", malformed)
			}
		})
	}
}

// During an update of the cluster, members receive metadata with fields that only later versions know. They must
// ignore these fields and decode the known fields.
func TestMetadataOfLaterVersion(t *testing.T) {
	raw := []byte{0xa3, 0x01, 0x61, 'a', 0x04, 0x07, 0x18, 0x63, 0x01} // 1: "a", 4: 7, 99: 1
	if d, err := decodeMetadata(raw); err != nil || d.Zone != "a" || d.Incarnation != 7 {
		t.Errorf("decoded %+v, error %v; want zone a, incarnation 7", d, err)
	}
}
