package decide

import (
	"cmp"
	"slices"
	"time"
)

// maxReportLag is how long a load report may not show a placement yet.
const maxReportLag = 600 * time.Millisecond

// Bounds of a request's load relative to the average connection's.
const (
	minRelativeLoad = 0.1
	maxRelativeLoad = 10
)

// reservation is the load that a placement adds to its server until a load report shows it.
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

// releaseReservation takes back the load of a request that has ended. Otherwise a server would look saturated by
// clients that have left, and would get no request whose probe could show otherwise.
func (s *server) releaseReservation(r *request) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool {
		if x.request == r {
			s.load -= x.load
		}
		return x.request == r
	})
}

// pendingReservations returns the load of the placements that a report coming now may not show yet, and drops the
// older ones. Each expires by itself; otherwise a server that gets a client now and then would look saturated for
// good.
func (s *server) pendingReservations(now time.Duration) (sum float64) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool { return now-x.at > maxReportLag })
	for _, x := range s.reservations {
		sum += x.load
	}
	return sum
}

// reservePlacement reserves the load of a placement and takes it from the server's slow-start quota.
func (b *Balancer) reservePlacement(r *request, s *server) {
	s.placementsOnReport++
	// While requests wait, other balancers have waiting requests too, and all of them rush to the capacity that a
	// report shows. One placement on it is enough then.
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.requests.waiting) > 0 {
		b.answers.remove(s)
	}
	b.reserve(r, s, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)))
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

// connectionLoad estimates the load that an average connection adds to a server: as its report shows, otherwise the
// mean load of the zone over the connections that one server has if all balancers are alike. The estimate is a guess
// where it rests on too few connections or reports.
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

// relativeLoad returns a request's load as a multiple of the average connection's, by the request's own hint or by
// the average of its class.
func (b *Balancer) relativeLoad(r *request) float64 {
	load, average := cmp.Or(r.Load, b.classLoads.classes[r.Class]), b.classLoads.all
	if load <= 0 || average <= 0 {
		return 1
	}
	return min(max(load/average, minRelativeLoad), maxRelativeLoad)
}
