package replica

import (
	"fmt"
	"strconv"
	"testing"

	"cottonplank/internal/discovery/endpoint"
)

// BenchmarkTakeChange is a follower's part of one change of one room server, by the length of the list.
func BenchmarkTakeChange(b *testing.B) {
	for _, n := range []int{600, 5000, 20_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var d Document
			for i := range n {
				d.Rooms = append(d.Rooms, endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Zone: "a", Weight: 1,
					Address: fmt.Sprintf("127.%d.%d.%d:9000", 3+i>>16, i>>8&255, i&255)})
			}
			r := New(State{Version{Term: 1, Number: 1}, d}, false)
			for i := range b.N {
				room := d.Rooms[i%n]
				room.Weight = float64(2 + i%2)
				from := r.State().Version
				if _, err := r.ApplyChanges([]Change{{From: from, To: Version{Term: 1, Number: from.Number + 1}, Upserted: []endpoint.Entry{room}}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
