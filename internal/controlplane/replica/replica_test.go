package replica

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"cottonplank/internal/discovery/endpoint"

	"pgregory.net/rapid"
)

func room(i, weight int) endpoint.Entry {
	return endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("127.1.%d.%d:9000", i>>8, i&255), Zone: "a", Weight: float64(weight)}
}

func document(n, weight int) Document {
	d := Document{Discovery: "127.0.0.1:8500"}
	for i := range n {
		d.Rooms = append(d.Rooms, room(i, weight))
	}
	return d
}

// write is what the writer does, less the saving.
func write(t interface{ Fatal(...any) }, r *Replica, d Document, term uint64) Version {
	c, next, err := r.Propose(d, term)
	if err == nil && c != nil {
		_, err = r.ApplyChanges([]Change{*c})
	}
	if err != nil {
		t.Fatal(err)
	}
	if r.State().Version != next.Version {
		t.Fatal("proposed ", next.Version, ", in force ", r.State().Version)
	}
	return next.Version
}

// pull has a follower take all that a machine sends it, up to so many messages; it tells how many whole states there were.
func pull(t interface{ Fatal(...any) }, to, from *Replica, most int) (wholes int) {
	defer to.DiscardChunks()
	has := to.State().Version
	for sent := 0; ; {
		changes, whole := from.ChangesSince(has)
		if !whole && len(changes) == 0 {
			return wholes
		}
		before := to.State().Version
		if whole {
			wholes++
			for _, p := range from.State().Chunks() {
				if sent++; sent > most {
					return wholes
				}
				if _, err := to.ApplyChunk(p); err != nil {
					t.Fatal(err)
				}
			}
			has = from.State().Version
		} else {
			if sent++; sent > most {
				return wholes
			}
			if _, err := to.ApplyChanges(changes); err != nil {
				t.Fatal(err)
			}
			has = changes[len(changes)-1].To
		}
		if to.State().Version.Compare(before) <= 0 {
			t.Fatal("no way ahead from ", before)
		}
	}
}

// Whatever is written, cut off, restarted and asked in any order: no copy goes back, each has the document that was written
// under its version, and all have the last one once they can reach somebody who has it.
func TestModel(t *testing.T) {
	flag.Set("rapid.seed", "20261202")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		writer := New(State{}, true)
		copies := []*Replica{writer, New(State{}, true), New(State{}, true), New(State{}, false), New(State{}, false)}
		written := map[Version]Document{{}: {}}
		seen := make([]Version, len(copies))
		term := uint64(1)
		sound := func() {
			for i, c := range copies {
				s := c.State()
				if s.Version.Compare(seen[i]) < 0 {
					t.Fatalf("copy %d goes back from %s to %s", i, seen[i], s.Version)
				}
				if seen[i] = s.Version; !reflect.DeepEqual(s.Document, written[s.Version]) {
					t.Fatalf("copy %d has another document as %s:\n%v\n%v", i, s.Version, s.Document, written[s.Version])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { sound() },
			"write": func(t *rapid.T) {
				d := Document{Discovery: rapid.SampledFrom([]string{"", "127.0.0.1:1", "127.0.0.1:2"}).Draw(t, "discovery")}
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 700), 1, 60, rapid.ID[int]).Draw(t, "rooms") {
					d.Rooms = append(d.Rooms, room(i, rapid.IntRange(0, 2).Draw(t, "weight")))
				}
				if rapid.IntRange(0, 9).Draw(t, "long") == 0 { // the change does not fit one message
					d.Rooms = document(701, 3).Rooms
				}
				v := write(t, writer, d, term)
				written[v] = writer.State().Document
			},
			"term": func(*rapid.T) { term++ },
			"pull": func(t *rapid.T) {
				to := rapid.IntRange(1, len(copies)-1).Draw(t, "to")
				from := rapid.IntRange(0, 2).Draw(t, "from")
				if to != from {
					pull(t, copies[to], copies[from], rapid.IntRange(0, 6).Draw(t, "most"))
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "which")
				copies[i] = New(copies[i].State(), i < 3)
				writer = copies[0]
			},
		})
		for _, c := range copies[1:] {
			pull(t, c, writer, math.MaxInt)
			if c.State().Version != writer.State().Version {
				t.Fatalf("%s at last, the writer has %s", c.State().Version, writer.State().Version)
			}
		}
		sound()
	})
}

// One that was cut off for 100 versions is sent these changes alone, also by a machine that only follows.
func TestCutOffFor100Versions(t *testing.T) {
	writer, machine, follower := New(State{}, true), New(State{}, true), New(State{}, false)
	write(t, writer, document(500, 1), 1)
	pull(t, machine, writer, math.MaxInt)
	pull(t, follower, writer, math.MaxInt)
	for i := range 100 {
		d := document(500, 1)
		d.Rooms[i].Drain = true
		write(t, writer, d, 1)
		pull(t, machine, writer, math.MaxInt)
	}
	changes, whole := machine.ChangesSince(follower.State().Version)
	if whole || len(changes) != 100 {
		t.Errorf("%d changes, whole %v", len(changes), whole)
	}
	if wholes := pull(t, follower, machine, math.MaxInt); wholes != 0 || !reflect.DeepEqual(follower.State(), writer.State()) {
		t.Errorf("%d whole states, at %s", wholes, follower.State().Version)
	}
}

// What is kept is bounded in number and in bytes; who is behind it gets the whole, in pieces that fit a frame.
func TestBehindWhatIsKept(t *testing.T) {
	writer, follower := New(State{}, true), New(State{}, false)
	write(t, writer, document(300, 1), 1)
	pull(t, follower, writer, math.MaxInt)
	for i := range keepBytes/(250*roomBytes(room(1, 1))) + 10 {
		d := document(300, 1)
		for j := range 250 {
			d.Rooms[j].Weight = float64(i + 2)
		}
		write(t, writer, d, 1)
	}
	if writer.bytes > keepBytes || len(writer.kept) == 0 {
		t.Errorf("%d bytes of %d changes are kept", writer.bytes, len(writer.kept))
	}
	if _, whole := writer.ChangesSince(follower.State().Version); !whole {
		t.Error("changes that are not all kept are sent")
	}
	if pull(t, follower, writer, math.MaxInt) != 1 || !reflect.DeepEqual(follower.State(), writer.State()) {
		t.Errorf("at %s", follower.State().Version)
	}
	for i := range keepNumber + 5 {
		d := document(1, i+1000)
		write(t, writer, d, 1)
	}
	if len(writer.kept) != keepNumber {
		t.Errorf("%d changes are kept", len(writer.kept))
	}
}

// The older of two states that is sent second, whole or as changes, changes nothing.
func TestOlderIsPassedOver(t *testing.T) {
	writer, older, follower := New(State{}, true), New(State{}, true), New(State{}, false)
	write(t, writer, document(10, 1), 1)
	pull(t, older, writer, math.MaxInt)
	old, _ := older.ChangesSince(Version{})
	write(t, writer, document(10, 2), 1)
	pull(t, follower, writer, math.MaxInt)
	for _, p := range older.State().Chunks() {
		if changed, err := follower.ApplyChunk(p); changed || err != nil {
			t.Error(changed, err)
		}
	}
	if changed, err := follower.ApplyChanges(old); changed || err != nil {
		t.Error(changed, err)
	}
	if changes, whole := older.ChangesSince(follower.State().Version); whole || len(changes) > 0 {
		t.Errorf("the older sends %d changes, whole %v", len(changes), whole)
	}
	if !reflect.DeepEqual(follower.State(), writer.State()) {
		t.Errorf("at %s", follower.State().Version)
	}
}

// A change or piece that is missing, and a document that is faulty, leave the copy as it was.
func TestWhatIsNotTaken(t *testing.T) {
	writer := New(State{}, true)
	write(t, writer, document(2000, 1), 1)
	first := New(writer.State(), false)
	pieces := writer.State().Chunks()
	if len(pieces) < 3 {
		t.Fatalf("%d pieces", len(pieces))
	}
	fresh := New(State{}, false)
	fresh.ApplyChunk(pieces[0])
	if _, err := fresh.ApplyChunk(pieces[2]); !errors.Is(err, ErrGap) {
		t.Error(err)
	}
	if _, err := fresh.ApplyChunk(pieces[1]); !errors.Is(err, ErrGap) { // what came before the gap is dropped
		t.Error(err)
	}
	v := func(n uint64) Version { return Version{Term: 1, Number: n} }
	for _, c := range []struct {
		change Change
		want   error
	}{
		{Change{From: v(2), To: v(3), Upserted: []endpoint.Entry{room(1, 5)}}, ErrGap},
		{Change{From: v(1), To: v(2), Upserted: []endpoint.Entry{{Name: "x", Address: "nowhere", Zone: "a"}}}, ErrInvalidDocument},
		{Change{From: v(1), To: v(2), Upserted: []endpoint.Entry{{Name: "x", Address: "127.0.0.1:1", Zone: "a", Weight: math.NaN()}}}, ErrInvalidDocument},
		{Change{From: v(1), To: v(2), Removed: func() (all []string) {
			for _, r := range writer.State().Document.Rooms {
				all = append(all, r.Name)
			}
			return all
		}()}, ErrInvalidDocument},
	} {
		if changed, err := first.ApplyChanges([]Change{c.change}); !errors.Is(err, c.want) || first.State().Version != v(1) {
			t.Errorf("%v: changed %v, %v, at %s", c.change.To, changed, err, first.State().Version)
		}
	}
	if _, err := fresh.ApplyChunk(SnapshotChunk{Version: v(9), Last: true}); !errors.Is(err, ErrInvalidDocument) {
		t.Errorf("an empty document: %v", err)
	}
}

// A file that is faulty by form or by meaning names what is wrong.
func TestParse(t *testing.T) {
	long := `{"discovery":"127.0.0.1:1"}` + strings.Repeat(" ", 10<<20)
	for text, want := range map[string]string{
		``: "EOF", `{}`: "rooms: is missing", `{"rooms":[]}`: "rooms: is empty", `{"rooms":[],"discovery":"127.0.0.1:1"}`: "rooms: is empty",
		`{"discovery":"here"}`: `discovery: "here"`, `{"discovery":7}`: "discovery: a string", `{"x":1}`: `"x"`,
		`{"discovery":"127.0.0.1:1"} 1`: "more follows", long: "longer than 8388608",
		`{"rooms":[{"name":"a","address":"127.0.0.1:1"}]}`:                                           "rooms[0].zone",
		`{"rooms":[{"name":"` + strings.Repeat("a", 129) + `","address":"127.0.0.1:1","zone":"a"}]}`: "rooms[0].name",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: %v", text, err)
		}
	}
	if d, err := Parse([]byte(`{"rooms":[{"name":"b","address":"127.0.0.1:1","zone":"a"},{"name":"a","address":"127.0.0.1:2","zone":"a"}]}`)); err != nil || d.Rooms[0].Name != "a" {
		t.Error(d, err)
	}
}

// A writer whose state was lost writes nothing under versions that followers may have with another document.
func TestWriterThatLostItsState(t *testing.T) {
	writer := New(State{}, true)
	if !writer.ObserveFollower(Version{Term: 1, Number: 50}) {
		t.Error("a newer version is not seen as one")
	}
	if _, _, err := writer.Propose(document(3, 1), 1); err == nil || !strings.Contains(err.Error(), "1.50") {
		t.Errorf("it writes on: %v", err)
	}
	if v := write(t, writer, document(3, 1), 2); v != (Version{Term: 2, Number: 1}) {
		t.Error(v)
	}
	if _, _, err := writer.Propose(document(4, 1), 1); err == nil {
		t.Error("it writes in an older term")
	}
	if _, _, err := writer.Propose(Document{Discovery: "127.0.0.1:1"}, 2); err == nil || !strings.Contains(err.Error(), "rooms: none") {
		t.Errorf("a document that leaves no room server: %v", err)
	}
	if c, _, err := writer.Propose(document(3, 1), 2); c != nil || err != nil {
		t.Errorf("the same once more: %v, %v", c, err)
	}
}
