package core

import (
	"errors"
	"time"
)

var errBusy = errors.New("busy")

// ServiceState is what this process is ready for. The module's actor owns it; PING, the drains and the SNMP agent follow it.
type ServiceState uint8

const (
	Starting ServiceState = iota // takes over from a process that serves, and has no fresh list yet
	Serving
	LameDuck // sends its clients away, until it is called back
	Stopping // a planned stop: cannot be undone
)

func (s ServiceState) String() string {
	return [...]string{"starting", "serving", "lame duck", "stopping"}[s]
}

// ServiceState tells the state as it is; it is published with each change, so that a full mailbox does not delay it.
func (e *Engine) ServiceState() ServiceState { return e.snapshot.Load().Service }

// setServiceState changes the state and shows it at once.
func (e *Engine) setServiceState(s ServiceState) {
	e.service = s
	e.cfg.Log("service state: " + s.String())
	e.publish()
	if s == Serving {
		e.readyOnce.Do(func() { close(e.ready) }) // after it is shown
	}
}

// SetConfigGeneration tells that a configuration was taken over, and which it is.
func (e *Engine) SetConfigGeneration(n uint64) { e.post(func() { e.generation = n }) }

// Ready is closed once this process has been ready to serve.
func (e *Engine) Ready() <-chan struct{} { return e.ready }

// AwaitsList tells whether clients are to wait for the first list: where lists are pushed, what it says counts already.
func (e *Engine) AwaitsList() bool { return e.cfg.ListPushed && e.ServiceState() == Starting }

// SkipListWait ends the start without a fresh list: the process that this one was to take over from has ended.
func (e *Engine) SkipListWait() { e.post(e.finishStarting) }

// SetMaxClients changes how many requests may wait and connections may stand, as Config.MaxChannels does at the start.
func (e *Engine) SetMaxClients(maxChannels int) { e.post(func() { e.cfg.MaxClients = maxChannels }) }

// finishStarting ends the start: discovery has answered, or does not.
func (e *Engine) finishStarting() {
	if e.service == Starting {
		e.setServiceState(Serving)
	}
}

// await has the module's actor run a turn and waits for it, but not longer than it is told. A turn that waits in
// the mailbox by then still runs.
func (e *Engine) await(within time.Duration, turn func()) error {
	ran := make(chan struct{})
	late := time.After(within)
	select {
	case e.inbox <- func() { turn(); close(ran) }:
	case <-e.done:
		return errStopping
	case <-late:
		return errBusy
	}
	select {
	case <-ran:
		return nil
	case <-e.done:
		return errStopping
	case <-late:
		return errBusy
	}
}

// CurrentSnapshot returns a snapshot of now, or the latest published one where the actor is busy for longer than within.
func (e *Engine) CurrentSnapshot(within time.Duration) *Snapshot {
	_ = e.await(within, e.publish)
	return e.snapshot.Load()
}
