package replica

import (
	"errors"
	"fmt"
	"slices"

	"cottonplank/internal/discovery/endpoint"
)

// MaxMessageBytes limits the encoded size of a message. It exceeds maxBatchBytes, because a snapshot chunk may be
// longer than maxBatchBytes by one entry and each message has some overhead.
const MaxMessageBytes = 64 << 10

const (
	maxBatchBytes      = 32 << 10 // target size of the changes or of the snapshot chunk in one message
	maxRetainedBytes   = 4 << 20  // total size of the changes that a control-plane server retains
	maxRetainedChanges = 8192     // number of changes that a control-plane server retains
)

// Errors for which a follower rejects a change or a snapshot chunk. It then connects to another control-plane
// server.
var (
	ErrGap             = errors.New("a preceding change or snapshot chunk is missing")
	ErrInvalidDocument = errors.New("invalid document")
)

// Replica is one process's copy of the document. A replica that serves followers also retains the latest
// changes, so that a follower that is a few versions behind needs no full snapshot. A Replica is not safe for
// concurrent use.
type Replica struct {
	state          State
	retainsChanges bool

	// retained holds consecutive changes. The To version of the last one is the version of state. It is empty if
	// the change to that version was not retained.
	retained []Change

	// retainedBytes is the sum of the retained changes' maxEncodedBytes.
	retainedBytes int

	// newestFollower is the newest version that a follower reported while it was ahead of this replica. It is zero
	// if none was ahead.
	newestFollower Version

	// nameByAddress maps the addresses of state's entries to their names. It is nil until changes are validated, and
	// is reset to nil after a snapshot or a rejected change.
	nameByAddress map[string]string

	// chunks holds the chunks of an incomplete snapshot that have been received so far.
	chunks []SnapshotChunk

	// chunkedEntries is the total number of entries in chunks.
	chunkedEntries int
}

// New returns a replica with an initial state. retainsChanges must be true if the replica serves followers.
func New(state State, retainsChanges bool) *Replica {
	return &Replica{state: state, retainsChanges: retainsChanges}
}

// State returns the current state.
func (r *Replica) State() State { return r.state }

// Propose validates a document and assigns it the next number of a term, or number 1 if the term is new. It returns
// the change that leads to that version and the resulting state, without applying them. If both the document and
// the term are the current ones, the change is nil.
//
// Only the leader calls Propose. It must save the new state before it applies the change. Otherwise a leader
// that restarts could reuse a version, which a follower may have received, for another document.
func (r *Replica) Propose(document Document, term uint64) (*Change, State, error) {
	if err := r.validateTerm(term); err != nil {
		return nil, State{}, err
	}
	document.Endpoints = slices.Clone(document.Endpoints) // validate sorts in place
	document, err := document.validate()
	if err != nil {
		return nil, State{}, err
	}
	if err := document.canReplace(r.state.Document); err != nil {
		return nil, State{}, err
	}
	next := State{Version{Term: term, Number: 1}, document}
	if term == r.state.Version.Term {
		next.Version.Number = r.state.Version.Number + 1
	}
	change, differs := diff(r.state, next)
	if !differs && term == r.state.Version.Term {
		return nil, r.state, nil
	}
	return &change, next, nil
}

// validateTerm returns an error if a new version in the term could be equal to or older than a version that was
// published before.
func (r *Replica) validateTerm(term uint64) error {
	if r.newestFollower.Compare(r.state.Version) > 0 && term <= r.newestFollower.Term {
		return fmt.Errorf("term: %d must be above the term of version %s, which a follower has and this server lacks",
			term, r.newestFollower)
	}
	if term < r.state.Version.Term {
		return fmt.Errorf("term: %d is below the term of the current version %s", term, r.state.Version)
	}
	return nil
}

// ObserveFollower records the version of a follower and reports whether it is newer than the replica's own.
// If the replica is the leader's, a newer version means that the leader's state was lost. Propose then returns an
// error until the term is raised, because it could publish another document under the follower's version.
func (r *Replica) ObserveFollower(version Version) (newer bool) {
	if version.Compare(r.state.Version) <= 0 {
		return false
	}
	if version.Compare(r.newestFollower) > 0 {
		r.newestFollower = version
	}
	return true
}

// ChangesSince returns the next changes for a follower at the given version, limited to one message.
// If those changes are not retained, it returns no changes and needsSnapshot is true. For a follower that is up
// to date or ahead, it returns no changes and needsSnapshot is false.
func (r *Replica) ChangesSince(version Version) (changes []Change, needsSnapshot bool) {
	if version.Compare(r.state.Version) >= 0 {
		return nil, false
	}
	compareFrom := func(change Change, version Version) int { return change.From.Compare(version) }
	first, found := slices.BinarySearchFunc(r.retained, version, compareFrom)
	if !found {
		return nil, true
	}
	size := 0
	for i, change := range r.retained[first:] {
		size += change.maxEncodedBytes()
		if i > 0 && size > maxBatchBytes {
			return r.retained[first : first+i : first+i], false
		}
	}
	return r.retained[first:len(r.retained):len(r.retained)], false
}

// ApplyChanges applies consecutive changes, all or none, and reports whether the state has changed. It skips
// changes whose To version is not newer than the replica's. It returns an error that wraps ErrGap if a change
// is missing, or ErrInvalidDocument if the resulting document is invalid.
func (r *Replica) ApplyChanges(changes []Change) (changed bool, err error) {
	next := r.state
	var applied []Change
	for _, change := range changes {
		if change.To.Compare(next.Version) <= 0 {
			continue
		}
		if change.From != next.Version {
			return false, fmt.Errorf("%w: received a change from version %s to %s, expected one from %s",
				ErrGap, change.From, change.To, next.Version)
		}
		next = State{change.To, change.apply(next.Document)}
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return false, nil
	}
	if err := r.validateChanges(next.Document, applied); err != nil {
		r.nameByAddress = nil // may have been updated for some of the entries
		return false, fmt.Errorf("%w: version %s: %w", ErrInvalidDocument, next.Version, err)
	}
	r.state = next
	r.DiscardChunks()
	r.retain(applied)
	return true, nil
}

// retain adds changes to those retained for followers and drops the oldest ones beyond the limits.
func (r *Replica) retain(changes []Change) {
	if !r.retainsChanges {
		return
	}
	for _, change := range changes {
		size := change.maxEncodedBytes()
		if size > maxBatchBytes { // too large for one message: followers at older versions need a snapshot
			r.dropRetained()
			continue
		}
		r.retained = append(r.retained, change)
		r.retainedBytes += size
	}
	excess := 0
	for r.retainedBytes > maxRetainedBytes || len(r.retained)-excess > maxRetainedChanges {
		r.retainedBytes -= r.retained[excess].maxEncodedBytes()
		excess++
	}
	if excess > 0 {
		r.retained = slices.Clone(r.retained[excess:])
	}
}

func (r *Replica) dropRetained() {
	r.retained = nil
	r.retainedBytes = 0
}

// validateChanges validates the document that results from changes, and updates nameByAddress. It checks only the
// changed entries, because the list may be long and the unchanged entries are already validated.
func (r *Replica) validateChanges(document Document, changes []Change) error {
	previous := r.state.Document
	// The first entry represents the list, because validate requires an entry or a discovery address.
	firstEntry := document.Endpoints[:min(len(document.Endpoints), 1)]
	if _, err := (Document{Discovery: document.Discovery, Endpoints: firstEntry}).validate(); err != nil {
		return err
	}
	if err := document.canReplace(previous); err != nil {
		return err
	}
	if len(document.Endpoints) > endpoint.MaxEntries {
		return fmt.Errorf("rooms: %d entries, expected 1 to %d", len(document.Endpoints), endpoint.MaxEntries)
	}
	touched, err := touchedNames(changes)
	if err != nil {
		return err
	}
	r.buildAddressIndex()
	// All old addresses are removed before a new one is added, because two entries may swap their addresses.
	for name := range touched {
		if old, ok := previous.find(name); ok {
			delete(r.nameByAddress, old.Address)
		}
	}
	for name := range touched {
		entry, ok := document.find(name)
		if !ok {
			continue
		}
		if err := r.indexEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// touchedNames returns the names of the entries that changes upsert or remove. It returns an error if a single
// change upserts the same entry twice.
func touchedNames(changes []Change) (map[string]bool, error) {
	touched := map[string]bool{}
	for _, change := range changes {
		upserted := map[string]bool{}
		for _, entry := range change.Upserted {
			if upserted[entry.Name] {
				return nil, fmt.Errorf("rooms: duplicate name %q", entry.Name)
			}
			upserted[entry.Name] = true
			touched[entry.Name] = true
		}
		for _, name := range change.Removed {
			touched[name] = true
		}
	}
	return touched, nil
}

// buildAddressIndex creates nameByAddress from the current state if it does not exist.
func (r *Replica) buildAddressIndex() {
	if r.nameByAddress != nil {
		return
	}
	entries := r.state.Document.Endpoints
	r.nameByAddress = make(map[string]string, len(entries))
	for _, entry := range entries {
		r.nameByAddress[entry.Address] = entry.Name
	}
}

// indexEntry validates an entry and adds it to nameByAddress.
func (r *Replica) indexEntry(entry endpoint.Entry) error {
	if err := errors.Join(validateFieldLengths(entry), entry.Validate()); err != nil {
		return fmt.Errorf("rooms: %q: %w", entry.Name, err)
	}
	if other, ok := r.nameByAddress[entry.Address]; ok {
		return fmt.Errorf("rooms: %q: address: %q is already used by %q", entry.Name, entry.Address, other)
	}
	r.nameByAddress[entry.Address] = entry.Name
	return nil
}
