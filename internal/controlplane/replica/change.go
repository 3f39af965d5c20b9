package replica

import (
	"slices"

	"cottonplank/internal/discovery/endpoint"
)

// Upper bounds of the number of bytes that the CBOR encoding needs in addition to the contents of its strings.
const (
	entryOverheadBytes       = 64 // of an endpoint entry
	changeOverheadBytes      = 64 // of a Change without its entries and names
	removedNameOverheadBytes = 4  // of a name in Change.Removed
)

// Change is the difference between two versions of the document.
type Change struct {
	From      Version          `cbor:"1,keyasint"`
	To        Version          `cbor:"2,keyasint"`
	Discovery *string          `cbor:"3,keyasint,omitempty"` // nil: unchanged
	Upserted  []endpoint.Entry `cbor:"4,keyasint,omitempty"` // added or modified entries
	Removed   []string         `cbor:"5,keyasint,omitempty"` // names of removed entries
}

// diff returns the change that leads from one state to the next, and whether their documents differ.
func diff(before, after State) (change Change, differs bool) {
	change = Change{From: before.Version, To: after.Version}
	if before.Document.Discovery != after.Document.Discovery {
		change.Discovery = &after.Document.Discovery
	}
	upserted, removed := endpoint.DiffEntries(before.Document.Endpoints, after.Document.Endpoints)
	change.Upserted = upserted
	for _, entry := range removed {
		change.Removed = append(change.Removed, entry.Name)
	}
	return change, change.Discovery != nil || len(change.Upserted)+len(change.Removed) > 0
}

// apply returns the document that results from applying the change. An entry that the change both upserts and
// removes is in the result. apply does not validate the result, and does not modify the entries of the given
// document.
func (c Change) apply(document Document) Document {
	if c.Discovery != nil {
		document.Discovery = *c.Discovery
	}
	if len(c.Upserted)+len(c.Removed) == 0 {
		return document
	}
	upserted := make(map[string]endpoint.Entry, len(c.Upserted))
	names := slices.Clone(c.Removed)
	for _, entry := range c.Upserted {
		upserted[entry.Name] = entry
		names = append(names, entry.Name)
	}
	slices.Sort(names)
	// The unchanged entries between two names of the change are copied as a block.
	merged := make([]endpoint.Entry, 0, len(document.Endpoints)+len(c.Upserted))
	rest := document.Endpoints
	for _, name := range slices.Compact(names) {
		i, found := slices.BinarySearchFunc(rest, name, compareName)
		merged = append(merged, rest[:i]...)
		rest = rest[i:]
		if found {
			rest = rest[1:]
		}
		if entry, ok := upserted[name]; ok {
			merged = append(merged, entry)
		}
	}
	document.Endpoints = append(merged, rest...)
	return document
}

// maxEncodedBytes returns an upper bound of the change's encoded size.
func (c Change) maxEncodedBytes() int {
	size := changeOverheadBytes
	if c.Discovery != nil {
		size += len(*c.Discovery)
	}
	for _, entry := range c.Upserted {
		size += maxEncodedEntryBytes(entry)
	}
	for _, name := range c.Removed {
		size += len(name) + removedNameOverheadBytes
	}
	return size
}

// maxEncodedEntryBytes returns an upper bound of an entry's encoded size.
func maxEncodedEntryBytes(entry endpoint.Entry) int {
	return len(entry.Name) + len(entry.Address) + len(entry.Zone) + entryOverheadBytes
}
