package decide

import (
	"cmp"
	"slices"
	"time"
)

// maxReportLag is the longest time after a placement at which a received load report may not include it yet. Reports
// are up to half a second old when they are received.
const maxReportLag = 600 * time.Millisecond

// Limits of a request's load relative to that of an average connection.
const (
	minRelativeLoad = 0.1
	maxRelativeLoad = 10
)

// reservation is the load that a placement adds to its server until a load report includes it.
type reservation struct {
	request *request
	load    float64
	at      time.Duration
}

// reserve adds the load of a placement to its server.
func (b *Balancer) reserve(r *request, s *server, load float64) {
	s.load += load
	s.reservations = append(s.reservations, reservation{r, load, b.now})
	b.reindex(s)
}

// releaseReservation subtracts the reserved load of a request that has ended. Otherwise clients that have left would
// make the server look saturated. It would then get no requests until a probe corrects its load, which can take long:
// without requests there are few on-demand probes, and few steady probes of servers without connections.
func (s *server) releaseReservation(r *request) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool {
		if x.request == r {
			s.load -= x.load
		}
		return x.request == r
	})
}

// pendingReservations deletes the reservations that are older than maxReportLag and returns the sum of the rest,
// which a report received now may not include yet. Each reservation expires by its own age. If a new placement
// prolonged the older reservations, a server that regularly gets a new client would look saturated all the time.
func (s *server) pendingReservations(now time.Duration) (sum float64) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool { return now-x.at > maxReportLag })
	for _, x := range s.reservations {
		sum += x.load
	}
	return sum
}

// reservePlacement reserves the load of a placement and subtracts the placement from the slow-start quota of a warming
// server.
func (b *Balancer) reservePlacement(r *request, s *server) {
	s.placementsOnReport++
	// While requests wait here, requests most likely wait at other balancers too. As soon as a report shows capacity,
	// all balancers place requests on that server, so here the server leaves its pool after one placement.
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.requests.waiting) > 0 {
		b.answers.remove(s)
	}
	b.reserve(r, s, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)))
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

// connectionLoad estimates the load that an average connection adds to a server. If no report of the server shows
// this load, it is the mean load of the zone divided by the mean number of connections per server, assuming the same
// number of requests at all balancers. This estimate is a guess if it is based on too few connections or load
// reports.
func (b *Balancer) connectionLoad(s *server) (load float64, guess bool) {
	if s.loadPerConnection > 0 {
		return s.loadPerConnection, false
	}
	perServer := float64(len(b.requests.byID)) * b.zoneBalancers() / float64(max(len(b.local), 1))
	guess = perServer < minReportedConnections || b.zoneLoad.reports < minMeanLoadReports
	return b.zoneLoad.mean / max(perServer, minReportedConnections), guess
}

// expectedLoad estimates the load that a request's connection adds to a server.
func (b *Balancer) expectedLoad(r *request, s *server) float64 {
	load, _ := b.connectionLoad(s)
	return b.relativeLoad(r) * load
}

// relativeLoad returns a request's load as a multiple of an average connection's. It uses the load that the request
// states, or else the average of its class. Without either, or without an average of all connections, it returns 1.
func (b *Balancer) relativeLoad(r *request) float64 {
	load, average := cmp.Or(r.Load, b.classLoads.classes[r.Class]), b.classLoads.all
	if load <= 0 || average <= 0 {
		return 1
	}
	return min(max(load/average, minRelativeLoad), maxRelativeLoad)
}
