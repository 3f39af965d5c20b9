// Package endpoint is the operator's list of room servers, for installations without discovery: its form, what one list
// changes in another, and which changes are taken over. Pure: no I/O and no clock.
package endpoint

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// MaxEntries bounds a list.
const MaxEntries = 1 << 16

// Entry is one room server.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Weight  float64 `json:"weight"` // size against others; 0: 1
	Drain   bool    `json:"drain"`  // it finishes what it has, and gets nothing new
}

// List is a sound list, ordered by name.
type List struct{ Entries []Entry }

// Parse reads a list, {"rooms":[{"name":...,"address":...,"zone":...}]}. Errors name the entry, the key and the value. An
// empty list is an error: it would send every client away.
func Parse(raw []byte) (List, error) {
	var file struct {
		Rooms []Entry `json:"rooms"`
	}
	if err := DecodeStrict(raw, &file, "list"); err != nil {
		return List{}, err
	}
	return NewList(file.Rooms)
}

// DecodeStrict reads one JSON value and nothing after it, without unknown keys; what names it in the error of more. Errors name the key.
func DecodeStrict(raw []byte, into any, what string) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(into); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return fmt.Errorf("%s: a %s was expected, found %s", wrong.Field, wrong.Type, wrong.Value)
		}
		return err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more follows the %s", what)
	}
	return nil
}

// Validate tells what is faulty in one room server; the error names the key and the value.
func (r Entry) Validate() error {
	if r.Name == "" || strings.ContainsFunc(r.Name, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return fmt.Errorf("name: %q is empty or not printable ASCII without spaces", r.Name)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return fmt.Errorf("address: %q is no address and port", r.Address)
	}
	if r.Zone == "" {
		return errors.New("zone: is missing")
	}
	if !(r.Weight >= 0) || math.IsInf(r.Weight, 1) { // JSON has neither of the two others, CBOR has
		return fmt.Errorf("weight: %v is below 0", r.Weight)
	}
	return nil
}

// NewList makes a list of room servers that came otherwise than as a file. It sorts them in place. Errors are as Parse's.
func NewList(rooms []Entry) (List, error) {
	if len(rooms) == 0 || len(rooms) > MaxEntries {
		return List{}, fmt.Errorf("rooms: %d of them, 1 to %d expected", len(rooms), MaxEntries)
	}
	names, addresses := map[string]int{}, map[string]int{}
	for i, r := range rooms {
		if err := r.Validate(); err != nil {
			return List{}, fmt.Errorf("rooms[%d].%w", i, err)
		}
		if j, there := names[r.Name]; there {
			return List{}, fmt.Errorf("rooms[%d].name: %q is that of rooms[%d]", i, r.Name, j)
		}
		if j, there := addresses[r.Address]; there {
			return List{}, fmt.Errorf("rooms[%d].address: %q is that of rooms[%d]", i, r.Address, j)
		}
		names[r.Name], addresses[r.Address] = i, i
	}
	byName := func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(rooms, byName) { // what is sorted may be in others' hands
		slices.SortFunc(rooms, byName)
	}
	return List{rooms}, nil
}

// Change is what one list changes in another, by name.
type Change struct {
	Added, Changed, Drained, Returned, Removed []string
}

// Empty tells that nothing changes.
func (c Change) Empty() bool {
	return len(c.Added)+len(c.Changed)+len(c.Drained)+len(c.Returned)+len(c.Removed) == 0
}

func (c Change) String() string {
	var parts []string
	for _, p := range []struct {
		word  string
		names []string
	}{{"added", c.Added}, {"changed", c.Changed}, {"drained", c.Drained}, {"returned", c.Returned}, {"removed", c.Removed}} {
		if len(p.names) > 0 {
			parts = append(parts, p.word+" "+strings.Join(p.names, " "))
		}
	}
	return cmp.Or(strings.Join(parts, "; "), "nothing")
}

// Diff tells what after changes in before.
func Diff(before, after List) (c Change) {
	old := map[string]Entry{}
	for _, r := range before.Entries {
		old[r.Name] = r
	}
	for _, r := range after.Entries {
		o, there := old[r.Name]
		delete(old, r.Name)
		switch {
		case !there:
			c.Added = append(c.Added, r.Name)
		case r.Drain && !o.Drain:
			c.Drained = append(c.Drained, r.Name)
		case !r.Drain && o.Drain:
			c.Returned = append(c.Returned, r.Name)
		case r != o:
			c.Changed = append(c.Changed, r.Name)
		}
	}
	for _, r := range before.Entries {
		if _, left := old[r.Name]; left {
			c.Removed = append(c.Removed, r.Name)
		}
	}
	return c
}

// Decision says what becomes of a list that was found.
type Decision uint8

// The verdicts.
const (
	Unchanged Decision = iota // nothing changes
	Apply
	NeedsConfirmation // it takes away over half of the room servers that serve; the operator must ask for it once more
)

// ChangeGuard holds the list in force and the one that waits for its confirmation.
type ChangeGuard struct {
	current List
	held    *List
}

// NewChangeGuard returns a keeper of the first list.
func NewChangeGuard(first List) *ChangeGuard { return &ChangeGuard{current: first} }

// Current is the list in force.
func (k *ChangeGuard) Current() List { return k.current }

// Propose judges a list that was found. asked says that the operator asked for it by a signal: the second time in a row
// that one is asked for which was held, it is taken.
func (k *ChangeGuard) Propose(found List, asked bool) (Decision, Change) {
	change := Diff(k.current, found)
	if change.Empty() {
		k.held = nil
		return Unchanged, change
	}
	serving := 0
	for _, r := range k.current.Entries {
		if !r.Drain {
			serving++
		}
	}
	removed := make(map[string]bool, len(change.Removed))
	for _, name := range change.Removed {
		removed[name] = true
	}
	lost := len(change.Drained)
	for _, r := range k.current.Entries {
		if !r.Drain && removed[r.Name] {
			lost++
		}
	}
	again := k.held != nil && Diff(*k.held, found).Empty()
	if 2*lost > serving && !(asked && again) {
		k.held = &found
		return NeedsConfirmation, change
	}
	k.current, k.held = found, nil
	return Apply, change
}
