package decide

// Placement: the choice of the server for a request's next attempt. It depends on load reports, the reservations made
// since, ejections, slow-start quotas and the request's idempotency. The candidates, in order: the server of an open
// connection whose packets now arrive here; the group's preferred servers; the own zone's least loaded server with
// capacity; warming servers; if that zone is full, other zones' servers, then its least loaded; any in shuffled order.

import (
	"cmp"
	"slices"
	"time"
)

// Loads are fractions of a server's capacity, as servers report them.
const (
	// maxLoadWithCapacity is the load below which a server has capacity for new connections. Other zones are considered
	// only if no candidate of the own zone is known to have capacity. A group's candidates are its preferred servers.
	maxLoadWithCapacity = 0.7
	// saturationLoad is the load above which a server gets no new connections.
	saturationLoad = 0.8
	// unreportedLoadMargin is the largest margin for placements by other balancers that no load report shows yet. It
	// is subtracted from maxLoadWithCapacity, and half of it from saturationLoad.
	unreportedLoadMargin = 0.1
)

const (
	// crossZoneCostFactor converts the cost of an attempt in another zone, a fraction of a request's value, into
	// crossZoneGap: the load there must be lower by the cost, plus a quarter of it for the errors of both reports.
	crossZoneCostFactor = 1.25
	// spillOverPeriod is how long other zones are probed after the own zone lacked capacity.
	spillOverPeriod = 5 * time.Second
	// setupTimeFactor is the minimum timeout of an attempt in average setup times, as far as the deadline allows it. An
	// attempt that timed out counts as a setup that took this many times as long, unless that is below the average.
	setupTimeFactor = 2
)

// loadThresholds are the load limits for placements. They depend on the fleet size.
type loadThresholds struct {
	capacity     float64 // a server with a lower load has capacity
	saturation   float64 // a server with a higher load is saturated
	crossZoneGap float64 // by how much the load of a non-preferred server elsewhere must be below the own zone's best
}

// updateThresholds computes the thresholds. Load reports show placements by the zone's other balancers up to half a
// second late, so the margin grows with their fraction of the placements. The balancer's own are reserved at once.
func (b *Balancer) updateThresholds() {
	margin := unreportedLoadMargin * (1 - 1/b.zoneBalancers())
	b.thresholds = loadThresholds{
		capacity:     maxLoadWithCapacity - margin,
		saturation:   saturationLoad - margin/2,
		crossZoneGap: crossZoneCostFactor * b.settings.Costs.CrossZone,
	}
}

// spillingOver reports whether the own zone lacks or recently lacked capacity, so that other zones' loads are needed.
func (b *Balancer) spillingOver() bool {
	spilled := b.zoneLoad.lastSpillAt > 0 && b.now-b.zoneLoad.lastSpillAt < spillOverPeriod
	return spilled || b.zoneLoad.mean > b.thresholds.capacity
}

// place starts the next attempt of a request, appends the request to the waiting list, or gives the final answer.
// waitingBefore is the number of waiting requests before it, which decides whether its deadline can be met.
func (b *Balancer) place(r *request, waitingBefore int) {
	if r.attempts >= b.settings.MaxAttempts || b.now >= r.deadline {
		b.finish(r)
		return
	}
	var s *server
	mayStart := !b.throttle.limits() && b.now >= r.notBefore
	if mayStart {
		s = b.pick(r)
	}
	if s != nil {
		b.startAttempt(r, s)
		return
	}
	mustNotWait := r.executedOn != nil && b.classOf(r).Idempotency != Idempotent
	if mustNotWait || mayStart && b.wouldExpireWaiting(r, waitingBefore) {
		b.finish(r)
		return
	}
	b.requests.waiting = append(b.requests.waiting, r)
}

// startAttempt starts a request's next attempt at a server and reserves the load there.
func (b *Balancer) startAttempt(r *request, s *server) {
	b.reservePlacement(r, s)
	timeout := b.attemptTimeout(r)
	r.server, r.inFlight = s, true
	b.throttle.dialing++
	r.attempts++
	r.attemptedServers = append(r.attemptedServers, s.ID)
	if r.executedOn == nil {
		r.firstSentAt = b.now
	}
	b.emit(StartAttempt{ID: r.ID, Server: s.ID, Timeout: timeout})
}

// attemptTimeout returns the timeout of a request's next attempt. It leaves time for further attempts, unless setups
// take long at all servers, as with a slow session store: another server would be no quicker then, and the store would
// do the work twice.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	left := r.deadline - b.now
	perAttempt := left / time.Duration(b.settings.MaxAttempts-r.attempts)
	return min(left, max(perAttempt, setupTimeFactor*b.throttle.setupTime))
}

// placement holds the state of choosing a server for one request.
type placement struct {
	*Balancer
	request   *request
	client    clientRecord // zero value: no record of the client
	localBest *server      // least loaded eligible server of the own zone with a recent report below saturation
}

// pick returns the server for a request's next attempt, or nil if no server can take the request now.
func (b *Balancer) pick(r *request) *server {
	p := placement{Balancer: b, request: r, client: b.clients.records[r.Key]} // the empty key has no record
	if s := p.midFlowServer(); s != nil {
		return s
	}
	if s, decided := p.pickPreferred(); decided {
		return s
	}
	if s, decided := p.pickReported(); decided {
		return s
	}
	return p.pickAny()
}

// midFlowServer returns the server of an open connection whose packets now arrive at this balancer, or nil. No other
// server can continue the connection, so this one is chosen even if draining or removed, until the grace period ends.
func (p *placement) midFlowServer() *server {
	s := p.servers[p.client.server]
	if !p.request.MidFlow || p.request.attempts > 0 || s == nil || p.client.endedAt <= 0 || p.client.avoid {
		return nil
	}
	if s.State == Ready || p.now-s.notReadySince < p.settings.Safety.DrainGrace {
		return s
	}
	return nil
}

// pickPreferred chooses among the preferred servers of the request's group. It reports whether the choice is final. A
// final choice of nil means that the request waits for capacity.
func (p *placement) pickPreferred() (s *server, decided bool) {
	local, remote := p.preferredServers(p.request)
	if s := firstMatching(local, p.hasCapacity); s != nil {
		return s, true
	}
	if s := firstMatching(remote, p.hasCapacity); s != nil { // balancers of its zone most likely place the group there too
		p.zoneLoad.lastSpillAt = p.now
		return s, true
	}
	if s := firstMatching(local, p.belowSaturation); s != nil {
		return s, true
	}
	// Each group costs a server work, however few connections of the group it has. If a burst of clients were spread
	// over other servers while capacity is short, the groups would use up the remaining capacity and the fleet would
	// not recover. So the requests wait instead. Only servers probed on demand without a recent report are still used.
	if slices.ContainsFunc(local, p.saturatedOrWarming) || slices.ContainsFunc(remote, p.saturatedOrWarming) {
		local, remote = local[:min(onDemandProbes, len(local))], remote[:min(onDemandProbes, len(remote))]
		return cmp.Or(firstMatching(local, p.eligibleUnreported), firstMatching(remote, p.eligibleUnreported)), true
	}
	s = cmp.Or(firstMatching(local, p.eligible), firstMatching(remote, p.eligible))
	return s, s != nil
}

// pickReported chooses a server by recent load reports. Its results have the same meaning as pickPreferred's.
func (p *placement) pickReported() (s *server, decided bool) {
	p.localBest = leastLoaded(p.answers.ownZone, p.belowSaturation)
	if p.localBest != nil && p.localBest.load < p.thresholds.capacity {
		return p.localBest, true
	}
	// When capacity is short, a warming server is used within its quota even without a report, as it has just started.
	if s := p.nextInOrder(p.local, p.localZone.warming, p.eligibleWarming); s != nil {
		return s, true
	}
	// If recent reports show that the zone is short of capacity, servers without a report most likely are too. Servers
	// of other zones with capacity by a recent report are used then, and also if no server of the zone is eligible.
	zoneIsFull := p.localBest != nil || slices.ContainsFunc(p.answers.ownZone, p.saturated)
	if !zoneIsFull && slices.ContainsFunc(p.local, p.eligible) {
		return nil, false
	}
	p.zoneLoad.lastSpillAt = p.now
	s = cmp.Or(leastLoaded(p.answers.otherZones, p.lighterAcrossZones), p.localBest)
	return s, s != nil || slices.ContainsFunc(p.answers.ownZone, p.saturated)
}

// pickAny returns the next eligible server in the shuffled order. If no server is eligible, it returns an ejected
// server or the server that the client avoids, but never a saturated server.
func (p *placement) pickAny() *server {
	for _, acceptable := range [2]func(*server) bool{p.eligible, p.lastResort} {
		local := p.nextInOrder(p.local, p.local, acceptable)
		remote := p.nextInOrder(p.remote, p.remote, acceptable)
		if s := cmp.Or(local, remote); s != nil {
			return s
		}
	}
	return nil
}

// eligible reports whether the request may be sent to a server now.
func (p *placement) eligible(s *server) bool {
	p.visits++
	avoidedByClient := p.client.avoid && s.ID == p.client.server
	return !avoidedByClient && p.now >= s.ejectedUntil && !p.saturated(s) && p.mayAttempt(p.request, s)
}

// belowSaturation reports whether a server is eligible and its load, by a recent report, is below saturation. If the
// request is the first of its group there, the load for the group is added.
func (p *placement) belowSaturation(s *server) bool {
	return p.eligible(s) && p.hasRecentReport(s) && s.load+p.groupOpeningLoad(p.request, s) < p.thresholds.saturation
}

// hasCapacity reports whether a server is eligible and its load, as in belowSaturation, leaves capacity.
func (p *placement) hasCapacity(s *server) bool {
	return p.belowSaturation(s) && s.load+p.groupOpeningLoad(p.request, s) < p.thresholds.capacity
}

// lighterAcrossZones reports whether a server of another zone has capacity and its load is lower than that of the own
// zone's best server by more than crossZoneGap.
func (p *placement) lighterAcrossZones(s *server) bool {
	return p.hasCapacity(s) && (p.localBest == nil || s.load < p.localBest.load-p.thresholds.crossZoneGap)
}

func (p *placement) eligibleUnreported(s *server) bool { return p.eligible(s) && !p.hasRecentReport(s) }

func (p *placement) eligibleWarming(s *server) bool { return p.warming(s) && p.eligible(s) }

// saturatedOrWarming reports whether a server is short of capacity. A warming server has only a part of its capacity.
func (p *placement) saturatedOrWarming(s *server) bool { return p.saturated(s) || p.warming(s) }

// lastResort reports whether the request may be sent to a server even if it is ejected or the client avoids it.
func (p *placement) lastResort(s *server) bool {
	return !p.saturated(s) && p.mayAttempt(p.request, s)
}
