package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// comparison sends the same random events to a Balancer and to the reference, a simpler implementation that scans all
// servers, and compares their actions.
type comparison struct {
	t           *testing.T
	rng         *rand.Rand
	b           *Balancer
	reference   *referenceBalancer
	now         time.Duration
	difference  string         // description of the first difference
	events      int            // events sent
	actions     map[string]int // number of compared actions by type
	listed      map[ServerID]Server
	ids         []ServerID     // IDs of the listed servers and of removed servers
	inFlight    []StartAttempt // attempts in flight
	established []StartAttempt // established connections
	timers      []timerDue
	probes      []ServerID // servers of the probes that are not answered yet
	nextID      int
	injectFault func(*Balancer) bool // corrupts the Balancer's state, or returns false if that is not possible yet
}

// faultAfter is the number of events after which injectFault is called.
const faultAfter = 400

// send sends an event to the Balancer and the reference, and reports whether their actions are equal.
func (p *comparison) send(ev Event) (same bool) {
	if p.events > faultAfter && p.injectFault != nil && p.injectFault(p.b) {
		p.injectFault = nil
	}
	got, want := p.b.Handle(p.now, ev, nil), p.reference.Handle(p.now, ev, nil)
	p.events++
	if !slices.Equal(got, want) {
		p.difference = fmt.Sprintf("event %d, %T at %v: %d actions, the reference has %d; first difference: %v",
			p.events, ev, p.now, len(got), len(want), firstDifference(got, want))
		return false
	}
	for _, a := range got {
		p.actions[reflect.TypeOf(a).Name()]++
		switch a := a.(type) {
		case StartAttempt:
			p.inFlight = append(p.inFlight, a)
		case Probe:
			p.probes = append(p.probes, a.Server)
		case SetTimer:
			p.timers = append(p.timers, timerDue{p.now + a.Delay, a.Token})
		}
	}
	return true
}

// firstDifference describes the first action that differs. It returns an empty string if the actions are equal.
func firstDifference(got, want []Action) string {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("no action, want %#v", want[i])
		case i >= len(want):
			return fmt.Sprintf("%#v, want no action", got[i])
		case got[i] != want[i]:
			return fmt.Sprintf("%#v, want %#v", got[i], want[i])
		}
	}
	return ""
}

// randomServer returns a random list entry. The weight is 0 if weights is 0, 1 if weights is 1, and otherwise a random
// multiple of 1/8 below weights/8.
func (p *comparison) randomServer(id ServerID, weights int) Server {
	s := Server{ID: id, Zone: []string{"a", "a", "b", "c"}[p.rng.IntN(4)], Cell: p.rng.IntN(9)}
	switch {
	case weights == 1:
		s.Weight = 1
	case weights > 1:
		s.Weight = float64(p.rng.IntN(weights)) / 8
	}
	if p.rng.IntN(4) == 0 {
		s.Started = max(1, p.now-time.Duration(p.rng.IntN(12_000))*time.Millisecond)
	}
	return s
}

// change makes n random changes to the endpoint list and sends them as a delta or as a snapshot.
func (p *comparison) change(n, weights int) bool {
	var changed []Server
	for range n {
		id := p.ids[p.rng.IntN(len(p.ids))]
		s, listed := p.listed[id]
		switch k := p.rng.IntN(10); {
		case !listed || k == 0: // listed again, or moved to another zone
			s = p.randomServer(id, weights)
		case k < 3:
			s.State = Draining
		case k < 5:
			s.State = Removed
		case k < 7: // a restart
			s.State, s.Started = Ready, p.now
		case k == 7:
			id = ServerID(1<<20 + p.rng.IntN(1<<20))
			s = p.randomServer(id, weights)
			p.ids = append(p.ids, id)
		default:
			s.State = Ready
		}
		p.listed[id] = s
		changed = append(changed, s)
		if s.State == Removed {
			delete(p.listed, id)
		}
	}
	if p.rng.IntN(4) > 0 {
		return p.send(ListReceived{Kind: ListDelta, Servers: changed})
	}
	return p.sendSnapshot(func(Server) bool { return true })
}

// sendSnapshot sends a snapshot of the listed servers for which want returns true.
func (p *comparison) sendSnapshot(want func(Server) bool) bool {
	var servers []Server
	for _, id := range p.ids {
		if s, ok := p.listed[id]; ok && want(s) {
			servers = append(servers, s)
		}
	}
	return p.send(ListReceived{Kind: ListSnapshot, Servers: servers})
}

// step sends one random event.
func (p *comparison) step(weights int) bool {
	switch k := p.rng.IntN(200); {
	case k < 60:
		return p.sendRequest()
	case k < 65:
		return p.restoreConnection()
	case k < 100:
		return p.endSetup()
	case k < 115:
		return p.endConnection()
	case k < 118:
		if a, ok := p.take(&p.inFlight); ok {
			return p.send(ClientDisconnected{ID: a.ID})
		}
		return true
	case k < 150:
		return p.answerProbe()
	case k < 154:
		return p.reportMessages()
	case k < 158:
		return p.change(1+p.rng.IntN(3), weights)
	case k == 158 && p.rng.IntN(3) == 0:
		return p.changeMany(weights)
	case k == 159:
		return p.sendSnapshot(func(Server) bool { return true })
	case k == 160: // up to 15 s with no events other than timers
		return p.advance(time.Duration(p.rng.IntN(15_000)) * time.Millisecond)
	default:
		return p.advance(time.Duration(p.rng.IntN(60)) * time.Millisecond)
	}
}

// take removes a random attempt from the list and returns it. It returns false if the list is empty.
func (p *comparison) take(list *[]StartAttempt) (StartAttempt, bool) {
	if len(*list) == 0 {
		return StartAttempt{}, false
	}
	i := p.rng.IntN(len(*list))
	a := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return a, true
}

func (p *comparison) anyServer() ServerID { return p.ids[p.rng.IntN(len(p.ids))] }

// attemptNumber returns the number of a request's latest attempt.
func (p *comparison) attemptNumber(id RequestID) int {
	if r := p.reference.requests[id]; r != nil {
		return r.attempts - 1
	}
	return 0
}

func (p *comparison) sendRequest() bool {
	p.nextID++
	ev := RequestArrived{ID: RequestID(name("r", p.nextID)), Class: p.rng.IntN(5), Key: name("k", p.rng.IntN(50)),
		Remaining: time.Duration(p.rng.IntN(3000)+1) * time.Millisecond, MidFlow: p.rng.IntN(9) == 0}
	if p.rng.IntN(3) > 0 {
		ev.Group = name("g", p.rng.IntN(30))
	}
	return p.send(ev)
}

func (p *comparison) restoreConnection() bool {
	p.nextID++
	a := StartAttempt{ID: RequestID(name("o", p.nextID)), Server: p.anyServer()}
	if p.rng.IntN(5) == 0 {
		a.Server = ServerID(1<<21 + p.rng.IntN(9)) // a server that was never listed
	}
	p.established = append(p.established, a)
	request := RequestArrived{ID: a.ID, Group: name("g", p.rng.IntN(30))}
	return p.send(ConnectionRestored{Request: request, Server: a.Server})
}

// endSetup establishes the connection of a random attempt or ends the attempt with a random code.
func (p *comparison) endSetup() bool {
	a, ok := p.take(&p.inFlight)
	if !ok {
		return true
	}
	attempt := p.attemptNumber(a.ID)
	if p.rng.IntN(3) > 0 {
		p.established = append(p.established, a)
		return p.send(Established{ID: a.ID, Attempt: attempt, Server: a.Server, Elapsed: 50 * time.Millisecond})
	}
	return p.send(AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Code: Code(p.rng.IntN(8)),
		Report: NoLoadReport, Elapsed: 100 * time.Millisecond})
}

func (p *comparison) endConnection() bool {
	a, ok := p.take(&p.established)
	if !ok {
		return true
	}
	return p.send(AttemptEnded{ID: a.ID, Attempt: p.attemptNumber(a.ID), Server: a.Server,
		Code: []Code{OK, Reset, Cancelled}[p.rng.IntN(3)], Final: true, Report: NoLoadReport})
}

func (p *comparison) answerProbe() bool {
	id := p.anyServer()
	if n := len(p.probes); n > 0 && p.rng.IntN(4) > 0 {
		id, p.probes = p.probes[n-1], p.probes[:n-1]
	}
	report := LoadReport{Load: p.rng.Float64() * 1.1, Connections: float64(p.rng.IntN(30)) - 1}
	ev := ProbeCompleted{Server: id, Report: report}
	if p.rng.IntN(12) == 0 {
		ev.Code, ev.Report = Code(p.rng.IntN(8)), NoLoadReport
	}
	return p.send(ev)
}

// reportMessages reports the message delay and the load of a random connection.
func (p *comparison) reportMessages() bool {
	if len(p.established) == 0 {
		return true
	}
	a := p.established[p.rng.IntN(len(p.established))]
	delay := time.Duration(p.rng.IntN(90)) * time.Millisecond
	return p.send(MessageDelayReported{ID: a.ID, Server: a.Server, Delay: delay}) &&
		p.send(LoadChanged{ID: a.ID, Load: p.rng.Float64()})
}

// changeMany sends a list with many changes or reports a failed call to discovery.
func (p *comparison) changeMany(weights int) bool {
	switch p.rng.IntN(4) {
	case 0:
		return p.sendSnapshot(func(s Server) bool { return s.Zone != "a" }) // without the own zone
	case 1:
		return p.sendSnapshot(func(Server) bool { return p.rng.IntN(3) > 0 })
	case 2:
		return p.change(len(p.ids)/3+1, weights)
	default:
		return p.send(ListReceived{Kind: ListFailed})
	}
}

// advance moves the clock by d and fires the timers that expire by then, in order of their times.
func (p *comparison) advance(d time.Duration) bool {
	for end := p.now + d; ; {
		i := -1
		for j, x := range p.timers {
			if x.at <= end && (i < 0 || x.at < p.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			p.now = end
			return true
		}
		x := p.timers[i]
		p.timers = slices.Delete(p.timers, i, i+1)
		p.now = max(p.now, x.at)
		if !p.send(TimerFired{Token: x.token}) {
			return false
		}
	}
}

// newComparison returns a comparison of a Balancer and a reference with the same settings. The seed is that of the
// random events.
func newComparison(t *testing.T, seed uint64, set Settings) *comparison {
	t.Helper()
	b, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	ref, err := newReferenceBalancer(set)
	if err != nil {
		t.Fatal(err)
	}
	return &comparison{t: t, rng: rand.New(rand.NewPCG(seed, 3)), b: b, reference: ref, now: 500 * time.Second,
		actions: map[string]int{}, listed: map[ServerID]Server{}}
}

// run sends a list of n servers, imports a random learned state of them and then makes the given number of steps. Half
// way through, it also compares the exported learned states. It returns false at the first difference.
func (p *comparison) run(n, weights, steps int) bool {
	for i := range n {
		id := ServerID(i + 1)
		p.ids, p.listed[id] = append(p.ids, id), p.randomServer(id, weights)
	}
	if !p.send(Started{}) || !p.sendSnapshot(func(Server) bool { return true }) {
		return false
	}
	var learned []LearnedState
	for id := range ServerID(n) {
		l := LearnedState{Server: id + 1, Age: -1}
		if p.rng.IntN(2) == 0 {
			l.Load, l.Age, l.LoadPerConnection = p.rng.Float64(), time.Duration(p.rng.IntN(12_000))*time.Millisecond,
				p.rng.Float64()/20
		}
		if p.rng.IntN(9) == 0 {
			l.ConsecutiveFailures, l.EjectedFor = 1, time.Duration(p.rng.IntN(5000))*time.Millisecond
		}
		learned = append(learned, l)
	}
	p.b.ImportLearned(learned)
	p.reference.ImportLearned(learned)
	for i := range steps {
		if i == steps/2 && !slices.Equal(p.b.ExportLearned(), p.reference.ExportLearned()) {
			p.difference = "the exported learned states differ"
			return false
		}
		if !p.step(weights) {
			return false
		}
	}
	return true
}

// comparisonSettings returns the settings of a balancer in one of three zones. GroupAffinity, WatchList, ProbingAllowed
// and Balancers vary with the seed.
func comparisonSettings(seed uint64) Settings {
	set := settings()
	set.Seed, set.GroupAffinity, set.WatchList, set.ProbingAllowed = seed, seed%3 != 0, seed%2 == 0, seed%5 != 4
	set.Zones, set.Balancers = []string{"a", "b", "c"}, []int{1, 4, 40, 300}[seed%4]
	return set
}
