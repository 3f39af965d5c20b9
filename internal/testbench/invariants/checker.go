// Package invariants checks the behaviour of a fleet of balancers from outside: that each request gets exactly one
// answer in time, that a request has one attempt at a time, that draining room servers get no new attempts, that room
// servers are not overloaded while they warm up, and that sessions are attached once and lose nothing.
//
// A Checker is fed with the events that emulated clients, room servers and discovery observe. It has no clock:
// events carry their times. A Recorder is a Checker for concurrent use that stamps events with the current time.
package invariants

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits are the time limits of the invariants.
type Limits struct {
	// DrainGrace is how long new attempts may arrive at a room server after the balancer has observed its drain.
	DrainGrace time.Duration
	// Slack is the tolerance that is added to each time limit.
	Slack time.Duration
}

// Report is what a Checker has found.
type Report struct {
	// Violations describes each violation that concerns requests and room servers, one a string.
	Violations []string
	// Collapses counts the violations that are room servers overloaded while they warmed up.
	Collapses int
	// DoubleAttachments counts the attachments of a session that was attached already, or at an epoch used before.
	DoubleAttachments int
	// EpochRegressions counts the attachments at a lower epoch than an earlier one of the session.
	EpochRegressions int
	// UnansweredRequests counts the requests that got no answer although one was due.
	UnansweredRequests int
	// LostSessions counts the sessions that lost acknowledged moves or were stranded.
	LostSessions int
	// StartedOver counts the sessions whose clients were told to start over.
	StartedOver int
	// Resumed counts how often a client continued its session.
	Resumed int
}

// Checker checks a sequence of events. It is not safe for concurrent use.
type Checker struct {
	limits   Limits
	requests map[string]*request
	// drains holds when a balancer observed that a room server drains.
	drains   map[observation]time.Duration
	sessions map[string]*session
	// killed holds the balancers that were killed and have not been started again.
	killed map[string]bool
	report Report
}

// observation identifies what a balancer knows about a room server.
type observation struct {
	balancer string
	server   string
}

// request is what is known of one request.
type request struct {
	balancer string
	deadline time.Duration
	answered bool
	// excused says that no answer is due any more: the client left, the balancer was killed, or the missing answer
	// was reported.
	excused bool
	// attempts counts the active attempts by room server.
	attempts map[string]int
	// concurrentSince holds, by room server of an active attempt, when another attempt started beside it.
	concurrentSince map[string]time.Duration
}

// New returns a Checker that has seen no events.
func New(limits Limits) *Checker {
	return &Checker{
		limits:   limits,
		requests: map[string]*request{},
		drains:   map[observation]time.Duration{},
		sessions: map[string]*session{},
		killed:   map[string]bool{},
	}
}

// Add checks the next event. Events have to be added in the order in which they happened.
func (c *Checker) Add(e Event) {
	switch e.Kind {
	case RequestSent:
		c.requestSent(e)
	case RequestAnswered:
		c.requestAnswered(e)
	case ClientLeft:
		c.clientLeft(e)
	case ConnectionLost:
		c.connectionLost(e)
	case BalancerKilled:
		c.balancerKilled(e.Balancer)
	case AttemptStarted:
		c.attemptStarted(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case BalancerStarted:
		c.balancerStarted(e.Balancer)
	case DrainObserved:
		c.drainObserved(e)
	case ReadyObserved:
		delete(c.drains, observation{e.Balancer, e.Server})
	case ServerCollapsed:
		c.report.Collapses++
		c.violated("%v: room server %s was overloaded while it warmed up", e.At, e.Server)
	default:
		c.addSessionEvent(e)
	}
}

// Report returns what was found up to the given time: requests without an answer that are due by then are violations.
// The Checker may be used further.
func (c *Checker) Report(now time.Duration) Report {
	for id, r := range c.requests {
		for server := range r.concurrentSince {
			c.endConcurrency(r, id, server, now)
		}
	}
	report := c.report
	report.Violations = slices.Clone(report.Violations)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.awaitsAnswer() && c.overdue(r, now) {
			report.UnansweredRequests++
			violation := fmt.Sprintf("request %s was never answered by %s", id, r.balancer)
			report.Violations = append(report.Violations, violation)
		}
	}
	return report
}

// violated adds a violation to the report.
func (c *Checker) violated(format string, args ...any) {
	c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, args...))
}

// request returns the record of a request, a new one at its first event.
func (c *Checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{attempts: map[string]int{}, concurrentSince: map[string]time.Duration{}}
		c.requests[id] = r
	}
	return r
}

// awaitsAnswer reports whether an answer is still due.
func (r *request) awaitsAnswer() bool {
	return !r.answered && !r.excused
}

// overdue reports whether the client has stopped waiting by the given time.
func (c *Checker) overdue(r *request, now time.Duration) bool {
	return r.deadline > 0 && now > r.deadline+c.limits.Slack
}

func (c *Checker) requestSent(e Event) {
	r := c.request(e.Request)
	r.balancer = e.Balancer
	r.deadline = e.Deadline
	// The first line may have been written into a connection that the kill has already broken.
	r.excused = c.killed[e.Balancer]
}

func (c *Checker) requestAnswered(e Event) {
	r := c.request(e.Request)
	if r.answered {
		c.violated("%v: request %s has a second final answer, %s", e.At, e.Request, e.Answer)
	}
	r.answered = true
	if c.overdue(r, e.At) {
		c.violated("%v: request %s was answered %v after its client had given up", e.At, e.Request, e.At-r.deadline)
	}
}

func (c *Checker) clientLeft(e Event) {
	r := c.request(e.Request)
	if r.awaitsAnswer() && c.overdue(r, e.At) {
		c.violated("%v: request %s had no answer from %s %v after its deadline",
			e.At, e.Request, r.balancer, e.At-r.deadline)
		c.report.UnansweredRequests++
	}
	r.excused = true
}

func (c *Checker) connectionLost(e Event) {
	r := c.request(e.Request)
	if !r.awaitsAnswer() {
		return
	}
	c.violated("%v: request %s was cut off without an answer by %s", e.At, e.Request, r.balancer)
	c.report.UnansweredRequests++
	r.excused = true
}

func (c *Checker) balancerKilled(balancer string) {
	c.killed[balancer] = true
	for _, r := range c.requests {
		if r.balancer == balancer {
			r.excused = true
		}
	}
}

// balancerStarted forgets what the balancer's previous process has observed.
func (c *Checker) balancerStarted(balancer string) {
	delete(c.killed, balancer)
	maps.DeleteFunc(c.drains, func(o observation, _ time.Duration) bool { return o.balancer == balancer })
}

// drainObserved records the first observation of a drain; repetitions do not extend the grace period.
func (c *Checker) drainObserved(e Event) {
	key := observation{e.Balancer, e.Server}
	if _, ok := c.drains[key]; !ok {
		c.drains[key] = e.At
	}
}

func (c *Checker) attemptStarted(e Event) {
	r := c.request(e.Request)
	for server := range r.attempts {
		if _, ok := r.concurrentSince[server]; !ok {
			r.concurrentSince[server] = e.At
		}
	}
	r.attempts[e.Server]++
	drain, ok := c.drains[observation{r.balancer, e.Server}]
	if ok && e.At > drain+c.limits.DrainGrace+c.limits.Slack {
		c.violated("%v: request %s was sent to %s %v after %s had observed its drain",
			e.At, e.Request, e.Server, e.At-drain, r.balancer)
	}
}

func (c *Checker) attemptEnded(e Event) {
	r := c.request(e.Request)
	r.attempts[e.Server]--
	if r.attempts[e.Server] <= 0 {
		delete(r.attempts, e.Server)
		c.endConcurrency(r, e.Request, e.Server, e.At)
	}
}

// endConcurrency checks how long the attempt at a room server was active beside another one. Within the slack this is
// no violation, because a room server observes the end of a connection a little after the balancer has closed it.
func (c *Checker) endConcurrency(r *request, id, server string, at time.Duration) {
	since, ok := r.concurrentSince[server]
	if ok && at-since > c.limits.Slack {
		c.violated("%v: request %s was active at %s beside another attempt for %v", at, id, server, at-since)
	}
	delete(r.concurrentSince, server)
}
