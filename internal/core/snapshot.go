package core

import (
	"maps"
	"slices"
	"time"

	"cottonplank/decide"
)

// snapshotInterval is the interval at which snapshots are published.
const snapshotInterval = 250 * time.Millisecond

// Snapshot is the state of an Engine at one moment. It is immutable once it is published.
type Snapshot struct {
	// ClassCounters are the totals of all classes; their Failed also includes Counters.Malformed.
	ClassCounters
	Counters
	// Classes are indexed like decide.Settings.Classes.
	Classes []ClassCounters
	Service ServiceState
	// Generation is the number of the configuration in force; 0 if it was never set.
	Generation uint64
	// SessionsEnabled says that sessions can be resumed with a token.
	SessionsEnabled bool
	// At is when the snapshot was taken.
	At time.Time
	// Started is when the engine was created.
	Started time.Time
	// ListUpdated is when the last snapshot or delta of the endpoint list arrived, even if it changed nothing; the
	// start if none has arrived.
	ListUpdated time.Time
	// Clients counts open client connections.
	Clients int
	// Waiting counts pending requests, which have got no answer yet.
	Waiting int
	// Established counts established connections.
	Established int
	// Listed counts the servers of the endpoint list.
	Listed int
	// Ejected counts the listed servers that get no new requests because they are draining or ejected.
	Ejected int
	// Upstreams has an entry for each server, sorted by ID, in a detailed snapshot; otherwise it is nil.
	Upstreams []UpstreamStats
}

// UpstreamStats describes one server in a detailed snapshot.
type UpstreamStats struct {
	Upstream
	Zone  string
	State decide.State
	// Connections counts the established connections.
	Connections int
	// Attempts counts the attempts since the server was added to the table.
	Attempts uint64
	// Load is the load in the latest probe result that has one, as a fraction of the capacity; below 0 if there was none.
	Load float64
}

// Snapshot returns the latest published snapshot. It never waits for the event loop.
func (e *Engine) Snapshot() *Snapshot { return e.snapshot.Load() }

// publishPeriodically publishes a snapshot now and then one per snapshotInterval.
func (e *Engine) publishPeriodically() {
	e.publish()
	e.timers.set(e.now+snapshotInterval, e.publishPeriodically)
}

// publish publishes a snapshot and deletes a detailed snapshot that is older than detailedRetention.
func (e *Engine) publish() {
	s := &Snapshot{
		Counters:        e.statistics.counters,
		Classes:         slices.Clone(e.statistics.classes),
		Service:         e.service,
		Generation:      e.generation,
		SessionsEnabled: e.cfg.StateTimeout > 0,
		At:              e.wallTime(e.now),
		Started:         e.epoch,
		ListUpdated:     e.wallTime(e.discoveryCalls.listUpdated),
		Clients:         len(e.calls.open),
		Waiting:         e.calls.pending,
		Established:     e.calls.established,
		Listed:          e.upstreams.listed,
		Ejected:         e.upstreams.draining + e.countEjected(),
	}
	s.StartedOver = maps.Clone(s.StartedOver)
	s.sumClasses()
	e.snapshot.Store(s)
	if d := e.detailedSnapshot.Load(); d != nil && e.now-d.createdAt > detailedRetention {
		e.detailedSnapshot.Store(nil)
	}
}

// sumClasses sets the totals of all classes.
func (s *Snapshot) sumClasses() {
	for _, class := range s.Classes {
		s.Served += class.Served
		s.Rejected += class.Rejected
		s.Failed += class.Failed
		s.Attempts += class.Attempts
	}
	s.Failed += s.Malformed
}

// noteEjection adds a server to the table of ejected ones if the decision module has ejected it. The module ejects a
// server only while it imports learned state or handles the end of an attempt or a probe at that server, so it is
// sufficient to check after these.
func (e *Engine) noteEjection(id decide.ServerID) {
	if e.balancer.Ejected(id) {
		e.upstreams.ejected[id] = struct{}{}
	}
}

// countEjected counts the ready servers that are ejected now, and deletes ended ejections from the table.
func (e *Engine) countEjected() (n int) {
	for id := range e.upstreams.ejected {
		if !e.balancer.Ejected(id) {
			delete(e.upstreams.ejected, id)
		} else if u := e.upstreams.byID[id]; u != nil && u.state == decide.Ready {
			n++
		}
	}
	return n
}
