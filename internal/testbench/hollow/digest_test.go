package hollow

import (
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/emulator"
)

// testEndpoint returns an endpoint that changed last in the given version.
func testEndpoint(name string, version int64, state decide.State) core.Endpoint {
	return core.Endpoint{
		Name:    name,
		Address: "127.1.0.1:1",
		Server:  decide.Server{Zone: "a", State: state},
		Started: time.UnixMilli(emulator.StartedAt + version),
	}
}

// The digest of a node's list is that of the endpoints it was told last, also when a change is repeated or skipped.
func TestNodeListDigest(t *testing.T) {
	known := []core.Endpoint{testEndpoint("a", 1, decide.Ready), testEndpoint("b", 1, decide.Ready)}
	a2 := testEndpoint("a", 2, decide.Draining)
	b3 := testEndpoint("b", 3, decide.Draining)
	a4 := testEndpoint("a", 4, decide.Ready)
	for name, v := range map[string]struct {
		deltas []core.Endpoint
		want   []core.Endpoint
	}{
		"in order":          {[]core.Endpoint{a2, b3, a4}, []core.Endpoint{a4, b3}},
		"each repeated":     {[]core.Endpoint{a2, a2, b3, b3, a4, a4}, []core.Endpoint{a4, b3}},
		"all repeated":      {[]core.Endpoint{a2, b3, a4, a2, b3, a4}, []core.Endpoint{a4, b3}},
		"regression":        {[]core.Endpoint{a2, b3, a4, a2}, []core.Endpoint{a2, b3}},
		"regression of two": {[]core.Endpoint{a2, b3, a4, a2, b3}, []core.Endpoint{a2, b3}},
	} {
		t.Run(name, func(t *testing.T) {
			shared := newSharedList(known, 1)
			// Another node has recorded all changes before.
			other := nodeList{version: 1, digest: shared.initialDigest}
			for _, e := range []core.Endpoint{a2, b3, a4} {
				other.applyDelta(shared, e)
			}
			list := nodeList{version: 1, digest: shared.initialDigest}
			for _, e := range v.deltas {
				list.applyDelta(shared, e)
			}
			want := uint64(0)
			for _, e := range v.want {
				want ^= endpointDigest(e)
			}
			if list.digest != want {
				t.Errorf("digest %x after the deltas, want %x", list.digest, want)
			}
			if list.replace(v.want); list.digest != want {
				t.Errorf("digest %x after a snapshot, want %x", list.digest, want)
			}
		})
	}
	t.Run("skipped change", func(t *testing.T) {
		shared := newSharedList(known, 1)
		complete := nodeList{version: 1, digest: shared.initialDigest}
		skipping := nodeList{version: 1, digest: shared.initialDigest}
		for _, e := range []core.Endpoint{a2, b3, a4} {
			complete.applyDelta(shared, e)
			if e.Name != "b" {
				skipping.applyDelta(shared, e)
			}
		}
		if complete.digest == skipping.digest {
			t.Error("the digest does not show that a change was skipped")
		}
	})
}
