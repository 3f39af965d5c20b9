package core

import (
	"errors"
	"time"
)

// The management protocol sends the texts of these errors to its clients.
var (
	// ErrBusy means that the event loop did not execute a call in time.
	ErrBusy = errors.New("busy")
	// ErrStopping means that the process is stopping.
	ErrStopping = errors.New("stopping")
)

// ServiceState says whether this process serves clients.
type ServiceState uint8

// The service states.
const (
	// Starting means that the process waits for its first endpoint list.
	Starting ServiceState = iota
	// Serving means that the process accepts clients.
	Serving
	// LameDuck means that the process moves its clients to other balancers, until LeaveLameDuck is called.
	LameDuck
	// Stopping means that the process is draining and will exit. This state is final.
	Stopping
)

// String returns the state's name, as the management protocol and logs show it.
func (s ServiceState) String() string {
	return [...]string{"starting", "serving", "lame duck", "stopping"}[s]
}

// ServiceState returns the state of the latest published snapshot. It never waits for the event loop.
func (e *Engine) ServiceState() ServiceState { return e.snapshot.Load().Service }

// setServiceState changes the state and publishes it immediately.
func (e *Engine) setServiceState(s ServiceState) {
	e.service = s
	e.cfg.Log("service state: " + s.String())
	e.publish()
	if s == Serving {
		// This must follow publish: a goroutine that waits for Ready must then read the state Serving.
		e.readyOnce.Do(func() { close(e.ready) })
	}
}

// Ready returns a channel that is closed when the state becomes Serving for the first time.
func (e *Engine) Ready() <-chan struct{} { return e.ready }

// AwaitingFirstList reports whether clients have to wait for the first endpoint list. It is always false unless
// Config.ListPushed is set.
func (e *Engine) AwaitingFirstList() bool { return e.cfg.ListPushed && e.ServiceState() == Starting }

// SkipListWait ends state Starting before an endpoint list has arrived. It is called if the previous process has
// ended, because then no process serves clients until this one does.
func (e *Engine) SkipListWait() { e.post(e.finishStarting) }

// finishStarting changes the state from Starting to Serving.
func (e *Engine) finishStarting() {
	if e.service == Starting {
		e.setServiceState(Serving)
	}
}

// SetMaxClients changes Config.MaxClients.
func (e *Engine) SetMaxClients(maxClients int) {
	e.post(func() { e.cfg.MaxClients = maxClients })
}

// SetConfigGeneration sets the number of the configuration in force, which snapshots contain as Generation.
func (e *Engine) SetConfigGeneration(generation uint64) {
	e.post(func() { e.generation = generation })
}

// CurrentSnapshot returns a snapshot of the current state, or the latest published one if the event loop does not
// answer within the given time.
func (e *Engine) CurrentSnapshot(within time.Duration) *Snapshot {
	_ = e.await(within, e.publish) // after an error, the latest published snapshot is returned
	return e.snapshot.Load()
}
