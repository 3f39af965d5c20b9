package controlplane

import (
	"context"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// saveInterval is the least time between two writes of the state file.
const saveInterval = time.Second

// Persister saves the latest state in the background, so that a slow disk does not delay replication.
type Persister struct {
	store  *Store
	latest chan replica.State // holds the latest state that is not saved yet
}

// NewPersister returns a persister that writes to a store.
func NewPersister(store *Store) *Persister {
	return &Persister{store: store, latest: make(chan replica.State, 1)}
}

// Enqueue schedules a state to be saved, in place of an earlier one that is still waiting. It does not block.
// It must not be called concurrently.
func (p *Persister) Enqueue(state replica.State) {
	select {
	case <-p.latest: // superseded
	default:
	}
	p.latest <- state
}

// Run saves states until ctx ends, and then the one that is still waiting.
func (p *Persister) Run(ctx context.Context) {
	for {
		select {
		case state := <-p.latest:
			p.save(state)
		case <-ctx.Done():
			p.flush()
			return
		}
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
		}
	}
}

// flush saves the state that is still waiting, if there is one.
func (p *Persister) flush() {
	select {
	case state := <-p.latest:
		p.save(state)
	default:
	}
}

func (p *Persister) save(state replica.State) {
	if err := p.store.Save(state); err != nil {
		p.store.log.WithError(err).Error("control: the state could not be saved, a restart will request a snapshot")
	}
}
