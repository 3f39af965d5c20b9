package decide

// Slow start: how many requests this balancer may send to a server that warms up after its start. The server's budget
// is OverloadFactor times the number of connections that it accepts within an overload window at its present capacity.
// This balancer's quota depends on the server's age and on estimates: the connections that a warm server accepts, their
// load and lifetime, this balancer's requests with the server as a candidate, and the balancers of the zone.

import (
	"math"
	"time"
)

const (
	// slowStartSafetyFactor is the fraction of a warming server's budget that the quotas add up to if every balancer
	// has requests for the server.
	slowStartSafetyFactor = 0.5
	// minSlowStartUse is the minimum fraction by which a quota is divided. A balancer that seldom has a request for the
	// server leaves its quota unused in many windows, so the quota is divided by the fraction of windows with a request.
	// The minimum keeps quotas within slowStartSafetyFactor/minSlowStartUse equal shares. Some may then rise to at most 1.
	minSlowStartUse = 0.4
	// minSlowStartConnections is the minimum number of connections that a warming server is assumed to accept within a
	// window, from all balancers together. It lets the balancers use the server before they have any estimate.
	minSlowStartConnections = 0.2
	// priorDemand is the weight, in requests, of the zone's mean demand in the demand estimate of one warming server.
	// In a fleet of many balancers, each sees few requests. With a smaller weight, one request that has just arrived
	// raises the estimate so much that the quotas shrink and the warming servers stay idle.
	priorDemand = 5
	// resetDemandWeight is how often a broken connection counts as demand: when it breaks and when its client returns.
	resetDemandWeight = 2
)

func (b *Balancer) warming(s *server) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

// withinSlowStartQuota reports whether this balancer's quota for a server allows a request. A warm server allows every
// request. A warming server's budget is divided among its zone's admitted balancers; other balancers have no quota.
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

// drawSlowStartQuota sets the quota for the next overload window. The quota is rounded at random to a whole number,
// as its mean is often below 1. The rest of the previous quota expires: if balancers accumulated their quotas, many of
// them could spend them at the same time and overload the server.
func (b *Balancer) drawSlowStartQuota(r *request, s *server) {
	window := max(b.settings.Safety.OverloadWindow, tickInterval)
	mean := b.slowStartQuota(r, s, window)
	s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(mean+b.rng.Float64()), b.now+window
}

// slowStartQuota returns the mean number of placements that this balancer may make at a warming server in a window.
func (b *Balancer) slowStartQuota(r *request, s *server, window time.Duration) float64 {
	safety := b.settings.Safety
	age := float64(b.now-s.Started) / float64(safety.SlowStartDuration)
	capacityFraction := safety.SlowStartInitialCapacity + (1-safety.SlowStartInitialCapacity)*age
	demand, balancers := b.expectedDemandFor(r, s, window), b.estimatedZoneBalancers()
	minAccepted := minSlowStartConnections / max(float64(b.fleet.Fleet), balancers)
	accepted := max(capacityFraction*b.serverCapacity()*window.Seconds(), minAccepted)
	use := demand / (1 + demand) // estimated fraction of windows in which this balancer has a request for the server
	quota := slowStartSafetyFactor / max(use, minSlowStartUse) * safety.OverloadFactor * accepted
	if load := b.meanLoadPerConnection(); load > 0 {
		// tolerated is the budget, computed from the load and lifetime of connections. If all balancers have the same
		// demand, use*balancers of them have a request for the server within the window, and slowStartSafetyFactor of the
		// budget is divided among these. The result raises the quota to at most 1. With the quota above alone, some
		// balancers would draw a quota but have no request for the server, while others would have requests but no quota.
		tolerated := safety.OverloadFactor * capacityFraction * window.Seconds() / (load * b.lifetime.meanSeconds())
		quota = max(quota, min(slowStartSafetyFactor*tolerated/(use*balancers), 1))
	}
	return quota
}

// serverCapacity returns this balancer's share of the connections per second that a warm server accepts. It is at
// most the rate that replaces ending connections at full load, because the recent rate is too high where all clients
// have connected within seconds, as after an outage.
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
	meanLoad := max(b.zoneLoad.mean, minCapacityLoad)
	return min(b.capacity.perSecond, float64(connections)/(b.lifetime.meanSeconds()*float64(warm)*meanLoad))
}

// expectedDemand estimates the mean number of this balancer's requests for one warming server within a window.
// Requests are assumed to be spread over the servers of the zone. When the zone is short of capacity, requests without
// a group are assumed to be spread over its warming servers only.
func (b *Balancer) expectedDemand(r *request, window time.Duration) float64 {
	servers := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		servers = len(b.localZone.warming)
	}
	return b.demand.recent / demandDecayTime.Seconds() * window.Seconds() / float64(max(servers, 1))
}

// recordGroupDemand counts a request with a group in a warming server's demand, unless it was last counted there.
func (b *Balancer) recordGroupDemand(r *request, s *server) {
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
}

// expectedDemandFor estimates how many of this balancer's requests have the warming server s as a candidate within a
// window. The estimate is at least the mean of the zone's servers. That mean is the prior, with the weight
// priorDemand, and is corrected by the number of requests that recently had s as a candidate. When a server's
// connections break, their groups reconnect to the same next preferred servers, so the mean says little about these
// servers. The larger the fraction of broken connections in the demand, the more weight the requests for s have.
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

// estimatedZoneBalancers estimates how many balancers share the zone. It divides the connections that the zone's
// servers report by this balancer's own connections there, plus or minus their standard deviation, and limits the
// configured number to the resulting range. This covers a fleet that has grown or shrunk since its size was
// configured. A number counted by the membership is raised in this way, but not lowered.
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
