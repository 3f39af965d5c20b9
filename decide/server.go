package decide

import (
	"math"
	"slices"
	"time"
)

// Bounds of what a load report may say.
const (
	// maxReportedLoad is the largest load that is believed. A larger one would make the balancer migrate all
	// connections off the server, or make reservations that never fit.
	maxReportedLoad = 100
	// minReportedConnections is how many connections a report must show before the load of one connection is computed
	// from it.
	minReportedConnections = 4
	// maxReportedConnections is how many it may show: no process has more file descriptors.
	maxReportedConnections = 1 << 20
)

// recordRetention is how long the records of removed servers and of clients are kept.
const recordRetention = 60 * time.Second

// server is what this balancer knows of one server.
type server struct {
	Server
	shuffledOrder       uint64          // orders the servers, differently at each balancer
	entry               indexEntry      // position in the server index
	notReadySince       time.Duration   // when discovery reported it draining or removed
	load                float64         // reportedLoad plus the reservations made since
	reportedLoad        float64         // load in the latest report
	reportedAt          time.Duration   // when the latest report came; 0: never
	loadPerConnection   float64         // load of one connection by the latest report that showed it; 0: unknown
	placementsOnReport  int             // placements made since the latest report
	probedOnDemandAt    time.Duration   // when it was last probed ahead of the steady probes
	consecutiveFailures int             // failures since the last success
	ejectedUntil        time.Duration   // end of its ejection
	slowUntil           time.Duration   // how long a report of slow messages counts
	slowStartQuota      float64         // placements that this balancer may still make while the server warms up
	slowStartQuotaUntil time.Duration   // when the next quota is drawn
	groupDemand         decayingCounter // requests that preferred it while it warmed up
	reservations        []reservation   // placements that a report may not show yet, oldest first
	migratedAt          time.Duration   // when connections were last migrated off it
	connections         []*request      // established connections of this balancer
	connectionsByGroup  map[string]int  // how many of them each group has
}

// recordReport stores the load of a report and, where the report shows enough connections, the load of one of them.
func (s *server) recordReport(report LoadReport) {
	s.reportedLoad = report.Load
	if report.Connections >= minReportedConnections && report.Connections <= maxReportedConnections {
		s.loadPerConnection = report.Load / report.Connections
	}
}

// removeConnection takes a connection that has ended out of the server's list.
func (s *server) removeConnection(r *request) {
	s.connections = removeValue(s.connections, r)
	if s.connectionsByGroup[r.Group]--; s.connectionsByGroup[r.Group] == 0 {
		delete(s.connectionsByGroup, r.Group)
	}
}

// addConnection stores an established connection at its server.
func (b *Balancer) addConnection(r *request) {
	s := r.server
	s.connections = append(s.connections, r)
	if s.connectionsByGroup == nil {
		s.connectionsByGroup = map[string]int{}
	}
	s.connectionsByGroup[r.Group]++
	b.reindex(s)
}

// serverRecord returns the record of a server. A new one is put into the index.
func (b *Balancer) serverRecord(id ServerID) *server {
	s := b.unindexedRecord(id)
	if s.entry.zone == nil {
		b.reindex(s)
	}
	return s
}

// unindexedRecord returns the record of a server and leaves it to the caller to put a new one into the index.
func (b *Balancer) unindexedRecord(id ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{
			Server:        Server{ID: id, State: Removed},
			shuffledOrder: mix(b.settings.Seed, uint64(id)),
		}
		b.servers[id] = s
	}
	return s
}

func (b *Balancer) setState(s *server, state State) {
	if state != Ready && s.State == Ready {
		s.notReadySince = b.now
	}
	s.State = state
}

// hasRecentReport reports whether the server's latest load report still counts.
func (b *Balancer) hasRecentReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

// saturated reports whether a server has no capacity left. A server above its capacity serves all of its connections
// badly, so new connections wait rather than go there.
func (b *Balancer) saturated(s *server) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.thresholds.saturation
}

// removeValue deletes every element of list that equals value, in place.
func removeValue[T comparable](list []T, value T) []T {
	return slices.DeleteFunc(list, func(element T) bool { return element == value })
}

// firstMatching returns the first server of a list that matches, or nil.
func firstMatching(list []*server, matches func(*server) bool) *server {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		return list[i]
	}
	return nil
}

// leastLoaded returns the matching server with the least load over capacity, or nil. It tests only servers that are
// lighter than the best one so far.
func leastLoaded(list []*server, matches func(*server) bool) (best *server) {
	lowest := math.Inf(1)
	for _, s := range list {
		if s.load < lowest && matches(s) {
			best, lowest = s, s.load
		}
	}
	return best
}
