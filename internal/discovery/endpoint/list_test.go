package endpoint

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

func list(rooms ...string) List {
	var l List
	for i, name := range rooms {
		name, drains := strings.CutSuffix(name, "!")
		l.Entries = append(l.Entries, Entry{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "a", Drain: drains})
	}
	return l
}

// Each faulty list is refused with its entry, key and value. Guards against half a list, and an empty one.
func TestFaultyLists(t *testing.T) {
	const room = `{"name":"s-1","address":"127.0.0.1:9000","zone":"a"}`
	for text, says := range map[string]string{
		`{"rooms":[` + room + `]`: "unexpected EOF", `{"rooms":[]}`: "rooms: 0", `{}`: "rooms: 0", ``: "EOF",
		`{"rooms":[` + room + `]} {}`: "more follows", `{"rooms":[` + room + `],"x":1}`: `"x"`,
		`{"rooms":[` + room + `,` + room + `]}`:                                                 `rooms[1].name: "s-1"`,
		`{"rooms":[` + room + `,` + strings.Replace(room, "s-1", "s-2", 1) + `]}`:               `rooms[1].address: "127.0.0.1:9000"`,
		`{"rooms":[` + strings.Replace(room, "s-1", "s 1", 1) + `]}`:                            `rooms[0].name: "s 1"`,
		`{"rooms":[` + strings.Replace(room, "127.0.0.1:9000", "here", 1) + `]}`:                `rooms[0].address: "here"`,
		`{"rooms":[` + strings.Replace(room, `"a"`, `""`, 1) + `]}`:                             "rooms[0].zone",
		`{"rooms":[` + strings.Replace(room, `"zone":"a"`, `"zone":"a","weight":-1`, 1) + `]}`:  "rooms[0].weight: -1",
		`{"rooms":[` + strings.Replace(room, `"zone":"a"`, `"zone":"a","drain":"no"`, 1) + `]}`: "drain: a bool",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v, want it to say %q", text, err, says)
		}
	}
	if l, err := Parse([]byte(`{"rooms":[` + room + `]}`)); err != nil || len(l.Entries) != 1 || l.Entries[0].Zone != "a" {
		t.Error(l, err)
	}
}

// The example of the repository is sound.
func TestExample(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/rooms.json")
	if err != nil {
		t.Fatal(err)
	}
	if l, err := Parse(raw); err != nil || len(l.Entries) != 3 {
		t.Error(l, err)
	}
}

// What changes is told by kind; over half of those that serve are taken away only when that is asked for twice, of the same
// list. Guards a fleet against a file that was cut or mixed up.
func TestKeeper(t *testing.T) {
	k := NewChangeGuard(list("a", "b", "c", "d"))
	for i, v := range []struct {
		found   List
		asked   bool
		verdict Decision
		says    string
	}{
		{list("a", "b", "c", "d"), false, Unchanged, "nothing"},
		{list("a", "b", "c!", "d", "e"), false, Apply, "added e; drained c"}, // 4 serve
		{list("a", "b", "c", "d", "e"), false, Apply, "returned c"},
		{list("a", "b"), false, NeedsConfirmation, "removed c d e"}, {list("a", "b"), false, NeedsConfirmation, "removed c d e"},
		{list("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"}, // another one than that which was held
		{list("a", "b", "c", "d", "e"), false, Unchanged, "nothing"},           // it is withdrawn
		{list("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"}, {list("a", "b!"), true, Apply, "drained b; removed c d e"},
		{list("b!"), true, NeedsConfirmation, "changed b; removed a"}, {list("a"), false, Apply, "removed b"},
	} {
		if verdict, change := k.Propose(v.found, v.asked); verdict != v.verdict || change.String() != v.says {
			t.Errorf("%d: verdict %d, %s, want %d, %s", i, verdict, change, v.verdict, v.says)
		}
	}
	if len(k.Current().Entries) != 1 {
		t.Errorf("in force: %+v", k.Current())
	}
}

// Whatever is taken is a list that can be used.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(`{"rooms":[{"name":"s-1","address":"127.0.0.1:9000","zone":"a","weight":1.5,"drain":true}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := Parse(raw)
		if err == nil && (len(l.Entries) == 0 || l.Entries[0].Name == "" || l.Entries[0].Zone == "") {
			t.Errorf("%q is taken as %+v", raw, l)
		}
	})
}

// A list of 20,000 room servers is taken, and one past the bound is not.
func TestLongLists(t *testing.T) {
	long := func(n int) (rooms List, raw []byte) {
		for i := range n {
			rooms.Entries = append(rooms.Entries, Entry{Name: fmt.Sprintf("s-%05d", i), Zone: "a",
				Address: fmt.Sprintf("127.%d.%d.%d:9000", i>>16, i>>8&255, i&255)})
		}
		raw, _ = json.Marshal(map[string]any{"rooms": rooms.Entries}) // strings and numbers always do
		return rooms, raw
	}
	whole, raw := long(20_000)
	l, err := Parse(raw)
	if err != nil || len(l.Entries) != 20_000 {
		t.Fatalf("%d room servers, %v", len(l.Entries), err)
	}
	if _, raw := long(MaxEntries + 1); len(raw) > 0 {
		if _, err := Parse(raw); err == nil {
			t.Error("one more than the bound is taken")
		}
	}
	k := NewChangeGuard(whole)
	if verdict, _ := k.Propose(List{whole.Entries[:9_999]}, false); verdict != NeedsConfirmation {
		t.Errorf("over half of them may be taken away: %d", verdict)
	}
	if verdict, _ := k.Propose(List{whole.Entries[:10_000]}, false); verdict != Apply {
		t.Errorf("half of them may not be taken away: %d", verdict)
	}
}
