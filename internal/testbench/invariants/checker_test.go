package invariants

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// sent returns the event of a request to balancer n1 with a deadline.
func sent(deadline time.Duration) Event {
	return Event{Kind: RequestSent, Request: "r", Balancer: "n1", Deadline: deadline}
}

// answered returns the event that the request is answered.
func answered(at time.Duration) Event {
	return Event{At: at, Kind: RequestAnswered, Request: "r", Answer: "UP"}
}

// lost returns the event that the request's connection is lost.
func lost() Event {
	return Event{Kind: ConnectionLost, Request: "r"}
}

// left returns the event that the client stops waiting.
func left(at time.Duration) Event {
	return Event{At: at, Kind: ClientLeft, Request: "r"}
}

// started returns the event that an attempt starts at a room server.
func started(at time.Duration, server string) Event {
	return Event{At: at, Kind: AttemptStarted, Request: "r", Server: server}
}

// ended returns the event that an attempt ends at a room server.
func ended(at time.Duration, server string) Event {
	return Event{At: at, Kind: AttemptEnded, Request: "r", Server: server}
}

// balancerEvent returns an event that consists of a kind and a balancer.
func balancerEvent(kind Kind, balancer string) Event {
	return Event{Kind: kind, Balancer: balancer}
}

// observed returns the event that discovery sends a balancer an entry of room server a.
func observed(kind Kind, balancer string) Event {
	return Event{Kind: kind, Balancer: balancer, Server: "a"}
}

// attached returns the event that a room server attaches the session.
func attached(epoch uint64, server string) Event {
	return Event{Kind: SessionAttached, Session: "s", Epoch: epoch, Server: server}
}

// detached returns the event that a room server detaches the session.
func detached(server string) Event {
	return Event{Kind: SessionDetached, Session: "s", Server: server}
}

// positioned returns an event by which the session's client reports a position, acknowledged or resumed.
func positioned(kind Kind, position uint64) Event {
	return Event{Kind: kind, Session: "s", Position: position}
}

// The limits of the invariants in these tests, and times relative to them.
const (
	drainGrace = 500 * ms
	slack      = 50 * ms
	deadline   = 100 * ms
	// longDeadline is later than the end of the grace period and of the test.
	longDeadline = 2 * time.Second
	// afterGrace is 1 ms after the end of the drain's grace period and the slack.
	afterGrace = 551 * ms
)

// checkerCase is a sequence of events and the expected findings.
type checkerCase struct {
	events []Event
	// violation is a substring of the expected violation's text; empty if none is expected.
	violation   string
	collapses   int
	double      int
	regressions int
	lost        int
}

// runCheckerCases checks that the Checker finds what each case expects. A case without an expected violation fails if
// there is any.
func runCheckerCases(t *testing.T, cases map[string]checkerCase) {
	t.Helper()
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			c := New(Limits{DrainGrace: drainGrace, Slack: slack})
			for _, e := range v.events {
				c.Add(e)
			}
			r := c.Report(time.Second)
			violations := strings.Join(r.Violations, "; ")
			if (violations == "") != (v.violation == "") || !strings.Contains(violations, v.violation) {
				t.Errorf("violations %q, want %q", violations, v.violation)
			}
			if r.Collapses != v.collapses {
				t.Errorf("%d collapses, want %d", r.Collapses, v.collapses)
			}
			if r.DoubleAttachments != v.double || r.EpochRegressions != v.regressions || r.LostSessions != v.lost {
				t.Errorf("%+v, want %d double attachments, %d epoch regressions, %d lost sessions",
					r, v.double, v.regressions, v.lost)
			}
		})
	}
}

// Each request has to get one answer before its deadline, unless its client leaves before that or its balancer is
// killed.
func TestRequests(t *testing.T) {
	runCheckerCases(t, map[string]checkerCase{
		"served": {events: []Event{sent(deadline), started(0, "a"), answered(9 * ms)}},
		"answered twice": {
			events:    []Event{sent(deadline), answered(0), answered(0)},
			violation: "second final",
		},
		"answered late":    {events: []Event{sent(deadline), answered(151 * ms)}, violation: "was answered 51ms after"},
		"answered in time": {events: []Event{sent(deadline), answered(149 * ms)}},
		"never answered":   {events: []Event{sent(deadline)}, violation: "never answered"},
		"connection lost":  {events: []Event{sent(deadline), lost()}, violation: "ended without an answer"},
		"client left":      {events: []Event{sent(deadline), left(0), lost()}},
		"client left late": {events: []Event{sent(deadline), left(151 * ms)}, violation: "no answer"},
		"balancer killed":  {events: []Event{sent(deadline), balancerEvent(BalancerKilled, "n1"), lost()}},
		"killed before":    {events: []Event{balancerEvent(BalancerKilled, "n1"), sent(deadline), lost()}},
		"started again": {
			events: []Event{
				balancerEvent(BalancerKilled, "n1"), balancerEvent(BalancerStarted, "n1"), sent(deadline), lost(),
			},
			violation: "ended without an answer",
		},
	})
}

// A request may have one attempt at a time, none at a draining room server after the grace period, and no room server
// may be overloaded while it warms up.
func TestAttempts(t *testing.T) {
	runCheckerCases(t, map[string]checkerCase{
		"two attempts":      {events: []Event{started(0, "a"), started(0, "b")}, violation: "another attempt had started"},
		"end seen late":     {events: []Event{started(0, "a"), started(0, "b"), ended(40*ms, "a")}},
		"one after another": {events: []Event{started(0, "a"), ended(0, "a"), started(0, "b")}},
		"sent to a draining server": {
			events: []Event{
				observed(DrainObserved, "n1"), sent(longDeadline), started(afterGrace, "a"), left(afterGrace),
			},
			violation: "observed the server's drain",
		},
		"another balancer observed the drain": {
			events: []Event{
				observed(DrainObserved, "n2"), sent(longDeadline), started(afterGrace, "a"), left(afterGrace),
			},
		},
		"a previous process observed the drain": {
			events: []Event{
				observed(DrainObserved, "n1"), balancerEvent(BalancerStarted, "n1"), sent(longDeadline),
				started(afterGrace, "a"), left(afterGrace),
			},
		},
		"ready again": {
			events: []Event{
				observed(DrainObserved, "n1"), observed(ReadyObserved, "n1"), sent(longDeadline),
				started(time.Second, "a"), left(time.Second),
			},
		},
		"server collapsed": {
			events:    []Event{{Kind: ServerCollapsed, Server: "a"}},
			violation: "overloaded",
			collapses: 1,
		},
	})
}

// A session may be attached once at a time, at increasing epochs, and must not lose acknowledged moves.
func TestSessions(t *testing.T) {
	runCheckerCases(t, map[string]checkerCase{
		"attached at two":       {events: []Event{attached(1, "a"), attached(2, "b")}, double: 1},
		"migrated":              {events: []Event{attached(1, "a"), detached("a"), attached(2, "b")}},
		"attached at one epoch": {events: []Event{attached(1, "a"), detached("a"), attached(1, "b")}, double: 1},
		"epoch regression":      {events: []Event{attached(3, "a"), detached("a"), attached(2, "b")}, regressions: 1},
		"moves lost": {
			events: []Event{positioned(PositionAcknowledged, 5), positioned(SessionResumed, 4)},
			lost:   1,
		},
		"moves stored": {events: []Event{positioned(PositionAcknowledged, 5), positioned(SessionResumed, 6)}},
		"stranded":     {events: []Event{{Kind: SessionStranded, Session: "s"}}, lost: 1},
	})
}
