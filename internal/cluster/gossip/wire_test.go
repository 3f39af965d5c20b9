package gossip

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestWireBytes compares the encoded metadata and leave message with literal bytes. Members of earlier and later
// versions decode them, so the encoding must not change.
func TestWireBytes(t *testing.T) {
	converged := nodeMetadata{Zone: "a", Region: "x", Version: "v1", Incarnation: 1_800_000_000_000, Divisor: 5}
	unconverged := nodeMetadata{Zone: "a", Region: "x", Version: "v1", Incarnation: 7}
	leave := leaveMessage{Name: "m1", Incarnation: 7}
	for _, c := range []struct {
		name  string
		value any
		want  []byte
	}{
		{"metadata", converged, []byte("\xa5\x01\x61a\x02\x61x\x03\x62v1\x04\x1b\x00\x00\x01\xa3\x18\x5c\x50\x00\x05\x05")},
		{"metadata without a divisor", unconverged, []byte("\xa4\x01\x61a\x02\x61x\x03\x62v1\x04\x07")},
		{"leave message", leave, []byte("\xa2\x01\x62m1\x02\x07")},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := cbor.Marshal(c.value)
			if err != nil || !bytes.Equal(got, c.want) {
				t.Errorf("encoded as %x, error %v; want %x", got, err, c.want)
			}
		})
	}
	raw := []byte("\xa4\x01\x61a\x02\x61x\x03\x62v1\x04\x07")
	if got, err := decodeMetadata(raw); err != nil || got != unconverged {
		t.Errorf("decoded metadata %+v, error %v; want the metadata without a divisor", got, err)
	}
	if got, err := decodeLeave([]byte("\xa2\x01\x62m1\x02\x07")); err != nil || got != leave {
		t.Errorf("decoded leave message %+v, error %v; want the leave message that was encoded", got, err)
	}
}
