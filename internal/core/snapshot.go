package core

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"cottonplank/decide"
)

// ClassCounters count what came of the requests of one class since the start.
type ClassCounters struct {
	Served, Rejected, Failed uint64 // final answers; a connection that stands again counts as served
	Attempts                 uint64 // first lines that were written whole to a room server
}

// Counters count since the start.
type Counters struct {
	Malformed          uint64 // first lines that name no class; answered as failed
	Restored           uint64 // connections that were open before the start and stand again
	ClientsLeft        uint64 // clients that left before their answer
	Migrations, Probes uint64
	Shed               uint64 // channels dropped for their descriptor
	Unresponsive       uint64 // standing connections whose server went silent
	ListSnapshots      uint64 // whole lists received
	SessionCounters
}

// SessionCounters count what came of sessions that go on with a token.
type SessionCounters struct {
	TokensIssued   uint64            // tokens
	TokensUnsealed uint64            // tokens that could not be given, as no key seals
	Resumed        uint64            // requests that went on from where their session was
	StartedOver    map[Reason]uint64 // those that could not
}

// UpstreamStats is one room server in a snapshot.
type UpstreamStats struct {
	Upstream
	Zone        string
	State       decide.State
	Connections int
	Attempts    uint64
	Load        float64 // the latest reported load over capacity; below 0: none
}

// Snapshot is the module's state as it was when it was published; nobody changes it afterwards.
type Snapshot struct {
	ClassCounters // of all classes together
	Counters
	Classes         []ClassCounters // by class, as the settings order them
	Service         ServiceState
	Generation      uint64 // of the configuration in force; 0: not told
	SessionsEnabled bool   // sessions go on with a token
	At              time.Time
	Started         time.Time
	ListUpdated     time.Time       // when the list last changed or was confirmed
	Clients         int             // channels
	Waiting         int             // requests without a final answer
	Established     int             // connections that stand
	Listed          int             // room servers in the list
	Ejected         int             // of these, the ones that get nothing new now
	Upstreams       []UpstreamStats // by ID; of a detailed one alone
}

// Snapshot returns the latest published snapshot.
func (e *Engine) Snapshot() *Snapshot { return e.snapshot.Load() }

func (e *Engine) publishPeriodically() {
	e.publish()
	e.timers.set(e.now+snapshotInterval, e.publishPeriodically)
}

func (e *Engine) publish() {
	s := &Snapshot{Counters: e.counters, Classes: slices.Clone(e.classes), Service: e.service, Generation: e.generation, SessionsEnabled: e.cfg.StateTimeout > 0, At: e.wallTime(e.now),
		Started: e.epoch, ListUpdated: e.wallTime(e.listUpdated), Clients: len(e.openCalls), Waiting: e.pendingRequests, Established: e.established}
	s.StartedOver = maps.Clone(s.StartedOver)
	for _, c := range e.classes {
		s.Served += c.Served
		s.Rejected += c.Rejected
		s.Failed += c.Failed
		s.Attempts += c.Attempts
	}
	s.Failed += s.Malformed
	s.Listed, s.Ejected = e.listed, e.draining+e.countEjected()
	e.snapshot.Store(s)
	if d := e.detailedSnapshot.Load(); d != nil && e.now-d.at > detailedRetention {
		e.detailedSnapshot.Store(nil) // nobody asks any more
	}
}

// noteEjection notes that the decision module may leave a room server out from now on. It does so only by what it hears of
// that one, so that the others need no look.
func (e *Engine) noteEjection(id decide.ServerID) {
	if e.balancer.Ejected(id) {
		e.ejectedServers[id] = struct{}{}
	}
}

// countEjected counts the ready room servers that are left out.
func (e *Engine) countEjected() (n int) {
	for id := range e.ejectedServers {
		if !e.balancer.Ejected(id) {
			delete(e.ejectedServers, id)
		} else if s := e.upstreams[id]; s != nil && s.state == decide.Ready {
			n++
		}
	}
	return n
}

// detailedSnapshot is a snapshot with its rows, which the first that reads them sorts: that is not the actor's work.
type detailedSnapshot struct {
	snapshot *Snapshot
	at       time.Duration
	sort     sync.Once
}

// DetailedSnapshot returns a snapshot with a row for each room server, as they were within the last 250 ms. Where the actor is busy
// for longer than within, the rows are the last that were asked for. Only for those who ask are rows made, and not for each:
// they take longer than all else in a snapshot.
func (e *Engine) DetailedSnapshot(within time.Duration) *Snapshot {
	d := e.detailedSnapshot.Load()
	if d == nil || time.Since(d.snapshot.At) >= snapshotInterval {
		if e.await(within, e.publishDetailed) == nil || d == nil {
			d = e.detailedSnapshot.Load()
		}
	}
	if d == nil {
		return e.snapshot.Load()
	}
	d.sort.Do(func() {
		slices.SortFunc(d.snapshot.Upstreams, func(a, b UpstreamStats) int { return cmp.Compare(a.ID, b.ID) })
	})
	return d.snapshot
}

// publishDetailed makes the rows, unless those of another who asked are as good.
func (e *Engine) publishDetailed() {
	if d := e.detailedSnapshot.Load(); d != nil && e.now-d.at < snapshotInterval {
		return
	}
	e.publish()
	s := *e.snapshot.Load()
	s.Upstreams = make([]UpstreamStats, 0, len(e.upstreams))
	for _, sub := range e.upstreams {
		s.Upstreams = append(s.Upstreams, UpstreamStats{sub.Upstream, sub.zone, sub.state, sub.connections, sub.attempts, sub.load})
	}
	e.detailedSnapshot.Store(&detailedSnapshot{snapshot: &s, at: e.now})
}

func (e *Engine) wallTime(at time.Duration) time.Time { return e.epoch.Add(at - clockStart) }
