package endpoint

import (
	"reflect"
	"testing"
)

// DiffEntries returns added and modified entries with their values after the change, and removed entries with their
// values before it.
func TestDiffEntries(t *testing.T) {
	entry := func(name string, weight float64) Entry { return Entry{Name: name, Weight: weight} }
	a, b, c, d := entry("a", 1), entry("b", 1), entry("c", 1), entry("d", 1)
	changedB := entry("b", 2)
	for _, test := range []struct {
		name                             string
		before, after, upserted, removed []Entry
	}{
		{"both empty", nil, nil, nil, nil},
		{"equal", []Entry{a, b}, []Entry{a, b}, nil, nil},
		{"from empty", nil, []Entry{a, b}, []Entry{a, b}, nil},
		{"to empty", []Entry{a, b}, nil, nil, []Entry{a, b}},
		{"modified", []Entry{a, b, c}, []Entry{a, changedB, c}, []Entry{changedB}, nil},
		{"mixed", []Entry{a, b, c}, []Entry{changedB, d}, []Entry{changedB, d}, []Entry{a, c}},
		{"inserted", []Entry{a, d}, []Entry{a, b, c, d}, []Entry{b, c}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			upserted, removed := DiffEntries(test.before, test.after)
			if !reflect.DeepEqual(upserted, test.upserted) || !reflect.DeepEqual(removed, test.removed) {
				t.Errorf("got upserted %v, removed %v, want upserted %v, removed %v",
					upserted, removed, test.upserted, test.removed)
			}
		})
	}
}
