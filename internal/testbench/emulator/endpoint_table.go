package emulator

import (
	"slices"
	"sync"
	"sync/atomic"
)

// StartedAt is added to the version of an entry's latest change to give its Started, in milliseconds since 1970, so
// that the entry shows the version.
const StartedAt = 1_700_000_000_000

// maxCachedSnapshots is the number of encoded snapshots that an EndpointTable caches.
const maxCachedSnapshots = 4

// EndpointTable is an endpoint list with its history, for any number of ListServers. It encodes each change once. It is
// safe for concurrent use.
type EndpointTable struct {
	encodings atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// initial holds the entries of version 1.
	initial []Entry
	// indexes holds the places of entries in initial, by instance.
	indexes map[string]int
	// changes holds the changed entries; the first made version 2.
	changes []Entry
	// lines holds the changes as a watch sends them.
	lines [][]byte
	// snapshots caches encoded snapshots by version.
	snapshots map[int64][]byte
	// cached holds the versions of snapshots, the oldest first.
	cached []int64
}

// NewEndpointTable returns a table whose version 1 has the given entries.
func NewEndpointTable(entries []Entry) *EndpointTable {
	t := &EndpointTable{
		initial:   slices.Clone(entries),
		indexes:   map[string]int{},
		snapshots: map[int64][]byte{},
	}
	for i := range t.initial {
		t.initial[i].Started = StartedAt + 1
		t.indexes[t.initial[i].Instance] = i
	}
	return t
}

// Version returns the newest version.
func (t *EndpointTable) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version()
}

// version is Version for callers that hold mu.
func (t *EndpointTable) version() int64 {
	return int64(len(t.changes)) + 1
}

// Publish changes or adds an entry and returns the new version.
func (t *EndpointTable) Publish(e Entry) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	version := t.version() + 1
	e.Started = StartedAt + version
	t.changes = append(t.changes, e)
	t.lines = append(t.lines, t.encode(listing{Generation: version, Instances: []Entry{e}}))
	return version
}

// encode returns a listing as a line.
func (t *EndpointTable) encode(l listing) []byte {
	t.encodings.Add(1)
	return append(mustMarshal(l), '\n')
}

// Encodings returns the number of snapshots and changes that were encoded so far.
func (t *EndpointTable) Encodings() uint64 { return t.encodings.Load() }

// Entries returns the list of a version. Its order is the same in all versions.
func (t *EndpointTable) Entries(version int64) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries(version)
}

// entries is Entries for callers that hold mu.
func (t *EndpointTable) entries(version int64) []Entry {
	entries := slices.Clone(t.initial)
	for _, e := range t.changes[:version-1] {
		if i, ok := t.indexes[e.Instance]; ok {
			entries[i] = e
		} else {
			entries = append(entries, e)
		}
	}
	return entries
}

// Snapshot returns the encoded list of a version. Callers must not change it.
func (t *EndpointTable) Snapshot(version int64) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if raw, ok := t.snapshots[version]; ok {
		return raw
	}
	raw := t.encode(listing{Generation: version, Reset: true, Instances: t.entries(version)})
	t.snapshots[version] = raw
	t.cached = append(t.cached, version)
	if len(t.cached) > maxCachedSnapshots {
		delete(t.snapshots, t.cached[0])
		t.cached = t.cached[1:]
	}
	return raw
}

// changesBetween returns the changes after one version up to another, encoded and as entries. Callers must not change
// them.
func (t *EndpointTable) changesBetween(after, upTo int64) ([][]byte, []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines[after-1 : upTo-1], t.changes[after-1 : upTo-1]
}
