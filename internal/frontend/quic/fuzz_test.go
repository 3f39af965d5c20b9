package quic

import (
	"encoding/hex"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// What is read of a packet lies within it.
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
		if p.end > len(raw) || p.pnOffset > p.end || !p.long && len(p.dcid) != 13 {
			t.Errorf("%x is read as %+v", raw, p)
		}
		if p.long && p.version == version1 && p.kind == typeInitial {
			k, err := initialKeys(p.dcid, clientSide)
			if err != nil {
				t.Fatal(err)
			}
			k.unprotect(raw, p)
		}
	})
}

func FuzzFindClose(f *testing.F) {
	fuzzcorpus.Add(f, []byte{frameClose, 2, 0, 4, 'f', 'u', 'l', 'l'}, []byte{frameAckECN, 9, 0, 1, 0, 1, 1, 1, 1, 1, frameCrypto, 0, 2, 7, 7})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := findClose(raw); c != nil && (err != nil || len(c.reason) > len(raw)) {
			t.Errorf("%x gives %+v, %v", raw, c, err)
		}
	})
}
