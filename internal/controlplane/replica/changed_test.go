package replica

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"cottonplank/internal/discovery/endpoint"
)

// What changes do to a document is judged by what they touch alone, and comes out as a check of the whole document does: sound ones
// are taken and give the same document, faulty ones change nothing.
func TestChangesAreJudgedAsTheWhole(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pick := func(i int) endpoint.Entry { // some share an address
			return endpoint.Entry{Name: fmt.Sprintf("s-%02d", i), Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", 1+(i+rng.IntN(3)/2)%30)}
		}
		var d Document
		for i := range 12 {
			r := pick(i)
			r.Address = fmt.Sprintf("127.0.0.1:%d", 1+i)
			d.Rooms = append(d.Rooms, r)
		}
		r := New(State{Version{Term: 1, Number: 1}, d}, false)
		taken, refused := 0, 0
		for range 200 {
			before := r.State()
			c := Change{From: before.Version, To: Version{Term: 1, Number: before.Version.Number + 1}}
			for range 1 + rng.IntN(3) {
				room := pick(rng.IntN(30))
				switch rng.IntN(12) {
				case 0:
					room.Zone = ""
				case 1:
					room.Address = "nowhere"
				case 2:
					room.Weight = -1
				}
				c.Upserted = append(c.Upserted, room)
			}
			for range rng.IntN(3) {
				c.Removed = append(c.Removed, pick(rng.IntN(30)).Name)
			}
			twice := map[string]bool{}
			wanted := error(nil)
			for _, room := range c.Upserted {
				if twice[room.Name] {
					wanted = ErrInvalidDocument
				}
				twice[room.Name] = true
			}
			next := c.apply(before.Document)
			whole, err := Document{Discovery: next.Discovery, Rooms: append([]endpoint.Entry{}, next.Rooms...)}.check()
			if err != nil {
				wanted = ErrInvalidDocument
			}
			changed, err := r.ApplyChanges([]Change{c})
			if (err == nil) != (wanted == nil) {
				t.Fatalf("seed %d: %+v brings %v, the whole %v", seed, c, err, wanted)
			}
			if err != nil {
				refused++
				if !reflect.DeepEqual(r.State(), before) {
					t.Fatal("a faulty change is in force")
				}
				continue
			}
			taken++
			if !changed || !reflect.DeepEqual(r.State().Document, whole) {
				t.Fatalf("seed %d: %+v brings\n%v\n%v", seed, c, r.State().Document, whole)
			}
		}
		if taken < 20 || refused < 20 {
			t.Errorf("seed %d: %d taken, %d refused", seed, taken, refused)
		}
	}
}

// A change costs what it touches and a copy of the list: what is allocated beside that does not grow with the list.
func TestAChangeDoesNotWalkTheNames(t *testing.T) {
	each := func(n int) float64 {
		var d Document
		for i := range n {
			d.Rooms = append(d.Rooms, endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Zone: "a",
				Address: fmt.Sprintf("127.%d.%d.%d:9000", 3+i>>16, i>>8&255, i&255)})
		}
		r := New(State{Version{Term: 1, Number: 1}, d}, false)
		weight := 0.0
		return testing.AllocsPerRun(20, func() {
			weight++
			room, from := d.Rooms[n/2], r.State().Version
			room.Weight = weight
			if _, err := r.ApplyChanges([]Change{{From: from, To: Version{Term: 1, Number: from.Number + 1}, Upserted: []endpoint.Entry{room}}}); err != nil {
				t.Fatal(err)
			}
		})
	}
	if few, many := each(600), each(20_000); many > 1.5*few {
		t.Errorf("a change takes %.0f allocations at 600 room servers and %.0f at 20000", few, many)
	}
}
