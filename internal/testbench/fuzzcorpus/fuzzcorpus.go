// Package fuzzcorpus makes the seed corpora of the parsers' fuzz tests: valid messages, random cuts and changes
// of them, and random garbage, the same at each run.
package fuzzcorpus

import (
	"math/rand/v2"
	"testing"
)

const each = 16 // cuts, changes and garbage for each valid message

// Add gives a fuzz test its seeds.
func Add(f *testing.F, valid ...[]byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, v := range valid {
		f.Add(v)
		for range each {
			f.Add(append([]byte(nil), v[:rng.IntN(len(v)+1)]...))
			changed := append([]byte(nil), v...)
			changed[rng.IntN(len(v))] = byte(rng.Uint32())
			f.Add(changed)
			garbage := make([]byte, rng.IntN(2*len(v)))
			for i := range garbage {
				garbage[i] = byte(rng.Uint32())
			}
			f.Add(garbage)
		}
	}
}
