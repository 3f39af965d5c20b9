package gossip

import "testing"

func TestReplayFilterForgetsOldestNonces(t *testing.T) {
	var f replayFilter
	if !f.add(nonce{1}) || f.add(nonce{1}) {
		t.Error("a nonce is new once")
	}
	for i := range 3 * nonceGenerationSize {
		f.add(nonce{2, byte(i), byte(i >> 8), byte(i >> 16)})
	}
	if len(f.recent)+len(f.older) > 2*nonceGenerationSize {
		t.Errorf("%d kept", len(f.recent)+len(f.older))
	}
}
