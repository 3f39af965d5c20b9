package fuzzcorpus

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// A truncated copy is a prefix of the message, and a mutated copy differs from it in at most one byte. Neither
// function changes the message itself.
func TestVariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	original := []byte("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=solo-play,d=900")
	message := bytes.Clone(original)
	for range 100 {
		if part := truncated(rng, message); !bytes.HasPrefix(original, part) {
			t.Errorf("truncated to %q, which is no prefix of the message", part)
		}
		changed := mutated(rng, message)
		differences := 0
		for i := range changed {
			if changed[i] != original[i] {
				differences++
			}
		}
		if len(changed) != len(original) || differences > 1 {
			t.Errorf("mutated to %q, want at most one other byte", changed)
		}
	}
	if got := randomBytes(rng, 20); len(got) != 20 {
		t.Errorf("%d random bytes, want 20", len(got))
	}
	if !bytes.Equal(message, original) {
		t.Errorf("the message was changed to %q", message)
	}
}
