package hollow

import (
	"hash/fnv"
	"slices"
	"sync"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/emulator"
)

// Digest returns the hash of one endpoint. The digest of a list is the XOR of the digests of its endpoints. It does
// not depend on their order, and a change of one endpoint updates it in constant time.
func Digest(instance, address, zone string, state decide.State) uint64 {
	hash := fnv.New64a()
	for _, s := range []string{instance, address, zone} {
		hash.Write([]byte(s))
		hash.Write([]byte{0})
	}
	hash.Write([]byte{byte(state)})
	return hash.Sum64()
}

func endpointDigest(e core.Endpoint) uint64 {
	return Digest(e.Name, e.Address, e.Zone, e.State)
}

// endpointVersion returns the version of the list in which an endpoint of an emulator.EndpointTable last changed.
func endpointVersion(e core.Endpoint) int64 {
	return e.Started.UnixMilli() - emulator.StartedBase
}

// sharedList is the history of the endpoint list. All nodes of a process share it to save memory.
type sharedList struct {
	mu sync.Mutex
	// history holds the digests of each endpoint by its name, in ascending order of versions.
	history map[string][]versionedDigest
	// initialDigest is the digest of the known list, with which the nodes start.
	initialDigest uint64
}

// versionedDigest is the digest that an endpoint has from a version on.
type versionedDigest struct {
	version int64
	digest  uint64
}

// newSharedList returns a history that begins with the known list, which has the given version.
func newSharedList(known []core.Endpoint, version int64) *sharedList {
	s := &sharedList{history: make(map[string][]versionedDigest, len(known))}
	for _, e := range known {
		digest := endpointDigest(e)
		s.history[e.Name] = []versionedDigest{{version, digest}}
		s.initialDigest ^= digest
	}
	return s
}

// digestAt returns the digest that an endpoint had at a version; 0 if the list did not have the endpoint. The caller
// holds mu.
func (s *sharedList) digestAt(version int64, name string) (digest uint64) {
	for _, entry := range s.history[name] {
		if entry.version <= version {
			digest = entry.digest
		}
	}
	return digest
}

// record adds the change of an endpoint to the history, unless the history has the change already. The caller holds
// mu.
func (s *sharedList) record(version int64, name string, digest uint64) {
	entries := s.history[name]
	i := len(entries)
	for i > 0 && entries[i-1].version >= version {
		i--
	}
	if i == len(entries) || entries[i].version != version {
		s.history[name] = slices.Insert(entries, i, versionedDigest{version, digest})
	}
}

// nodeList is the list of one node. It equals the shared list at the node's version, except for the endpoints in older.
type nodeList struct {
	version int64
	// older holds, by name, the digests of the endpoints that differ from the shared list. For each of them, the change
	// that the node received last is not the newest one up to version.
	older  map[string]uint64
	digest uint64
}

// applyDelta applies the change of one endpoint to the node's list and records it in the shared list.
func (l *nodeList) applyDelta(shared *sharedList, e core.Endpoint) {
	version, digest := endpointVersion(e), endpointDigest(e)
	shared.mu.Lock()
	defer shared.mu.Unlock()
	before, ok := l.older[e.Name]
	if !ok {
		before = shared.digestAt(l.version, e.Name)
	}
	shared.record(version, e.Name, digest)
	l.digest ^= before ^ digest
	l.version = max(l.version, version)
	delete(l.older, e.Name)
	if shared.digestAt(l.version, e.Name) != digest {
		if l.older == nil {
			l.older = map[string]uint64{}
		}
		l.older[e.Name] = digest
	}
}

// replace replaces the list with a snapshot. Known fault: it does not record the snapshot's endpoints in the shared
// list. If all nodes of the process received a change of an endpoint only in snapshots, the next change of the endpoint
// makes the digest of the list wrong.
func (l *nodeList) replace(endpoints []core.Endpoint) {
	*l = nodeList{}
	for _, e := range endpoints {
		l.digest ^= endpointDigest(e)
		l.version = max(l.version, endpointVersion(e))
	}
}
