package experiment

import (
	"cmp"
	"slices"
	"time"

	"cottonplank/internal/cluster/membership"
)

const (
	// maxTolerablePause is the longest pause of an instance that must not make others report its failure. A longer
	// pause excuses such reports (see clusterState.pausedTooLong).
	maxTolerablePause = 8 * time.Second
	// settledAfter is how long an instance must have been live and reachable for a report of its failure to count as
	// false.
	settledAfter = 10 * time.Second
	// detectTimeout is the time after a kill within which reports of the failure count.
	detectTimeout = 20 * time.Second
	// leaveTimeout is the time after the start of a graceful shutdown within which reports of it count.
	leaveTimeout = 5 * time.Second
	// joinGrace is how long after its start an instance may be missing from the fleet sizes of the others.
	joinGrace = 3 * time.Second
	// disturbanceWindow is how long before an event a disturbance still excuses an observer from reporting the event.
	disturbanceWindow = 1500 * time.Millisecond
	// notDetectedMs is the detection time, in milliseconds, that is recorded for an event that was not detected. It
	// exceeds all objectives.
	notDetectedMs = 1e6
)

// membershipFindings are the findings of checkMembership. Times are in milliseconds.
type membershipFindings struct {
	// FalseFailed holds the reports that a live and reachable instance has failed.
	FalseFailed []membershipEvent
	// SizeBelowLive counts the polls in which an instance's fleet size was below the number of instances that had been
	// live for longer than joinGrace.
	SizeBelowLive int
	// ViewRegressions counts the polls in which the view version was lower than in the previous poll of the process.
	ViewRegressions int
	// Detect holds, for each kill, the time until all undisturbed instances have reported the failure. A kill is left
	// out if the instance starts again within detectTimeout.
	Detect []float64
	// Suspect holds, for the same kills, the time until all undisturbed instances have reported the suspicion.
	Suspect []float64
	// Leave holds, for each graceful shutdown, the time until all undisturbed instances have reported it.
	Leave []float64
	// Agree is the time from the end of the last fault until the last poll in which an instance returned a wrong number
	// of live instances.
	Agree float64
}

// membershipChecker checks the events of a membership run.
type membershipChecker struct {
	events []membershipEvent
	// now is the time of the current event.
	now   time.Duration
	state *clusterState
	// unreachableAt holds the time at which each instance was last not reachable by most others.
	unreachableAt []time.Duration
	// versions holds the view version of each instance's latest poll; 0 after a start.
	versions []uint64
	// faultsOver says whether the last fault has ended.
	faultsOver bool
	// faultsOverAt is when the last fault ended.
	faultsOverAt time.Duration
	// disagreedAt is the time of the last poll after faultsOverAt in which an instance returned a wrong number of live
	// instances.
	disagreedAt time.Duration
	findings    membershipFindings
}

// checkMembership checks the events of a membership run. It sorts the slice by the times of the events.
func checkMembership(instances int, events []membershipEvent) membershipFindings {
	slices.SortStableFunc(events, func(a, b membershipEvent) int { return cmp.Compare(a.At, b.At) })
	c := &membershipChecker{
		events:        events,
		state:         newClusterState(instances),
		unreachableAt: make([]time.Duration, instances),
		versions:      make([]uint64, instances),
	}
	for i, e := range events {
		c.now = e.At
		c.check(i, e)
		c.updateReachability()
	}
	if c.faultsOver {
		c.findings.Agree = max(0, inMilliseconds(c.disagreedAt-c.faultsOverAt))
	}
	return c.findings
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// check applies and checks the i-th event.
func (c *membershipChecker) check(i int, e membershipEvent) {
	c.state.apply(e)
	switch e.Kind {
	case memberStarted:
		c.versions[e.Member] = 0
	case memberKilled:
		c.checkDetection(i)
	case memberStopped:
		leave := c.timeUntilReported(i, membership.Left, maxLeaveMs*time.Millisecond, leaveTimeout)
		c.findings.Leave = append(c.findings.Leave, leave)
	case faultsEnded:
		c.faultsOver = true
		c.faultsOverAt, c.disagreedAt = e.At, e.At
	case memberReported:
		if e.State == membership.Failed && c.falselyFailed(e) {
			c.findings.FalseFailed = append(c.findings.FalseFailed, e)
		}
	case memberPolled:
		c.checkMetrics(e)
	}
}

// checkDetection measures how long the detection of a kill takes, unless the instance starts within detectTimeout.
func (c *membershipChecker) checkDetection(i int) {
	if c.startsWithin(i, detectTimeout) {
		return
	}
	const objective = maxDetectMs * time.Millisecond
	suspect := c.timeUntilReported(i, membership.Suspect, objective, detectTimeout)
	detect := c.timeUntilReported(i, membership.Failed, objective, detectTimeout)
	c.findings.Suspect = append(c.findings.Suspect, suspect)
	c.findings.Detect = append(c.findings.Detect, detect)
}

// checkMetrics compares the polled metrics of an instance with the true state. It ignores instances that are not live.
func (c *membershipChecker) checkMetrics(e membershipEvent) {
	if !c.state.live[e.Member] {
		return
	}
	if e.Version < c.versions[e.Member] {
		c.findings.ViewRegressions++
	}
	c.versions[e.Member] = e.Version
	joined, live := 0, 0
	for i, isLive := range c.state.live {
		if !isLive {
			continue
		}
		live++
		if c.now-c.state.since[i] > joinGrace {
			joined++
		}
	}
	if e.Size < joined {
		c.findings.SizeBelowLive++
	}
	if c.faultsOver && e.Alive != live {
		c.disagreedAt = e.At
	}
}

// falselyFailed reports whether a report of a failure is false. It is false if the reporting instance is live, and the
// reported one has been live and reachable by most others for settledAfter and was not paused for too long.
func (c *membershipChecker) falselyFailed(e membershipEvent) bool {
	m := e.Other
	if !c.state.live[e.Member] || !c.state.live[m] || c.state.pausedTooLong(m, c.now) {
		return false
	}
	return c.now-c.state.since[m] >= settledAfter && c.now-c.unreachableAt[m] > settledAfter
}

// updateReachability sets unreachableAt of the instances that are not reachable now.
func (c *membershipChecker) updateReachability() {
	for m := range c.unreachableAt {
		if !c.state.reachable(m) {
			c.unreachableAt[m] = c.now
		}
	}
}

// startsWithin reports whether the instance of the i-th event starts again within a time span.
func (c *membershipChecker) startsWithin(i int, span time.Duration) bool {
	for _, e := range c.events[i+1:] {
		if e.At > c.now+span {
			return false
		}
		if e.Kind == memberStarted && e.Member == c.events[i].Member {
			return true
		}
	}
	return false
}

// timeUntilReported returns the time, in milliseconds, from the i-th event until all observers have reported a state of
// its instance, or notDetectedMs if one of them does not within the timeout. Observers are the instances that are live
// at the event. An observer is excused if it is disturbed before it has reported the state. A disturbance counts if it
// occurs at most disturbanceWindow before the event and at most objective after it.
func (c *membershipChecker) timeUntilReported(
	i int, state membership.State, objective, timeout time.Duration,
) float64 {
	reports := c.firstReports(i, state, timeout)
	disturbances := c.disturbances(i, c.now+objective)
	last := c.now
	for observer, live := range c.state.live {
		reportedAt, reported := reports[observer]
		disturbedAt, disturbed := disturbances[observer]
		switch {
		case !live, disturbed && (!reported || disturbedAt < reportedAt):
			continue
		case !reported:
			return notDetectedMs
		}
		last = max(last, reportedAt)
	}
	return inMilliseconds(last - c.now)
}

// firstReports returns the time at which each instance first reported a state of the i-th event's instance. Instances
// without such a report within the timeout are left out.
func (c *membershipChecker) firstReports(
	i int, state membership.State, timeout time.Duration,
) map[int]time.Duration {
	reports := map[int]time.Duration{}
	for _, e := range c.events[i+1:] {
		if e.At > c.now+timeout {
			break
		}
		if e.Kind != memberReported || e.Other != c.events[i].Member || e.State != state {
			continue
		}
		if _, known := reports[e.Member]; !known {
			reports[e.Member] = e.At
		}
	}
	return reports
}

// disturbances returns the time of the first disturbance of each instance that is disturbed between disturbanceWindow
// before the i-th event and the given time. A disturbance is a start, end, pause or resumption of the instance's
// process. From the i-th event on, an instance is also disturbed while it is paused or not reachable by most others.
func (c *membershipChecker) disturbances(i int, until time.Duration) map[int]time.Duration {
	disturbances := map[int]time.Duration{}
	add := func(member int, at time.Duration) {
		if _, known := disturbances[member]; !known {
			disturbances[member] = at
		}
	}
	for _, e := range c.events[:i] {
		if e.At >= c.now-disturbanceWindow && e.disturbs() {
			add(e.Member, e.At)
		}
	}
	future := c.state.clone()
	addState := func(at time.Duration) {
		for m := range future.live {
			if future.paused(m) || !future.reachable(m) {
				add(m, at)
			}
		}
	}
	addState(c.now)
	for _, e := range c.events[i+1:] {
		if e.At > until {
			break
		}
		if e.disturbs() {
			add(e.Member, e.At)
		}
		future.apply(e)
		addState(e.At)
	}
	return disturbances
}
