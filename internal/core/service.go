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
func (m *Engine) ServiceState() ServiceState { return m.snapshot.Load().Service }

// enter changes the state and shows it at once.
func (m *Engine) enter(s ServiceState) {
	m.service = s
	m.cfg.Log("service state: " + s.String())
	m.publish()
	if s == Serving {
		m.once.Do(func() { close(m.ready) }) // after it is shown
	}
}

// SetConfigGeneration tells that a configuration was taken over, and which it is.
func (m *Engine) SetConfigGeneration(n uint64) { m.post(func() { m.generation = n }) }

// Ready is closed once this process has been ready to serve.
func (m *Engine) Ready() <-chan struct{} { return m.ready }

// AwaitsList tells whether clients are to wait for the first list: where lists are pushed, what it says counts already.
func (m *Engine) AwaitsList() bool { return m.cfg.ListPushed && m.ServiceState() == Starting }

// SkipListWait ends the start without a fresh list: the process that this one was to take over from has ended.
func (m *Engine) SkipListWait() { m.post(m.started) }

// SetMaxClients changes how many requests may wait and connections may stand, as Config.MaxChannels does at the start.
func (m *Engine) SetMaxClients(maxChannels int) { m.post(func() { m.cfg.MaxClients = maxChannels }) }

// started ends the start: discovery has answered, or does not.
func (m *Engine) started() {
	if m.service == Starting {
		m.enter(Serving)
	}
}

// await has the module's actor run a turn and waits for it, but not longer than it is told. A turn that waits in
// the mailbox by then still runs.
func (m *Engine) await(within time.Duration, turn func()) error {
	ran := make(chan struct{})
	late := time.After(within)
	select {
	case m.inbox <- func() { turn(); close(ran) }:
	case <-m.done:
		return errStopping
	case <-late:
		return errBusy
	}
	select {
	case <-ran:
		return nil
	case <-m.done:
		return errStopping
	case <-late:
		return errBusy
	}
}

// CurrentSnapshot returns a snapshot of now, or the latest published one where the actor is busy for longer than within.
func (m *Engine) CurrentSnapshot(within time.Duration) *Snapshot {
	_ = m.await(within, m.publish)
	return m.snapshot.Load()
}
