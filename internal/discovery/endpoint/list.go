// Package endpoint defines the operator's endpoint list, which replaces the discovery service where there is
// none: its file format, the differences between two lists, and the guard that decides which changes are
// applied. The package is pure: it does no I/O and reads no clock.
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
	Drain   bool    `json:"drain"`  // it finishes its current work and receives no more
}

// List is a valid list, ordered by name.
type List struct{ Entries []Entry }

// Parse decodes and validates a list of the form {"rooms":[{"name":...,"address":...,"zone":...}]}. Errors
// name the entry, the key and the value at fault. An empty list is an error, because every client would lose
// its server.
func Parse(raw []byte) (List, error) {
	var file struct {
		Rooms []Entry `json:"rooms"`
	}
	if err := DecodeStrict(raw, &file, "list"); err != nil {
		return List{}, err
	}
	return NewList(file.Rooms)
}

// DecodeStrict decodes a single JSON value into target. It returns an error that names the key for unknown
// keys and wrong types, and an error that names the description for data after the value.
func DecodeStrict(raw []byte, target any, description string) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return fmt.Errorf("%s: a %s was expected, found %s", typeError.Field, typeError.Type, typeError.Value)
		}
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more follows the %s", description)
	}
	return nil
}

// Validate checks the entry's fields. The error names the key and the value at fault.
func (e Entry) Validate() error {
	if e.Name == "" || strings.ContainsFunc(e.Name, isUnprintable) {
		return fmt.Errorf("name: %q is empty or not printable ASCII without spaces", e.Name)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: %q is no address and port", e.Address)
	}
	if e.Zone == "" {
		return errors.New("zone: is missing")
	}
	// JSON can encode neither NaN nor infinity, but CBOR can. The negation rejects NaN.
	if !(e.Weight >= 0) || math.IsInf(e.Weight, 1) {
		return fmt.Errorf("weight: %v is below 0", e.Weight)
	}
	return nil
}

// isUnprintable reports whether a character is anything but printable ASCII, or a space.
func isUnprintable(char rune) bool { return char <= ' ' || char > '~' }

// NewList validates entries and returns them as a list. It sorts them in place unless they are already
// sorted. Errors are those of Parse.
func NewList(entries []Entry) (List, error) {
	if len(entries) == 0 || len(entries) > MaxEntries {
		return List{}, fmt.Errorf("rooms: %d of them, 1 to %d expected", len(entries), MaxEntries)
	}
	indexByName := map[string]int{}
	indexByAddress := map[string]int{}
	for i, entry := range entries {
		if err := entry.Validate(); err != nil {
			return List{}, fmt.Errorf("rooms[%d].%w", i, err)
		}
		if other, ok := indexByName[entry.Name]; ok {
			return List{}, fmt.Errorf("rooms[%d].name: %q is that of rooms[%d]", i, entry.Name, other)
		}
		if other, ok := indexByAddress[entry.Address]; ok {
			return List{}, fmt.Errorf("rooms[%d].address: %q is that of rooms[%d]", i, entry.Address, other)
		}
		indexByName[entry.Name] = i
		indexByAddress[entry.Address] = i
	}
	compareNames := func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) }
	// Sorted entries may be shared with concurrent readers, so they must not be written to.
	if !slices.IsSortedFunc(entries, compareNames) {
		slices.SortFunc(entries, compareNames)
	}
	return List{entries}, nil
}
