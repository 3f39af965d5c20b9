package decide

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// comparison drives the Balancer and the reference, which walks all servers, with the same events, and compares every
// action.
type comparison struct {
	t           *testing.T
	rng         *rand.Rand
	b           *Balancer
	ref         *refBalancer
	now         time.Duration
	trace       string
	events      int
	actions     map[string]int
	lines       map[ServerID]Server // the list as it is told
	ids         []ServerID          // of lines, and of those that went
	inFlight    []StartAttempt      // attempts that are out
	established []StartAttempt      // connections that are established
	timers      []timerDue
	probes      []ServerID
	nextID      int
	injectFault func(*Balancer) bool // spoils the present one, and tells whether it could
}

func (p *comparison) send(ev Event) (same bool) {
	if p.events > 400 && p.injectFault != nil && p.injectFault(p.b) {
		p.injectFault = nil
	}
	got, want := p.b.Handle(p.now, ev, nil), p.ref.Handle(p.now, ev, nil)
	p.events++
	if !slices.Equal(got, want) {
		p.trace = fmt.Sprintf("event %d, %T at %v: %d actions, %d by the reference; first that differs: %v", p.events, ev, p.now,
			len(got), len(want), firstDifference(got, want))
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

func firstDifference(got, want []Action) string {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("nothing, not %#v", want[i])
		case i >= len(want):
			return fmt.Sprintf("%#v, not nothing", got[i])
		case got[i] != want[i]:
			return fmt.Sprintf("%#v, not %#v", got[i], want[i])
		}
	}
	return ""
}

// randomServer returns a random list entry.
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

// change alters some lines and tells these, or all.
func (p *comparison) change(n, weights int) bool {
	var told []Server
	for range n {
		id := p.ids[p.rng.IntN(len(p.ids))]
		s, listed := p.lines[id]
		switch k := p.rng.IntN(10); {
		case !listed || k == 0: // back, or moved to another zone
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
		p.lines[id] = s
		told = append(told, s)
		if s.State == Removed {
			delete(p.lines, id)
		}
	}
	if p.rng.IntN(4) > 0 {
		return p.send(ListReceived{Kind: ListDelta, Servers: told})
	}
	return p.sendSnapshot(func(Server) bool { return true })
}

// sendSnapshot sends a snapshot of the selected servers.
func (p *comparison) sendSnapshot(want func(Server) bool) bool {
	var told []Server
	for _, id := range p.ids {
		if s, ok := p.lines[id]; ok && want(s) {
			told = append(told, s)
		}
	}
	return p.send(ListReceived{Kind: ListSnapshot, Servers: told})
}

// step sends one random event.
func (p *comparison) step(weights int) bool {
	pick := func(list *[]StartAttempt) (StartAttempt, bool) {
		if len(*list) == 0 {
			return StartAttempt{}, false
		}
		i := p.rng.IntN(len(*list))
		a := (*list)[i]
		*list = slices.Delete(*list, i, i+1)
		return a, true
	}
	anyServer := func() ServerID { return p.ids[p.rng.IntN(len(p.ids))] }
	report := func() LoadReport {
		return LoadReport{Load: p.rng.Float64() * 1.1, Connections: float64(p.rng.IntN(30)) - 1}
	}
	switch k := p.rng.IntN(200); {
	case k < 60:
		p.nextID++
		ev := RequestArrived{ID: RequestID(name("r", p.nextID)), Class: p.rng.IntN(5), Key: name("k", p.rng.IntN(50)),
			Remaining: time.Duration(p.rng.IntN(3000)+1) * time.Millisecond, MidFlow: p.rng.IntN(9) == 0}
		if p.rng.IntN(3) > 0 {
			ev.Group = name("g", p.rng.IntN(30))
		}
		return p.send(ev)
	case k < 65:
		p.nextID++
		a := StartAttempt{ID: RequestID(name("o", p.nextID)), Server: anyServer()}
		if p.rng.IntN(5) == 0 {
			a.Server = ServerID(1<<21 + p.rng.IntN(9)) // one that no list has named
		}
		p.established = append(p.established, a)
		return p.send(ConnectionRestored{Request: RequestArrived{ID: a.ID, Group: name("g", p.rng.IntN(30))}, Server: a.Server})
	case k < 100:
		a, ok := pick(&p.inFlight)
		if !ok {
			return true
		}
		attempt := 0
		if r := p.ref.requests[a.ID]; r != nil {
			attempt = r.attempts - 1
		}
		if p.rng.IntN(3) > 0 {
			p.established = append(p.established, a)
			return p.send(Established{ID: a.ID, Attempt: attempt, Server: a.Server, Elapsed: 50 * time.Millisecond})
		}
		return p.send(AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Code: Code(p.rng.IntN(8)), Report: NoLoadReport,
			Elapsed: 100 * time.Millisecond})
	case k < 115:
		a, ok := pick(&p.established)
		if !ok {
			return true
		}
		attempt := 0
		if r := p.ref.requests[a.ID]; r != nil {
			attempt = r.attempts - 1
		}
		return p.send(AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Code: []Code{OK, Reset, Cancelled}[p.rng.IntN(3)],
			Final: true, Report: NoLoadReport})
	case k < 118:
		if a, ok := pick(&p.inFlight); ok {
			return p.send(ClientDisconnected{ID: a.ID})
		}
	case k < 150:
		id := anyServer()
		if n := len(p.probes); n > 0 && p.rng.IntN(4) > 0 {
			id, p.probes = p.probes[n-1], p.probes[:n-1]
		}
		ev := ProbeCompleted{Server: id, Report: report()}
		if p.rng.IntN(12) == 0 {
			ev.Code, ev.Report = Code(p.rng.IntN(8)), NoLoadReport
		}
		return p.send(ev)
	case k < 154:
		if len(p.established) > 0 {
			a := p.established[p.rng.IntN(len(p.established))]
			return p.send(MessageDelayReported{ID: a.ID, Server: a.Server, Delay: time.Duration(p.rng.IntN(90)) * time.Millisecond}) &&
				p.send(LoadChanged{ID: a.ID, Load: p.rng.Float64()})
		}
	case k < 158:
		return p.change(1+p.rng.IntN(3), weights)
	case k == 158 && p.rng.IntN(3) == 0:
		switch p.rng.IntN(4) {
		case 0:
			return p.sendSnapshot(func(s Server) bool { return s.Zone != "a" }) // the own zone is emptied
		case 1:
			return p.sendSnapshot(func(Server) bool { return p.rng.IntN(3) > 0 })
		case 2:
			return p.change(len(p.ids)/3+1, weights)
		default:
			return p.send(ListReceived{Kind: ListFailed})
		}
	case k == 159:
		return p.sendSnapshot(func(Server) bool { return true })
	case k == 160: // a while without anything but the timers
		return p.advance(time.Duration(p.rng.IntN(15_000)) * time.Millisecond)
	default:
		return p.advance(time.Duration(p.rng.IntN(60)) * time.Millisecond)
	}
	return true
}

// advance moves the clock and fires the timers that are due, in their order.
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

func newComparison(t *testing.T, seed uint64, set Settings) *comparison {
	t.Helper()
	b, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	ref, err := newRef(set)
	if err != nil {
		t.Fatal(err)
	}
	return &comparison{t: t, rng: rand.New(rand.NewPCG(seed, 3)), b: b, ref: ref, now: 500 * time.Second,
		actions: map[string]int{}, lines: map[ServerID]Server{}}
}

// run lets time pass. In each step, perStep requests of the groups arrive on average, each at any balancer.
func (p *comparison) run(n, weights, steps int) bool {
	for i := range n {
		id := ServerID(i + 1)
		p.ids, p.lines[id] = append(p.ids, id), p.randomServer(id, weights)
	}
	if !p.send(Started{}) || !p.sendSnapshot(func(Server) bool { return true }) {
		return false
	}
	var learned []LearnedState
	for id := range ServerID(n) {
		l := LearnedState{Server: id + 1, Age: -1}
		if p.rng.IntN(2) == 0 {
			l.Load, l.Age, l.LoadPerConnection = p.rng.Float64(), time.Duration(p.rng.IntN(12_000))*time.Millisecond, p.rng.Float64()/20
		}
		if p.rng.IntN(9) == 0 {
			l.ConsecutiveFailures, l.EjectedFor = 1, time.Duration(p.rng.IntN(5000))*time.Millisecond
		}
		learned = append(learned, l)
	}
	p.b.ImportLearned(learned)
	p.ref.ImportLearned(learned)
	for i := range steps {
		if i == steps/2 && !slices.Equal(p.b.ExportLearned(), p.ref.ExportLearned()) {
			p.trace = "what it has learned differs"
			return false
		}
		if !p.step(weights) {
			return false
		}
	}
	return true
}

// comparisonSettings vary all settings that the index depends on.
func comparisonSettings(seed uint64) Settings {
	set := settings()
	set.Seed, set.GroupAffinity, set.WatchList, set.ProbingAllowed = seed, seed%3 != 0, seed%2 == 0, seed%5 != 4
	set.Zones, set.Balancers = []string{"a", "b", "c"}, []int{1, 4, 40, 300}[seed%4]
	return set
}

// The index gives the choices that walks over all servers give: every action is the same.
func TestIndexedChoicesEqualReference(t *testing.T) {
	steps := 6000
	if testing.Short() {
		steps = 1500
	}
	all := map[string]int{}
	for i, n := range []int{1, 3, 10, 11, 25, 40, 90, 150, 300, 600, 1200, 3000} {
		for j, weights := range []int{0, 9, 4000} {
			seed := uint64(i*3 + j)
			p := newComparison(t, seed, comparisonSettings(seed))
			if !p.run(n, weights, steps/(1+n/300)) {
				t.Fatalf("seed %d, %d servers: %s", seed, n, p.trace)
			}
			for k, v := range p.actions {
				all[k] += v
			}
		}
	}
	t.Log(all)
	for _, kind := range []string{"StartAttempt", "Reject", "Fail", "Migrate", "Probe", "FetchList", "Log"} {
		if all[kind] == 0 {
			t.Errorf("no %s among the actions compared: %v", kind, all)
		}
	}
}

// The comparison finds a fault in any list of the index.
func TestInjectedFaultsAreFound(t *testing.T) {
	plants := map[string]func(b *Balancer) bool{
		"held": func(b *Balancer) bool { b.connected = b.connected[:len(b.connected)/2]; return true },
		"far": func(b *Balancer) bool {
			b.remoteZone.connected = nil
			return len(b.connected) >= len(b.local)
		},
		"unseen": func(b *Balancer) bool { b.remoteZone.unprobed = nil; return true },
		"cold": func(b *Balancer) bool {
			b.localZone.warming = b.localZone.warming[:len(b.localZone.warming)/2]
			return true
		},
		"laden": func(b *Balancer) bool { b.localZone.busy = nil; return true },
		"order": func(b *Balancer) bool {
			b.local = slices.Clone(b.local)
			slices.Reverse(b.local)
			return len(b.local) > 2
		},
		"ejected": func(b *Balancer) bool { b.ejectedCount += len(b.ready); return true },
		"each": func(b *Balancer) bool {
			b.loadUnitsSum *= 50
			return b.loadUnitsCount > 0 && len(b.localZone.warming) > 0
		},
		"turns":  func(b *Balancer) bool { b.reindexQueue.Clear(false); return true },
		"leaves": func(b *Balancer) bool { b.dropQueue.Clear(false); return true },
		"homes": func(b *Balancer) bool {
			for _, h := range b.localZone.recentGroups {
				h.servers[0], h.servers[1] = h.servers[1], h.servers[0]
			}
			return len(b.localZone.recentGroups) > 3
		},
		"change of preferred servers": func(b *Balancer) bool { clear(b.localZone.changeLog[:]); return true },
		"weight": func(b *Balancer) bool {
			for i := range b.localZone.rankingKeys {
				b.localZone.rankingKeys[i].weight /= 64
			}
			b.localZone.recentGroups, b.localZone.olderGroups = nil, nil
			return len(b.localZone.rankingKeys) > 20
		},
	}
	for what, plant := range plants {
		found := false
		for seed := uint64(0); seed < 24 && !found; seed++ {
			set := comparisonSettings(seed)
			set.GroupAffinity, set.ProbingAllowed = true, true
			p := newComparison(t, seed, set)
			p.injectFault = plant
			found = !p.run(60, 9, 4000)
		}
		if !found {
			t.Errorf("%s: a planted difference is not found", what)
		}
	}
}

// The cached ranking of a group is what ranking all servers gives, whatever the weights, as servers come and go: few
// between two requests, or more than the change log has.
func TestRankingEqualsReference(t *testing.T) {
	weights := map[string]func(rng *rand.Rand) float64{
		"equal": func(*rand.Rand) float64 { return 0 },
		"few":   func(rng *rand.Rand) float64 { return float64(rng.IntN(5)) },
		"many":  func(rng *rand.Rand) float64 { return rng.Float64() * 10 },
		"far apart": func(rng *rand.Rand) float64 {
			return []float64{1e-9, 1e-3, 1, 1e6, 1e300, 5e-324}[rng.IntN(6)]
		},
		"below 0": func(rng *rand.Rand) float64 { return float64(rng.IntN(3)) - 0.5 },
	}
	for kind, weight := range weights {
		for _, n := range []int{1, 2, 5, 7, 40, 1000} {
			set := affinitySettings()
			set.Zones = []string{"a", "b", "c"}
			p := newComparison(t, uint64(n), set)
			for i := range n {
				id := ServerID(i + 1)
				s := p.randomServer(id, 0)
				s.Weight = weight(p.rng)
				p.ids, p.lines[id] = append(p.ids, id), s
			}
			p.sendSnapshot(func(Server) bool { return true })
			for round := range 12 {
				for g := range 40 {
					group := RequestArrived{Group: name("g", g*round/4)}
					near, far := p.b.preferredServers(&request{RequestArrived: group})
					refNear, refFar := p.ref.preferredServers(&refRequest{RequestArrived: group})
					for i, got := range [2][]*server{near, far} {
						want := [2][]*refServer{refNear, refFar}[i]
						if !slices.EqualFunc(got, want, func(x *server, y *refServer) bool { return x.ID == y.ID }) {
							t.Fatalf("weights %s, %d servers, round %d: group %s is elsewhere", kind, n, round, group.Group)
						}
					}
				}
				for range []int{1, 3, 20, 400}[round%4] {
					id := p.ids[p.rng.IntN(n)]
					s := p.lines[id]
					s.State = State(p.rng.IntN(2))
					if p.rng.IntN(3) == 0 {
						s.Weight = weight(p.rng)
					}
					p.lines[id] = s
					p.send(ListReceived{Servers: []Server{s}})
				}
			}
		}
	}
}

// No tick, change or request looks at more servers when the list is longer; only a group that is not cached costs one
// quick pass.
func TestCostDoesNotGrowWithTheList(t *testing.T) {
	const times = 200
	now := 101 * time.Second
	for what, c := range map[string]struct {
		most int // servers looked at each time
		do   func(b *Balancer, n, i int)
	}{
		"a tick at rest": {0, func(b *Balancer, _, _ int) { b.Handle(now, TimerFired{Token: tickToken}, nil) }},
		"a change": {0, func(b *Balancer, n, i int) {
			s := serverList(20)[i/2%20]
			s.State = State(1 - i%2)
			b.Handle(now, ListReceived{Servers: []Server{s}}, nil)
		}},
		"a restart": {1, func(b *Balancer, n, i int) {
			s := serverList(20)[i%20]
			s.Started = now
			b.Handle(now, ListReceived{Servers: []Server{s}}, nil)
		}},
		"a request": {4, func(b *Balancer, _, i int) {
			b.Handle(now, RequestArrived{ID: "r", Remaining: time.Second}, nil)
			b.Handle(now, ClientDisconnected{ID: "r"}, nil)
		}},
		"a request of a known group": {12, func(b *Balancer, _, i int) {
			b.Handle(now, RequestArrived{ID: "r", Group: "g", Remaining: time.Second}, nil)
			b.Handle(now, ClientDisconnected{ID: "r"}, nil)
		}},
		"a failure": {2, func(b *Balancer, n, i int) {
			b.Handle(now, ProbeCompleted{Server: ServerID(i + 1), Code: ServerError}, nil)
		}},
		"a probe": {0, func(b *Balancer, n, i int) {
			b.Handle(now, ProbeCompleted{Server: ServerID(i + 1), Report: LoadReport{Load: 0.6, Connections: 9}}, nil)
		}},
	} {
		for _, n := range []int{600, 5000, 20_000} {
			set := affinitySettings()
			b := newBalancerWithList(t, set, n, 0)
			b.Handle(now, RequestArrived{ID: "first", Group: "g", Remaining: time.Second}, nil)
			b.Handle(now, ClientDisconnected{ID: "first"}, nil)
			before := b.visits
			for i := range times {
				now += tickInterval
				c.do(b, n, i)
			}
			if visits := b.visits - before; visits > c.most*times {
				t.Errorf("%s, %d servers: %d looked at in %d times, want %d each at most", what, n, visits, times, c.most)
			}
			now = 101 * time.Second
		}
	}
	for _, n := range []int{600, 5000, 20_000} {
		b := newBalancerWithList(t, affinitySettings(), n, 0)
		before := b.visits
		b.Handle(now, RequestArrived{ID: "r", Group: "new", Remaining: time.Second}, nil)
		if visits := b.visits - before; visits > n+12 {
			t.Errorf("%d servers: a new group looks at %d", n, visits)
		}
	}
}

// A tick at rest allocates only its actions, and a request as much as with a short list.
func TestAllocationsDoNotGrowWithTheList(t *testing.T) {
	var short float64
	for _, n := range []int{600, 20_000} {
		b := newBalancerWithList(t, affinitySettings(), n, 0)
		now, out := 101*time.Second, make([]Action, 0, 100)
		if allocs := testing.AllocsPerRun(100, func() {
			now += tickInterval
			b.Handle(now, TimerFired{Token: tickToken}, out[:0])
		}); allocs > 3 { // what it asks for
			t.Errorf("%d servers: %v allocations a tick", n, allocs)
		}
		allocs := testing.AllocsPerRun(100, func() {
			b.Handle(now, RequestArrived{ID: "r", Group: "g", Remaining: time.Second}, out[:0])
			b.Handle(now, ClientDisconnected{ID: "r"}, out[:0])
		})
		if short = max(short, 1); n == 600 {
			short = allocs
		} else if allocs > short+1 {
			t.Errorf("%d servers: %v allocations a request, %v with 600", n, allocs, short)
		}
	}
}

// All walks over whole lists are known, each with its reason: another one would make some cost grow with the list.
func TestWalksOverWholeListsAreKnown(t *testing.T) {
	known := map[string]string{
		"applyList":     "a full snapshot has just come",
		"rebuild":       "many servers have changed at once",
		"reindexAll":    "walks the servers that it is given",
		"bootstrap":     "no server has answered for seconds",
		"rank":          "a group that is not cached: one quick pass",
		"pickPreferred": "the preferred servers of one group",
		"pickReported":  "until the first eligible server; all only where none is eligible",
		"pickAny":       "until the first eligible server; all only where none is eligible",
		"ExportLearned": "once, for the replacement process",
		"setReady":      "memory is moved, no server is looked at",
		"apply":         "the few servers that are cached for one group",
	}
	walk := regexp.MustCompile(`(range|slices\.\w+\(|firstMatching\(|minimum\(|leastLoaded\(|nextInOrder\(\S+)` +
		` ?(\w+\.)*(ready|local|remote|servers|rankingKeys|all)\b`)
	found := map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		in := ""
		for i, line := range strings.Split(string(text), "\n") {
			if m := regexp.MustCompile(`^func (?:\(.*?\) )?(\w+)`).FindStringSubmatch(line); m != nil {
				in = m[1]
			}
			if walk.MatchString(line) {
				found[in] = true
				if known[in] == "" {
					t.Errorf("%s:%d: %s walks a whole list: %s", file, i+1, in, strings.TrimSpace(line))
				}
			}
		}
	}
	if len(found) < 5 {
		t.Errorf("only these walks are seen: %v", found)
	}
}

// Records of removed servers, and of those that no list has named, are dropped a while later, at the next list
// update; those of servers that are back, or have connections, are kept.
func TestRecordsOfRemovedServersAreDropped(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(40, 0))
	h.send(ConnectionRestored{Request: RequestArrived{ID: "held"}, Server: 1})
	h.send(ConnectionRestored{Request: RequestArrived{ID: "unlisted"}, Server: 99})
	h.endAttempt("unlisted", 0, 99, OK, true)
	h.endAttempt("unknown", 0, 98, OK, true)
	h.replaceList(servers(40, 0)[20:])
	h.now += recordRetention / 2
	back := servers(2, 0)[1]
	h.send(ListReceived{Servers: []Server{back}})
	h.now += recordRetention/2 + time.Second
	h.tick(time.Second)
	h.send(ListReceived{})
	if len(h.b.servers) != 22 || h.b.servers[1] == nil || h.b.servers[2] == nil {
		t.Fatalf("%d records kept, want those of 20 listed, one that is back and one that has a connection", len(h.b.servers))
	}
	h.endAttempt("held", 0, 1, OK, true)
	h.send(ListReceived{})
	if len(h.b.servers) != 21 {
		t.Fatalf("%d records kept, want 21", len(h.b.servers))
	}
}

// An attempt that ends after its server's record was dropped must not affect the new record of a server with the same
// id.
func TestAttemptEndAfterRecordWasDropped(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(1, 0))
	s := h.wantAttempt(h.send(RequestArrived{ID: "r", Remaining: time.Hour}))
	h.replaceList(nil)
	h.now += recordRetention + time.Second
	h.send(ListReceived{})
	if len(h.b.servers) != 0 {
		t.Fatal("the record was not dropped")
	}
	h.replaceList(servers(1, 0))
	h.send(Established{ID: "r", Server: s})
	h.send(ClientDisconnected{ID: "r"})
	h.now += recordRetention + time.Second
	h.send(ListReceived{})
	if b := h.b; b.servers[s] == nil || len(b.local) != 1 || b.servers[s].State != Ready {
		t.Fatal("the server that is back was dropped")
	}
}
