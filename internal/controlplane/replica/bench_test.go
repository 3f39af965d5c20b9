package replica

import (
	"strconv"
	"testing"

	"cottonplank/internal/discovery/endpoint"
)

// BenchmarkApplyChange measures how long a follower takes to apply a change of one entry to lists of different
// lengths.
func BenchmarkApplyChange(b *testing.B) {
	for _, length := range []int{600, 5000, 20_000} {
		b.Run(strconv.Itoa(length), func(b *testing.B) {
			document := longDocument(length)
			replica := New(State{Version{Term: 1, Number: 1}, document}, false)
			for i := range b.N {
				entry := document.Endpoints[i%length]
				entry.Weight = float64(2 + i%2)
				from := replica.State().Version
				to := Version{Term: 1, Number: from.Number + 1}
				change := Change{From: from, To: to, Upserted: []endpoint.Entry{entry}}
				if _, err := replica.ApplyChanges([]Change{change}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
