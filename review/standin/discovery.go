package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is an entry of discovery's list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listing is a list of discovery, whole or of changes.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the stand-in for the discovery service.
type discovery struct {
	address string

	mutex      sync.Mutex
	generation int64
	instances  map[string]instance
	changedAt  map[string]int64 // by instance: the generation of its latest change
	changed    chan struct{}
	listener   net.Listener
	server     *http.Server
}

// heartbeat is the time between two empty lines of a watch.
const heartbeat = 2 * time.Second

func newDiscovery(instances ...instance) *discovery {
	d := &discovery{
		address:    freeAddress(),
		generation: 1,
		instances:  map[string]instance{},
		changedAt:  map[string]int64{},
		changed:    make(chan struct{}),
	}
	for _, entry := range instances {
		d.instances[entry.InstanceID], d.changedAt[entry.InstanceID] = entry, 1
	}
	return d
}

// up starts to serve.
func (d *discovery) up() {
	listener, err := net.Listen("tcp", d.address)
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.mutex.Lock()
	d.listener, d.server = listener, server
	d.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	record("discovery is up")
}

// down ends all watches and refuses connections until up is called.
func (d *discovery) down() {
	d.mutex.Lock()
	server := d.server
	d.server = nil
	d.mutex.Unlock()
	if server != nil {
		_ = server.Close()
		record("discovery is down")
	}
}

// set changes an entry of the list.
func (d *discovery) set(entry instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.instances[entry.InstanceID], d.changedAt[entry.InstanceID] = entry, d.generation
	close(d.changed)
	d.changed = make(chan struct{})
	record("discovery has %s %s, generation %d", entry.InstanceID, entry.Lifecycle, d.generation)
}

// since returns the changes after a generation, or the whole list, and a channel that is closed at the next change.
func (d *discovery) since(from int64, whole bool) (listing, chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := listing{Generation: d.generation, Reset: whole, Instances: []instance{}}
	for id, entry := range d.instances {
		if (whole && entry.Lifecycle != "left") || (!whole && d.changedAt[id] > from) {
			list.Instances = append(list.Instances, entry)
		}
	}
	return list, d.changed
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	record("discovery: %s asked %s", r.RemoteAddr, r.URL)
	if r.URL.Path != "/registry/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		list, _ := d.since(0, true)
		_ = encoder.Encode(list)
		return
	}
	var from int64
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	list, changed := d.since(from, from == 0)
	flush := func() { w.(http.Flusher).Flush() }
	for {
		_ = encoder.Encode(list)
		flush()
		record("discovery: wrote generation %d with %d entries to %s", list.Generation, len(list.Instances), r.RemoteAddr)
		from = list.Generation
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(heartbeat):
				if _, err := fmt.Fprint(w, "\n"); err != nil {
					return
				}
				flush()
			case <-r.Context().Done():
				return
			}
		}
		list, changed = d.since(from, false)
	}
}
