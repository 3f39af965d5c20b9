package core

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// detailedRetention is how long the last detailed snapshot is kept after its creation.
const detailedRetention = 10 * time.Second

// detailedSnapshot is a snapshot with an entry for each server.
type detailedSnapshot struct {
	snapshot  *Snapshot
	createdAt time.Duration
	// sortOnce sorts the entries for the first reader, in its goroutine, to spare the event loop that work.
	sortOnce sync.Once
}

// DetailedSnapshot returns a snapshot with an entry for each server, at most snapshotInterval old. If the event loop
// does not answer within the given time, it returns the latest detailed snapshot, or a snapshot without entries if
// there is none. The cost of a detailed snapshot grows with the number of servers. For that reason it is taken only
// on request, and all requests within snapshotInterval share one.
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
	d.sortOnce.Do(func() {
		slices.SortFunc(d.snapshot.Upstreams, func(a, b UpstreamStats) int { return cmp.Compare(a.ID, b.ID) })
	})
	return d.snapshot
}

// publishDetailed publishes a detailed snapshot, unless the latest one is recent enough.
func (e *Engine) publishDetailed() {
	if d := e.detailedSnapshot.Load(); d != nil && e.now-d.createdAt < snapshotInterval {
		return
	}
	e.publish()
	s := *e.snapshot.Load()
	s.Upstreams = make([]UpstreamStats, 0, len(e.upstreams.byID))
	for _, u := range e.upstreams.byID {
		s.Upstreams = append(s.Upstreams, UpstreamStats{
			Upstream:    u.Upstream,
			Zone:        u.zone,
			State:       u.state,
			Connections: u.connections,
			Attempts:    u.attempts,
			Load:        u.load,
		})
	}
	e.detailedSnapshot.Store(&detailedSnapshot{snapshot: &s, createdAt: e.now})
}
