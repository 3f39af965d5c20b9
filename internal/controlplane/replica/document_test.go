package replica

import (
	"strings"
	"testing"
)

// An error names the key and the invalid value, so that the operators can find them in the file.
func TestParseErrors(t *testing.T) {
	longName := strings.Repeat("a", 129)
	for _, test := range []struct{ name, file, want string }{
		{"empty file", ``, "EOF"},
		{"empty document", `{}`, "rooms: is missing"},
		{"empty list", `{"rooms":[]}`, "rooms: the list is empty"},
		{"empty list beside discovery", `{"rooms":[],"discovery":"127.0.0.1:1"}`, "rooms: the list is empty"},
		{"discovery address", `{"discovery":"here"}`, `discovery: invalid address "here"`},
		{"discovery type", `{"discovery":7}`, "discovery: expected a string"},
		{"unknown key", `{"x":1}`, `"x"`},
		{"trailing data", `{"discovery":"127.0.0.1:1"} 1`, "unexpected data after the document"},
		{"size", `{"discovery":"127.0.0.1:1"}` + strings.Repeat(" ", 10<<20), "longer than 8388608"},
		{"zone", `{"rooms":[{"name":"a","address":"127.0.0.1:1"}]}`, "rooms[0].zone"},
		{"name length", `{"rooms":[{"name":"` + longName + `","address":"127.0.0.1:1","zone":"a"}]}`, "rooms[0].name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse([]byte(test.file)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want it to contain %q", err, test.want)
			}
		})
	}
}

func TestParseSortsByName(t *testing.T) {
	const file = `{"rooms":[{"name":"b","address":"127.0.0.1:1","zone":"a"},` +
		`{"name":"a","address":"127.0.0.1:2","zone":"a"}]}`
	if document, err := Parse([]byte(file)); err != nil || document.Endpoints[0].Name != "a" {
		t.Error(document, err)
	}
}
