package decide

// The part of the reference implementation that handles outcomes: retries, ejection, admission, probe answers,
// migration and periodic probes.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (b *referenceBalancer) connectionEstablished(ev Established) {
	b.recordSuccess(b.serverRecord(ev.Server))
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || !r.inFlight || r.established {
		return
	}
	r.established = true
	b.setupTime += (ev.Elapsed - b.setupTime) / setupTimeSamples
	b.dialing--
	b.dialWindow = min(b.dialWindow+1/b.dialWindow, maxDialWindow)
	b.establishedThisTick++
	b.recentEstablished++
	r.server.addConnection(r)
	delete(b.requestsByToken, r.timerToken)
	b.retryWaiting()
}

func (b *referenceBalancer) attemptEnded(ev AttemptEnded) {
	s, r := b.serverRecord(ev.Server), b.requests[ev.ID]
	b.recordOutcome(s, ev.Code)
	if r == nil || !r.inFlight || r.server != s || ev.Attempt != r.attempts-1 {
		return
	}
	if !r.established {
		b.dialing--
		if !ev.Code.NeverExecuted() {
			b.recentFailures++
		}
	}
	r.inFlight = false
	if ev.Final {
		if r.established {
			b.rememberClient(r, ev.Code)
		}
		b.forget(r)
		return
	}
	if !ev.Code.NeverExecuted() && r.executedOn == nil {
		r.executedOn = s
	}
	if ev.Code == TimedOut {
		b.setupTime += (max(setupTimeFactor*ev.Elapsed, b.setupTime) - b.setupTime) / setupTimeSamples
		if b.now-b.dialWindowHalvedAt > tickInterval {
			b.dialWindow, b.dialWindowHalvedAt = max(b.dialWindow/2, 1), b.now
		}
	}
	if r.established || ev.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.finish(r)
		return
	}
	b.place(r, len(b.waiting))
}

func (b *referenceBalancer) recordOutcome(s *referenceServer, code Code) {
	switch code {
	case OK:
		b.recordSuccess(s)
	case Rejected:
		b.recordAnswer()
		s.ejectedUntil = max(s.ejectedUntil, b.now+rejectionEjectionTime)
	case ServerError, TimedOut, ConnectFailed, Reset:
		if code == ServerError || !b.failing {
			b.noAnswerSince, b.failing = b.now, code != ServerError
		} else if b.now-b.noAnswerSince > bootstrapTimeout {
			b.bootstrap()
		}
		s.consecutiveFailures++
		b.eject(s, min(baseEjectionTime<<min(s.consecutiveFailures-1, 4), maxEjectionTime))
	}
}

func (b *referenceBalancer) eject(s *referenceServer, d time.Duration) {
	out := 0
	for _, o := range b.ready {
		if o != s && b.now < o.ejectedUntil {
			out++
		}
	}
	if b.now >= s.ejectedUntil && float64(out+1) <= maxEjectedFraction*float64(len(b.ready)) {
		s.ejectedUntil = b.now + d
		b.removeAnswer(s)
	}
}

func (b *referenceBalancer) finish(r *referenceRequest) {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || r.executedOn == nil && !r.inFlight || c.Idempotency == IdempotentByKey &&
		c.KeyScope == ScopeAll {
		delay := baseRetryAfter
		if len(b.waiting) > minQueueLength {
			delay = max(delay, b.settings.MaxRetryAfter/2)
		}
		b.emit(Reject{ID: r.ID, RetryAfter: min(delay+b.jitter(delay), b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forget(r)
}

func (b *referenceBalancer) probeCompleted(ev ProbeCompleted) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if ev.Code != OK {
		b.recordOutcome(s, ev.Code)
		return
	}
	b.recordAnswer()
	if !(ev.Report.Load >= 0 && ev.Report.Load <= maxReportedLoad) {
		return
	}
	s.load, s.reportedAt, s.placementsOnReport = ev.Report.Load+s.pendingReservations(b.now), b.now, 0
	s.recordReport(ev.Report)
	if s.State != Ready {
		return
	}
	if slices.Contains(b.local, s) {
		b.localAnswers = referenceAddAnswer(b.localAnswers, s)
		b.updateMeanLoad(s.load)
	} else {
		b.remoteAnswers = referenceAddAnswer(b.remoteAnswers, s)
	}
	if !b.saturated(s) {
		b.retryWaiting()
	}
}

func (b *referenceBalancer) messageDelayReported(ev MessageDelayReported) {
	s, r := b.serverRecord(ev.Server), b.requests[ev.ID]
	if r == nil {
		return
	}
	s.slowUntil = 0
	if objective := b.classOf(r).MessageLatencyObjective; objective > 0 && ev.Delay > objective/2 {
		s.slowUntil = b.now + slowMessagesPeriod
		if s.State == Ready && b.now-s.reportedAt > time.Second && b.probeCredit > -maxProbeDebt &&
			b.settings.ProbingAllowed {
			b.probeCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
}

func (b *referenceBalancer) timerFired(token uint64) {
	switch {
	case token == retryWaitingToken:
		b.retryWaiting()
		return
	case token != tickToken:
		if r := b.requestsByToken[token]; r != nil {
			b.finish(r)
		}
		return
	}
	b.emit(SetTimer{Token: tickToken, Delay: tickInterval})
	b.updateEstimates()
	if b.now >= b.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.migrateFromOverloaded()
	b.probePeriodically()
	b.expireClients()
}

func (b *referenceBalancer) retryWaiting() {
	for left := len(b.waiting) - 1; left >= 0; left-- {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.place(r, len(b.waiting)-left)
	}
}

func (b *referenceBalancer) migrateFromOverloaded() {
	for _, s := range b.ready {
		overloaded := s.reportedLoad > migrationLoad || b.now < s.slowUntil && s.reportedLoad > migrationTargetLoad
		if len(s.connections) > 0 && overloaded && b.hasRecentReport(s) &&
			s.reportedAt > s.migratedAt+migrationSettlePeriod {
			s.migratedAt = b.now
			n := int(float64(len(s.connections))*(1-migrationTargetLoad/s.reportedLoad) + b.rng.Float64())
			for _, r := range b.migrationOrder(s)[:min(n, len(s.connections))] {
				r.migrated = true
				b.emit(Migrate{ID: r.ID})
			}
		}
	}
}

func (b *referenceBalancer) migrationOrder(s *referenceServer) []*referenceRequest {
	conns := slices.Clone(s.connections)
	b.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	slices.SortStableFunc(conns, func(x, y *referenceRequest) int {
		return cmp.Or(b.compareGroupSizes(s, x, y), cmp.Compare(referenceDistance(referenceHash(y.Group), s),
			referenceDistance(referenceHash(x.Group), s)))
	})
	return conns
}

func (b *referenceBalancer) probePeriodically() {
	if !b.settings.ProbingAllowed || len(b.local) == 0 {
		return
	}
	requestRate := max(b.establishRate, float64(len(b.requests))/defaultLifetime.Seconds())
	own, near := referenceConnected(b.ready), b.local
	minRate := minProbeRate
	if len(own) == 0 {
		minRate *= min(1, fullRateProbers/float64(b.settings.Balancers))
	}
	rate := max(minRate, requestRate*probeCostFraction/cmp.Or(b.settings.Costs.Probe, math.Inf(1)))
	remote, overloads := b.remote, append(referenceConnected(b.remote), b.local...)
	if !b.spillingOver() {
		remote = referenceConnected(b.remote)
	}
	if len(own) > 0 && len(own) < len(b.local) {
		near, remote, overloads = own, nil, own
	}
	if s := referenceFirstMatching(remote, func(s *referenceServer) bool {
		return s.reportedAt == 0 && b.now-s.probedOnDemandAt > maxOnDemandProbeInterval
	}); s != nil {
		s.probedOnDemandAt = b.now
		b.emit(Probe{Server: s.ID})
	}
	b.overloadProbeCredit = min(b.overloadProbeCredit+rate*tickInterval.Seconds(), maxProbeDebt)
	for _, s := range overloads {
		if s.load > b.capacityThreshold && b.now-max(s.reportedAt, s.probedOnDemandAt) >= overloadProbeInterval &&
			b.overloadProbeCredit >= 1 {
			s.probedOnDemandAt = b.now
			b.overloadProbeCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
	b.probeCredit = min(b.probeCredit+min(rate, float64(len(b.local)))*tickInterval.Seconds(), maxAnswers)
	for ; b.probeCredit >= 1; b.probeCredit-- {
		if b.probeCount++; b.probeCount%2 == 0 && len(remote) > 0 {
			b.emit(Probe{Server: remote[b.probeCount/2%len(remote)].ID})
			continue
		}
		from := near
		if b.probeCount%wholeListProbePeriod == 0 {
			from = b.local
		}
		b.probeCursor++
		b.emit(Probe{Server: from[b.probeCursor%len(from)].ID})
	}
}

func (b *referenceBalancer) ExportLearned() (all []LearnedState) {
	for _, s := range b.ready {
		l := LearnedState{Server: s.ID, Load: s.reportedLoad, Age: -1, LoadPerConnection: s.loadPerConnection,
			ConsecutiveFailures: s.consecutiveFailures, EjectedFor: max(s.ejectedUntil-b.now, 0)}
		if s.reportedAt > 0 {
			l.Age = b.now - s.reportedAt
		}
		all = append(all, l)
	}
	return all
}

func (b *referenceBalancer) ImportLearned(all []LearnedState) {
	for _, l := range all {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		if l.ConsecutiveFailures > 0 && l.EjectedFor > 0 {
			s.consecutiveFailures, s.ejectedUntil = l.ConsecutiveFailures, b.now+min(l.EjectedFor, maxEjectionTime)
		}
		if l.LoadPerConnection > 0 && l.LoadPerConnection < 1 {
			s.loadPerConnection = l.LoadPerConnection
		}
		if l.Age >= 0 && l.Age < maxReportAge && l.Load >= 0 {
			s.load, s.reportedLoad, s.reportedAt = l.Load, l.Load, b.now-l.Age
		}
	}
}
