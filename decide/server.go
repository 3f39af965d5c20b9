package decide

import (
	"math"
	"slices"
	"time"
)

// Bounds of the values of load reports.
const (
	// maxReportedLoad is the largest load that is accepted. With a larger, invalid one, the balancer would migrate nearly
	// all connections off the server, or estimate the load of one connection there so high that the server never has
	// capacity for it.
	maxReportedLoad = 100
	// minReportedConnections is the minimum number of connections at a server, reported or estimated, from which the
	// load of one connection is computed.
	minReportedConnections = 4
	// maxReportedConnections is the largest number of connections in such a report. By default, Linux allows a process
	// no more file descriptors.
	maxReportedConnections = 1 << 20
)

// recordRetention is the age above which the record of a removed server or of a client may be dropped. The age counts
// from the time at which the server stopped being ready, or at which the client's connection ended.
const recordRetention = 60 * time.Second

// server is the record of one server.
type server struct {
	Server
	shuffledOrder       uint64          // sort key of the shuffled order, which differs between balancers
	entry               indexEntry      // the server's data in the server index
	notReadySince       time.Duration   // when it last stopped being ready (was draining or removed); 0: never
	load                float64         // reportedLoad plus the reservations that the report may not include
	reportedLoad        float64         // load in the latest report
	reportedAt          time.Duration   // time of the latest report; 0: none, or it was discarded
	loadPerConnection   float64         // load of one connection, by the latest report that shows it; 0: unknown
	placementsOnReport  int             // placements made since the latest report
	probedOnDemandAt    time.Duration   // latest probe for a request, or because it had no report or no capacity
	consecutiveFailures int             // failed attempts and probes since the last successful attempt or bootstrap
	ejectedUntil        time.Duration   // end of its ejection
	slowUntil           time.Duration   // until when it counts as slow because a client reported slow messages
	slowStartQuota      float64         // placements of average load still allowed in the current overload window
	slowStartQuotaUntil time.Duration   // end of that window, from which on the next quota may be drawn
	groupDemand         decayingCounter // requests with a group that had it as a candidate while it warmed up
	reservations        []reservation   // placements that a report may not include yet, oldest first
	migratedAt          time.Duration   // when connections were last migrated off it
	connections         []*request      // established connections of this balancer
	connectionsByGroup  map[string]int  // number of these connections by group
}

// recordReport stores the load of a report and, if the report shows enough connections, the load of one connection.
func (s *server) recordReport(report LoadReport) {
	s.reportedLoad = report.Load
	if report.Connections >= minReportedConnections && report.Connections <= maxReportedConnections {
		s.loadPerConnection = report.Load / report.Connections
	}
}

// removeConnection removes an ended connection from the server's record.
func (s *server) removeConnection(r *request) {
	s.connections = removeValue(s.connections, r)
	if s.connectionsByGroup[r.Group]--; s.connectionsByGroup[r.Group] == 0 {
		delete(s.connectionsByGroup, r.Group)
	}
}

// addConnection adds an established connection to its server's record.
func (b *Balancer) addConnection(r *request) {
	s := r.server
	s.connections = append(s.connections, r)
	if s.connectionsByGroup == nil {
		s.connectionsByGroup = map[string]int{}
	}
	s.connectionsByGroup[r.Group]++
	b.reindex(s)
}

// serverRecord returns the record of a server. If there is none, it creates one and adds it to the index.
func (b *Balancer) serverRecord(id ServerID) *server {
	s := b.unindexedRecord(id)
	if s.entry.zone == nil {
		b.reindex(s)
	}
	return s
}

// unindexedRecord returns the record of a server. If there is none, it creates one, which the caller must add to the
// index.
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

// hasRecentReport reports whether the server's latest load report is younger than maxReportAge.
func (b *Balancer) hasRecentReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

// saturated reports whether a server must get no new connections: its messages are slow, or a recent report shows that
// its load is above the threshold. A server above its capacity serves all of its connections badly, so requests wait
// rather than go there.
func (b *Balancer) saturated(s *server) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.thresholds.saturation
}

// removeValue deletes every element that equals value from list, in place.
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

// leastLoaded returns the matching server with the lowest load, or nil. It calls matches only for servers whose load is
// less than the best one's so far.
func leastLoaded(list []*server, matches func(*server) bool) (best *server) {
	lowest := math.Inf(1)
	for _, s := range list {
		if s.load < lowest && matches(s) {
			best, lowest = s, s.load
		}
	}
	return best
}
