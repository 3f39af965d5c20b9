package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/testbench/invariants"
)

// Entry is one line of the list, in the platform's form.
type Entry struct {
	Instance  string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"` // active, leaving, left
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

type listing struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Discovery is a service with a scripted list.
type Discovery struct {
	recorder *invariants.Recorder

	mu      sync.Mutex
	servers []*http.Server
	version int64
	entries []Entry
	changed chan struct{}
	log     []listing // changes, by version
	calls   atomic.Uint64
}

// Calls counts the calls so far, of all balancers.
func (d *Discovery) Calls() uint64 { return d.calls.Load() }

// NewDiscovery returns one with an empty list.
func NewDiscovery(recorder *invariants.Recorder) *Discovery {
	return &Discovery{recorder: recorder, changed: make(chan struct{})}
}

// For opens an address at which one balancer finds it, so that what each was told is known.
func (d *Discovery) For(balancer string) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: d.Handler(balancer), ReadHeaderTimeout: 5 * time.Second}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Stop ends it, and all watches.
func (d *Discovery) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// tells writes a list and notes what a balancer knows by it.
func (d *Discovery) tells(balancer string, out *json.Encoder, l listing) bool {
	for _, e := range l.Instances {
		kind := invariants.DrainObserved
		if e.Lifecycle == "active" {
			kind = invariants.ReadyObserved
		}
		d.recorder.Add(invariants.Event{Kind: kind, Balancer: balancer, Server: e.Instance})
	}
	return out.Encode(l) == nil
}

// SetLifecycle puts a room server into a lifecycle and tells all watches at once.
func (d *Discovery) SetLifecycle(r *RoomServer, zone, lifecycle string) {
	d.Put(Entry{Instance: r.Name(), Address: r.Address(), Zone: zone, Lifecycle: lifecycle, Weight: 1,
		Started: r.startedMillis()})
}

// Put sets lines of the list that belong to no Room, as one version, and tells all watches at once.
func (d *Discovery) Put(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	places := make(map[string]int, len(d.entries))
	for i, e := range d.entries {
		places[e.Instance] = i
	}
	for _, e := range entries {
		i, listed := places[e.Instance]
		switch {
		case listed:
			d.entries[i] = e
		case e.Lifecycle != "left":
			places[e.Instance] = len(d.entries)
			d.entries = append(d.entries, e)
		}
	}
	d.entries = slices.DeleteFunc(d.entries, func(e Entry) bool { return e.Lifecycle == "left" })
	d.log = append(d.log, listing{Generation: d.version, Instances: slices.Clone(entries)})
	close(d.changed)
	d.changed = make(chan struct{})
}

// Known is the list in the form of a balancer's configuration.
func (d *Discovery) Known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, _ := json.Marshal(listing{d.version, true, slices.Clone(d.entries)}) // strings and numbers always do
	return raw
}

// since is what is new after a version, and what tells of more.
func (d *Discovery) since(from int64) ([]listing, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from < 0 || from > d.version {
		return []listing{{d.version, true, slices.Clone(d.entries)}}, d.changed
	}
	return slices.Clone(d.log[from:]), d.changed
}

func (d *Discovery) serve(balancer string, w http.ResponseWriter, req *http.Request) {
	d.calls.Add(1)
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		from = -1
	}
	out, flush := json.NewEncoder(w), w.(http.Flusher)
	if req.URL.Query().Get("watch") == "" {
		lists, _ := d.since(-1)
		d.tells(balancer, out, lists[0])
		return
	}
	alive := time.NewTicker(2 * time.Second)
	defer alive.Stop()
	for first := true; ; first = false {
		lists, changed := d.since(from)
		for _, l := range lists {
			if !d.tells(balancer, out, l) {
				return
			}
			from = l.Generation
		}
		if first && len(lists) == 0 {
			out.Encode(listing{Generation: from, Instances: []Entry{}})
		}
		flush.Flush()
		select {
		case <-changed:
		case <-alive.C:
			w.Write([]byte("\n"))
			flush.Flush()
		case <-req.Context().Done():
			return
		}
	}
}
