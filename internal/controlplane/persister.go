package controlplane

import (
	"context"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// saveInterval is the minimum time between two writes of the state file. Only the last write, before Run returns, may
// follow earlier.
const saveInterval = time.Second

// Persister saves the latest state to a Store in the background, so that a slow disk does not delay replication.
type Persister struct {
	store  *Store
	latest chan replica.State // holds the latest state until Run takes it to save it
}

// NewPersister returns a persister that writes to a store.
func NewPersister(store *Store) *Persister {
	return &Persister{store: store, latest: make(chan replica.State, 1)}
}

// Enqueue schedules a state to be saved. It replaces a state that is still pending. It does not block. It must not be
// called concurrently.
func (p *Persister) Enqueue(state replica.State) {
	select {
	case <-p.latest: // superseded
	default:
	}
	p.latest <- state
}

// Run saves states until ctx ends. Before it returns, it saves the pending state, if any.
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

// flush saves the pending state, if any.
func (p *Persister) flush() {
	select {
	case state := <-p.latest:
		p.save(state)
	default:
	}
}

func (p *Persister) save(state replica.State) {
	if err := p.store.Save(state); err != nil {
		p.store.log.WithError(err).Error("control: the state could not be saved, a restart would load an older one or none")
	}
}
