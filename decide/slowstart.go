package decide

// Slow start: how many requests this balancer may send to a server that warms up after its start. The evidence is the
// server's age, the estimates of what a server accepts, of the requests that arrive for it and of how many balancers
// share the zone.

import (
	"math"
	"time"
)

const (
	// slowStartSafetyFactor is the part of a warming server's budget that is used if every balancer has requests for
	// it.
	slowStartSafetyFactor = 0.5
	// minSlowStartUse bounds the larger quota of a balancer that seldom has a request: its quota is unused at times.
	minSlowStartUse = 0.4
	// minSlowStartConnections is what all balancers together may send a warming server before anything is known of
	// it.
	minSlowStartConnections = 0.2
	// priorDemand is the number of requests that the mean demand of the zone's servers counts as in the estimate for
	// one warming server. With a smaller one the warming servers of a fleet of many balancers stay idle, as each
	// balancer sees few requests and remembers that one of them came.
	priorDemand = 5
	// resetDemandWeight is how often a broken connection is counted in the demand: when it breaks and when its client
	// returns.
	resetDemandWeight = 2
)

func (b *Balancer) warming(s *server) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

// withinSlowStartQuota reports whether the quota of a warming server allows a request; for a warm server, always. The
// server's budget is divided among the admitted balancers of its own zone.
func (b *Balancer) withinSlowStartQuota(r *request, s *server) bool {
	if !b.warming(s) {
		return true
	}
	if s.Zone != b.settings.Zone || !b.fleet.Admitted {
		return false
	}
	b.recordGroupDemand(r, s)
	if b.now >= s.slowStartQuotaUntil {
		b.drawSlowStartQuota(r, s)
	}
	return s.slowStartQuota >= min(b.relativeLoad(r), 1)
}

// drawSlowStartQuota draws the quota for the next window in which the server could become overloaded. What is left of
// the last one expires: quotas saved up by many balancers would come together.
func (b *Balancer) drawSlowStartQuota(r *request, s *server) {
	window := max(b.settings.Safety.OverloadWindow, tickInterval)
	mean := b.slowStartQuota(r, s, window)
	s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(mean+b.rng.Float64()), b.now+window
}

// slowStartQuota returns the mean number of placements that this balancer may make at a warming server within a
// window.
func (b *Balancer) slowStartQuota(r *request, s *server, window time.Duration) float64 {
	safety := b.settings.Safety
	age := float64(b.now-s.Started) / float64(safety.SlowStartDuration)
	capacityFraction := safety.SlowStartInitialCapacity + (1-safety.SlowStartInitialCapacity)*age
	demand, balancers := b.expectedDemandFor(r, s, window), b.estimatedZoneBalancers()
	minAccepted := minSlowStartConnections / max(float64(b.fleet.Fleet), balancers)
	accepted := max(capacityFraction*b.serverCapacity()*window.Seconds(), minAccepted)
	use := demand / (1 + demand) // fraction of such windows in which this balancer has a request for the server
	quota := slowStartSafetyFactor / max(use, minSlowStartUse) * safety.OverloadFactor * accepted
	if load := b.meanLoadPerConnection(); load > 0 {
		// By demand: the balancer's part of what the server tolerates if all balancers have the same demand.
		// Otherwise quotas would be drawn where there are no requests, while other balancers have requests and drew
		// no quota.
		tolerated := safety.OverloadFactor * capacityFraction * window.Seconds() / (load * b.lifetime.meanSeconds())
		quota = max(quota, min(slowStartSafetyFactor*tolerated/(use*balancers), 1))
	}
	return quota
}

// serverCapacity returns this balancer's part of what a warm server accepts, in connections per second. It is bounded
// by the established connections: the recent rate is too high in a fleet whose clients all came within seconds, as
// after an outage.
func (b *Balancer) serverCapacity() float64 {
	connections, warm := 0, len(b.local)-len(b.localZone.warming)
	for _, s := range b.localZone.connected {
		if !b.warming(s) {
			connections += len(s.connections)
		}
	}
	if warm == 0 {
		return b.capacity.perSecond
	}
	fullLoadFactor := max(b.zoneLoad.mean, minCapacityLoad)
	return min(b.capacity.perSecond, float64(connections)/(b.lifetime.meanSeconds()*float64(warm)*fullLoadFactor))
}

// expectedDemand estimates how many of this balancer's requests arrive for one warming server within a window.
// Requests spread over the zone; when it is short of capacity, those without a group all arrive for the warming
// servers.
func (b *Balancer) expectedDemand(r *request, window time.Duration) float64 {
	servers := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		servers = len(b.localZone.warming)
	}
	return b.demand.recent / demandDecayTime.Seconds() * window.Seconds() / float64(max(servers, 1))
}

// recordGroupDemand counts a request in the demand for a warming server that its group prefers, once.
func (b *Balancer) recordGroupDemand(r *request, s *server) {
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
}

// expectedDemandFor estimates how many of this balancer's requests arrive for the warming server s within a window,
// at least the mean of the zone's servers. That mean is the prior, which the requests that arrived for s correct.
// When connections break, their groups all arrive for the same next servers, of which the mean says nothing: the
// larger the part of broken connections in the demand, the more weight has what arrived for s alone.
func (b *Balancer) expectedDemandFor(r *request, s *server, window time.Duration) float64 {
	mean := b.expectedDemand(r, window)
	if !b.hasGroup(r) || mean == 0 {
		return mean
	}
	windows := demandDecayTime.Seconds() / window.Seconds()
	observed := s.groupDemand.value(b.now)
	usual := (priorDemand + observed) / (priorDemand/mean + windows)
	resetFraction := min(1, resetDemandWeight*b.demand.resets/b.demand.recent)
	return max(mean, resetFraction*observed/windows+(1-resetFraction)*usual)
}

// estimatedZoneBalancers estimates how many balancers share the zone: the configured number, within what the zone's
// servers report over what this balancer has there, give or take the standard deviation of that. This covers a fleet
// that has grown or shrunk since its size was configured. A number that the membership counts is not lowered.
func (b *Balancer) estimatedZoneBalancers() float64 {
	reported, own := b.localZone.reportedConnections(), 0.0
	for _, s := range b.localZone.connected {
		own += float64(len(s.connections))
	}
	if b.localZone.connectionReports == 0 {
		return b.zoneBalancers()
	}
	reported *= float64(len(b.local)) / float64(b.localZone.connectionReports)
	deviation, balancers := math.Sqrt(own), b.zoneBalancers()
	if own > deviation && !b.fleet.fromMembership {
		balancers = min(balancers, reported/(own-deviation))
	}
	return max(balancers, reported/(own+deviation+1), 1)
}
