package decide

// The reference's discovery polling, placement, affinity, probing on demand and slow start.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

func (b *refBalancer) start() {
	b.lastAnswerAt = b.now
	b.emit(SetTimer{Token: tickToken, Delay: 1 + b.jitter(tickInterval)})
	b.pollAt = b.now + b.jitter(min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval)))
}

func (b *refBalancer) pollInterval() time.Duration {
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + time.Duration(
		b.settings.Balancers)*pollIntervalPerBalancer
}

func (b *refBalancer) poll() {
	b.pollAt = b.now + b.pollInterval()
	if b.settings.WatchList {
		b.emit(WatchList{})
	} else {
		b.emit(FetchList{})
	}
}

func (b *refBalancer) applyList(ev ListReceived) {
	if ev.Kind == ListFailed {
		wait := min(pollRetryDelay<<min(b.pollFailures, 5), b.pollInterval())
		b.pollFailures++
		b.pollAt = b.now + wait/2 + b.jitter(wait)
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
	for _, line := range ev.Servers {
		s := b.serverRecord(line.ID)
		if line.Started != s.Started {
			*s = refServer{Server: s.Server, cacheOrder: s.cacheOrder, notReadySince: s.notReadySince,
				connections: s.connections, connectionsByGroup: s.connectionsByGroup}
		}
		b.setState(s, line.State)
		s.Server = line
	}
	b.rebuildLists()
}

func (b *refBalancer) rebuildLists() {
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
	slices.SortFunc(b.ready, func(x, y *refServer) int {
		return cmp.Or(cmp.Compare(x.cacheOrder, y.cacheOrder), cmp.Compare(x.ID, y.ID))
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
	gone := func(s *refServer) bool { return s.State != Ready }
	b.localAnswers, b.remoteAnswers = slices.DeleteFunc(b.localAnswers, gone), slices.DeleteFunc(b.remoteAnswers, gone)
	b.retryWaiting()
}

func (b *refBalancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.lastAnswerAt)})
	b.lastAnswerAt, b.allFailing, b.localAnswers = b.now, false, b.localAnswers[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.emit(FetchList{})
}

func (b *refBalancer) requestArrived(ev RequestArrived) {
	b.lastToken++
	r := &refRequest{RequestArrived: ev, timerToken: b.lastToken, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.requestsByToken[r.timerToken] = r, r
	b.recentDemand++
	b.emit(SetTimer{Token: r.timerToken, Delay: ev.Remaining})
	b.probeForRequest(r)
	b.place(r, len(b.waiting))
}

func (b *refBalancer) place(r *refRequest, before int) {
	if r.attempts >= b.settings.MaxAttempts || b.now >= r.deadline {
		b.finish(r)
		return
	}
	var s *refServer
	tries := !b.throttled() && b.now >= r.notBefore
	if tries {
		s = b.pick(r)
	}
	if s == nil {
		if r.executedOn != nil && b.classOf(r).Idempotency != Idempotent || tries && b.wouldExpireWaiting(r, before) {
			b.finish(r)
			return
		}
		b.waiting = append(b.waiting, r)
		return
	}
	b.reservePlacement(r, s)
	left := r.deadline - b.now
	wait := min(left, max(left/time.Duration(b.settings.MaxAttempts-r.attempts), minAttemptSetups*b.setupTime))
	r.server, r.inFlight = s, true
	b.dialing++
	r.attempts++
	r.attemptedServers = append(r.attemptedServers, s.ID)
	if r.executedOn == nil {
		r.firstSentAt = b.now
	}
	b.emit(StartAttempt{ID: r.ID, Server: s.ID, Timeout: wait})
}

func (b *refBalancer) wouldExpireWaiting(r *refRequest, before int) bool {
	perSecond := b.recentEstablished / attemptDecayTime.Seconds()
	return float64(before) > max(minQueueLength, perSecond*(r.deadline-b.now).Seconds())
}

func (b *refBalancer) throttled() bool {
	return b.recentFailures > freeFailures+b.recentEstablished || b.dialing >= int(b.dialWindow)
}

func (b *refBalancer) reservePlacement(r *refRequest, s *refServer) {
	s.placementsOnReport++
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.waiting) > 0 {
		b.removeAnswer(s)
	}
	s.reserve(r, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)), b.now)
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

func (b *refBalancer) pick(r *refRequest) *refServer {
	was := b.clients[r.Key]
	if s := b.servers[was.server]; r.MidFlow && r.attempts == 0 && s != nil && was.endedAt > 0 && !was.avoid {
		if s.State == Ready || b.now-s.notReadySince < b.settings.Safety.DrainGrace {
			return s
		}
	}
	fit := func(s *refServer) bool {
		return !(was.avoid && s.ID == was.server) && b.now >= s.ejectedUntil && !b.saturated(s) && b.mayAttempt(r, s)
	}
	known := func(s *refServer) bool {
		return fit(s) && b.hasRecentReport(s) && s.load+b.groupOpeningLoad(r, s) < b.saturationThreshold
	}
	room := func(s *refServer) bool { return known(s) && s.load+b.groupOpeningLoad(r, s) < b.capacityThreshold }
	homes, away := b.preferredServers(r)
	if s := refFirstMatching(homes, room); s != nil {
		return s
	}
	if s := refFirstMatching(away, room); s != nil {
		b.lastSpillAt = b.now
		return s
	}
	if s := refFirstMatching(homes, known); s != nil {
		return s
	}
	short := func(s *refServer) bool { return b.saturated(s) || b.warming(s) }
	if slices.ContainsFunc(homes, short) || slices.ContainsFunc(away, short) {
		blind := func(s *refServer) bool { return fit(s) && !b.hasRecentReport(s) }
		homes, away = homes[:min(onDemandProbes, len(homes))], away[:min(onDemandProbes, len(away))]
		return cmp.Or(refFirstMatching(homes, blind), refFirstMatching(away, blind))
	}
	if s := cmp.Or(refFirstMatching(homes, fit), refFirstMatching(away, fit)); s != nil {
		return s
	}
	best := refLeastLoaded(b.localAnswers, known)
	if best != nil && best.load < b.capacityThreshold {
		return best
	}
	if s := b.nextInOrder(b.local, func(s *refServer) bool { return b.warming(s) && fit(s) }); s != nil {
		return s
	}
	if best != nil || slices.ContainsFunc(b.localAnswers, b.saturated) || !slices.ContainsFunc(b.local, fit) {
		b.lastSpillAt = b.now
		better := func(s *refServer) bool { return room(s) && (best == nil || s.load < best.load-b.crossZoneLoadGap) }
		s := cmp.Or(refLeastLoaded(b.remoteAnswers, better), best)
		if s != nil || slices.ContainsFunc(b.localAnswers, b.saturated) {
			return s
		}
	}
	doubtful := func(s *refServer) bool { return !b.saturated(s) && b.mayAttempt(r, s) }
	for _, fit := range [2]func(*refServer) bool{fit, doubtful} {
		if s := cmp.Or(b.nextInOrder(b.local, fit), b.nextInOrder(b.remote, fit)); s != nil {
			return s
		}
	}
	return nil
}

func (b *refBalancer) hasRecentReport(s *refServer) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

func (b *refBalancer) saturated(s *refServer) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.saturationThreshold
}

func (b *refBalancer) mayAttempt(r *refRequest, s *refServer) bool {
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

func refLeastLoaded(pool []*refServer, fit func(*refServer) bool) *refServer {
	return refMinimum(pool, fit, func(s *refServer) float64 { return s.load })
}

func (b *refBalancer) hasGroup(r *refRequest) bool { return b.settings.GroupAffinity && r.Group != "" }

func (b *refBalancer) preferredInZone(r *refRequest, list []*refServer) (homes []*refServer) {
	if !b.hasGroup(r) {
		return nil
	}
	group, most := refHashString(r.Group), min(maxPreferredServers, (len(list)+1)/2)
	keys := make([]float64, 0, maxPreferredServers+1)
	homes = make([]*refServer, 0, maxPreferredServers+1)
	for _, s := range list {
		key := refRendezvousDistance(group, s)
		i := len(keys)
		for i > 0 && key < keys[i-1] {
			i--
		}
		if i < most {
			keys, homes = slices.Insert(keys, i, key), slices.Insert(homes, i, s)
			n := min(len(keys), most)
			keys, homes = keys[:n], homes[:n]
		}
	}
	return homes
}

func (b *refBalancer) probeForRequest(r *refRequest) {
	known := b.hasGroup(r) || slices.ContainsFunc(b.localAnswers, func(s *refServer) bool {
		return b.hasRecentReport(s) && s.load < b.capacityThreshold && b.withinSlowStartQuota(r, s)
	})
	homes, far := b.preferredServers(r)
	for i, targets := range [2][]*refServer{homes, far} {
		list := [2][]*refServer{b.local, b.remote}[i]
		settled := i == 0 && len(targets) > 0 && targets[0].load < b.capacityThreshold &&
			b.now-targets[0].reportedAt < b.onDemandProbeInterval()
		if !b.settings.ProbingAllowed || settled || i > 0 && !b.spillingOver() && !b.hasGroup(r) {
			return
		}
		targets = targets[:min(onDemandProbes, len(targets))]
		for n := 0; !known && n < min(onDemandProbes, len(list)); n++ {
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

func (b *refBalancer) onDemandProbeInterval() time.Duration {
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval,
		onDemandProbeIntervalOfFleet/time.Duration(b.settings.Balancers)))
}

func (b *refBalancer) warming(s *refServer) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

func (b *refBalancer) withinSlowStartQuota(r *refRequest, s *refServer) bool {
	if !b.warming(s) || s.Zone != b.settings.Zone {
		return !b.warming(s)
	}
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
	rules := b.settings.Safety
	if b.now >= s.slowStartQuotaUntil {
		age := float64(b.now-s.Started) / float64(rules.SlowStartDuration)
		part := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		span := max(rules.OverloadWindow, tickInterval)
		comes, sharers := b.expectedDemandFor(r, s, span), b.estimatedZoneBalancers()
		work := max(part*b.serverCapacity()*span.Seconds(),
			minSlowStartConnections/max(float64(b.settings.Balancers), sharers))
		use := comes / (1 + comes)
		mine := slowStartSafetyFactor / max(use, minSlowStartUse) * rules.OverloadFactor * work
		if each := b.meanLoadPerConnection(); each > 0 {
			bears := rules.OverloadFactor * part * span.Seconds() / (each * b.meanLifetime())
			mine = max(mine, min(slowStartSafetyFactor*bears/(use*sharers), 1))
		}
		s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(mine+b.rng.Float64()), b.now+span
	}
	return s.slowStartQuota >= min(b.relativeLoad(r), 1)
}

func (b *refBalancer) meanLifetime() float64 {
	if b.closedByClient == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + b.connectionSeconds) / (1 + b.closedByClient)
}

func (b *refBalancer) updateLifetime() {
	fade := 1 - tickInterval.Seconds()/lifetimeDecayTime.Seconds()
	b.connectionSeconds, b.closedByClient = b.connectionSeconds*fade+float64(len(b.requests))*tickInterval.Seconds(),
		b.closedByClient*fade
}

func (b *refBalancer) serverCapacity() float64 {
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

func (b *refBalancer) expectedDemand(r *refRequest, span time.Duration) float64 {
	spread := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		spread = 0
		for _, s := range b.local {
			if b.warming(s) {
				spread++
			}
		}
	}
	return b.recentDemand / demandDecayTime.Seconds() * span.Seconds() / float64(max(spread, 1))
}

func (b *refBalancer) expectedDemandFor(r *refRequest, s *refServer, span time.Duration) float64 {
	mean := b.expectedDemand(r, span)
	if !b.hasGroup(r) || mean == 0 {
		return mean
	}
	window := demandDecayTime.Seconds() / span.Seconds()
	came := s.groupDemand.value(b.now)
	usual := (priorDemand + came) / (priorDemand/mean + window)
	storm := min(1, 2*b.recentResets/b.recentDemand)
	return max(mean, storm*came/window+(1-storm)*usual)
}

func (b *refBalancer) estimatedZoneBalancers() float64 {
	held, own, reports := 0.0, 0.0, 0
	for _, s := range b.local {
		own += float64(len(s.connections))
		if s.loadPerConnection > 0 {
			held, reports = held+min(s.reportedLoad/s.loadPerConnection, maxReportedConnections), reports+1
		}
	}
	if reports == 0 {
		return b.zoneBalancers()
	}
	held *= float64(len(b.local)) / float64(reports)
	chance, most := math.Sqrt(own), b.zoneBalancers()
	if own > chance {
		most = min(most, held/(own-chance))
	}
	return max(most, held/(own+chance+1), 1)
}
