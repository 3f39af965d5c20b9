package endpoint

import (
	"cmp"
	"strings"
)

// Change describes the differences between two lists by the names of the endpoints.
type Change struct {
	Added    []string
	Changed  []string // other fields than Entry.Drain were modified
	Drained  []string // Entry.Drain was set, and other fields may have been modified
	Returned []string // Entry.Drain was reset, and other fields may have been modified
	Removed  []string
}

// Empty reports whether the lists are equal.
func (c Change) Empty() bool {
	return len(c.Added)+len(c.Changed)+len(c.Drained)+len(c.Returned)+len(c.Removed) == 0
}

// String formats the change for the log, for example "added a b; removed c", or "nothing" if the change is empty.
func (c Change) String() string {
	groups := []struct {
		label string
		names []string
	}{
		{"added", c.Added},
		{"changed", c.Changed},
		{"drained", c.Drained},
		{"returned", c.Returned},
		{"removed", c.Removed},
	}
	var parts []string
	for _, group := range groups {
		if len(group.names) > 0 {
			parts = append(parts, group.label+" "+strings.Join(group.names, " "))
		}
	}
	return cmp.Or(strings.Join(parts, "; "), "nothing")
}

// Diff returns the change from one list to the next.
func Diff(before, after List) Change {
	var change Change
	walkDifferences(before.Entries, after.Entries, func(old, new *Entry) {
		switch {
		case old == nil:
			change.Added = append(change.Added, new.Name)
		case new == nil:
			change.Removed = append(change.Removed, old.Name)
		case new.Drain && !old.Drain:
			change.Drained = append(change.Drained, new.Name)
		case !new.Drain && old.Drain:
			change.Returned = append(change.Returned, new.Name)
		default:
			change.Changed = append(change.Changed, new.Name)
		}
	})
	return change
}

// DiffEntries returns the entries that were added or modified, with their values in after, and the entries that were
// removed, with their values in before. Both slices must be ordered by name.
func DiffEntries(before, after []Entry) (upserted, removed []Entry) {
	walkDifferences(before, after, func(old, new *Entry) {
		if new == nil {
			removed = append(removed, *old)
		} else {
			upserted = append(upserted, *new)
		}
	})
	return upserted, removed
}

// walkDifferences calls visit, in the order of the names, for each entry that differs between two slices that are
// ordered by name. old is nil for an entry that was added, and new is nil for an entry that was removed.
func walkDifferences(before, after []Entry, visit func(old, new *Entry)) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Name < after[0].Name:
			visit(&before[0], nil)
			before = before[1:]
		case len(before) == 0 || after[0].Name < before[0].Name:
			visit(nil, &after[0])
			after = after[1:]
		default:
			if before[0] != after[0] {
				visit(&before[0], &after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
}
