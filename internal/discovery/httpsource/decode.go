package httpsource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// Limits of a list, which bound the memory that an endless list takes.
const (
	maxEntries    = 1 << 16
	maxEntryBytes = 1 << 16 // limits an entry, and also the text between two entries and each other value
	maxListBytes  = 1 << 25 // about three times the size of maxEntries entries of usual length
)

// wireInstance is an entry of the list, as the discovery service encodes it.
type wireInstance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds
}

// lifecycleStates maps the values of wireInstance.Lifecycle to the states of the decision module.
var lifecycleStates = map[string]decide.State{
	"active":  decide.Ready,
	"leaving": decide.Draining,
	"left":    decide.Removed,
}

// Listing is a decoded list.
type Listing struct {
	Generation int64 // the list's version at the discovery service
	Reset      bool  // a full snapshot rather than a delta
	Endpoints  []core.Endpoint
}

// DecodeListing decodes a list in the discovery service's encoding. A single invalid entry makes the whole list
// invalid: if the entry were skipped, its endpoint would look removed.
func DecodeListing(raw []byte) (Listing, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	listing, err := decodeListing(decoder, func() {})
	if err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Listing{}, errors.New("list: unexpected data after the list")
	}
	return listing, nil
}

// decodeListing decodes the next list of a stream. It decodes entry by entry, so that the decoder buffers at most one
// entry, and calls onConsumed after each entry and after each value of the list's object. It returns io.EOF if the
// stream has ended.
func decodeListing(decoder *json.Decoder, onConsumed func()) (Listing, error) {
	if err := expectDelim(decoder, '{'); err != nil {
		return Listing{}, err
	}
	var listing Listing
	var generation *int64 // nil: missing
	hasInstances := false
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return Listing{}, unexpectedEOF(err)
		}
		name, _ := key.(string)
		switch { // as in encoding/json, keys are case-insensitive
		case strings.EqualFold(name, "generation"):
			err = decoder.Decode(&generation)
		case strings.EqualFold(name, "reset"):
			err = decoder.Decode(&listing.Reset)
		case strings.EqualFold(name, "instances") && hasInstances:
			err = errors.New(`duplicate key "instances"`)
		case strings.EqualFold(name, "instances"):
			hasInstances = true
			listing.Endpoints, err = decodeInstances(decoder, onConsumed)
		default:
			var unknown json.RawMessage
			err = decoder.Decode(&unknown)
		}
		if err != nil {
			return Listing{}, unexpectedEOF(err)
		}
		onConsumed()
	}
	if _, err := decoder.Token(); err != nil {
		return Listing{}, unexpectedEOF(err)
	}
	if generation == nil {
		return Listing{}, errors.New("generation is missing")
	}
	listing.Generation = *generation
	return listing, nil
}

// expectDelim reads a token and returns an error if it is not the given delimiter.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	got, err := decoder.Token()
	if err == nil && got != want {
		err = fmt.Errorf("found %v, expected %v", got, want)
	}
	return err
}

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF for an error within a list. decodeListing returns io.EOF
// only if the stream has ended between two lists.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decodeInstances decodes the entries of a list; null counts as an empty list. Two different names with the same
// server ID are an error.
func decodeInstances(decoder *json.Decoder, onConsumed func()) ([]core.Endpoint, error) {
	first, err := decoder.Token()
	if err != nil || first == nil {
		return nil, err
	}
	if first != json.Delim('[') {
		return nil, fmt.Errorf("instances: found %v, expected an array", first)
	}
	var endpoints []core.Endpoint
	nameByID := map[decide.ServerID]string{}
	for decoder.More() {
		if len(endpoints) == maxEntries {
			return nil, fmt.Errorf("instances: more than %d entries", maxEntries)
		}
		decoded, err := decodeInstance(decoder)
		if err != nil {
			return nil, fmt.Errorf("instances[%d]: %w", len(endpoints), err)
		}
		if other, ok := nameByID[decoded.ID]; ok && other != decoded.Name {
			return nil, fmt.Errorf("instances %q and %q have the same server ID", other, decoded.Name)
		}
		nameByID[decoded.ID] = decoded.Name
		endpoints = append(endpoints, decoded)
		onConsumed()
	}
	_, err = decoder.Token()
	return endpoints, err
}

func decodeInstance(decoder *json.Decoder) (core.Endpoint, error) {
	var instance wireInstance
	if err := decoder.Decode(&instance); err != nil {
		return core.Endpoint{}, err
	}
	return instance.endpoint()
}

// endpoint validates an entry and returns it as the core represents it.
func (w wireInstance) endpoint() (core.Endpoint, error) {
	if w.InstanceID == "" {
		return core.Endpoint{}, errors.New("instanceId is empty")
	}
	state, ok := lifecycleStates[w.Lifecycle]
	if !ok {
		return core.Endpoint{}, fmt.Errorf("lifecycle: unknown value %q, expected active, leaving or left", w.Lifecycle)
	}
	if _, err := netip.ParseAddrPort(w.HostPort); err != nil && state != decide.Removed {
		return core.Endpoint{}, fmt.Errorf("hostPort: %q is not an IP address and port", w.HostPort)
	}
	if w.Weight < 0 || w.StartedAtMs < 0 {
		return core.Endpoint{}, errors.New("weight or startedAtMs is negative")
	}
	decoded := core.Endpoint{
		Name:    w.InstanceID,
		Address: w.HostPort,
		Server: decide.Server{
			ID:     core.ServerID(w.InstanceID),
			Zone:   w.Zone,
			Cell:   w.Cell,
			State:  state,
			Weight: w.Weight,
		},
	}
	if w.StartedAtMs > 0 {
		decoded.Started = time.UnixMilli(w.StartedAtMs)
	}
	return decoded, nil
}
