// Package invariants checks what a fleet of balancers did against the four rules and the invariants of sessions. It is fed
// with events that stand-ins see from outside and knows nothing of a balancer's inside; any world that makes the events
// may be checked. Pure: events carry their times.
package invariants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind says what happened.
type Kind uint8

// The kinds of event, and which fields of Event they use besides At.
const (
	Taken    Kind = iota // Request, Balancer, Until: a client has written its whole first line
	Answered             // Request, Text: it has read its answer: UP, BUSY, ERR or ANEW
	Left                 // Request: the client went before its answer
	Cut                  // Request: its connection ended without an answer
	Killed               // Balancer: a balancer was killed; what it had taken is nobody's fault
	Began                // Request, Server: a room server has an attempt's first line
	Ended                // Request, Server: the attempt is over there
	Fresh                // Balancer: a process began under this name, and was told nothing yet
	Told                 // Balancer, Server: discovery has told it that the room server drains or is gone
	Ready                // Balancer, Server: discovery has told it that the room server serves (again)
	Fell                 // Server: it was pushed over while cold
	Attached             // Session, Epoch, Server: a room server has let a client play
	Detached             // Session, Server: it does not any more
	Acked                // Session, Position: a client has read that its moves up to here are kept
	Resumed              // Session, Position: a client goes on from here
	Anew                 // Session: its client was told to start over
	Stranded             // Session: its client was left without any board to the end
)

// Event is one thing that happened.
type Event struct {
	At       time.Duration
	Kind     Kind
	Request  string
	Balancer string
	Server   string
	Session  string
	Text     string
	Epoch    uint64
	Position uint64
	Until    time.Duration // when the client gives up
}

// Figures are those of the rules.
type Figures struct {
	DrainGrace time.Duration
	Slack      time.Duration // on every time limit
}

// Report is what the checker found.
type Report struct {
	Broken        []string // rules, in words
	AttachedTwice int      // sessions that played at two places at once, or at one epoch twice
	EpochsBack    int
	LostAnswers   int // requests that were taken and got none
	Lost          int // sessions that lost acknowledged moves, or were left without any answer
	Anew          int
	Resumed       int
}

// Checker holds what is under way.
type Checker struct {
	figures  Figures
	requests map[string]*request
	told     map[[2]string]time.Duration // by balancer and room server
	sessions map[string]*session
	dead     map[string]bool // balancers that were killed and not started again
	report   Report
}

type request struct {
	balancer string
	until    time.Duration
	answered bool
	gone     bool
	out      map[string]int           // attempts, by room server
	second   map[string]time.Duration // since when another has been out beside that of this room server
}

type session struct {
	at    string // where it plays; empty: nowhere
	epoch uint64
	acked uint64
	lost  bool
}

// New returns a checker.
func New(f Figures) *Checker {
	return &Checker{figures: f, requests: map[string]*request{}, told: map[[2]string]time.Duration{},
		sessions: map[string]*session{}, dead: map[string]bool{}}
}

func (c *Checker) breaks(format string, args ...any) {
	c.report.Broken = append(c.report.Broken, fmt.Sprintf(format, args...))
}

func (c *Checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{out: map[string]int{}, second: map[string]time.Duration{}}
		c.requests[id] = r
	}
	return r
}

func (c *Checker) session(id string) *session {
	s := c.sessions[id]
	if s == nil {
		s = &session{}
		c.sessions[id] = s
	}
	return s
}

// Add takes the next event; events come in the order in which they happened.
func (c *Checker) Add(e Event) {
	switch e.Kind {
	case Taken:
		r := c.request(e.Request)
		r.balancer, r.until = e.Balancer, e.Until
		r.gone = c.dead[e.Balancer] // written into a connection that the kill has cut
	case Answered:
		r := c.request(e.Request)
		if r.answered {
			c.breaks("%v: request %s has a second final answer, %s", e.At, e.Request, e.Text)
		}
		r.answered = true
		if r.until > 0 && e.At > r.until+c.figures.Slack {
			c.breaks("%v: request %s was answered %v after its client had given up", e.At, e.Request, e.At-r.until)
		}
	case Left:
		r := c.request(e.Request)
		if !r.answered && !r.gone && r.until > 0 && e.At > r.until+c.figures.Slack {
			c.breaks("%v: request %s had no answer from %s %v after its time", e.At, e.Request, r.balancer, e.At-r.until)
			c.report.LostAnswers++
		}
		r.gone = true
	case Cut:
		if r := c.request(e.Request); !r.answered && !r.gone {
			c.breaks("%v: request %s was cut off without an answer by %s", e.At, e.Request, r.balancer)
			c.report.LostAnswers++
			r.gone = true
		}
	case Killed:
		c.dead[e.Balancer] = true
		for _, r := range c.requests {
			if r.balancer == e.Balancer {
				r.gone = true
			}
		}
	case Began:
		c.began(e)
	case Ended:
		r := c.request(e.Request)
		if r.out[e.Server]--; r.out[e.Server] <= 0 {
			delete(r.out, e.Server)
			c.second(r, e.Request, e.Server, e.At)
		}
	case Fresh:
		delete(c.dead, e.Balancer)
		maps.DeleteFunc(c.told, func(k [2]string, _ time.Duration) bool { return k[0] == e.Balancer })
	case Told:
		if _, ok := c.told[[2]string{e.Balancer, e.Server}]; !ok {
			c.told[[2]string{e.Balancer, e.Server}] = e.At
		}
	case Ready:
		delete(c.told, [2]string{e.Balancer, e.Server})
	case Fell:
		c.breaks("%v: the cold room server %s was pushed over", e.At, e.Server)
	default:
		c.addSession(e)
	}
}

func (c *Checker) began(e Event) {
	r := c.request(e.Request)
	for server := range r.out {
		if _, ok := r.second[server]; !ok {
			r.second[server] = e.At
		}
	}
	r.out[e.Server]++
	if at, ok := c.told[[2]string{r.balancer, e.Server}]; ok && e.At > at+c.figures.DrainGrace+c.figures.Slack {
		c.breaks("%v: request %s came to %s %v after %s was told that it drains", e.At, e.Request, e.Server, e.At-at, r.balancer)
	}
}

// second ends the look at an attempt beside which another began. A room server sees a close a little after it was made.
func (c *Checker) second(r *request, id, server string, at time.Duration) {
	if since, ok := r.second[server]; ok && at-since > c.figures.Slack {
		c.breaks("%v: request %s was out at %s beside another attempt for %v", at, id, server, at-since)
	}
	delete(r.second, server)
}

func (c *Checker) addSession(e Event) {
	s := c.session(e.Session)
	switch e.Kind {
	case Attached:
		if s.at != "" || e.Epoch == s.epoch {
			c.report.AttachedTwice++
		}
		if e.Epoch < s.epoch {
			c.report.EpochsBack++
		}
		s.at, s.epoch = e.Server, max(s.epoch, e.Epoch)
	case Detached:
		if s.at == e.Server {
			s.at = ""
		}
	case Acked:
		s.acked = max(s.acked, e.Position)
	case Resumed:
		c.report.Resumed++
		if e.Position < s.acked && !s.lost {
			s.lost = true
			c.report.Lost++
		}
	case Anew:
		c.report.Anew++
	case Stranded:
		if !s.lost {
			s.lost = true
			c.report.Lost++
		}
	}
}

// Report ends the check at a time: requests that are due by then and have no answer break the first rule.
func (c *Checker) Report(now time.Duration) Report {
	for id, q := range c.requests {
		for server := range q.second {
			c.second(q, id, server, now)
		}
	}
	r := c.report
	r.Broken = slices.Clone(r.Broken)
	ids := make([]string, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[string])
	for _, id := range ids {
		if q := c.requests[id]; q.until > 0 && !q.answered && !q.gone && now > q.until+c.figures.Slack {
			r.LostAnswers++
			r.Broken = append(r.Broken, fmt.Sprintf("request %s was never answered by %s", id, q.balancer))
		}
	}
	return r
}
