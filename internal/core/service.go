package core

import (
	"errors"
	"time"
)

var errBusy = errors.New("busy")

// Service is what this process is ready for. The module's actor owns it; PING, the drains and the SNMP agent follow it.
type Service uint8

const (
	Starting Service = iota // takes over from a process that serves, and has no fresh list yet
	Serving
	LameDuck // sends its clients away, until it is called back
	Stopping // a planned stop: cannot be undone
)

func (s Service) String() string {
	return [...]string{"starting", "serving", "lame duck", "stopping"}[s]
}

// Service tells the state as it is; it is published with each change, so that a full mailbox does not delay it.
func (m *Module) Service() Service { return m.snapshot.Load().Service }

// enter changes the state and shows it at once.
func (m *Module) enter(s Service) {
	m.service = s
	m.cfg.Log("service state: " + s.String())
	m.publish()
	if s == Serving {
		m.once.Do(func() { close(m.ready) }) // after it is shown
	}
}

// Generation tells that a configuration was taken over, and which it is.
func (m *Module) Generation(n uint64) { m.post(func() { m.generation = n }) }

// Ready is closed once this process has been ready to serve.
func (m *Module) Ready() <-chan struct{} { return m.ready }

// AwaitsList tells whether clients are to wait for the first list: where lists are pushed, what it says counts already.
func (m *Module) AwaitsList() bool { return m.cfg.Pushed && m.Service() == Starting }

// Begin ends the start without a fresh list: the process that this one was to take over from has ended.
func (m *Module) Begin() { m.post(m.started) }

// Bound changes how many requests may wait and connections may stand, as Config.MaxChannels does at the start.
func (m *Module) Bound(maxChannels int) { m.post(func() { m.cfg.MaxChannels = maxChannels }) }

// started ends the start: discovery has answered, or does not.
func (m *Module) started() {
	if m.service == Starting {
		m.enter(Serving)
	}
}

// await has the module's actor run a turn and waits for it, but not longer than it is told. A turn that waits in
// the mailbox by then still runs.
func (m *Module) await(within time.Duration, turn func()) error {
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

// Fresh returns a snapshot of now, or the latest published one where the actor is busy for longer than within.
func (m *Module) Fresh(within time.Duration) *Snapshot {
	_ = m.await(within, m.publish)
	return m.snapshot.Load()
}
