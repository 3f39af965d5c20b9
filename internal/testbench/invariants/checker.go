// Package invariants checks the behaviour of a fleet of balancers from outside: that each request gets exactly one
// answer in time, that a request has one attempt at a time, that draining room servers receive no new attempts after
// a grace period, that room servers are not overloaded while they warm up, that a session is attached at one room
// server at a time, and that sessions lose no acknowledged moves.
//
// A Checker processes the events that emulated clients, room servers and discovery record. It has no clock: events
// carry their times. A Recorder is safe for concurrent use and sets the times of events itself.
package invariants

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits are the time limits of the invariants.
type Limits struct {
	// DrainGrace is how long new attempts of a balancer may arrive at a room server after discovery has sent the
	// balancer an entry by which the room server is draining or removed.
	DrainGrace time.Duration
	// Slack is the tolerance that is added to each time limit.
	Slack time.Duration
}

// Report is what a Checker has found.
type Report struct {
	// Violations has one text for each violation that concerns requests or room servers.
	Violations []string
	// Collapses counts the room servers that crashed because they were overloaded while they warmed up. Violations has
	// a text for each of them.
	Collapses int
	// DoubleAttachments counts the attachments of a session that was attached already, and those at an epoch that equals
	// the highest epoch of the session's earlier attachments.
	DoubleAttachments int
	// EpochRegressions counts the attachments at an epoch lower than the highest epoch of the session's earlier ones.
	EpochRegressions int
	// UnansweredRequests counts the requests without any answer in these cases:
	//
	//   - The client left after the deadline and the slack had passed.
	//   - The client was still waiting at the report, and the deadline and the slack had passed before.
	//   - The connection was lost.
	//
	// Requests that a kill of their balancer excuses are not counted, and neither are late answers, which are violations.
	UnansweredRequests int
	// LostSessions counts the sessions that lost acknowledged moves or were stranded, see SessionStranded.
	LostSessions int
	// StartedOver counts how often a client gave up its session and began a new one.
	StartedOver int
	// Resumed counts how often a client resumed its session.
	Resumed int
}

// Checker checks a sequence of events. It is not safe for concurrent use.
type Checker struct {
	limits   Limits
	requests map[string]*request
	// drains holds the time at which discovery first sent a balancer an entry by which a room server is draining or
	// removed. The time is deleted by a ReadyObserved or BalancerStarted event.
	drains   map[observation]time.Duration
	sessions map[string]*session
	// killed holds the balancers with a BalancerKilled event and no later BalancerStarted event.
	killed map[string]bool
	report Report
}

// observation is the key of a balancer's observation of a room server's drain.
type observation struct {
	balancer string
	server   string
}

// request is the state of one request.
type request struct {
	balancer string
	deadline time.Duration
	answered bool
	// excused says that no answer is expected any more: the client left, the balancer was killed, or the missing answer
	// was counted as a violation.
	excused bool
	// attempts holds the number of active attempts by room server.
	attempts map[string]int
	// concurrentSince has an entry for each room server at which an attempt was active when a later attempt of the
	// request started. The value is the start of the first such later attempt. An entry is kept until the request's
	// attempts at its room server have ended, even if the later attempt ends first. Report also evaluates and deletes the
	// entries.
	concurrentSince map[string]time.Duration
}

// New returns a Checker without events.
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

// Report returns what was found up to the given time. Unanswered requests whose deadline and slack have passed by then
// are violations in this report only. Events may be added afterwards, but Report has a side effect: it evaluates and
// deletes all entries of concurrentSince, so that they are not evaluated again when their attempts end.
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

// violated adds the text of a violation to the report.
func (c *Checker) violated(format string, args ...any) {
	c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, args...))
}

// request returns the state of a request, and creates it at the request's first event.
func (c *Checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{attempts: map[string]int{}, concurrentSince: map[string]time.Duration{}}
		c.requests[id] = r
	}
	return r
}

// awaitsAnswer reports whether an answer is still expected.
func (r *request) awaitsAnswer() bool {
	return !r.answered && !r.excused
}

// overdue reports whether the request's deadline and the slack have passed at the given time.
func (c *Checker) overdue(r *request, now time.Duration) bool {
	return r.deadline > 0 && now > r.deadline+c.limits.Slack
}

func (c *Checker) requestSent(e Event) {
	r := c.request(e.Request)
	r.balancer = e.Balancer
	r.deadline = e.Deadline
	// A client that connected before the kill may send its request after it, on a connection that is already broken.
	r.excused = c.killed[e.Balancer]
}

func (c *Checker) requestAnswered(e Event) {
	r := c.request(e.Request)
	if r.answered {
		c.violated("%v: request %s has a second final answer, %s", e.At, e.Request, e.Answer)
	}
	r.answered = true
	if c.overdue(r, e.At) {
		c.violated("%v: request %s was answered %v after its deadline", e.At, e.Request, e.At-r.deadline)
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
	c.violated("%v: the connection of request %s ended without an answer from %s", e.At, e.Request, r.balancer)
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

// balancerStarted deletes the drains that discovery has sent to the balancer before, since a new process has not
// received them.
func (c *Checker) balancerStarted(balancer string) {
	delete(c.killed, balancer)
	maps.DeleteFunc(c.drains, func(o observation, _ time.Duration) bool { return o.balancer == balancer })
}

// drainObserved records the time of the first observation of a drain. Further observations do not extend the grace
// period.
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
		c.violated("%v: request %s was sent to %s %v after %s had observed the server's drain",
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

// endConcurrency checks for how long the attempt at the given room server has stayed active after a later attempt of
// the same request started. The parameter at is the end of the attempt, or the time of the report if it is still
// active. The later attempt may have ended earlier, so that the measured time can exceed the time during which both
// were active. A time within the slack is no violation, because a room server observes the end of a connection a
// little after the balancer has closed it.
func (c *Checker) endConcurrency(r *request, id, server string, at time.Duration) {
	since, ok := r.concurrentSince[server]
	if ok && at-since > c.limits.Slack {
		c.violated("%v: request %s was active at %s until %v after another attempt had started", at, id, server, at-since)
	}
	delete(r.concurrentSince, server)
}
