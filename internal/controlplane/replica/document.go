// Package replica implements the replication of the operators' document from the leader of the control plane to
// its followers: other control-plane servers, and balancers.
//
// It defines the document and its versions, computes and applies the changes between them, splits full snapshots
// into chunks, and selects the control-plane server that a follower connects to. The package is pure: it does no
// I/O and reads no clock. Package controlplane sends its types over the network.
package replica

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"cottonplank/internal/discovery/endpoint"
)

const (
	// MaxFileBytes limits the size of the file that contains the operators' document.
	MaxFileBytes = 8 << 20

	// maxFieldBytes limits the length of an entry's name, of its zone and of its address, so that each entry fits
	// into one message.
	maxFieldBytes = 128
)

// Version identifies a published document. The operators set the term in the leader's configuration, and raise it if
// the leader's state was lost. The leader numbers the documents that it publishes in a term, starting at 1, so that
// no two documents share a version. The zero Version means no document.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Number uint64
}

// Compare orders versions by term and then by number. It returns -1, 0 or 1, as cmp.Compare does.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Term, other.Term), cmp.Compare(v.Number, other.Number))
}

// String formats the version as TERM.NUMBER.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Number) }

// Document is the configuration that the operators set for all balancers. It must not be modified after it has
// been validated.
type Document struct {
	// Discovery is the address of the discovery service. If it is empty, each balancer uses the address in its
	// own configuration. A running balancer that has used the address of an earlier document keeps that address
	// until its configuration is reloaded or it restarts.
	Discovery string `json:"discovery,omitempty"`

	// Endpoints is the list of room servers, ordered by name. If it is empty, the discovery service provides the
	// list.
	Endpoints []endpoint.Entry `json:"rooms,omitempty"`
}

// State is a document with its version. Its CBOR encoding is part of the state file's format.
type State struct {
	Version  Version  `cbor:"Version"`
	Document Document `cbor:"Document"`
}

// Parse decodes and validates the file that contains the operators' document. Errors name the key and the invalid
// value.
func Parse(raw []byte) (Document, error) {
	if len(raw) > MaxFileBytes {
		return Document{}, fmt.Errorf("document: the file is longer than %d bytes", MaxFileBytes)
	}
	var document Document
	if err := endpoint.DecodeStrict(raw, &document, "document"); err != nil {
		return Document{}, err
	}
	if document.Endpoints != nil && len(document.Endpoints) == 0 {
		return Document{}, errors.New("rooms: the list is empty, every client would lose its room server")
	}
	return document.validate()
}

// RestoreState validates a state that was read from a file.
func RestoreState(state State) (State, error) {
	if state.Version == (Version{}) {
		return State{}, errors.New("the state has no version")
	}
	document, err := state.Document.validate()
	return State{state.Version, document}, err
}

// validate checks the document and returns it. It sorts the entries by name, in place. Errors name the key and the
// invalid value.
func (d Document) validate() (Document, error) {
	if len(d.Endpoints) == 0 && d.Discovery == "" {
		return d, errors.New("rooms: is missing, and discovery is not set: one of the two is required")
	}
	if d.Discovery != "" {
		if _, err := netip.ParseAddrPort(d.Discovery); err != nil {
			return d, fmt.Errorf("discovery: invalid address %q: expected IP:port", d.Discovery)
		}
	}
	for i, entry := range d.Endpoints {
		if err := validateFieldLengths(entry); err != nil {
			return d, fmt.Errorf("rooms[%d].%w", i, err)
		}
	}
	if len(d.Endpoints) > 0 {
		if _, err := endpoint.NewList(d.Endpoints); err != nil {
			return d, err
		}
	}
	return d, nil
}

// validateFieldLengths returns an error that names the first field of an entry that exceeds maxFieldBytes.
func validateFieldLengths(entry endpoint.Entry) error {
	fields := [...]struct{ key, text string }{
		{"name", entry.Name},
		{"address", entry.Address},
		{"zone", entry.Zone},
	}
	for _, field := range fields {
		if len(field.text) > maxFieldBytes {
			return fmt.Errorf("%s: is longer than %d bytes", field.key, maxFieldBytes)
		}
	}
	return nil
}

// find returns the entry with the given name, and whether there is one.
func (d Document) find(name string) (endpoint.Entry, bool) {
	i, found := slices.BinarySearchFunc(d.Endpoints, name, compareName)
	if !found {
		return endpoint.Entry{}, false
	}
	return d.Endpoints[i], true
}

// canReplace returns an error if the document must not replace the previous one. Once a document with an endpoint
// list has been published, all later ones need a list too. Without it, every client would lose its room server.
func (d Document) canReplace(previous Document) error {
	if len(d.Endpoints) == 0 && len(previous.Endpoints) > 0 {
		return errors.New("rooms: a published list cannot be withdrawn, every client would lose its room server")
	}
	return nil
}

func compareName(entry endpoint.Entry, name string) int { return cmp.Compare(entry.Name, name) }
