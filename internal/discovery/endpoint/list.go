// Package endpoint defines the operator's endpoint list, which replaces the discovery service in fleets without one:
// the list's file format, the differences between two lists, and the guard that decides which changes are applied.
// The package does no I/O and reads no clock.
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

// MaxEntries limits the length of a list.
const MaxEntries = 1 << 16

// Entry is one endpoint of the list: a room server.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"` // IP address and port
	Zone    string  `json:"zone"`
	Weight  float64 `json:"weight"` // capacity relative to other endpoints; 0 means 1
	Drain   bool    `json:"drain"`  // the room server finishes its current work and receives no new work
}

// List is a valid list, ordered by name.
type List struct{ Entries []Entry }

// Parse decodes and validates a list of the form {"rooms":[{"name":...,"address":...,"zone":...}]}. Errors name the
// entry, the key and the invalid value. An empty list is an error, because every client would lose its server.
func Parse(raw []byte) (List, error) {
	var file struct {
		Rooms []Entry `json:"rooms"`
	}
	if err := DecodeStrict(raw, &file, "list"); err != nil {
		return List{}, err
	}
	return NewList(file.Rooms)
}

// DecodeStrict decodes a single JSON value into target. The error for an unknown key or a wrong type names the key. If
// the top-level value has the wrong type, there is no key, and the error begins with ": expected a". The error for data
// after the value contains description, the kind of the value, such as "list".
func DecodeStrict(raw []byte, target any, description string) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return fmt.Errorf("%s: expected a %s, found %s", typeError.Field, typeError.Type, typeError.Value)
		}
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("unexpected data after the %s", description)
	}
	return nil
}

// Validate checks the entry's fields. The error names the key and the invalid value.
func (e Entry) Validate() error {
	if e.Name == "" || strings.ContainsFunc(e.Name, isUnprintable) {
		return fmt.Errorf("name: %q is not valid, expected printable ASCII characters without spaces", e.Name)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: %q is not an IP address and port", e.Address)
	}
	if e.Zone == "" {
		return errors.New("zone: is missing or empty")
	}
	// Entries may come from JSON, which cannot encode NaN or infinity, or from CBOR, which can. The negated
	// comparison rejects NaN as well.
	if !(e.Weight >= 0) || math.IsInf(e.Weight, 1) {
		return fmt.Errorf("weight: %v is negative or not finite", e.Weight)
	}
	return nil
}

// isUnprintable reports whether a character is a space or not printable ASCII.
func isUnprintable(char rune) bool { return char <= ' ' || char > '~' }

// NewList validates entries and returns them as a list. It sorts them in place unless they are already sorted. It
// returns the same errors as Parse for a decoded list.
func NewList(entries []Entry) (List, error) {
	if len(entries) == 0 || len(entries) > MaxEntries {
		return List{}, fmt.Errorf("rooms: %d entries, expected 1 to %d", len(entries), MaxEntries)
	}
	indexByName := map[string]int{}
	indexByAddress := map[string]int{}
	for i, entry := range entries {
		if err := entry.Validate(); err != nil {
			return List{}, fmt.Errorf("rooms[%d].%w", i, err)
		}
		if other, ok := indexByName[entry.Name]; ok {
			return List{}, fmt.Errorf("rooms[%d].name: %q is already used by rooms[%d]", i, entry.Name, other)
		}
		if other, ok := indexByAddress[entry.Address]; ok {
			return List{}, fmt.Errorf("rooms[%d].address: %q is already used by rooms[%d]", i, entry.Address, other)
		}
		indexByName[entry.Name] = i
		indexByAddress[entry.Address] = i
	}
	compareNames := func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) }
	// Entries that are already sorted may be shared with concurrent readers, so they must not be written to.
	if !slices.IsSortedFunc(entries, compareNames) {
		slices.SortFunc(entries, compareNames)
	}
	return List{entries}, nil
}
