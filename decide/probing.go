package decide

// Probing: which servers are probed for a load report, and when. The evidence is the age of the reports, the demand
// and the cost of a probe, and clients' reports of slow messages. Steady probes keep reports of the zone recent;
// probes on demand go to the servers that a request depends on, and to servers that are short of capacity.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Probes on demand.
const (
	// maxOnDemandProbeInterval is the age at which the report of a server that a request depends on is renewed.
	maxOnDemandProbeInterval = 2 * time.Second
	// minOnDemandProbeInterval is the least such age: reports are hardly newer.
	minOnDemandProbeInterval = 250 * time.Millisecond
	// onDemandProbeIntervalOfFleet is divided by the number of balancers, each of which makes a report out of date.
	onDemandProbeIntervalOfFleet = 8 * time.Second
	// onDemandProbeTimeout is how long a request waits for the answers to its probes.
	onDemandProbeTimeout = 60 * time.Millisecond
	// onDemandProbes is the number of servers of a zone that are probed for a request.
	onDemandProbes = 2
)

// Steady probes.
const (
	// probeCostFraction is the part of the value of the placed requests that is spent on probes.
	probeCostFraction = 0.01
	// minProbeRate is the least number of probes per second.
	minProbeRate = 0.5
	// fullRateProbers is the number of balancers without connections that may all probe at minProbeRate.
	fullRateProbers = 4.0
	// probesPerAnyServer is the number of steady probes of which one goes to any server of the zone, where a balancer
	// has connections at few servers.
	probesPerAnyServer = 4
	// maxProbeDebt is the number of probes that may be made ahead of the steady ones.
	maxProbeDebt = 4
)

const (
	// overloadProbeInterval is the age at which the report of a server short of capacity is renewed.
	overloadProbeInterval = 500 * time.Millisecond
	// slowMessagesPeriod is how long a report of slow messages counts; clients repeat it every second.
	slowMessagesPeriod = 2 * time.Second
	// slowMessagesReportAge is the age at which the report of a server with slow messages is renewed.
	slowMessagesReportAge = time.Second
)

// probeScheduler paces the probes.
type probeScheduler struct {
	cursor         int     // where the next probe of the local list goes, modulo its length
	count          int     // steady probes made
	credit         float64 // steady probes that may be made now; below 0 after probes ahead of them
	overloadCredit float64 // probes of servers short of capacity that may be made now
}

// onDemandProbeInterval returns how long a report counts for a request that depends on it: the more balancers place
// requests by it, the shorter.
func (b *Balancer) onDemandProbeInterval() time.Duration {
	perBalancer := onDemandProbeIntervalOfFleet / time.Duration(b.fleet.Fleet)
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval, perBalancer))
}

// probeForRequest probes, ahead of the steady probes, the servers that a request depends on: its group's preferred
// ones, or a few in the shuffled order when no report shows capacity. The request waits a moment for the answers.
func (b *Balancer) probeForRequest(r *request) {
	capacityKnown := b.hasGroup(r) || b.anyReportedCapacity(r)
	local, remote := b.preferredServers(r)
	if !b.settings.ProbingAllowed || b.firstReportedCapacity(local) {
		return
	}
	b.probeOnDemand(r, local, b.local, capacityKnown)
	if b.spillingOver() || b.hasGroup(r) {
		b.probeOnDemand(r, remote, b.remote, capacityKnown)
	}
}

// anyReportedCapacity reports whether a recent report of the own zone shows capacity for a request.
func (b *Balancer) anyReportedCapacity(r *request) bool {
	return slices.ContainsFunc(b.answers.ownZone, func(s *server) bool {
		return b.hasRecentReport(s) && s.load < b.thresholds.capacity && b.withinSlowStartQuota(r, s)
	})
}

// firstReportedCapacity reports whether the first preferred server showed capacity a moment ago, which is enough.
func (b *Balancer) firstReportedCapacity(preferred []*server) bool {
	return len(preferred) > 0 && preferred[0].load < b.thresholds.capacity &&
		b.now-preferred[0].reportedAt < b.onDemandProbeInterval()
}

// probeOnDemand probes the first of the preferred servers and, unless capacity is known, a few servers of the list.
func (b *Balancer) probeOnDemand(r *request, preferred, list []*server, capacityKnown bool) {
	targets := preferred[:min(onDemandProbes, len(preferred))]
	for n := 0; !capacityKnown && n < min(onDemandProbes, len(list)); n++ {
		b.probes.cursor++
		targets = append(targets, list[b.probes.cursor%len(list)])
	}
	interval := b.onDemandProbeInterval()
	for _, s := range targets {
		if b.now >= s.ejectedUntil && b.now-s.reportedAt > interval && b.now-s.probedOnDemandAt > interval {
			s.probedOnDemandAt, r.notBefore = b.now, b.now+onDemandProbeTimeout
			b.emit(Probe{Server: s.ID})
			b.emit(SetTimer{Token: retryWaitingToken, Delay: onDemandProbeTimeout})
		}
	}
}

// probeCompleted learns from the answer to a probe.
func (b *Balancer) probeCompleted(event ProbeCompleted) {
	s := b.servers[event.Server]
	if s == nil {
		return
	}
	if event.Code != OK {
		b.recordOutcome(s, event.Code)
		return
	}
	b.liveness.recordAnswer(b.now)
	if !(event.Report.Load >= 0 && event.Report.Load <= maxReportedLoad) { // neither is true of NaN
		return
	}
	s.load = event.Report.Load + s.pendingReservations(b.now)
	s.reportedAt, s.placementsOnReport = b.now, 0
	s.recordReport(event.Report)
	b.reindex(s)
	if s.State != Ready {
		return
	}
	b.poolAnswer(s)
	if !b.saturated(s) {
		b.retryWaiting()
	}
}

// poolAnswer makes a server's new report available to the placements.
func (b *Balancer) poolAnswer(s *server) {
	if s.entry.zone != b.localZone {
		b.answers.otherZones = addAnswer(b.answers.otherZones, s)
		return
	}
	b.answers.ownZone = addAnswer(b.answers.ownZone, s)
	b.zoneLoad.add(s.load)
}

// messageDelayReported learns from a client's message delay, by which a server shows that it is overloaded.
func (b *Balancer) messageDelayReported(event MessageDelayReported) {
	s, r := b.serverRecord(event.Server), b.requests.byID[event.ID]
	if r == nil {
		return
	}
	s.slowUntil = 0
	objective := b.classOf(r).MessageLatencyObjective
	if objective <= 0 || event.Delay <= objective/2 {
		return
	}
	s.slowUntil = b.now + slowMessagesPeriod
	outdated := s.State == Ready && b.now-s.reportedAt > slowMessagesReportAge
	if outdated && b.probes.credit > -maxProbeDebt && b.settings.ProbingAllowed {
		b.probes.credit-- // the steady probes wait until this one is earned
		b.emit(Probe{Server: s.ID})
	}
}

// probeTargets are the servers among which the probes of a tick are divided.
type probeTargets struct {
	local     []*server         // steady probes
	remote    []*server         // every second steady probe, if there are any
	unprobed  []*server         // may hold servers that were never probed
	overloads [2]orderedServers // may hold servers short of capacity
}

// probePeriodically makes the probes of a tick, as many as their cost allows.
func (b *Balancer) probePeriodically() {
	if !b.settings.ProbingAllowed || len(b.local) == 0 {
		return
	}
	targets, rate := b.probeTargets(), b.probeRate()
	b.probeNeverProbed(targets.unprobed)
	b.probes.overloadCredit = min(b.probes.overloadCredit+rate*tickInterval.Seconds(), maxProbeDebt)
	for _, list := range targets.overloads {
		b.probeOverloaded(list)
	}
	earned := min(rate, float64(len(b.local))) * tickInterval.Seconds()
	b.probes.credit = min(b.probes.credit+earned, maxAnswers)
	for ; b.probes.credit >= 1; b.probes.credit-- {
		b.probeSteadily(targets)
	}
}

// probeRate returns the number of probes per second that the placed requests pay for. The balancers that have no
// connections to watch over probe as much as a few of them, all together.
func (b *Balancer) probeRate() float64 {
	requestRate := max(b.establishRate.perSecond, float64(len(b.requests.byID))/defaultLifetime.Seconds())
	least := minProbeRate
	if len(b.connected) == 0 {
		least *= min(1, fullRateProbers/float64(b.fleet.Fleet))
	}
	return max(least, requestRate*probeCostFraction/cmp.Or(b.settings.Costs.Probe, math.Inf(1)))
}

// probeTargets chooses the servers to probe: mostly the local list.
func (b *Balancer) probeTargets() probeTargets {
	targets := probeTargets{
		local:     b.local,
		remote:    b.remote,
		unprobed:  b.remoteZone.unprobed,
		overloads: [2]orderedServers{b.remoteZone.connected, b.localZone.busy},
	}
	if !b.spillingOver() {
		// Of the other zones, servers that have connections of this balancer are still probed. Otherwise nobody would
		// notice their overload, and the connections would stay there.
		targets.remote, targets.unprobed = b.remoteZone.connected, b.remoteZone.connected
	}
	// One of many balancers has connections at few servers. What it learns of the others is of no use, as requests
	// probe the servers that they depend on. Otherwise a fleet probes more than it places, and yet notices late what
	// overloads its own connections.
	if len(b.connected) > 0 && len(b.connected) < len(b.local) {
		targets = probeTargets{local: b.connected, overloads: [2]orderedServers{b.connected}}
	}
	return targets
}

// probeNeverProbed probes the first server that was never probed, ahead of the steady probes.
func (b *Balancer) probeNeverProbed(list []*server) {
	s := firstMatching(list, func(s *server) bool {
		return s.reportedAt == 0 && b.now-s.probedOnDemandAt > maxOnDemandProbeInterval
	})
	if s != nil {
		s.probedOnDemandAt = b.now
		b.emit(Probe{Server: s.ID})
	}
}

// probeOverloaded probes servers short of capacity more often: until their overload is noticed, all of their
// connections are served badly.
func (b *Balancer) probeOverloaded(list orderedServers) {
	for _, s := range list {
		if b.probes.overloadCredit < 1 {
			return
		}
		b.visits++
		if s.load > b.thresholds.capacity && b.now-max(s.reportedAt, s.probedOnDemandAt) >= overloadProbeInterval {
			s.probedOnDemandAt = b.now
			b.probes.overloadCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
}

// probeSteadily makes one steady probe, every second one in another zone.
func (b *Balancer) probeSteadily(targets probeTargets) {
	b.probes.count++
	if b.probes.count%2 == 0 && len(targets.remote) > 0 {
		b.emit(Probe{Server: targets.remote[b.probes.count/2%len(targets.remote)].ID})
		return
	}
	list := targets.local
	if b.probes.count%probesPerAnyServer == 0 {
		list = b.local
	}
	b.probes.cursor++
	b.emit(Probe{Server: list[b.probes.cursor%len(list)].ID})
}
