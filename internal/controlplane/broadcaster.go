package controlplane

import (
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// Broadcaster holds a replica and notifies the goroutines that serve followers when the replica's state changes.
// It is safe for concurrent use.
type Broadcaster struct {
	mu        sync.Mutex // guards all fields
	replica   *replica.Replica
	changed   chan struct{} // closed when the state changes, and then replaced
	leaderAge func(now time.Time) time.Duration
}

// NewBroadcaster returns a broadcaster with an initial state. retainsChanges must be true if the broadcaster serves
// followers.
func NewBroadcaster(state replica.State, retainsChanges bool) *Broadcaster {
	return &Broadcaster{
		replica:   replica.New(state, retainsChanges),
		changed:   make(chan struct{}),
		leaderAge: func(time.Time) time.Duration { return 0 },
	}
}

// State returns the current state.
func (b *Broadcaster) State() replica.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replica.State()
}

// setLeaderAge sets the function that returns the time since the last contact to the leader. The leader's own
// broadcaster keeps the initial function, which always returns 0.
func (b *Broadcaster) setLeaderAge(leaderAge func(now time.Time) time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaderAge = leaderAge
}

// currentLeaderAge returns the time since the last contact to the leader.
func (b *Broadcaster) currentLeaderAge() time.Duration {
	b.mu.Lock()
	leaderAge := b.leaderAge
	b.mu.Unlock()
	// The mutex must not be held here. Follower.leaderAge locks the follower's mutex, and the follower calls State
	// while it holds that mutex: the two would deadlock.
	return leaderAge(time.Now())
}

// applyChanges applies changes to the replica and notifies the goroutines that serve followers. It returns the
// resulting state and whether it has changed.
func (b *Broadcaster) applyChanges(changes []replica.Change) (state replica.State, changed bool, err error) {
	return b.update(func(r *replica.Replica) (bool, error) { return r.ApplyChanges(changes) })
}

// applyChunk adds a snapshot chunk to the replica. When the snapshot is complete, it notifies the goroutines that
// serve followers. It returns the resulting state and whether it has changed.
func (b *Broadcaster) applyChunk(chunk replica.SnapshotChunk) (state replica.State, changed bool, err error) {
	return b.update(func(r *replica.Replica) (bool, error) { return r.ApplyChunk(chunk) })
}

// update calls apply with the replica, and notifies the goroutines that serve followers if apply reports a change.
func (b *Broadcaster) update(apply func(*replica.Replica) (bool, error)) (replica.State, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed, err := apply(b.replica)
	if err != nil {
		return b.replica.State(), false, err
	}
	if changed {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	return b.replica.State(), changed, nil
}

// discardChunks drops the chunks of an incomplete snapshot; see replica.Replica.DiscardChunks.
func (b *Broadcaster) discardChunks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replica.DiscardChunks()
}

// propose validates a document as the next version; see replica.Replica.Propose.
func (b *Broadcaster) propose(document replica.Document, term uint64) (*replica.Change, replica.State, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replica.Propose(document, term)
}

// observeFollower records a follower's version and reports whether it is newer than the current one; see
// replica.Replica.ObserveFollower.
func (b *Broadcaster) observeFollower(version replica.Version) (newer bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replica.ObserveFollower(version)
}

// pendingUpdate contains the changes that a follower has to receive next, or the state to send as a snapshot. A
// follower that is up to date has to receive neither.
type pendingUpdate struct {
	state         replica.State    // the current state
	changes       []replica.Change // the next changes to send; see replica.Replica.ChangesSince
	needsSnapshot bool             // a snapshot of state has to be sent instead of changes
	nextChange    <-chan struct{}  // closed when the state changes again
}

// updateSince returns the pending update for a follower at the given version.
func (b *Broadcaster) updateSince(version replica.Version) pendingUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes, needsSnapshot := b.replica.ChangesSince(version)
	return pendingUpdate{
		state:         b.replica.State(),
		changes:       changes,
		needsSnapshot: needsSnapshot,
		nextChange:    b.changed,
	}
}
