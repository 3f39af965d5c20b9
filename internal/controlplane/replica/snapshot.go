package replica

import (
	"fmt"

	"cottonplank/internal/discovery/endpoint"
)

// SnapshotChunk is one of the chunks that a full snapshot of a state is split into. The chunks of a snapshot are
// sent over a single connection, in the order of their indexes.
type SnapshotChunk struct {
	Version   Version          `cbor:"1,keyasint"`
	Index     int              `cbor:"2,keyasint"` // counts from 0
	Last      bool             `cbor:"3,keyasint,omitempty"`
	Discovery string           `cbor:"4,keyasint,omitempty"` // the document's discovery address, repeated in each chunk
	Entries   []endpoint.Entry `cbor:"5,keyasint,omitempty"`
}

// Chunks splits a full snapshot of the state into chunks, each of which fits into one message. It returns at least
// one chunk.
func (s State) Chunks() []SnapshotChunk {
	var chunks []SnapshotChunk
	rest := s.Document.Endpoints
	for {
		size, count := 0, 0
		for count < len(rest) && size < maxBatchBytes {
			size += maxEncodedEntryBytes(rest[count])
			count++
		}
		chunk := SnapshotChunk{
			Version:   s.Version,
			Index:     len(chunks),
			Last:      count == len(rest),
			Discovery: s.Document.Discovery,
			Entries:   rest[:count:count],
		}
		chunks = append(chunks, chunk)
		if chunk.Last {
			return chunks
		}
		rest = rest[count:]
	}
}

// ApplyChunk adds a chunk to the snapshot that is being received. After the last chunk it installs the snapshot.
// It reports whether the state has changed; this result has no meaning if there is an error. It ignores snapshots
// that are not newer than the current state. It returns an error that wraps ErrGap if a chunk is missing or
// is not of the snapshot that is being received, or ErrInvalidDocument if the snapshot is invalid.
func (r *Replica) ApplyChunk(chunk SnapshotChunk) (changed bool, err error) {
	if chunk.Version.Compare(r.state.Version) <= 0 {
		return false, nil
	}
	if chunk.Index == 0 {
		r.DiscardChunks()
	}
	if !r.expectsChunk(chunk) {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: received chunk %d of version %s", ErrGap, chunk.Index, chunk.Version)
	}
	r.chunkedEntries += len(chunk.Entries)
	// The limit of the index also bounds the number of chunks that contain no entries.
	if r.chunkedEntries > endpoint.MaxEntries || chunk.Index > endpoint.MaxEntries {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: rooms: more than %d entries or chunks", ErrInvalidDocument, endpoint.MaxEntries)
	}
	r.chunks = append(r.chunks, chunk)
	if !chunk.Last {
		return false, nil
	}
	document := Document{Discovery: chunk.Discovery, Endpoints: make([]endpoint.Entry, 0, r.chunkedEntries)}
	for _, received := range r.chunks {
		document.Endpoints = append(document.Endpoints, received.Entries...)
	}
	r.DiscardChunks()
	return true, r.installSnapshot(State{chunk.Version, document})
}

// expectsChunk reports whether a chunk is the next one of the snapshot that is being received.
func (r *Replica) expectsChunk(chunk SnapshotChunk) bool {
	if chunk.Index != len(r.chunks) {
		return false
	}
	if chunk.Index == 0 {
		return true
	}
	first := r.chunks[0]
	return chunk.Version == first.Version && chunk.Discovery == first.Discovery
}

// DiscardChunks drops the chunks of an incomplete snapshot. A follower calls it when its connection to the
// control-plane server that sent them ends.
func (r *Replica) DiscardChunks() {
	r.chunks = nil
	r.chunkedEntries = 0
}

// installSnapshot validates a state and makes it the current one. It drops the retained changes, because the changes
// between them and this state are missing.
func (r *Replica) installSnapshot(state State) error {
	document, err := state.Document.validate()
	if err == nil {
		err = document.canReplace(r.state.Document)
	}
	if err != nil {
		return fmt.Errorf("%w: version %s: %w", ErrInvalidDocument, state.Version, err)
	}
	r.state = State{state.Version, document}
	r.nameByAddress = nil
	r.dropRetained()
	return nil
}
