package decide

// Placement: the server of a request's next attempt. The evidence is the load reports of the servers,
// the reservations made since, ejections, slow-start quotas and what the request's idempotency allows. The order of
// choice: the server of a connection in mid-flow, the group's preferred servers, the least loaded server with a
// recent report, servers that warm up, other zones, and at last any server in the shuffled order.

import (
	"cmp"
	"slices"
	"time"
)

// Loads are over capacity, as servers report them.
const (
	// maxLoadWithCapacity is the load under which a server has capacity. When none has, other zones are considered.
	maxLoadWithCapacity = 0.7
	// saturationLoad is the load above which a server gets no new connections.
	saturationLoad = 0.8
	// unreportedLoadMargin is taken off maxLoadWithCapacity, and half of it off saturationLoad, for what other
	// balancers have placed and no report shows yet.
	unreportedLoadMargin = 0.1
)

const (
	// crossZoneCostFactor converts the cost of crossing zones, a part of a request's value, into a load: a server
	// in another zone must be lighter by as much as the crossing costs, and a quarter more for the error of the two
	// reports.
	crossZoneCostFactor = 1.25
	// spillOverPeriod is how long other zones are probed after the own zone lacked capacity.
	spillOverPeriod = 5 * time.Second
	// minAttemptSetups is the least time-out of an attempt, as a multiple of the usual set-up time.
	minAttemptSetups = 2
)

// loadThresholds are the loads that placements are decided by. They depend on the fleet size.
type loadThresholds struct {
	capacity     float64 // below it a server has capacity
	saturation   float64 // above it a server is saturated
	crossZoneGap float64 // by which a server of another zone must be lighter than the best of the own zone
}

// updateThresholds computes the thresholds. A report shows what the other balancers of the zone have placed half a
// second late; the balancer's own placements are reserved at once.
func (b *Balancer) updateThresholds() {
	margin := unreportedLoadMargin * (1 - 1/b.zoneBalancers())
	b.thresholds = loadThresholds{
		capacity:     maxLoadWithCapacity - margin,
		saturation:   saturationLoad - margin/2,
		crossZoneGap: crossZoneCostFactor * b.settings.Costs.CrossZone,
	}
}

// spillingOver reports whether the own zone lacked capacity recently, so that other zones have to be known too.
func (b *Balancer) spillingOver() bool {
	spilled := b.zoneLoad.lastSpillAt > 0 && b.now-b.zoneLoad.lastSpillAt < spillOverPeriod
	return spilled || b.zoneLoad.mean > b.thresholds.capacity
}

// place starts the next attempt of a request, lets it wait, or finishes it. The number of requests that wait before
// it decides whether waiting makes sense.
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
	mustNotRepeat := r.executedOn != nil && b.classOf(r).Idempotency != Idempotent
	if mustNotRepeat || mayStart && b.wouldExpireWaiting(r, waitingBefore) {
		b.finish(r)
		return
	}
	b.requests.waiting = append(b.requests.waiting, r)
}

// startAttempt sends a request to a server.
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

// attemptTimeout leaves time for the attempts that remain, unless set-ups take long everywhere, as with a slow
// session store: another server would not be quicker then, and the store would do the work twice.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	left := r.deadline - b.now
	perAttempt := left / time.Duration(b.settings.MaxAttempts-r.attempts)
	return min(left, max(perAttempt, minAttemptSetups*b.throttle.setupTime))
}

// placement is the choice of a server for one request of a balancer.
type placement struct {
	*Balancer
	request   *request
	client    clientRecord // zero: the client is not known
	localBest *server      // least loaded server of the own zone that has a recent report and is not saturated
}

// pick returns the server of a request's next attempt, or nil when none may take it now.
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

// midFlowServer returns the server of a connection whose packets now come to this balancer: no other server can go on
// with it, even while that one drains.
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

// pickPreferred chooses among the preferred servers of the request's group. It reports true if that decides the
// choice, which may be nil: the request waits for capacity then.
func (p *placement) pickPreferred() (s *server, decided bool) {
	local, remote := p.preferredServers(p.request)
	if s := firstMatching(local, p.hasCapacity); s != nil {
		return s, true
	}
	if s := firstMatching(remote, p.hasCapacity); s != nil { // most likely it is preferred in its own zone too
		p.zoneLoad.lastSpillAt = p.now
		return s, true
	}
	if s := firstMatching(local, p.belowSaturation); s != nil {
		return s, true
	}
	// A server pays for each group that it has any connection of. If a burst of clients scattered its groups over a
	// fleet short of capacity, the fleet would lose what capacity is left and not recover. The requests wait instead.
	if slices.ContainsFunc(local, p.saturatedOrWarming) || slices.ContainsFunc(remote, p.saturatedOrWarming) {
		local, remote = local[:min(onDemandProbes, len(local))], remote[:min(onDemandProbes, len(remote))]
		return cmp.Or(firstMatching(local, p.eligibleUnreported), firstMatching(remote, p.eligibleUnreported)), true
	}
	s = cmp.Or(firstMatching(local, p.eligible), firstMatching(remote, p.eligible))
	return s, s != nil
}

// pickReported chooses by recent reports. It reports true if that decides the choice, which may be nil.
func (p *placement) pickReported() (s *server, decided bool) {
	p.localBest = leastLoaded(p.answers.ownZone, p.belowSaturation)
	if p.localBest != nil && p.localBest.load < p.thresholds.capacity {
		return p.localBest, true
	}
	// When capacity is short, a warming server takes what its quota allows, probed or not: it has just begun.
	if s := p.nextInOrder(p.local, p.localZone.warming, p.eligibleWarming); s != nil {
		return s, true
	}
	// Recent reports of little capacity say more of the zone than a server of which nothing is known. Then, or when
	// no server of the zone is eligible, other zones get what a recent report there shows capacity for.
	zoneIsFull := p.localBest != nil || slices.ContainsFunc(p.answers.ownZone, p.saturated)
	if !zoneIsFull && slices.ContainsFunc(p.local, p.eligible) {
		return nil, false
	}
	p.zoneLoad.lastSpillAt = p.now
	s = cmp.Or(leastLoaded(p.answers.otherZones, p.lighterAcrossZones), p.localBest)
	return s, s != nil || slices.ContainsFunc(p.answers.ownZone, p.saturated)
}

// pickAny takes the next eligible server in the shuffled order. When there is none, an ejected server is better than
// none, but a saturated one is not.
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

// eligible reports whether a server may take the request now.
func (p *placement) eligible(s *server) bool {
	p.visits++
	lostByClient := p.client.avoid && s.ID == p.client.server
	return !lostByClient && p.now >= s.ejectedUntil && !p.saturated(s) && p.mayAttempt(p.request, s)
}

// belowSaturation reports whether a recent report shows that an eligible server is not saturated with the request.
func (p *placement) belowSaturation(s *server) bool {
	return p.eligible(s) && p.hasRecentReport(s) && s.load+p.groupOpeningLoad(p.request, s) < p.thresholds.saturation
}

// hasCapacity reports whether a recent report shows that an eligible server has capacity for the request.
func (p *placement) hasCapacity(s *server) bool {
	return p.belowSaturation(s) && s.load+p.groupOpeningLoad(p.request, s) < p.thresholds.capacity
}

// lighterAcrossZones reports whether a server of another zone has capacity and is lighter than the own zone's best
// server by more than crossing costs.
func (p *placement) lighterAcrossZones(s *server) bool {
	return p.hasCapacity(s) && (p.localBest == nil || s.load < p.localBest.load-p.thresholds.crossZoneGap)
}

// eligibleUnreported reports whether an eligible server has no recent report.
func (p *placement) eligibleUnreported(s *server) bool { return p.eligible(s) && !p.hasRecentReport(s) }

// eligibleWarming reports whether an eligible server warms up.
func (p *placement) eligibleWarming(s *server) bool { return p.warming(s) && p.eligible(s) }

// saturatedOrWarming reports whether a server is short of capacity.
func (p *placement) saturatedOrWarming(s *server) bool { return p.saturated(s) || p.warming(s) }

// lastResort reports whether a server, ejected or not, may take the request.
func (p *placement) lastResort(s *server) bool {
	return !p.saturated(s) && p.mayAttempt(p.request, s)
}
