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
)

// StartedAt is when the entries of a roster started, in milliseconds, less the version of their latest change: whoever
// has an entry knows by it which version it is of.
const StartedAt = 1_700_000_000_000

const (
	aliveEvery = 2 * time.Second // a watch brings an empty line so often
	wholeKept  = 4               // whole lists kept encoded, the newest
)

// EndpointTable is a list of room servers that many sources tell. It encodes each change once for all of them.
type EndpointTable struct {
	mu       sync.Mutex
	entries  []Entry // of version 1
	place    map[string]int
	changes  []Entry  // the first makes version 2
	lines    [][]byte // the same, as a watch tells them
	whole    map[int64][]byte
	wholeOld []int64
	encoded  atomic.Uint64
}

// NewEndpointTable returns a roster of version 1.
func NewEndpointTable(entries []Entry) *EndpointTable {
	r := &EndpointTable{entries: slices.Clone(entries), place: map[string]int{}, whole: map[int64][]byte{}}
	for i := range r.entries {
		r.entries[i].Started = StartedAt + 1
		r.place[r.entries[i].Instance] = i
	}
	return r
}

// Version is the newest.
func (r *EndpointTable) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version()
}

func (r *EndpointTable) version() int64 { return int64(len(r.changes)) + 1 }

// Publish changes an entry that the roster has, or adds one, and returns the new version.
func (r *EndpointTable) Publish(e Entry) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.version() + 1
	e.Started = StartedAt + v
	r.changes = append(r.changes, e)
	r.lines = append(r.lines, r.encode(listing{Generation: v, Instances: []Entry{e}}))
	return v
}

func (r *EndpointTable) encode(l listing) []byte {
	r.encoded.Add(1)
	raw, _ := json.Marshal(l) // strings and numbers always do
	return append(raw, '\n')
}

// Encodings counts the lists and changes encoded so far.
func (r *EndpointTable) Encodings() uint64 { return r.encoded.Load() }

// Entries is the list of a version, with the entries in one order whatever the version.
func (r *EndpointTable) Entries(v int64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at(v)
}

func (r *EndpointTable) at(v int64) []Entry {
	all, place := slices.Clone(r.entries), r.place
	for _, e := range r.changes[:v-1] {
		if i, ok := place[e.Instance]; ok {
			all[i] = e
		} else {
			all = append(all, e)
		}
	}
	return all
}

// Snapshot is the encoded list of a version. Callers don't change it.
func (r *EndpointTable) Snapshot(v int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, ok := r.whole[v]
	if !ok {
		raw = r.encode(listing{Generation: v, Reset: true, Instances: r.at(v)})
		r.whole[v] = raw
		if r.wholeOld = append(r.wholeOld, v); len(r.wholeOld) > wholeKept {
			delete(r.whole, r.wholeOld[0])
			r.wholeOld = r.wholeOld[1:]
		}
	}
	return raw
}

// since is the changes after one version up to another.
func (r *EndpointTable) since(from, to int64) ([][]byte, []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[from-1 : to-1], r.changes[from-1 : to-1]
}

// ListServer is one service that tells a roster's list to thousands of watches. It tells what has reached it.
type ListServer struct {
	roster *EndpointTable

	mu      sync.Mutex
	version int64
	changed chan struct{}
	doors   []door
	servers []*http.Server // nil: it is gone

	calls, messages, bytes atomic.Uint64
}

type door struct {
	address string
	hear    func([]Entry)
}

// NewListServer returns a source that knows version 1.
func NewListServer(r *EndpointTable) *ListServer {
	return &ListServer{roster: r, version: 1, changed: make(chan struct{})}
}

// AdvanceTo tells that the list up to a version has reached the source; it never goes back.
func (s *ListServer) AdvanceTo(v int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v > s.version {
		s.version = v
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Listen opens an address. Whoever calls there is told what hear notes first, if that is not nil.
func (s *ListServer) Listen(hear func([]Entry)) (address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := door{hear: hear}
	if d.address, err = s.open(d); err == nil {
		s.doors = append(s.doors, d)
	}
	return d.address, err
}

// Address is what the n-th Listen opened, or Start since then.
func (s *ListServer) Address(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doors[n].address
}

func (s *ListServer) open(d door) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("source: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) { s.serve(d.hear, w, req) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Stop ends it, and all watches, as a crash does.
func (s *ListServer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
	s.servers = nil
}

// Start brings it back, at other addresses: somebody's connection may have the old ones by now.
func (s *ListServer) Start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.doors {
		if s.doors[i].address, err = s.open(d); err != nil {
			return err
		}
	}
	return nil
}

// ListTraffic is what a source has done so far: calls taken, messages written, which are lists, changes and empty lines, and
// their bytes.
type ListTraffic struct{ Calls, Messages, Bytes uint64 }

// Traffic counts it.
func (s *ListServer) Traffic() ListTraffic {
	return ListTraffic{s.calls.Load(), s.messages.Load(), s.bytes.Load()}
}

func (s *ListServer) now() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.changed
}

func (s *ListServer) serve(hear func([]Entry), w http.ResponseWriter, req *http.Request) {
	s.calls.Add(1)
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	write := func(raw []byte, told func() []Entry) bool {
		if hear != nil && told != nil {
			hear(told())
		}
		s.messages.Add(1)
		s.bytes.Add(uint64(len(raw)))
		_, err := w.Write(raw)
		return err == nil
	}
	to, changed := s.now()
	watch := req.URL.Query().Get("watch") != ""
	if err != nil || from <= 0 || from > to || !watch {
		from = to
		if !write(s.roster.Snapshot(from), func() []Entry { return s.roster.Entries(from) }) || !watch {
			return
		}
	} else if from == to && !write(fmt.Appendf(nil, "{\"generation\":%d,\"reset\":false,\"instances\":[]}\n", from), nil) {
		return
	}
	flush := w.(http.Flusher)
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		lines, entries := s.roster.since(from, to)
		for i, line := range lines {
			if !write(line, func() []Entry { return entries[i : i+1] }) {
				return
			}
		}
		from = to
		flush.Flush()
		select {
		case <-changed:
			to, changed = s.now()
		case <-alive.C:
			if !write([]byte("\n"), nil) {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}
