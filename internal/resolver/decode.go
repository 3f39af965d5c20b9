// Package resolver asks discovery, over HTTP/1.1, for the list of room servers and watches its changes. Its
// actor owns the list's version; what comes goes to the core as resolver results.
package resolver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// wireResult is a list in discovery's form.
type wireResult struct {
	Generation *int64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []wireInstance `json:"instances"`
}

type wireInstance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var states = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Gone}

// Listing is a decoded list.
type Listing struct {
	Generation int64
	Reset      bool // the whole list, not only changes
	Instances  []core.Instance
}

// Decode reads a list in discovery's form. One bad line spoils the whole of it: half a list would look like
// room servers that are gone.
func Decode(raw []byte) (Listing, error) {
	var w wireResult
	if err := json.Unmarshal(raw, &w); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if w.Generation == nil {
		return Listing{}, errors.New("list: generation is missing")
	}
	l := Listing{Generation: *w.Generation, Reset: w.Reset}
	named := map[decide.ServerID]string{}
	for i, in := range w.Instances {
		x, err := in.decode()
		if err != nil {
			return Listing{}, fmt.Errorf("list: instances[%d]: %w", i, err)
		}
		if other, ok := named[x.ID]; ok && other != x.Name {
			return Listing{}, fmt.Errorf("list: instances %q and %q share a derived number", other, x.Name)
		}
		named[x.ID] = x.Name
		l.Instances = append(l.Instances, x)
	}
	return l, nil
}

func (w wireInstance) decode() (in core.Instance, err error) {
	if w.InstanceID == "" {
		return in, errors.New("instanceId is empty")
	}
	state, ok := states[w.Lifecycle]
	if !ok {
		return in, fmt.Errorf("lifecycle: unknown value %q", w.Lifecycle)
	}
	if _, err := netip.ParseAddrPort(w.HostPort); err != nil && state != decide.Gone {
		return in, fmt.Errorf("hostPort: %q is no address and port", w.HostPort)
	}
	if w.Weight < 0 || w.StartedAtMs < 0 {
		return in, errors.New("weight or startedAtMs is below 0")
	}
	in = core.Instance{Name: w.InstanceID, Address: w.HostPort, Server: decide.Server{
		ID: core.ServerID(w.InstanceID), Zone: w.Zone, Cell: w.Cell, State: state, Weight: w.Weight}}
	if w.StartedAtMs > 0 {
		in.Started = time.UnixMilli(w.StartedAtMs)
	}
	return in, nil
}
