package decide

// The decisions. The interface (settings, events, actions) is in decide/api.go.
// The design is a resolver's: a list of ready servers, polled and cached, own zone first; see docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Times.
const (
	tick                         = 250 * time.Millisecond  // periodic work: probes, polls, moves
	basePollInterval             = 10 * time.Second        // period of the poll, and what each balancer adds,
	pollIntervalPerBalancer      = 100 * time.Millisecond  // as the list service does not grow with the fleet
	maxFirstPollDelay            = time.Second             // the first poll comes within this
	pollRetryDelay               = time.Second             // first wait after a failed call, doubled and jittered
	bootstrapTimeout             = 5 * time.Second         // the design's timeout: no server answers for so long
	maxReportAge                 = 10 * time.Second        // an older answer says nothing
	maxOnDemandProbeInterval     = 2 * time.Second         // a group's servers are asked again after this, in a large fleet
	minOnDemandProbeInterval     = 250 * time.Millisecond  // sooner, down to this: a report is hardly newer,
	onDemandProbeIntervalOfFleet = 8 * time.Second         // divided by the balancers, each of which makes it out of date,
	overloadProbeInterval        = 500 * time.Millisecond  // so old a report of a server short of room is asked for again
	defaultLifetime              = 30 * time.Second        // a connection that stands counts as placed once in so long
	onDemandProbeTimeout         = 60 * time.Millisecond   // and the request waits this long for their answers
	slowMessagesPeriod           = 2 * time.Second         // a note of slow messages counts so long; it comes each second
	migrationSettlePeriod        = 2500 * time.Millisecond // a report may take so long to show what was moved
	spillOverPeriod              = 5 * time.Second         // how long other zones are probed after a spill
	baseEjectionTime             = 4 * time.Second         // outlier ejection: first time out, doubled on and on,
	maxEjectionTime              = 30 * time.Second        // at most this
	rejectionEjectionTime        = time.Second             // a full server is left alone for this
	baseRetryAfter               = 200 * time.Millisecond  // a refused client is told to stay away for this, up to twice
	maxReportLag                 = 600 * time.Millisecond  // for so long a report may not show a placement yet
	attemptDecayTime             = 10 * time.Second        // memory of attempts for throttling
	demandDecayTime              = 2 * time.Second         // memory of the requests that come
	establishRateWindow          = 20 * time.Second        // memory of the rate of connections set up
	capacityWindow               = 60 * time.Second        // memory of what a warm server can take
	recordRetention              = 60 * time.Second        // clients' last servers, and servers gone
)

// Loads are over capacity, as servers report them.
const (
	maxLoadWithCapacity  = 0.7  // under this a server has room; when none has, other zones come in
	saturationLoad       = 0.8  // above this a server gets nothing new
	unreportedLoadMargin = 0.1  // less for room, and half of it for full, as others place what no report shows yet
	migrationLoad        = 0.95 // above this, or moveTarget when its messages are slow, it loses connections,
	migrationTargetLoad  = 0.75 // until it is down to this
	maxReportedLoad      = 100  // a report of more is spoilt: by it all would be moved off, or booked too dear
)

// Counts and parts.
const (
	maxAnswers              = 8    // answers kept to choose from
	maxPlacementsPerReport  = 2    // placements on one answer, so that few balancers follow the same one
	probeCostFraction       = 0.01 // worth spent on probes, as a part of what is placed,
	minProbeRate            = 0.5  // and probes a second when little is placed
	fullRateProbers         = 4.0  // shared out where more balancers than this hold nothing
	probesPerAnyServer      = 4    // one steady probe in so many is the pool's where a balancer holds few connections
	maxProbeDebt            = 4    // probes ahead of the steady ones, for servers with slow messages
	onDemandProbes          = 2    // servers of a zone that are asked for a request when none is known to have room
	maxPreferredServers     = 3    // servers of a group in a zone, and no more than half of the zone's
	groupOpeningConnections = 5.0  // price of opening a group at a server, in connections; it pays 3 while it holds any
	maxEjectedFraction      = 0.5  // part of the cache that may be ejected at once
	slowStartSafetyFactor   = 0.5  // part of the slow-start budget that is used where each balancer has requests;
	minSlowStartUse         = 0.4  // else its part lies idle at times, and may be larger, by one over this at most
	maxDialWindow           = 64.0 // dials that may be out at most
	minAttemptSetups        = 2    // a dial waits for this multiple of the usual set-up time at least,
	setupTimeSamples        = 8    // which is averaged over so many
	minSlowStartConnections = 0.2  // connections that all together may send a cold server before they know more
	minQueueLength          = 4    // requests that may wait for room in any case
	freeFailures            = 4.0  // attempts that may have run in vain beyond as many as stood
)

// ---- discovery: poll, cache, bootstrap

func (b *Balancer) start() {
	b.lastAnswerAt = b.now
	b.emit(SetTimer{Token: timerTick, Delay: 1 + b.jitter(tick)})
	// The restored list may be stale: what has changed since counts as told soon, asked or not.
	b.pollAt = b.now + b.jitter(min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval)))
}

// pollInterval spreads the calls of all balancers over what one list service can answer.
func (b *Balancer) pollInterval() time.Duration {
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + time.Duration(b.fleet.Fleet)*pollIntervalPerBalancer
}

// poll makes the period's one call: the cheap one where a subscription brings only changes.
func (b *Balancer) poll() {
	b.pollAt = b.now + b.pollInterval()
	if b.settings.WatchList {
		b.emit(WatchList{})
	} else {
		b.emit(FetchList{})
	}
}

func (b *Balancer) applyList(ev ListReceived) {
	if ev.Kind == ListFailed {
		// Guards against a list service that is down or swamped: backoff with jitter; see also Reach.
		wait := min(pollRetryDelay<<min(b.pollFailures, 5), b.pollInterval())
		b.pollFailures++
		b.pollAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	b.pollFailures = 0
	b.listVersion++
	changed := make([]*server, 0, len(ev.Servers))
	for _, line := range ev.Servers {
		s := b.listedServerRecord(line.ID)
		if line.Started != s.Started { // a restart: what was known is void
			*s = server{Server: s.Server, cacheOrder: s.cacheOrder, notReadySince: s.notReadySince, connections: s.connections, connectionsByGroup: s.connectionsByGroup,
				entry: s.entry}
		}
		b.setState(s, line.State)
		s.Server, s.entry.listVersion = line, b.listVersion
		changed = append(changed, s)
	}
	if ev.Kind != ListDelta {
		for _, s := range b.servers {
			if s.entry.listVersion != b.listVersion && s.State != Removed {
				b.setState(s, Removed)
				changed = append(changed, s)
			}
		}
	}
	b.applyChangedServers(changed)
	gone := func(s *server) bool { return s.State != Ready }
	b.localAnswers, b.remoteAnswers = slices.DeleteFunc(b.localAnswers, gone), slices.DeleteFunc(b.remoteAnswers, gone)
	b.retryWaiting()
}

// bootstrap clears the cache when no server has answered within the timeout: a fresh list is fetched,
// and until it comes the last list's ready servers are tried again with nothing held against them.
func (b *Balancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.lastAnswerAt)})
	b.lastAnswerAt, b.allFailing, b.localAnswers = b.now, false, b.localAnswers[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.reindexAll(b.ready)
	b.emit(FetchList{})
}

// ---- placement

func (b *Balancer) requestArrived(ev RequestArrived) {
	b.lastToken++
	r := &request{RequestArrived: ev, timerToken: b.lastToken, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.requestsByToken[r.timerToken] = r, r
	b.recentDemand++
	b.emit(SetTimer{Token: r.timerToken, Delay: ev.Remaining})
	b.probeForRequest(r)
	b.place(r, len(b.waiting))
}

// place makes the next attempt for r, before which so many wait, holds it, or answers it.
func (b *Balancer) place(r *request, before int) {
	if r.attempts >= b.settings.MaxAttempts || b.now >= r.deadline {
		b.finish(r)
		return
	}
	var s *server
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
	// Attempt time-outs leave room for the attempts that remain, unless set-ups take long everywhere (a slow
	// session store, say): another server would not be quicker, and the store would do the work twice.
	left := r.deadline - b.now
	wait := min(left, max(left/time.Duration(b.settings.MaxAttempts-r.attempts), minAttemptSetups*b.setupTime))
	r.server, r.inFlight = s, true
	b.dialing++
	r.attempts++
	r.triedServers = append(r.triedServers, s.ID)
	if r.executedOn == nil {
		r.firstSentAt = b.now
	}
	b.emit(StartAttempt{ID: r.ID, Server: s.ID, Timeout: wait})
}

// wouldExpireWaiting tells that more wait before r than come to stand, at the pace of late, before its time is up. It
// is refused at once then: guards against a crowd that all waits in vain, and comes back to wait again.
func (b *Balancer) wouldExpireWaiting(r *request, before int) bool {
	return float64(before) > max(minQueueLength, b.recentEstablished/attemptDecayTime.Seconds()*(r.deadline-b.now).Seconds())
}

// throttled guards what all servers share (a session store) against retry storms, in two ways. Adaptive
// throttling: attempts that may have run in vain stay within as many as stood, and a few. A window on the
// dials that are out, halved by time-outs and opened by set-ups: time-outs mean work done for nothing.
func (b *Balancer) throttled() bool {
	return b.recentFailures > freeFailures+b.recentEstablished || b.dialing >= int(b.dialWindow)
}

// reservePlacement books a placement against the server's answer and, while it is cold, its slow-start budget.
func (b *Balancer) reservePlacement(r *request, s *server) {
	s.placementsOnReport++
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.waiting) > 0 { // others hold requests too and rush to the room shown
		b.removeAnswer(s)
	}
	b.reserve(r, s, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)))
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

// pick chooses a server for r, or nil when none may take it now.
func (b *Balancer) pick(r *request) *server {
	was := b.clients[r.Key] // none is kept for the empty key
	if s := b.servers[was.server]; r.MidFlow && r.attempts == 0 && s != nil && was.endedAt > 0 && !was.avoid {
		// Only the server that holds a connection can go on with it in mid-flow, even while it drains.
		if s.State == Ready || b.now-s.notReadySince < b.settings.Safety.DrainGrace {
			return s
		}
	}
	fit := func(s *server) bool {
		b.visits++
		return !(was.avoid && s.ID == was.server) && b.now >= s.ejectedUntil && !b.saturated(s) && b.mayAttempt(r, s)
	}
	known := func(s *server) bool {
		return fit(s) && b.hasRecentReport(s) && s.load+b.groupOpeningLoad(r, s) < b.saturationThreshold
	}
	room := func(s *server) bool { return known(s) && s.load+b.groupOpeningLoad(r, s) < b.capacityThreshold }
	homes, away := b.preferredServers(r)
	if s := firstMatching(homes, room); s != nil {
		return s
	}
	if s := firstMatching(away, room); s != nil { // it is home to the group in its zone, most likely
		b.lastSpillAt = b.now
		return s
	}
	if s := firstMatching(homes, known); s != nil {
		return s
	}
	// Guards against a crowd that strews its groups: a server pays for each that it holds any of, so a fleet
	// short of room loses what is left of it, and does not come out of it by itself. They wait for room.
	short := func(s *server) bool { return b.saturated(s) || b.warming(s) }
	if slices.ContainsFunc(homes, short) || slices.ContainsFunc(away, short) {
		blind := func(s *server) bool { return fit(s) && !b.hasRecentReport(s) }
		homes, away = homes[:min(onDemandProbes, len(homes))], away[:min(onDemandProbes, len(away))]
		return cmp.Or(firstMatching(homes, blind), firstMatching(away, blind))
	}
	if s := cmp.Or(firstMatching(homes, fit), firstMatching(away, fit)); s != nil {
		return s
	}
	best := leastLoaded(b.localAnswers, known)
	if best != nil && best.load < b.capacityThreshold {
		return best
	}
	// Short of room, a cold server takes what its slow start allows, asked or not: it has just begun.
	if s := b.nextInOrder(b.local, b.localZone.warming, func(s *server) bool { return b.warming(s) && fit(s) }); s != nil {
		return s
	}
	// Fresh answers that leave little room say more of the zone than a server of which nothing is known.
	// Spillover: then, and only then, other zones get what a fresh answer there makes room for.
	// So they do where no server of the zone is fit, as when its only one fails: guards against blind turns.
	if best != nil || slices.ContainsFunc(b.localAnswers, b.saturated) || !slices.ContainsFunc(b.local, fit) {
		b.lastSpillAt = b.now
		better := func(s *server) bool { return room(s) && (best == nil || s.load < best.load-b.crossZoneLoadGap) }
		s := cmp.Or(leastLoaded(b.remoteAnswers, better), best)
		if s != nil || slices.ContainsFunc(b.localAnswers, b.saturated) {
			return s
		}
	}
	// Where nothing is well, rather a doubtful server than none, but never one known to be full.
	doubtful := func(s *server) bool { return !b.saturated(s) && b.mayAttempt(r, s) }
	for _, fit := range [2]func(*server) bool{fit, doubtful} {
		if s := cmp.Or(b.nextInOrder(b.local, b.local, fit), b.nextInOrder(b.remote, b.remote, fit)); s != nil {
			return s
		}
	}
	return nil
}

// hasRecentReport tells whether the server's answer still counts.
func (b *Balancer) hasRecentReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

// saturated tells whether a server has no room: one above its capacity serves badly all that it holds, so new
// connections are rather held back for a while than placed there.
func (b *Balancer) saturated(s *server) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.saturationThreshold
}

// mayAttempt tells whether the rules let r go to s now.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	if slices.Contains(r.triedServers, s.ID) || !b.withinSlowStartQuota(r, s) {
		return false
	}
	c := b.classOf(r)
	switch {
	case r.executedOn == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NotIdempotent || b.now+b.settings.ConnectTimeout >= r.firstSentAt+c.DedupWindow: // sent once dialled
		return false
	}
	return c.KeyScope == ScopeAll || s.Zone == r.executedOn.Zone && (c.KeyScope == ScopeZone || s.Cell == r.executedOn.Cell)
}

// leastLoaded is the pool's choice: the least load over capacity among its answers.
func leastLoaded(pool []*server, fit func(*server) bool) *server {
	return minimum(pool, fit, func(s *server) float64 { return s.load })
}

func (b *Balancer) hasGroup(r *request) bool { return b.settings.GroupAffinity && r.Group != "" }

// preferredInZone keeps a group together where connections of a group share work: it gives the servers of a zone
// that come first for the group by rendezvous hashing, equal at all balancers, larger ones more often.
// The first with room takes the connection. There are none for a request without a group.
func (b *Balancer) preferredInZone(r *request, z *zoneIndex) []*server {
	if !b.hasGroup(r) {
		return nil
	}
	return b.preferredForGroup(z, hashString(r.Group), min(maxPreferredServers, (len(z.ready)+1)/2))
}

// probeForRequest probes, ahead of the steady probes, the servers that a request depends on: its group's, or a few in
// cache order when no answer in the pool shows room. The request waits a moment for the answers. Where the
// group's first server showed room of late, that is enough.
func (b *Balancer) probeForRequest(r *request) {
	known := b.hasGroup(r) || slices.ContainsFunc(b.localAnswers, func(s *server) bool {
		return b.hasRecentReport(s) && s.load < b.capacityThreshold && b.withinSlowStartQuota(r, s)
	})
	homes, far := b.preferredServers(r)
	for i, targets := range [2][]*server{homes, far} {
		list := [2][]*server{b.local, b.remote}[i]
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
			if b.now >= s.ejectedUntil && b.now-s.reportedAt > b.onDemandProbeInterval() && b.now-s.probedOnDemandAt > b.onDemandProbeInterval() {
				s.probedOnDemandAt, r.notBefore = b.now, b.now+onDemandProbeTimeout
				b.emit(Probe{Server: s.ID})
				b.emit(SetTimer{Token: timerRetryWaiting, Delay: onDemandProbeTimeout})
			}
		}
	}
}

// onDemandProbeInterval is how long a report counts for what depends on it: the more balancers place by it, the shorter.
func (b *Balancer) onDemandProbeInterval() time.Duration {
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval, onDemandProbeIntervalOfFleet/time.Duration(b.fleet.Fleet)))
}

func (b *Balancer) warming(s *server) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

// withinSlowStartQuota keeps this balancer within its part of what a cold server may be sent. The part is drawn anew
// for each time in which a server can fall over: parts saved up by many would fall on it together.
func (b *Balancer) withinSlowStartQuota(r *request, s *server) bool {
	if !b.warming(s) || s.Zone != b.settings.Zone || !b.fleet.Admitted {
		return !b.warming(s) // its budget is shared out among the balancers of its own zone that are admitted
	}
	b.recordGroupDemand(r, s)
	rules := b.settings.Safety
	if b.now >= s.slowStartQuotaUntil {
		age := float64(b.now-s.Started) / float64(rules.SlowStartDuration)
		part := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		span := max(rules.OverloadWindow, tick)
		comes, sharers := b.expectedDemandFor(r, s, span), b.estimatedZoneBalancers()
		work := max(part*b.serverCapacity()*span.Seconds(), minSlowStartConnections/max(float64(b.fleet.Fleet), sharers))
		use := comes / (1 + comes) // the part of such times in which one comes for it
		mine := slowStartSafetyFactor / max(use, minSlowStartUse) * rules.OverloadFactor * work
		if each := b.meanLoadPerConnection(); each > 0 {
			// By demand: of what comes for it, were all to see what this one does, the part that it bears.
			// Guards against parts drawn where no request is, while others hold requests that drew none.
			bears := rules.OverloadFactor * part * span.Seconds() / (each * b.meanLifetime())
			mine = max(mine, min(slowStartSafetyFactor*bears/(use*sharers), 1))
		}
		s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(mine+b.rng.Float64()), b.now+span
	}
	return s.slowStartQuota >= min(b.relativeLoad(r), 1)
}

func (b *Balancer) connectionEstablished(ev Established) {
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
	b.addConnection(r)
	delete(b.requestsByToken, r.timerToken)
	b.retryWaiting()
}

func (b *Balancer) attemptEnded(ev AttemptEnded) {
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
		b.setupTime += (max(minAttemptSetups*ev.Elapsed, b.setupTime) - b.setupTime) / setupTimeSamples
		if b.now-b.dialWindowHalvedAt > tick {
			b.dialWindow, b.dialWindowHalvedAt = max(b.dialWindow/2, 1), b.now
		}
	}
	if r.established || ev.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.finish(r) // only safe requests move on after a time-out
		return
	}
	b.place(r, len(b.waiting))
}

// recordOutcome is the outlier ejection: a server that fails fast, hangs or breaks connections is left out a while.
func (b *Balancer) recordOutcome(s *server, code Code) {
	switch code {
	case OK:
		b.recordSuccess(s)
	case Rejected:
		b.recordAnswer()
		s.ejectedUntil = max(s.ejectedUntil, b.now+rejectionEjectionTime)
		b.reindex(s)
	case ServerError, TimedOut, ConnectFailed, Reset:
		if code == ServerError || !b.allFailing {
			b.lastAnswerAt, b.allFailing = b.now, code != ServerError
		} else if b.now-b.lastAnswerAt > bootstrapTimeout {
			b.bootstrap()
		}
		s.consecutiveFailures++
		b.eject(s, min(baseEjectionTime<<min(s.consecutiveFailures-1, 4), maxEjectionTime))
	}
}

func (b *Balancer) eject(s *server, d time.Duration) {
	if b.now >= s.ejectedUntil && float64(b.ejectedExcept(s)+1) <= maxEjectedFraction*float64(len(b.ready)) {
		s.ejectedUntil = b.now + d
		b.reindex(s)
		b.removeAnswer(s)
	}
}

// finish gives the final answer: a refusal where trying again is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || r.executedOn == nil && !r.inFlight || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		rest := baseRetryAfter
		if len(b.waiting) > minQueueLength { // longer while others wait, so that they are served first
			rest = max(rest, b.settings.MaxRetryAfter/2)
		}
		b.emit(Reject{ID: r.ID, RetryAfter: min(rest+b.jitter(rest), b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forget(r)
}

func (b *Balancer) probeCompleted(ev ProbeCompleted) {
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
	b.reindex(s)
	if s.State != Ready {
		return
	}
	if s.entry.zone == b.localZone {
		b.localAnswers = addAnswer(b.localAnswers, s)
		b.updateMeanLoad(s.load)
	} else {
		b.remoteAnswers = addAnswer(b.remoteAnswers, s)
	}
	if !b.saturated(s) {
		b.retryWaiting()
	}
}

// messageDelayReported: the servers' own word that they are overloaded; it is repeated once a second while it holds.
func (b *Balancer) messageDelayReported(ev MessageDelayReported) {
	s, r := b.serverRecord(ev.Server), b.requests[ev.ID]
	if r == nil {
		return
	}
	s.slowUntil = 0
	if aim := b.classOf(r).MessageLatencyObjective; aim > 0 && ev.Delay > aim/2 {
		s.slowUntil = b.now + slowMessagesPeriod
		if s.State == Ready && b.now-s.reportedAt > time.Second && b.probeCredit > -maxProbeDebt && b.settings.ProbingAllowed {
			b.probeCredit-- // steady probes wait until this one is earned
			b.emit(Probe{Server: s.ID})
		}
	}
}

func (b *Balancer) timerFired(token uint64) {
	switch {
	case token == timerRetryWaiting:
		b.retryWaiting()
		return
	case token != timerTick:
		if r := b.requestsByToken[token]; r != nil {
			b.finish(r) // the client's time is up
		}
		return
	}
	b.emit(SetTimer{Token: timerTick, Delay: tick})
	b.updateEstimates()
	if b.now >= b.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.migrateFromOverloaded()
	b.probePeriodically()
	b.expireClients()
}

// retryWaiting tries the held requests again.
func (b *Balancer) retryWaiting() {
	for left := len(b.waiting) - 1; left >= 0; left-- {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.place(r, len(b.waiting)-left) // those that were held again
	}
}

// migrateFromOverloaded moves connections off a server that is asked for more than it can do, and so serves badly all
// that it holds. Every balancer moves the same part of its own, so that together they move what is too much;
// then the report gets time to show it.
func (b *Balancer) migrateFromOverloaded() {
	b.visits += len(b.connected)
	for _, s := range b.connected {
		// By the report alone: it shows most of the placements booked since, the rest may never be too much.
		bad := s.reportedLoad > migrationLoad || b.now < s.slowUntil && s.reportedLoad > migrationTargetLoad
		if bad && b.hasRecentReport(s) && s.reportedAt > s.migratedAt+migrationSettlePeriod {
			s.migratedAt = b.now
			// Rounded by chance, not drawn one by one, which often moves none of a few until the next turn.
			n := int(float64(len(s.connections))*(1-migrationTargetLoad/s.reportedLoad) + b.rng.Float64())
			for _, r := range b.migrationOrder(s)[:min(n, len(s.connections))] {
				r.migrated = true
				b.emit(Migrate{ID: r.ID})
			}
		}
	}
}

// migrationOrder orders a server's connections for moving: those of groups of which it holds fewest first, as far
// as is known, then of those least at home there, equal at all balancers; it stops paying for these.
func (b *Balancer) migrationOrder(s *server) []*request {
	conns := slices.Clone(s.connections)
	b.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	slices.SortStableFunc(conns, func(x, y *request) int {
		return cmp.Or(b.compareGroupSizes(s, x, y), cmp.Compare(rendezvousDistance(hashString(y.Group), s), rendezvousDistance(hashString(x.Group), s)))
	})
	return conns
}

// probePeriodically keeps the steady flow of probes, mostly over own-zone cached servers, as many as their price allows.
func (b *Balancer) probePeriodically() {
	if !b.settings.ProbingAllowed || len(b.local) == 0 {
		return
	}
	worth := max(b.establishRate, float64(len(b.requests))/defaultLifetime.Seconds()) // in requests a second
	own, near := b.connected, b.local
	least := minProbeRate
	if len(own) == 0 { // nothing to watch over: all such together probe as a few do
		least *= min(1, fullRateProbers/float64(b.fleet.Fleet))
	}
	rate := max(least, worth*probeCostFraction/cmp.Or(b.settings.Costs.Probe, math.Inf(1)))
	away, unseen, hot := b.remote, b.remoteZone.unprobed, [2]orderedServers{b.remoteZone.connected, b.localZone.busy}
	if !b.spillingOver() { // Guards against a server elsewhere whose overload nobody tells: those that hold own
		away, unseen = b.remoteZone.connected, b.remoteZone.connected // connections are looked at, or these would stay there.
	}
	// One of many balancers holds connections at few servers. What it learns of the others serves nobody: a
	// request asks for what it depends on. Guards against a fleet that probes more than it places, and yet
	// finds late what overloads its own connections.
	if len(own) > 0 && len(own) < len(b.local) {
		near, away, unseen, hot = own, nil, nil, [2]orderedServers{own}
	}
	if s := firstMatching(unseen, func(s *server) bool { return s.reportedAt == 0 && b.now-s.probedOnDemandAt > maxOnDemandProbeInterval }); s != nil {
		s.probedOnDemandAt = b.now // one that was never looked at comes ahead of the steady probes
		b.emit(Probe{Server: s.ID})
	}
	b.overloadProbeCredit = min(b.overloadProbeCredit+rate*tick.Seconds(), maxProbeDebt)
	for _, list := range hot {
		b.probeOverloaded(list)
	}
	b.probeCredit = min(b.probeCredit+min(rate, float64(len(b.local)))*tick.Seconds(), maxAnswers)
	for ; b.probeCredit >= 1; b.probeCredit-- {
		if b.probeCount++; b.probeCount%2 == 0 && len(away) > 0 {
			b.emit(Probe{Server: away[b.probeCount/2%len(away)].ID})
			continue
		}
		from := near
		if b.probeCount%probesPerAnyServer == 0 { // the pool is fed all the same
			from = b.local
		}
		b.probeCursor++
		b.emit(Probe{Server: from[b.probeCursor%len(from)].ID})
	}
}

// probeOverloaded guards against overload that is found late: all that such a server holds is served badly
// meanwhile.
func (b *Balancer) probeOverloaded(list []*server) {
	for _, s := range list {
		if b.overloadProbeCredit < 1 {
			return
		}
		b.visits++
		if s.load > b.capacityThreshold && b.now-max(s.reportedAt, s.probedOnDemandAt) >= overloadProbeInterval {
			s.probedOnDemandAt = b.now
			b.overloadProbeCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
}
