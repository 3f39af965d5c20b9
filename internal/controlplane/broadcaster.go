package controlplane

import (
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// Broadcaster holds a replica and notifies the goroutines that serve it when it changes. It is safe for
// concurrent use.
type Broadcaster struct {
	mu        sync.Mutex // guards all fields
	replica   *replica.Replica
	changed   chan struct{} // closed when the state changes
	leaderAge func(now time.Time) time.Duration
}

// NewBroadcaster returns a broadcaster with a state. If the state is served to followers, it has to retain
// changes.
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

// setLeaderAge sets the function that returns the time since the last contact to the leader. Without it the
// broadcaster is the leader's, and the time is 0.
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
	return leaderAge(time.Now()) // without the mutex: a Follower calls State while it holds its own
}

// applyChanges applies changes to the replica and wakes those that serve it. It returns the state after them.
func (b *Broadcaster) applyChanges(changes []replica.Change) (state replica.State, changed bool, err error) {
	return b.update(func(r *replica.Replica) (bool, error) { return r.ApplyChanges(changes) })
}

// applyChunk adds a snapshot chunk to the replica and wakes those that serve it when the snapshot is
// complete. It returns the state after it.
func (b *Broadcaster) applyChunk(chunk replica.SnapshotChunk) (state replica.State, changed bool, err error) {
	return b.update(func(r *replica.Replica) (bool, error) { return r.ApplyChunk(chunk) })
}

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

// discardChunks drops the chunks of an incomplete snapshot.
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

// observeFollower records a follower's version and reports whether it is newer than the current one.
func (b *Broadcaster) observeFollower(version replica.Version) (newer bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replica.ObserveFollower(version)
}

// pendingUpdate is what a follower is missing.
type pendingUpdate struct {
	state         replica.State    // the current one
	changes       []replica.Change // the next ones to send; see replica.Replica.ChangesSince
	needsSnapshot bool             // a snapshot of state has to be sent instead
	nextChange    <-chan struct{}  // closed when the state changes again
}

// updateSince returns what a follower at a version is missing.
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
