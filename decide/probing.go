package decide

// Probing: which servers are probed for a load report, and when. This depends on the reports' age, the rate of
// requests, the cost of a probe, and clients' reports of slow messages. Steady probes visit the servers in turn to keep
// their reports recent. On-demand probes go to servers that a request may be placed on or that are short of capacity.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of the on-demand probes that are made for requests.
const (
	// maxOnDemandProbeInterval is the report age above which a server is probed for a request in a small fleet. A
	// server without a report is probed at a tick when its latest on-demand probe is longer ago than this.
	maxOnDemandProbeInterval = 2 * time.Second
	// minOnDemandProbeInterval is that age in a large fleet. A probe at a lower age would return a hardly newer report.
	minOnDemandProbeInterval = 250 * time.Millisecond
	// onDemandProbeIntervalOfFleet, divided by the number of balancers, is this age in a fleet of medium size: the
	// more balancers place requests on a server, the sooner its report is out of date.
	onDemandProbeIntervalOfFleet = 8 * time.Second
	// onDemandProbeTimeout is how long a request waits for the answers to its probes.
	onDemandProbeTimeout = 60 * time.Millisecond
	// onDemandProbes is the maximum number of servers of each list that are probed for a request: preferred servers if
	// the request has a group, or the next servers of the list if it has none and no report shows capacity.
	onDemandProbes = 2
)

// Limits of the steady probes.
const (
	// probeCostFraction is the fraction of placed requests' value that may be spent on steady probes. The same
	// fraction may be spent again on probes of servers short of capacity.
	probeCostFraction = 0.01
	// minProbeRate is the minimum number of steady probes per second.
	minProbeRate = 0.5
	// fullRateProbers is the fleet size up to which a balancer without connections probes at minProbeRate. In a larger
	// fleet its rate is lower, so that the total rate of these balancers is at most fullRateProbers*minProbeRate.
	fullRateProbers = 4.0
	// wholeListProbePeriod applies while steady probes are limited to servers with connections of this balancer: one in
	// wholeListProbePeriod goes to the next server of the whole local list.
	wholeListProbePeriod = 4
	// maxProbeDebt limits the probes of servers with slow messages that are made ahead of the steady probes' rate, and
	// the saved credit for probes of servers short of capacity.
	maxProbeDebt = 4
)

const (
	// overloadProbeInterval is the age at which the report of a server short of capacity is renewed.
	overloadProbeInterval = 500 * time.Millisecond
	// slowMessagesPeriod is how long a server counts as slow after a client's report of slow messages. The report is
	// repeated every second while the messages are slow.
	slowMessagesPeriod = 2 * time.Second
	// slowMessagesReportAge is the age at which the load report of a server with slow messages is renewed.
	slowMessagesReportAge = time.Second
)

// probeScheduler limits the rate of the probes and selects their servers in turn.
type probeScheduler struct {
	cursor         int     // position of the latest probe in the list of servers, modulo the list's length
	count          int     // number of steady probes made
	credit         float64 // steady probes that may be made now; below 0 if probes were made ahead of their rate
	overloadCredit float64 // probes of servers short of capacity that may be made now
}

// onDemandProbeInterval returns the age above which a request renews a load report. It is shorter in a larger fleet.
func (b *Balancer) onDemandProbeInterval() time.Duration {
	perBalancer := onDemandProbeIntervalOfFleet / time.Duration(b.fleet.Fleet)
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval, perBalancer))
}

// probeForRequest probes servers for an arriving request if their reports are too old: its group's preferred servers,
// or a few in the shuffled order if it has no group and no report shows capacity. The request waits for the answers.
func (b *Balancer) probeForRequest(r *request) {
	capacityKnown := b.hasGroup(r) || b.anyReportsCapacity(r)
	local, remote := b.preferredServers(r)
	if !b.settings.ProbingAllowed || b.firstReportsCapacity(local) {
		return
	}
	b.probeOnDemand(r, local, b.local, capacityKnown)
	if b.spillingOver() || b.hasGroup(r) {
		b.probeOnDemand(r, remote, b.remote, capacityKnown)
	}
}

// anyReportsCapacity reports whether a recent report of the own zone shows capacity for a request.
func (b *Balancer) anyReportsCapacity(r *request) bool {
	return slices.ContainsFunc(b.answers.ownZone, func(s *server) bool {
		return b.hasRecentReport(s) && s.load < b.thresholds.capacity && b.withinSlowStartQuota(r, s)
	})
}

// firstReportsCapacity reports whether the first preferred server has capacity by a report that need not be renewed.
// No other server has to be probed then.
func (b *Balancer) firstReportsCapacity(preferred []*server) bool {
	return len(preferred) > 0 && preferred[0].load < b.thresholds.capacity &&
		b.now-preferred[0].reportedAt < b.onDemandProbeInterval()
}

// probeOnDemand probes the first preferred servers and, unless capacity is known, the next few servers of the list. It
// skips servers that are ejected or whose latest report or on-demand probe is recent.
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

// probeCompleted records a probe's result for its server. Unless the server is saturated, waiting requests are retried.
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

// poolAnswer adds a server with a new report to the pool that placements choose from.
func (b *Balancer) poolAnswer(s *server) {
	if s.entry.zone != b.localZone {
		b.answers.otherZones = addAnswer(b.answers.otherZones, s)
		return
	}
	b.answers.ownZone = addAnswer(b.answers.ownZone, s)
	b.zoneLoad.add(s.load)
}

// messageDelayReported handles a client's message latency. More than half of the objective shows overload: the server
// counts as slow, and is probed if its load report is too old. Any other latency report for it ends this at once.
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
		b.probes.credit-- // steady probes pause until the credit for this probe is earned
		b.emit(Probe{Server: s.ID})
	}
}

// probeTargets are the lists of servers that the probes of a tick are chosen from.
type probeTargets struct {
	local     []*server         // servers for steady probes
	remote    []*server         // servers for every second steady probe; may be empty
	unprobed  []*server         // servers to search for one without a load report
	overloads [2]orderedServers // servers to search for those short of capacity
}

// probePeriodically makes the probes of a tick. Steady probes and probes of servers short of capacity are each
// limited to the rate of probeRate, and steady probes also to one per second for each local server. One more probe may
// go to a server without a load report, whatever the rate.
func (b *Balancer) probePeriodically() {
	if !b.settings.ProbingAllowed || len(b.local) == 0 {
		return
	}
	targets, rate := b.probeTargets(), b.probeRate()
	b.probeWithoutReport(targets.unprobed)
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

// probeRate returns the probes per second that the rate of requests and the cost of a probe allow, but at least the
// minimum rate. At a cost of 0, it returns the minimum rate. The rate of requests is that of established connections,
// or the open requests per defaultLifetime if that is higher.
func (b *Balancer) probeRate() float64 {
	requestRate := max(b.establishRate.perSecond, float64(len(b.requests.byID))/defaultLifetime.Seconds())
	least := minProbeRate
	if len(b.connected) == 0 { // such a balancer needs few reports, so its minimum is lower in a large fleet
		least *= min(1, fullRateProbers/float64(b.fleet.Fleet))
	}
	return max(least, requestRate*probeCostFraction/cmp.Or(b.settings.Costs.Probe, math.Inf(1)))
}

func (b *Balancer) probeTargets() probeTargets {
	targets := probeTargets{
		local:     b.local,
		remote:    b.remote,
		unprobed:  b.remoteZone.unprobed,
		overloads: [2]orderedServers{b.remoteZone.connected, b.localZone.busy},
	}
	if !b.spillingOver() {
		// In other zones, only servers with connections of this balancer are probed. Without these probes their
		// overload would not be noticed, and the connections would stay there.
		targets.remote, targets.unprobed = b.remoteZone.connected, b.remoteZone.connected
	}
	// In a large fleet, a balancer has connections at few servers. It mainly probes these, as the servers that a
	// request may be placed on are probed on demand. Otherwise the fleet would make more probes than placements, and
	// still each balancer would be late to notice the overload of the servers that have its connections.
	if len(b.connected) > 0 && len(b.connected) < len(b.local) {
		targets = probeTargets{local: b.connected, overloads: [2]orderedServers{b.connected}}
	}
	return targets
}

// probeWithoutReport probes the first server that has no load report and no recent on-demand probe. It uses no credit.
func (b *Balancer) probeWithoutReport(list []*server) {
	s := firstMatching(list, func(s *server) bool {
		return s.reportedAt == 0 && b.now-s.probedOnDemandAt > maxOnDemandProbeInterval
	})
	if s != nil {
		s.probedOnDemandAt = b.now
		b.emit(Probe{Server: s.ID})
	}
}

// probeOverloaded probes servers short of capacity every overloadProbeInterval, as far as overloadCredit allows. Until
// an overload is noticed, all connections of the server are served badly.
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

// probeSteadily makes one steady probe. Every second one goes to targets.remote, if there is any server in it.
func (b *Balancer) probeSteadily(targets probeTargets) {
	b.probes.count++
	if b.probes.count%2 == 0 && len(targets.remote) > 0 {
		b.emit(Probe{Server: targets.remote[b.probes.count/2%len(targets.remote)].ID})
		return
	}
	list := targets.local
	if b.probes.count%wholeListProbePeriod == 0 {
		list = b.local
	}
	b.probes.cursor++
	b.emit(Probe{Server: list[b.probes.cursor%len(list)].ID})
}
