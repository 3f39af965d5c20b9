package replica

import (
	"encoding/hex"
	"reflect"
	"testing"

	"cottonplank/internal/discovery/endpoint"

	"github.com/fxamacker/cbor/v2"
)

// encodedEntry is the CBOR encoding, in hexadecimal, of the endpoint entry in TestEncodingIsFixed.
const encodedEntry = "a5646e616d6563732d3167616464726573736e3132372e302e302e313a39303030" +
	"647a6f6e65616166776569676874fb3ff800000000000065647261696ef5"

// Processes of different releases exchange these types and read each other's state files, so their encoding must
// not change.
func TestEncodingIsFixed(t *testing.T) {
	discovery := "127.0.0.1:8500"
	entry := endpoint.Entry{Name: "s-1", Address: "127.0.0.1:9000", Zone: "a", Weight: 1.5, Drain: true}
	for _, test := range []struct {
		name  string
		value any
		want  string
	}{
		{"version", Version{Term: 1, Number: 7}, "820107"},
		{"state", State{Version{Term: 1, Number: 7}, Document{Discovery: discovery, Endpoints: []endpoint.Entry{entry}}},
			"a26756657273696f6e82010768446f63756d656e74a269646973636f766572796e3132372e302e302e313a3835303065" +
				"726f6f6d7381" +
				encodedEntry},
		{"empty state", State{},
			"a26756657273696f6e82000068446f63756d656e74a0"},
		{"change", Change{From: Version{Term: 1, Number: 7}, To: Version{Term: 2, Number: 1}, Discovery: &discovery,
			Upserted: []endpoint.Entry{entry}, Removed: []string{"s-2"}},
			"a50182010702820201036e3132372e302e302e313a383530300481" +
				encodedEntry +
				"058163732d32"},
		{"empty change", Change{}, "a20182000002820000"},
		{"snapshot chunk", SnapshotChunk{Version: Version{Term: 1, Number: 7}, Index: 3, Last: true, Discovery: discovery,
			Entries: []endpoint.Entry{entry}},
			"a501820107020303f5046e3132372e302e302e313a383530300581" +
				encodedEntry},
		{"empty snapshot chunk", SnapshotChunk{}, "a2018200000200"},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := cbor.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(raw); got != test.want {
				t.Errorf("encoded as\n%s, want\n%s", got, test.want)
			}
			decoded := reflect.New(reflect.TypeOf(test.value))
			if err := cbor.Unmarshal(raw, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, test.value) {
				t.Errorf("decoded as %+v, want %+v", got, test.value)
			}
		})
	}
}
