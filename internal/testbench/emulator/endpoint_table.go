package emulator

import (
	"slices"
	"sync"
	"sync/atomic"
)

// StartedBase is the base of Entry.Started in an EndpointTable, in milliseconds since 1970: an entry that last changed
// in version v has the value StartedBase+v. Receivers derive the version from it.
const StartedBase = 1_700_000_000_000

// maxCachedSnapshots is the number of encoded snapshots that an EndpointTable caches.
const maxCachedSnapshots = 4

// EndpointTable is an endpoint list with its history, shared by any number of ListServers. It encodes each change
// once. It is safe for concurrent use.
type EndpointTable struct {
	encodings atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// initial holds the entries of version 1.
	initial []Entry
	// indexes holds the index of each entry in initial, by instance.
	indexes map[string]int
	// changes holds the changed entry of each version, starting with version 2.
	changes []Entry
	// lines holds the encoded messages of the changes.
	lines [][]byte
	// snapshots caches encoded snapshots by version.
	snapshots map[int64][]byte
	// cached holds the keys of snapshots in the order in which they were cached, the oldest first.
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
		t.initial[i].Started = StartedBase + 1
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

// version returns the newest version. The caller holds mu.
func (t *EndpointTable) version() int64 {
	return int64(len(t.changes)) + 1
}

// Publish changes or adds an entry and returns the new version. Two known faults: for an entry that is not in version
// 1, each later change adds a duplicate to the list, and an entry with LifecycleLeft stays in the list.
func (t *EndpointTable) Publish(e Entry) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	version := t.version() + 1
	e.Started = StartedBase + version
	t.changes = append(t.changes, e)
	t.lines = append(t.lines, t.encode(listing{Generation: version, Instances: []Entry{e}}))
	return version
}

// encode returns a message as a line of JSON.
func (t *EndpointTable) encode(l listing) []byte {
	t.encodings.Add(1)
	return append(mustMarshal(l), '\n')
}

// Encodings returns how many messages, snapshots and changes, were encoded so far.
func (t *EndpointTable) Encodings() uint64 { return t.encodings.Load() }

// Entries returns the list of a version. The entries of version 1 have the same order in all versions; added ones
// follow.
func (t *EndpointTable) Entries(version int64) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries(version)
}

// entries returns the list of a version. The caller holds mu.
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

// Snapshot returns the encoded snapshot of a version. Callers must not modify it.
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

// changesBetween returns the changes after one version up to and including another: the encoded messages, and the
// entries that they contain in the same order. Callers must not modify them.
func (t *EndpointTable) changesBetween(after, upTo int64) ([][]byte, []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines[after-1 : upTo-1], t.changes[after-1 : upTo-1]
}
