package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/testbench/invariants"
)

// Discovery emulates the discovery service. Each balancer has its own address, so that Discovery can record which
// entries of room servers it sends to which balancer. It is safe for concurrent use.
type Discovery struct {
	recorder *invariants.Recorder
	calls    atomic.Uint64

	// mu guards the fields below.
	mu      sync.Mutex
	servers []*http.Server
	version int64
	entries []Entry
	// changed is closed when there is a new version, and replaced by a new channel.
	changed chan struct{}
	// deltas holds the change of each version, starting with that of version 1.
	deltas []listing
}

// NewDiscovery returns a service with an empty list. The recorder may be nil.
func NewDiscovery(recorder *invariants.Recorder) *Discovery {
	return &Discovery{recorder: recorder, changed: make(chan struct{})}
}

// Calls returns the number of calls that all balancers together have made so far.
func (d *Discovery) Calls() uint64 { return d.calls.Load() }

// ListenFor starts serving a balancer on a free loopback port. Stop ends it.
func (d *Discovery) ListenFor(balancer string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: d.Handler(balancer), ReadHeaderTimeout: readHeaderTimeout}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go server.Serve(listener) // ends when Stop closes the server
	return listener.Addr().String(), nil
}

// Handler returns an HTTP handler for the calls of a balancer.
func (d *Discovery) Handler(balancer string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(listPattern, func(w http.ResponseWriter, req *http.Request) { d.serve(balancer, w, req) })
	return mux
}

// Stop closes the servers that ListenFor started, and ends their watches.
func (d *Discovery) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// SetLifecycle publishes a room server with the given lifecycle.
func (d *Discovery) SetLifecycle(server *RoomServer, zone, lifecycle string) {
	e := ActiveEntry(server.Name(), server.Address(), zone)
	e.Lifecycle = lifecycle
	e.Started = server.startedMillis()
	d.Put(e)
}

// PutServer publishes an entry with the given name, address, zone and lifecycle. Unlike SetLifecycle, it does not need
// a RoomServer.
func (d *Discovery) PutServer(name, address, zone, lifecycle string) {
	e := ActiveEntry(name, address, zone)
	e.Lifecycle = lifecycle
	d.Put(e)
}

// Put publishes a new version in which the given entries are added, replaced or, with LifecycleLeft, removed.
func (d *Discovery) Put(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	indexes := make(map[string]int, len(d.entries))
	for i, e := range d.entries {
		indexes[e.Instance] = i
	}
	for _, e := range entries {
		i, listed := indexes[e.Instance]
		switch {
		case listed:
			d.entries[i] = e
		case e.Lifecycle != LifecycleLeft:
			indexes[e.Instance] = len(d.entries)
			d.entries = append(d.entries, e)
		}
	}
	d.entries = slices.DeleteFunc(d.entries, func(e Entry) bool { return e.Lifecycle == LifecycleLeft })
	d.deltas = append(d.deltas, listing{Generation: d.version, Instances: slices.Clone(entries)})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ListingJSON returns the list as JSON, in the format of the known list in a balancer's configuration.
func (d *Discovery) ListingJSON() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mustMarshal(d.snapshot())
}

// snapshot returns the complete list as a message. The caller holds mu.
func (d *Discovery) snapshot() listing {
	return listing{Generation: d.version, Reset: true, Instances: slices.Clone(d.entries)}
}

// changesSince returns the deltas after a version, or a snapshot if the version is negative or higher than the
// current one, and a channel that is closed when there is a new version.
func (d *Discovery) changesSince(version int64) ([]listing, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version < 0 || version > d.version {
		return []listing{d.snapshot()}, d.changed
	}
	return slices.Clone(d.deltas[version:]), d.changed
}

// serve handles a call of a balancer. It answers a poll with a snapshot. On a watch it sends all changes after the
// version in the query, until the client closes the connection or the server stops. A watch starts with a snapshot if
// its version is 0, absent, invalid or newer than the current one. A balancer without a list sends version 0.
func (d *Discovery) serve(balancer string, w http.ResponseWriter, req *http.Request) {
	d.calls.Add(1)
	query := parseListQuery(req)
	if query.version == 0 {
		query.version = noVersion
	}
	out := json.NewEncoder(w)
	if !query.watch {
		lists, _ := d.changesSince(noVersion)
		d.send(balancer, out, lists[0])
		return
	}
	d.watch(req, w, balancer, query.version)
}

// watch writes the changes after a version until the call ends. If there are none at first, it writes an empty delta
// to confirm the watch.
func (d *Discovery) watch(req *http.Request, w http.ResponseWriter, balancer string, version int64) {
	out, flusher := json.NewEncoder(w), w.(http.Flusher)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		lists, changed := d.changesSince(version)
		for _, l := range lists {
			if !d.send(balancer, out, l) {
				return
			}
			version = l.Generation
		}
		if first && len(lists) == 0 {
			out.Encode(listing{Generation: version, Instances: []Entry{}})
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-heartbeat.C:
			w.Write([]byte(heartbeatLine))
			flusher.Flush()
		case <-req.Context().Done():
			return
		}
	}
}

// send records an event for each entry of a message to a balancer and then writes the message. It reports whether the
// write succeeded.
func (d *Discovery) send(balancer string, out *json.Encoder, l listing) bool {
	for _, e := range l.Instances {
		d.recorder.Add(invariants.Event{Kind: e.observation(), Balancer: balancer, Server: e.Instance})
	}
	return out.Encode(l) == nil
}
