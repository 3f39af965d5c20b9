package controlplane

import (
	"bytes"
	"encoding/hex"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/discovery/endpoint"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

var (
	testSecret      = []byte("0123456789abcdef0123456789abcdef")
	testClientNonce = []byte("client nonce 16b")
	testServerNonce = []byte("server nonce 16b")
	testEntry       = endpoint.Entry{Name: "s-1", Address: "127.0.0.1:9000", Zone: "a", Weight: 1.5, Drain: true}
)

// encodedEntry is the CBOR encoding of testEntry, in hexadecimal.
const encodedEntry = "a5646e616d6563732d3167616464726573736e3132372e302e302e313a39303030" +
	"647a6f6e65616166776569676874fb3ff800000000000065647261696ef5"

// Servers and followers of different releases exchange messages, so the encoding of each message must not change.
func TestMessageEncodingIsFixed(t *testing.T) {
	old := replica.Version{Term: 1, Number: 7}
	next := replica.Version{Term: 1, Number: 8}
	for _, test := range []struct {
		name  string
		value any
		want  string
	}{
		{"client hello", clientHello{1, "k1", testClientNonce},
			"a3010102626b310350636c69656e74206e6f6e636520313662"},
		{"server hello", serverHello{testServerNonce}, "a10150736572766572206e6f6e636520313662"},
		{"subscribe", message{Subscribe: &old}, "a101820107"},
		{"heartbeat", message{Heartbeat: &heartbeat{old, 1500}}, "a102a201820107021905dc"},
		{"changes", message{Changes: []replica.Change{{From: old, To: next,
			Upserted: []endpoint.Entry{testEntry}, Removed: []string{"s-2"}}}}, "a10381a401820107028201080481" +
			encodedEntry +
			"058163732d32"},
		{"snapshot chunk", message{Chunk: &replica.SnapshotChunk{Version: next, Index: 1, Last: true,
			Discovery: "127.0.0.1:8500", Entries: []endpoint.Entry{testEntry}}},
			"a104a501820108020103f5046e3132372e302e302e313a383530300581" +
				encodedEntry},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := cbor.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(raw); got != test.want {
				t.Errorf("encoded as\n%s, want\n%s", got, test.want)
			}
		})
	}
}

// The layout of a frame, its tag, and the derivation of the tags' keys must not change, because servers and followers
// of different releases exchange frames.
func TestFrameEncodingIsFixed(t *testing.T) {
	own := replica.Version{Term: 1, Number: 7}
	for _, test := range []struct {
		name     string
		follower bool
		frames   []any
		want     string
	}{
		{"follower", true, []any{message{Subscribe: &own}},
			"00000005a1018201078211d0761b4c8434c453e1dd337cc4fd25f894fd9f4205a36641544fb7ac274e"},
		{"server", false, []any{message{Heartbeat: &heartbeat{own, 1500}}, message{Heartbeat: &heartbeat{own, 2500}}},
			"0000000ba102a201820107021905dcf072ebb19cdd120504428929d008e1c855e5b87239f4e9564407a439322b199300" +
				"00000ba102a201820107021909c443651a4a6415e2eae66e37892f63dc3bf2c20cc4d627164df1cbaff23672c861"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer theirs.Close()
			go func() {
				defer ours.Close()
				peer := newSecureConn(ours)
				err := peer.deriveSessionKeys(testSecret, testClientNonce, testServerNonce, "site-1", test.follower)
				if err != nil {
					t.Error(err)
				}
				for _, frame := range test.frames {
					if err := peer.send(frame); err != nil {
						t.Error(err)
					}
				}
			}()
			theirs.SetReadDeadline(time.Now().Add(testTimeout))
			raw, err := io.ReadAll(theirs)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(raw); got != test.want {
				t.Errorf("sent as\n%s, want\n%s", got, test.want)
			}
		})
	}
}

// The tag of a clientHello, a follower's first frame, must not change, because servers and followers of different
// releases exchange it. Its key depends only on the shared secret and the site.
func TestHelloKeyIsFixed(t *testing.T) {
	mac, err := newMAC(testSecret, nil, "hello", "site-1")
	if err != nil {
		t.Fatal(err)
	}
	const want = "8cf6ba00c7a37547411071654bb9008da3749b9ed2f3495d2e6bdc66ddb89a12"
	if got := hex.EncodeToString(frameTag(mac, 0, []byte("body"))); got != want {
		t.Errorf("tag %s, want %s", got, want)
	}
}

// Earlier and later releases read the same state file, so its bucket, its key and the encoding of its value must not
// change.
func TestSavedStateIsFixed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	s, _ := newTestStore(path, "site-1")
	state := replica.State{Version: replica.Version{Term: 1, Number: 7},
		Document: replica.Document{Discovery: "127.0.0.1:8500", Endpoints: []endpoint.Entry{testEntry}}}
	if err := s.Save(state); err != nil {
		t.Fatal(err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var raw []byte
	if err := db.View(func(tx *bbolt.Tx) error {
		if bucket := tx.Bucket([]byte("control")); bucket != nil {
			raw = bytes.Clone(bucket.Get([]byte("state")))
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	const want = "c5c6bf2eeb2b90519e5f5a8d93c77b14196c2bb3442d2f93ce0e8e5733a00af8a301010266736974652d3103a2675665" +
		"7273696f6e82010768446f63756d656e74a269646973636f766572796e3132372e302e302e313a3835303065726f6f6d" +
		"7381" +
		encodedEntry
	if got := hex.EncodeToString(raw); got != want {
		t.Errorf("saved as\n%s, want\n%s", got, want)
	}
}
