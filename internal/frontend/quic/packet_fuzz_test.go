package quic

import (
	"encoding/hex"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// parsePacket and unprotect do not panic. The parsed offsets are within the datagram, and the connection ID of a short
// header has the given length of 13 bytes.
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
			t.Errorf("parsePacket(%x) = %+v", raw, p)
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

// findClose does not panic, and the reason phrase that it returns is not longer than the payload.
func FuzzFindClose(f *testing.F) {
	closed := []byte{frameConnectionClose, 2, 0, 4, 'f', 'u', 'l', 'l'}
	ackAndCrypto := []byte{frameACKWithECN, 9, 0, 1, 0, 1, 1, 1, 1, 1, frameCrypto, 0, 2, 7, 7}
	fuzzcorpus.Add(f, closed, ackAndCrypto)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if closed, err := findClose(raw); closed != nil && (err != nil || len(closed.reason) > len(raw)) {
			t.Errorf("findClose(%x) = %+v, %v", raw, closed, err)
		}
	})
}
