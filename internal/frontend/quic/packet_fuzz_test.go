package quic

import (
	"encoding/hex"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// The parsed fields lie within the packet.
func FuzzPacket(f *testing.F) {
	initial, err := hex.DecodeString(rfcPacket)
	if err != nil {
		f.Fatal(err)
	}
	fuzzcorpus.Add(f, initial, append([]byte{fixedBit}, make([]byte, 40)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := parsePacket(raw, 13)
		if err != nil {
			return
		}
		if p.end > len(raw) || p.numberOffset > p.end || !p.long && len(p.destinationID) != 13 {
			t.Errorf("%x is parsed as %+v", raw, p)
		}
		if p.isInitial() {
			keys, err := newInitialKeys(p.destinationID, clientInitialLabel)
			if err != nil {
				t.Fatal(err)
			}
			keys.unprotect(raw, p)
		}
	})
}

// A frame that is found lies within the payload, and findClose does not panic.
func FuzzFindClose(f *testing.F) {
	closed := []byte{frameConnectionClose, 2, 0, 4, 'f', 'u', 'l', 'l'}
	ackAndCrypto := []byte{frameACKWithECN, 9, 0, 1, 0, 1, 1, 1, 1, 1, frameCrypto, 0, 2, 7, 7}
	fuzzcorpus.Add(f, closed, ackAndCrypto)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if closed, err := findClose(raw); closed != nil && (err != nil || len(closed.reason) > len(raw)) {
			t.Errorf("%x gives %+v, %v", raw, closed, err)
		}
	})
}
