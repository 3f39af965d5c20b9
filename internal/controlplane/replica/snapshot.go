package replica

import (
	"fmt"

	"cottonplank/internal/discovery/endpoint"
)

// SnapshotChunk is a part of a full snapshot of a state. The chunks of a snapshot are sent in the order of
// their indexes, over one connection.
type SnapshotChunk struct {
	Version   Version          `cbor:"1,keyasint"`
	Index     int              `cbor:"2,keyasint"` // from 0 on
	Last      bool             `cbor:"3,keyasint,omitempty"`
	Discovery string           `cbor:"4,keyasint,omitempty"` // the document's, in each chunk
	Entries   []endpoint.Entry `cbor:"5,keyasint,omitempty"`
}

// Chunks splits a full snapshot of the state into chunks that each fit into one message.
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

// ApplyChunk adds a chunk to the snapshot being received. With the last chunk it installs the snapshot, and
// reports whether the state has changed. It ignores snapshots that are not newer than the current state. It
// returns an error that wraps ErrGap if a chunk is missing, or ErrInvalidDocument if the snapshot is invalid.
func (r *Replica) ApplyChunk(chunk SnapshotChunk) (changed bool, err error) {
	if chunk.Version.Compare(r.state.Version) <= 0 {
		return false, nil
	}
	if chunk.Index == 0 {
		r.DiscardChunks()
	}
	if !r.expectsChunk(chunk) {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: chunk %d of version %s", ErrGap, chunk.Index, chunk.Version)
	}
	r.chunkedEntries += len(chunk.Entries)
	if r.chunkedEntries > endpoint.MaxEntries || chunk.Index > endpoint.MaxEntries {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: over %d room servers", ErrInvalidDocument, endpoint.MaxEntries)
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

// expectsChunk reports whether a chunk continues the snapshot being received.
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

// DiscardChunks drops the chunks of an incomplete snapshot. A follower calls it when it leaves the server
// that sent them.
func (r *Replica) DiscardChunks() {
	r.chunks = nil
	r.chunkedEntries = 0
}

// installSnapshot validates a state and makes it the current one. The retained changes do not lead to it and
// are dropped.
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
