// Package httpsource asks discovery, over HTTP/1.1, for the list of room servers and watches its changes. Its
// actor owns the list's version; what comes goes to the core as resolver results.
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

// Bounds of a list, so that one that never ends takes no more memory than the longest that is used.
const (
	maxEntries    = 1 << 16
	maxEntryBytes = 1 << 16 // bytes of an entry, or of anything else between two
	maxListBytes  = 1 << 25 // bytes of the whole: for so many entries three times as much as usual ones have
)

type wireInstance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var lifecycleStates = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Removed}

// Listing is a decoded list.
type Listing struct {
	Generation int64
	Reset      bool // the whole list, not only changes
	Endpoints  []core.Endpoint
}

// DecodeListing reads a list in discovery's form. One bad line spoils the whole of it: half a list would look like
// room servers that are gone.
func DecodeListing(raw []byte) (Listing, error) {
	values := json.NewDecoder(bytes.NewReader(raw))
	l, err := decodeListing(values, func() {})
	if err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if _, err := values.Token(); !errors.Is(err, io.EOF) {
		return Listing{}, errors.New("list: more follows it")
	}
	return l, nil
}

// decodeListing reads the next list of a stream, entry by entry, so that no more of its text is held at once than one
// entry; passed hears that what came so far is done with. io.EOF says that nothing begins.
func decodeListing(values *json.Decoder, passed func()) (l Listing, err error) {
	if err := expectDelim(values, '{'); err != nil {
		return Listing{}, err
	}
	var generation *int64
	listed := false
	for values.More() {
		key, err := values.Token()
		if err != nil {
			return Listing{}, unexpectedEOF(err)
		}
		switch name, _ := key.(string); { // in any case of letters, as encoding/json takes names
		case strings.EqualFold(name, "generation"):
			err = values.Decode(&generation)
		case strings.EqualFold(name, "reset"):
			err = values.Decode(&l.Reset)
		case strings.EqualFold(name, "instances") && listed:
			err = errors.New("instances are there twice")
		case strings.EqualFold(name, "instances"):
			listed = true
			l.Endpoints, err = decodeInstances(values, passed)
		default:
			var unknown json.RawMessage
			err = values.Decode(&unknown)
		}
		if err != nil {
			return Listing{}, unexpectedEOF(err)
		}
		passed()
	}
	if _, err := values.Token(); err != nil {
		return Listing{}, unexpectedEOF(err)
	}
	if generation == nil {
		return Listing{}, errors.New("generation is missing")
	}
	l.Generation = *generation
	return l, nil
}

// expectDelim reads the beginning of an object or an array.
func expectDelim(values *json.Decoder, want json.Delim) error {
	got, err := values.Token()
	if err == nil && got != want {
		err = fmt.Errorf("%v was found where %v was expected", got, want)
	}
	return err
}

// unexpectedEOF tells half a list from the end of a stream.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decodeInstances(values *json.Decoder, passed func()) (all []core.Endpoint, err error) {
	first, err := values.Token()
	if err != nil || first == nil { // null: none
		return nil, err
	}
	if first != json.Delim('[') {
		return nil, fmt.Errorf("instances: %v was found where a list was expected", first)
	}
	named := map[decide.ServerID]string{}
	for values.More() {
		if len(all) == maxEntries {
			return nil, fmt.Errorf("instances: more than %d", maxEntries)
		}
		var w wireInstance
		if err := values.Decode(&w); err != nil {
			return nil, fmt.Errorf("instances[%d]: %w", len(all), err)
		}
		x, err := w.endpoint()
		if err != nil {
			return nil, fmt.Errorf("instances[%d]: %w", len(all), err)
		}
		if other, ok := named[x.ID]; ok && other != x.Name {
			return nil, fmt.Errorf("instances %q and %q share a derived number", other, x.Name)
		}
		named[x.ID] = x.Name
		all = append(all, x)
		passed()
	}
	_, err = values.Token()
	return all, err
}

func (w wireInstance) endpoint() (in core.Endpoint, err error) {
	if w.InstanceID == "" {
		return in, errors.New("instanceId is empty")
	}
	state, ok := lifecycleStates[w.Lifecycle]
	if !ok {
		return in, fmt.Errorf("lifecycle: unknown value %q", w.Lifecycle)
	}
	if _, err := netip.ParseAddrPort(w.HostPort); err != nil && state != decide.Removed {
		return in, fmt.Errorf("hostPort: %q is no address and port", w.HostPort)
	}
	if w.Weight < 0 || w.StartedAtMs < 0 {
		return in, errors.New("weight or startedAtMs is below 0")
	}
	in = core.Endpoint{Name: w.InstanceID, Address: w.HostPort, Server: decide.Server{
		ID: core.ServerID(w.InstanceID), Zone: w.Zone, Cell: w.Cell, State: state, Weight: w.Weight}}
	if w.StartedAtMs > 0 {
		in.Started = time.UnixMilli(w.StartedAtMs)
	}
	return in, nil
}
