package gossip

import "testing"

// The filter must recognize a nonce that it has stored, and its memory must stay bounded.
func TestReplayFilterForgetsOldestNonces(t *testing.T) {
	var f replayFilter
	if !f.add(nonce{1}) || f.add(nonce{1}) {
		t.Error("a nonce must be new when it is added first, and not when it is added again")
	}
	for i := range 3 * nonceGenerationSize {
		f.add(nonce{2, byte(i), byte(i >> 8), byte(i >> 16)})
	}
	if len(f.recent)+len(f.older) > 2*nonceGenerationSize {
		t.Errorf("the filter holds %d nonces, want at most 2*nonceGenerationSize", len(f.recent)+len(f.older))
	}
}
