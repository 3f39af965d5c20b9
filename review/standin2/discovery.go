package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// listing is a whole list, or the entries that have changed.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the stand-in of the platform's discovery. A watch begins with the whole list, or with no entries if
// nothing has changed since its version. It gets an empty line every 2 s while nothing changes.
type discovery struct {
	stage   *stage
	address string

	mu         sync.Mutex
	generation int64
	instances  []instance
	watches    map[watch]struct{}
}

// watch is an open watch: the lines that are to be written.
type watch chan listing

func newDiscovery(s *stage, instances []instance) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		stage:      s,
		address:    l.Addr().String(),
		generation: 41,
		instances:  instances,
		watches:    map[watch]struct{}{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	s.onClose(func() { server.Close() })
	return d, nil
}

// whole returns the whole list. The caller holds mu.
func (d *discovery) whole() listing {
	return listing{d.generation, true, append([]instance{}, d.instances...)}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		d.mu.Lock()
		list := d.whole()
		d.mu.Unlock()
		json.NewEncoder(w).Encode(list)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wt := make(watch, 64)
	d.mu.Lock()
	if from != d.generation {
		wt <- d.whole()
	} else {
		wt <- listing{d.generation, false, []instance{}}
	}
	d.watches[wt] = struct{}{}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, wt)
		d.mu.Unlock()
	}()
	flusher := w.(http.Flusher)
	fmt.Fprint(w, "\r\n")
	flusher.Flush()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case list := <-wt:
			raw, _ := json.Marshal(list)
			w.Write(append(raw, "\r\n"...))
			flusher.Flush()
			d.stage.record.add("discovery: wrote generation %d, reset %v, %d entries", list.Generation, list.Reset,
				len(list.Instances))
		case <-ticker.C:
			fmt.Fprint(w, "\r\n")
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// change adds or replaces an entry and tells the open watches. It returns when the line is queued for each of them.
func (d *discovery) change(entry instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	found := false
	for i := range d.instances {
		if d.instances[i].InstanceID == entry.InstanceID {
			d.instances[i], found = entry, true
		}
	}
	if !found {
		d.instances = append(d.instances, entry)
	}
	d.stage.record.add("discovery: generation %d: %s is %s", d.generation, entry.InstanceID, entry.Lifecycle)
	for w := range d.watches {
		w <- listing{d.generation, false, []instance{entry}}
	}
}
