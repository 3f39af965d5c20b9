package hollow

import (
	"slices"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/emulator"
)

// testEndpoint returns an endpoint that last changed in the given version.
func testEndpoint(name string, version int64, state decide.State) core.Endpoint {
	return core.Endpoint{
		Name:    name,
		Address: "127.1.0.1:1",
		Server:  decide.Server{Zone: "a", State: state},
		Started: time.UnixMilli(emulator.StartedBase + version),
	}
}

// The known list and its changes in these tests.
var (
	knownEndpoints = []core.Endpoint{testEndpoint("a", 1, decide.Ready), testEndpoint("b", 1, decide.Ready)}
	deltaA2        = testEndpoint("a", 2, decide.Draining)
	deltaB3        = testEndpoint("b", 3, decide.Draining)
	deltaA4        = testEndpoint("a", 4, decide.Ready)
	allDeltas      = []core.Endpoint{deltaA2, deltaB3, deltaA4}
)

// newTestList returns a node's list with the known endpoints.
func newTestList(shared *sharedList) nodeList {
	return nodeList{version: 1, digest: shared.initialDigest}
}

// The digest of a node's list equals that of the endpoints as the node received them last, even if deltas are repeated
// or do not arrive in the order of their versions.
func TestNodeListDigest(t *testing.T) {
	final, regressed := []core.Endpoint{deltaA4, deltaB3}, []core.Endpoint{deltaA2, deltaB3}
	for name, v := range map[string]struct {
		deltas []core.Endpoint
		want   []core.Endpoint
	}{
		"in order":          {allDeltas, final},
		"each repeated":     {[]core.Endpoint{deltaA2, deltaA2, deltaB3, deltaB3, deltaA4, deltaA4}, final},
		"all repeated":      {slices.Concat(allDeltas, allDeltas), final},
		"regression":        {slices.Concat(allDeltas, []core.Endpoint{deltaA2}), regressed},
		"regression of two": {slices.Concat(allDeltas, []core.Endpoint{deltaA2, deltaB3}), regressed},
	} {
		t.Run(name, func(t *testing.T) {
			shared := newSharedList(knownEndpoints, 1)
			other := newTestList(shared) // another node, which has recorded all changes in the shared list before
			for _, e := range allDeltas {
				other.applyDelta(shared, e)
			}
			list := newTestList(shared)
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
}

// A node that skips a change has another digest than a node that applied all changes.
func TestNodeListSkippedDelta(t *testing.T) {
	shared := newSharedList(knownEndpoints, 1)
	complete, skipping := newTestList(shared), newTestList(shared)
	for _, e := range allDeltas {
		complete.applyDelta(shared, e)
		if e.Name != "b" {
			skipping.applyDelta(shared, e)
		}
	}
	if complete.digest == skipping.digest {
		t.Error("the digest does not show that a change was skipped")
	}
}
