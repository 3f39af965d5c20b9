package decide

// The part of the reference implementation for discovery polling, placement, affinity, on-demand probes and slow start.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

func (b *referenceBalancer) start() {
	b.noAnswerSince = b.now
	b.emit(SetTimer{Token: tickToken, Delay: 1 + b.jitter(tickInterval)})
	b.pollAt = b.now + b.jitter(min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval)))
}

func (b *referenceBalancer) pollInterval() time.Duration {
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + time.Duration(
		b.settings.Balancers)*pollIntervalPerBalancer
}

func (b *referenceBalancer) poll() {
	b.pollAt = b.now + b.pollInterval()
	if b.settings.WatchList {
		b.emit(WatchList{})
	} else {
		b.emit(FetchList{})
	}
}

func (b *referenceBalancer) applyList(ev ListReceived) {
	if ev.Kind == ListFailed {
		delay := min(pollRetryDelay<<min(b.pollFailures, 5), b.pollInterval())
		b.pollFailures++
		b.pollAt = b.now + delay/2 + b.jitter(delay)
		return
	}
	b.pollFailures = 0
	if ev.Kind != ListDelta {
		listed := make(map[ServerID]bool, len(ev.Servers))
		for _, s := range ev.Servers {
			listed[s.ID] = true
		}
		for id, s := range b.servers {
			if !listed[id] {
				b.setState(s, Removed)
			}
		}
	}
	for _, entry := range ev.Servers {
		s := b.serverRecord(entry.ID)
		if entry.Started != s.Started {
			*s = referenceServer{Server: s.Server, shuffledOrder: s.shuffledOrder, notReadySince: s.notReadySince,
				connections: s.connections, connectionsByGroup: s.connectionsByGroup}
		}
		b.setState(s, entry.State)
		s.Server = entry
	}
	b.rebuildLists()
}

func (b *referenceBalancer) rebuildLists() {
	b.local, b.remote, b.ready = b.local[:0], b.remote[:0], b.ready[:0]
	b.listVersion++
	for id, s := range b.servers {
		switch {
		case s.State == Ready:
			b.ready = append(b.ready, s)
		case s.State == Removed && len(s.connections) == 0 && b.now-s.notReadySince > recordRetention:
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.ready, func(x, y *referenceServer) int {
		return cmp.Or(cmp.Compare(x.shuffledOrder, y.shuffledOrder), cmp.Compare(x.ID, y.ID))
	})
	for _, s := range b.ready {
		if s.Zone == b.settings.Zone {
			b.local = append(b.local, s)
		} else {
			b.remote = append(b.remote, s)
		}
	}
	if len(b.local) == 0 {
		b.local, b.remote = b.remote, b.local
	}
	notReady := func(s *referenceServer) bool { return s.State != Ready }
	b.localAnswers, b.remoteAnswers = slices.DeleteFunc(b.localAnswers, notReady),
		slices.DeleteFunc(b.remoteAnswers, notReady)
	b.retryWaiting()
}

func (b *referenceBalancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.noAnswerSince)})
	b.noAnswerSince, b.failing, b.localAnswers = b.now, false, b.localAnswers[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.emit(FetchList{})
}

func (b *referenceBalancer) requestArrived(ev RequestArrived) {
	b.lastToken++
	r := &referenceRequest{RequestArrived: ev, timerToken: b.lastToken, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.requestsByToken[r.timerToken] = r, r
	b.recentDemand++
	b.emit(SetTimer{Token: r.timerToken, Delay: ev.Remaining})
	b.probeForRequest(r)
	b.place(r, len(b.waiting))
}

func (b *referenceBalancer) place(r *referenceRequest, waitingBefore int) {
	if r.attempts >= b.settings.MaxAttempts || b.now >= r.deadline {
		b.finish(r)
		return
	}
	var s *referenceServer
	mayStart := !b.throttled() && b.now >= r.notBefore
	if mayStart {
		s = b.pick(r)
	}
	if s == nil {
		if r.executedOn != nil && b.classOf(r).Idempotency != Idempotent || mayStart &&
			b.wouldExpireWaiting(r, waitingBefore) {
			b.finish(r)
			return
		}
		b.waiting = append(b.waiting, r)
		return
	}
	b.reservePlacement(r, s)
	left := r.deadline - b.now
	timeout := min(left, max(left/time.Duration(b.settings.MaxAttempts-r.attempts), setupTimeFactor*b.setupTime))
	r.server, r.inFlight = s, true
	b.dialing++
	r.attempts++
	r.attemptedServers = append(r.attemptedServers, s.ID)
	if r.executedOn == nil {
		r.firstSentAt = b.now
	}
	b.emit(StartAttempt{ID: r.ID, Server: s.ID, Timeout: timeout})
}

func (b *referenceBalancer) wouldExpireWaiting(r *referenceRequest, waitingBefore int) bool {
	perSecond := b.recentEstablished / attemptDecayTime.Seconds()
	return float64(waitingBefore) > max(minQueueLength, perSecond*(r.deadline-b.now).Seconds())
}

func (b *referenceBalancer) throttled() bool {
	return b.recentFailures > freeFailures+b.recentEstablished || b.dialing >= int(b.dialWindow)
}

func (b *referenceBalancer) reservePlacement(r *referenceRequest, s *referenceServer) {
	s.placementsOnReport++
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.waiting) > 0 {
		b.removeAnswer(s)
	}
	s.reserve(r, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)), b.now)
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

func (b *referenceBalancer) pick(r *referenceRequest) *referenceServer {
	client := b.clients[r.Key]
	if s := b.servers[client.server]; r.MidFlow && r.attempts == 0 && s != nil && client.endedAt > 0 && !client.avoid {
		if s.State == Ready || b.now-s.notReadySince < b.settings.Safety.DrainGrace {
			return s
		}
	}
	eligible := func(s *referenceServer) bool {
		return !(client.avoid && s.ID == client.server) && b.now >= s.ejectedUntil && !b.saturated(s) &&
			b.mayAttempt(r, s)
	}
	belowSaturation := func(s *referenceServer) bool {
		return eligible(s) && b.hasRecentReport(s) && s.load+b.groupOpeningLoad(r, s) < b.saturationThreshold
	}
	hasCapacity := func(s *referenceServer) bool {
		return belowSaturation(s) && s.load+b.groupOpeningLoad(r, s) < b.capacityThreshold
	}
	preferred, remotePreferred := b.preferredServers(r)
	if s := referenceFirstMatching(preferred, hasCapacity); s != nil {
		return s
	}
	if s := referenceFirstMatching(remotePreferred, hasCapacity); s != nil {
		b.lastSpillAt = b.now
		return s
	}
	if s := referenceFirstMatching(preferred, belowSaturation); s != nil {
		return s
	}
	saturatedOrWarming := func(s *referenceServer) bool { return b.saturated(s) || b.warming(s) }
	if slices.ContainsFunc(preferred, saturatedOrWarming) || slices.ContainsFunc(remotePreferred, saturatedOrWarming) {
		eligibleUnreported := func(s *referenceServer) bool { return eligible(s) && !b.hasRecentReport(s) }
		preferred, remotePreferred = preferred[:min(onDemandProbes, len(preferred))],
			remotePreferred[:min(onDemandProbes, len(remotePreferred))]
		return cmp.Or(referenceFirstMatching(preferred, eligibleUnreported),
			referenceFirstMatching(remotePreferred, eligibleUnreported))
	}
	local, remote := referenceFirstMatching(preferred, eligible), referenceFirstMatching(remotePreferred, eligible)
	if s := cmp.Or(local, remote); s != nil {
		return s
	}
	best := referenceLeastLoaded(b.localAnswers, belowSaturation)
	if best != nil && best.load < b.capacityThreshold {
		return best
	}
	if s := b.nextInOrder(b.local, func(s *referenceServer) bool { return b.warming(s) && eligible(s) }); s != nil {
		return s
	}
	if best != nil || slices.ContainsFunc(b.localAnswers, b.saturated) || !slices.ContainsFunc(b.local, eligible) {
		b.lastSpillAt = b.now
		worthCrossing := func(s *referenceServer) bool {
			return hasCapacity(s) && (best == nil || s.load < best.load-b.crossZoneLoadGap)
		}
		s := cmp.Or(referenceLeastLoaded(b.remoteAnswers, worthCrossing), best)
		if s != nil || slices.ContainsFunc(b.localAnswers, b.saturated) {
			return s
		}
	}
	lastResort := func(s *referenceServer) bool { return !b.saturated(s) && b.mayAttempt(r, s) }
	for _, acceptable := range [2]func(*referenceServer) bool{eligible, lastResort} {
		if s := cmp.Or(b.nextInOrder(b.local, acceptable), b.nextInOrder(b.remote, acceptable)); s != nil {
			return s
		}
	}
	return nil
}

func (b *referenceBalancer) hasRecentReport(s *referenceServer) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

func (b *referenceBalancer) saturated(s *referenceServer) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.saturationThreshold
}

func (b *referenceBalancer) mayAttempt(r *referenceRequest, s *referenceServer) bool {
	if slices.Contains(r.attemptedServers, s.ID) || !b.withinSlowStartQuota(r, s) {
		return false
	}
	c := b.classOf(r)
	switch {
	case r.executedOn == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NotIdempotent || b.now+b.settings.ConnectTimeout >= r.firstSentAt+c.DedupWindow:
		return false
	}
	return c.KeyScope == ScopeAll || s.Zone == r.executedOn.Zone &&
		(c.KeyScope == ScopeZone || s.Cell == r.executedOn.Cell)
}

func referenceLeastLoaded(pool []*referenceServer, matches func(*referenceServer) bool) *referenceServer {
	return referenceMinimum(pool, matches, func(s *referenceServer) float64 { return s.load })
}

func (b *referenceBalancer) hasGroup(r *referenceRequest) bool {
	return b.settings.GroupAffinity && r.Group != ""
}

func (b *referenceBalancer) preferredInZone(r *referenceRequest,
	list []*referenceServer) (preferred []*referenceServer) {
	if !b.hasGroup(r) {
		return nil
	}
	group, most := referenceHash(r.Group), min(maxPreferredServers, (len(list)+1)/2)
	keys := make([]float64, 0, maxPreferredServers+1)
	preferred = make([]*referenceServer, 0, maxPreferredServers+1)
	for _, s := range list {
		key := referenceDistance(group, s)
		i := len(keys)
		for i > 0 && key < keys[i-1] {
			i--
		}
		if i < most {
			keys, preferred = slices.Insert(keys, i, key), slices.Insert(preferred, i, s)
			n := min(len(keys), most)
			keys, preferred = keys[:n], preferred[:n]
		}
	}
	return preferred
}

func (b *referenceBalancer) probeForRequest(r *referenceRequest) {
	capacityKnown := b.hasGroup(r) || slices.ContainsFunc(b.localAnswers, func(s *referenceServer) bool {
		return b.hasRecentReport(s) && s.load < b.capacityThreshold && b.withinSlowStartQuota(r, s)
	})
	preferred, remotePreferred := b.preferredServers(r)
	for i, targets := range [2][]*referenceServer{preferred, remotePreferred} {
		list := [2][]*referenceServer{b.local, b.remote}[i]
		settled := i == 0 && len(targets) > 0 && targets[0].load < b.capacityThreshold &&
			b.now-targets[0].reportedAt < b.onDemandProbeInterval()
		if !b.settings.ProbingAllowed || settled || i > 0 && !b.spillingOver() && !b.hasGroup(r) {
			return
		}
		targets = targets[:min(onDemandProbes, len(targets))]
		for n := 0; !capacityKnown && n < min(onDemandProbes, len(list)); n++ {
			b.probeCursor++
			targets = append(targets, list[b.probeCursor%len(list)])
		}
		for _, s := range targets {
			if b.now >= s.ejectedUntil && b.now-s.reportedAt > b.onDemandProbeInterval() &&
				b.now-s.probedOnDemandAt > b.onDemandProbeInterval() {
				s.probedOnDemandAt, r.notBefore = b.now, b.now+onDemandProbeTimeout
				b.emit(Probe{Server: s.ID})
				b.emit(SetTimer{Token: retryWaitingToken, Delay: onDemandProbeTimeout})
			}
		}
	}
}

func (b *referenceBalancer) onDemandProbeInterval() time.Duration {
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval,
		onDemandProbeIntervalOfFleet/time.Duration(b.settings.Balancers)))
}

func (b *referenceBalancer) warming(s *referenceServer) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

func (b *referenceBalancer) withinSlowStartQuota(r *referenceRequest, s *referenceServer) bool {
	if !b.warming(s) || s.Zone != b.settings.Zone {
		return !b.warming(s)
	}
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
	safety := b.settings.Safety
	if b.now >= s.slowStartQuotaUntil {
		age := float64(b.now-s.Started) / float64(safety.SlowStartDuration)
		capacityFraction := safety.SlowStartInitialCapacity + (1-safety.SlowStartInitialCapacity)*age
		window := max(safety.OverloadWindow, tickInterval)
		demand, balancers := b.expectedDemandFor(r, s, window), b.estimatedZoneBalancers()
		accepted := max(capacityFraction*b.serverCapacity()*window.Seconds(),
			minSlowStartConnections/max(float64(b.settings.Balancers), balancers))
		use := demand / (1 + demand)
		quota := slowStartSafetyFactor / max(use, minSlowStartUse) * safety.OverloadFactor * accepted
		if each := b.meanLoadPerConnection(); each > 0 {
			tolerated := safety.OverloadFactor * capacityFraction * window.Seconds() / (each * b.meanLifetime())
			quota = max(quota, min(slowStartSafetyFactor*tolerated/(use*balancers), 1))
		}
		s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(quota+b.rng.Float64()), b.now+window
	}
	return s.slowStartQuota >= min(b.relativeLoad(r), 1)
}

func (b *referenceBalancer) meanLifetime() float64 {
	if b.connectionsEnded == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + b.connectionSeconds) / (1 + b.connectionsEnded)
}

func (b *referenceBalancer) updateLifetime() {
	decay := 1 - tickInterval.Seconds()/lifetimeDecayTime.Seconds()
	b.connectionSeconds, b.connectionsEnded = b.connectionSeconds*decay+float64(len(b.requests))*tickInterval.Seconds(),
		b.connectionsEnded*decay
}

func (b *referenceBalancer) serverCapacity() float64 {
	own, warm := 0, 0
	for _, s := range b.local {
		if !b.warming(s) {
			own, warm = own+len(s.connections), warm+1
		}
	}
	if warm == 0 {
		return b.capacity
	}
	return min(b.capacity, float64(own)/(b.meanLifetime()*float64(warm)*max(b.meanLoad, 0.5)))
}

func (b *referenceBalancer) expectedDemand(r *referenceRequest, window time.Duration) float64 {
	spread := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		spread = 0
		for _, s := range b.local {
			if b.warming(s) {
				spread++
			}
		}
	}
	return b.recentDemand / demandDecayTime.Seconds() * window.Seconds() / float64(max(spread, 1))
}

func (b *referenceBalancer) expectedDemandFor(r *referenceRequest, s *referenceServer, window time.Duration) float64 {
	mean := b.expectedDemand(r, window)
	if !b.hasGroup(r) || mean == 0 {
		return mean
	}
	windows := demandDecayTime.Seconds() / window.Seconds()
	observed := s.groupDemand.value(b.now)
	average := (priorDemand + observed) / (priorDemand/mean + windows)
	resetFraction := min(1, 2*b.recentResets/b.recentDemand)
	return max(mean, resetFraction*observed/windows+(1-resetFraction)*average)
}

func (b *referenceBalancer) estimatedZoneBalancers() float64 {
	reported, own, reports := 0.0, 0.0, 0
	for _, s := range b.local {
		own += float64(len(s.connections))
		if s.loadPerConnection > 0 {
			reported, reports = reported+min(s.reportedLoad/s.loadPerConnection, maxReportedConnections), reports+1
		}
	}
	if reports == 0 {
		return b.zoneBalancers()
	}
	reported *= float64(len(b.local)) / float64(reports)
	deviation, most := math.Sqrt(own), b.zoneBalancers()
	if own > deviation {
		most = min(most, reported/(own-deviation))
	}
	return max(most, reported/(own+deviation+1), 1)
}
