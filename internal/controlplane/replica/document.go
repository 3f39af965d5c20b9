// Package replica is how the operator's document reaches the balancers: its versions, the changes that are kept, what a
// follower that has some version is sent, what it takes, and at which control machine it asks next. Pure: no I/O and no clock.
// internal/control carries it.
package replica

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"cottonplank/internal/discovery/endpoint"
)

// Bounds of a document.
const (
	MaxFileBytes = 8 << 20 // bytes of an operator's file
	maxText      = 128     // bytes of a name, a zone or an address, so that each change and piece fits a frame
)

// Version is a document's. The writer of a term numbers what it writes from 1 on, so that no two documents have the same
// one. The zero version is that of no document.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Number uint64
}

// Compare orders versions: first the term, then the number.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Term, o.Term), cmp.Compare(v.Number, o.Number))
}

func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Number) }

// Document is what an operator sets for all balancers. It is not changed after it was checked.
type Document struct {
	Discovery string           `json:"discovery,omitempty"` // its address; empty: each balancer's own configuration says it
	Rooms     []endpoint.Entry `json:"rooms,omitempty"`     // in place of discovery, ordered by name; none: discovery lists them
}

// State is a document with its version.
type State struct {
	Version  Version
	Document Document
}

// Parse reads an operator's file. Errors name the key and the value.
func Parse(raw []byte) (d Document, err error) {
	if len(raw) > MaxFileBytes {
		return d, fmt.Errorf("document: is longer than %d bytes", MaxFileBytes)
	}
	if err := endpoint.DecodeStrict(raw, &d, "document"); err != nil {
		return Document{}, err
	}
	if d.Rooms != nil && len(d.Rooms) == 0 {
		return Document{}, errors.New("rooms: is empty, every client would be sent away")
	}
	return d.check()
}

// check tells what is faulty in a document, by form or by meaning, and sorts its room servers in place.
func (d Document) check() (Document, error) {
	if len(d.Rooms) == 0 && d.Discovery == "" {
		return d, errors.New("rooms: is missing, and so is discovery: no room server would be left")
	}
	if d.Discovery != "" {
		if _, err := netip.ParseAddrPort(d.Discovery); err != nil {
			return d, fmt.Errorf("discovery: %q is no address and port", d.Discovery)
		}
	}
	for i, r := range d.Rooms {
		if err := fits(r); err != nil {
			return d, fmt.Errorf("rooms[%d].%w", i, err)
		}
	}
	if len(d.Rooms) > 0 {
		if _, err := endpoint.NewList(d.Rooms); err != nil {
			return d, err
		}
	}
	return d, nil
}

// fits tells which text of a room server is too long for a frame.
func fits(r endpoint.Entry) error {
	for _, t := range [...]struct{ key, text string }{{"name", r.Name}, {"address", r.Address}, {"zone", r.Zone}} {
		if len(t.text) > maxText {
			return fmt.Errorf("%s: is longer than %d bytes", t.key, maxText)
		}
	}
	return nil
}

// at finds a room server by its name.
func (d Document) at(name string) (endpoint.Entry, bool) {
	i, found := slices.BinarySearchFunc(d.Rooms, name, byName)
	if !found {
		return endpoint.Entry{}, false
	}
	return d.Rooms[i], true
}

// follows tells why a document cannot come after another.
func (d Document) follows(before Document) error {
	if len(d.Rooms) == 0 && len(before.Rooms) > 0 {
		return errors.New("rooms: none is left, every client would be sent away")
	}
	return nil
}

// Change leads from one version to another.
type Change struct {
	From      Version          `cbor:"1,keyasint"`
	To        Version          `cbor:"2,keyasint"`
	Discovery *string          `cbor:"3,keyasint,omitempty"` // nil: as it was
	Upserted  []endpoint.Entry `cbor:"4,keyasint,omitempty"`
	Removed   []string         `cbor:"5,keyasint,omitempty"`
}

// change tells what leads from one state to another; false: nothing differs.
func change(before, after State) (c Change, differs bool) {
	c.From, c.To = before.Version, after.Version
	if before.Document.Discovery != after.Document.Discovery {
		c.Discovery = &after.Document.Discovery
	}
	old := make(map[string]endpoint.Entry, len(before.Document.Rooms))
	for _, r := range before.Document.Rooms {
		old[r.Name] = r
	}
	for _, r := range after.Document.Rooms {
		if o, there := old[r.Name]; !there || o != r {
			c.Upserted = append(c.Upserted, r)
		}
		delete(old, r.Name)
	}
	for _, r := range before.Document.Rooms {
		if _, left := old[r.Name]; left {
			c.Removed = append(c.Removed, r.Name)
		}
	}
	return c, c.Discovery != nil || len(c.Upserted)+len(c.Removed) > 0
}

// apply returns the document after a change. What it returns is not checked.
func (c Change) apply(d Document) Document {
	if c.Discovery != nil {
		d.Discovery = *c.Discovery
	}
	if len(c.Upserted)+len(c.Removed) == 0 {
		return d
	}
	put := make(map[string]endpoint.Entry, len(c.Upserted))
	names := slices.Clone(c.Removed)
	for _, r := range c.Upserted {
		put[r.Name] = r
		names = append(names, r.Name)
	}
	slices.Sort(names)
	rooms, rest := make([]endpoint.Entry, 0, len(d.Rooms)+len(c.Upserted)), d.Rooms
	for _, name := range slices.Compact(names) {
		i, found := slices.BinarySearchFunc(rest, name, byName)
		rooms, rest = append(rooms, rest[:i]...), rest[i:]
		if found {
			rest = rest[1:]
		}
		if r, there := put[name]; there {
			rooms = append(rooms, r)
		}
	}
	d.Rooms = append(rooms, rest...)
	return d
}

func byName(r endpoint.Entry, name string) int { return cmp.Compare(r.Name, name) }

// roomBytes is what a room server takes in a frame, at most.
func roomBytes(r endpoint.Entry) int { return len(r.Name) + len(r.Address) + len(r.Zone) + 64 }

func (c Change) bytes() int {
	n := 64
	if c.Discovery != nil {
		n += len(*c.Discovery)
	}
	for _, r := range c.Upserted {
		n += roomBytes(r)
	}
	for _, name := range c.Removed {
		n += len(name) + 4
	}
	return n
}
