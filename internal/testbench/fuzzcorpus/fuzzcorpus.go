// Package fuzzcorpus generates seed corpora for the fuzz tests of parsers: valid messages, truncated and mutated
// copies of them, and random bytes. The random choices are the same in each run.
package fuzzcorpus

import (
	"math/rand/v2"
	"testing"
)

// variantsPerMessage is the number of truncated copies for each valid message, and also that of mutated copies and
// that of random messages.
const variantsPerMessage = 16

// Add adds the valid messages, none of which may be empty, and their variants to the seed corpus of a fuzz test.
func Add(f *testing.F, valid ...[]byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, message := range valid {
		f.Add(message)
		for range variantsPerMessage {
			f.Add(truncated(rng, message))
			f.Add(mutated(rng, message))
			f.Add(randomBytes(rng, rng.IntN(2*len(message))))
		}
	}
}

// truncated returns a copy of a prefix of random length. It may be empty or the complete message.
func truncated(rng *rand.Rand, message []byte) []byte {
	return append([]byte(nil), message[:rng.IntN(len(message)+1)]...)
}

// mutated returns a copy of the message with one byte replaced by a random one, which may be the same.
func mutated(rng *rand.Rand, message []byte) []byte {
	changed := append([]byte(nil), message...)
	changed[rng.IntN(len(message))] = byte(rng.Uint32())
	return changed
}

// randomBytes returns the given number of random bytes.
func randomBytes(rng *rand.Rand, length int) []byte {
	message := make([]byte, length)
	for i := range message {
		message[i] = byte(rng.Uint32())
	}
	return message
}
