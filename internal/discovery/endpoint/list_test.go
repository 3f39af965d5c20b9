package endpoint

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// listOf returns a list of endpoints with the given names. For a name that ends in "!", Drain is set and the "!" is
// removed.
func listOf(names ...string) List {
	var list List
	for i, name := range names {
		name, drain := strings.CutSuffix(name, "!")
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		list.Entries = append(list.Entries, Entry{Name: name, Address: address, Zone: "a", Drain: drain})
	}
	return list
}

// longList returns a list of the given length, ordered by name.
func longList(length int) List {
	var list List
	for i := range length {
		address := fmt.Sprintf("127.%d.%d.%d:9000", i>>16, i>>8&255, i&255)
		list.Entries = append(list.Entries, Entry{Name: fmt.Sprintf("s-%05d", i), Zone: "a", Address: address})
	}
	return list
}

// encode returns the file content that Parse decodes into the given list.
func encode(t *testing.T, list List) []byte {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"rooms": list.Entries})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Errors name the entry, the key and the invalid value. Truncated and empty lists are errors too.
func TestParseErrors(t *testing.T) {
	const entry = `{"name":"s-1","address":"127.0.0.1:9000","zone":"a"}`
	replaced := func(old, new string) string {
		return `{"rooms":[` + strings.Replace(entry, old, new, 1) + `]}`
	}
	for _, test := range []struct{ name, file, want string }{
		{"truncated", `{"rooms":[` + entry + `]`, "unexpected EOF"},
		{"empty list", `{"rooms":[]}`, "rooms: 0"},
		{"no list", `{}`, "rooms: 0"},
		{"empty file", ``, "EOF"},
		{"trailing data", `{"rooms":[` + entry + `]} {}`, "unexpected data after the list"},
		{"unknown key", `{"rooms":[` + entry + `],"x":1}`, `"x"`},
		{"same name", `{"rooms":[` + entry + `,` + entry + `]}`, `rooms[1].name: "s-1"`},
		{"same address", `{"rooms":[` + entry + `,` + strings.Replace(entry, "s-1", "s-2", 1) + `]}`,
			`rooms[1].address: "127.0.0.1:9000"`},
		{"space in name", replaced("s-1", "s 1"), `rooms[0].name: "s 1"`},
		{"address", replaced("127.0.0.1:9000", "here"), `rooms[0].address: "here"`},
		{"empty zone", replaced(`"a"`, `""`), "rooms[0].zone"},
		{"negative weight", replaced(`"zone":"a"`, `"zone":"a","weight":-1`), "rooms[0].weight: -1"},
		{"drain type", replaced(`"zone":"a"`, `"zone":"a","drain":"no"`), "drain: expected a bool"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse([]byte(test.file)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
	list, err := Parse([]byte(`{"rooms":[` + entry + `]}`))
	if err != nil || len(list.Entries) != 1 || list.Entries[0].Zone != "a" {
		t.Error(list, err)
	}
}

// The example of an endpoint file in the folder deploy is valid.
func TestRepositoryExample(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/rooms.json")
	if err != nil {
		t.Fatal(err)
	}
	if list, err := Parse(raw); err != nil || len(list.Entries) != 3 {
		t.Error(list, err)
	}
}

// A list that Parse accepts is not empty, and its first entry has a name and a zone.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(`{"rooms":[{"name":"s-1","address":"127.0.0.1:9000","zone":"a","weight":1.5,"drain":true}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := Parse(raw)
		if err == nil && (len(list.Entries) == 0 || list.Entries[0].Name == "" || list.Entries[0].Zone == "") {
			t.Errorf("invalid list %q is accepted as %+v", raw, list)
		}
	})
}

func TestMaxEntries(t *testing.T) {
	list, err := Parse(encode(t, longList(20_000)))
	if err != nil || len(list.Entries) != 20_000 {
		t.Fatalf("a list of 20000 entries: got %d entries, error %v", len(list.Entries), err)
	}
	if _, err := Parse(encode(t, longList(MaxEntries+1))); err == nil {
		t.Error("a list longer than MaxEntries is accepted")
	}
}
