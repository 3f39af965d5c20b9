package decide

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

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
	faults := map[string]func(b *Balancer) bool{
		"connected": func(b *Balancer) bool { b.connected = b.connected[:len(b.connected)/2]; return true },
		"connected in other zones": func(b *Balancer) bool {
			b.remoteZone.connected = nil
			return len(b.connected) >= len(b.local)
		},
		"unprobed": func(b *Balancer) bool { b.remoteZone.unprobed = nil; return true },
		"warming": func(b *Balancer) bool {
			b.localZone.warming = b.localZone.warming[:len(b.localZone.warming)/2]
			return true
		},
		"busy": func(b *Balancer) bool { b.localZone.busy = nil; return true },
		"shuffled order": func(b *Balancer) bool {
			b.local = slices.Clone(b.local)
			slices.Reverse(b.local)
			return len(b.local) > 2
		},
		"ejected": func(b *Balancer) bool { b.ejectedCount += len(b.ready); return true },
		"load per connection": func(b *Balancer) bool {
			b.loadUnitsSum *= 50
			return b.loadUnitsCount > 0 && len(b.localZone.warming) > 0
		},
		"reindex queue": func(b *Balancer) bool { b.reindexQueue.Clear(false); return true },
		"drop queue":    func(b *Balancer) bool { b.dropQueue.Clear(false); return true },
		"ranking": func(b *Balancer) bool {
			for _, ranking := range b.localZone.recentGroups {
				ranking.servers[0], ranking.servers[1] = ranking.servers[1], ranking.servers[0]
			}
			return len(b.localZone.recentGroups) > 3
		},
		"change log": func(b *Balancer) bool { clear(b.localZone.changeLog[:]); return true },
		"weight": func(b *Balancer) bool {
			for i := range b.localZone.rankingKeys {
				b.localZone.rankingKeys[i].weight /= 64
			}
			b.localZone.recentGroups, b.localZone.olderGroups = nil, nil
			return len(b.localZone.rankingKeys) > 20
		},
	}
	for what, inject := range faults {
		t.Run(what, func(t *testing.T) {
			if !faultIsFound(t, inject) {
				t.Error("the injected fault is not found")
			}
		})
	}
}

// faultIsFound reports whether the comparison finds a fault, with one of several seeds.
func faultIsFound(t *testing.T, inject func(*Balancer) bool) bool {
	for seed := range uint64(24) {
		set := comparisonSettings(seed)
		set.GroupAffinity, set.ProbingAllowed = true, true
		p := newComparison(t, seed, set)
		p.injectFault = inject
		if !p.run(60, 9, 4000) {
			return true
		}
	}
	return false
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
				p.ids, p.listed[id] = append(p.ids, id), s
			}
			p.sendSnapshot(func(Server) bool { return true })
			for round := range 12 {
				for g := range 40 {
					group := RequestArrived{Group: name("g", g*round/4)}
					near, far := p.b.preferredServers(&request{RequestArrived: group})
					refNear, refFar := p.reference.preferredServers(&referenceRequest{RequestArrived: group})
					for i, got := range [2][]*server{near, far} {
						want := [2][]*referenceServer{refNear, refFar}[i]
						sameID := func(x *server, y *referenceServer) bool { return x.ID == y.ID }
						if !slices.EqualFunc(got, want, sameID) {
							t.Fatalf("weights %s, %d servers, round %d: group %s has other servers", kind, n,
								round, group.Group)
						}
					}
				}
				for range []int{1, 3, 20, 400}[round%4] {
					id := p.ids[p.rng.IntN(n)]
					s := p.listed[id]
					s.State = State(p.rng.IntN(2))
					if p.rng.IntN(3) == 0 {
						s.Weight = weight(p.rng)
					}
					p.listed[id] = s
					p.send(ListReceived{Servers: []Server{s}})
				}
			}
		}
	}
}

// listSizes are the lengths of the lists of the cost tests.
var listSizes = []int{600, 5000, 20_000}

// costCase is a kind of event whose cost must not depend on the length of the list.
type costCase struct {
	name      string
	maxVisits int // servers looked at, each time
	send      func(b *Balancer, now time.Duration, i int) []Action
}

var costCases = []costCase{
	{"a tick at rest", 0, func(b *Balancer, now time.Duration, _ int) []Action {
		return b.Handle(now, TimerFired{Token: tickToken}, nil)
	}},
	{"a change", 0, func(b *Balancer, now time.Duration, i int) []Action {
		s := serverList(20)[i/2%20]
		s.State = State(1 - i%2)
		return b.Handle(now, ListReceived{Servers: []Server{s}}, nil)
	}},
	{"a restart", 1, func(b *Balancer, now time.Duration, i int) []Action {
		s := serverList(20)[i%20]
		s.Started = now
		return b.Handle(now, ListReceived{Servers: []Server{s}}, nil)
	}},
	{"a request", 4, func(b *Balancer, now time.Duration, _ int) []Action {
		b.Handle(now, RequestArrived{ID: "r", Remaining: time.Second}, nil)
		return b.Handle(now, ClientDisconnected{ID: "r"}, nil)
	}},
	{"a request of a cached group", 12, func(b *Balancer, now time.Duration, _ int) []Action {
		b.Handle(now, RequestArrived{ID: "r", Group: "g", Remaining: time.Second}, nil)
		return b.Handle(now, ClientDisconnected{ID: "r"}, nil)
	}},
	{"a failure", 2, func(b *Balancer, now time.Duration, i int) []Action {
		return b.Handle(now, ProbeCompleted{Server: ServerID(i + 1), Code: ServerError}, nil)
	}},
	{"a probe", 0, func(b *Balancer, now time.Duration, i int) []Action {
		report := LoadReport{Load: 0.6, Connections: 9}
		return b.Handle(now, ProbeCompleted{Server: ServerID(i + 1), Report: report}, nil)
	}},
}

// No tick, change or request looks at more servers when the list is longer; only a group that is not cached costs one
// quick pass.
func TestCostDoesNotGrowWithTheList(t *testing.T) {
	const times = 200
	for _, c := range costCases {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range listSizes {
				now := 101 * time.Second
				b := newBalancerWithList(t, affinitySettings(), n, 0)
				b.Handle(now, RequestArrived{ID: "first", Group: "g", Remaining: time.Second}, nil)
				b.Handle(now, ClientDisconnected{ID: "first"}, nil)
				before := b.visits
				for i := range times {
					now += tickInterval
					c.send(b, now, i)
				}
				if visits := b.visits - before; visits > c.maxVisits*times {
					t.Errorf("%d servers: %d visits in %d times, want %d each at most", n, visits, times, c.maxVisits)
				}
			}
		})
	}
	for _, n := range listSizes {
		b := newBalancerWithList(t, affinitySettings(), n, 0)
		before := b.visits
		b.Handle(101*time.Second, RequestArrived{ID: "r", Group: "new", Remaining: time.Second}, nil)
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
		}); allocs > 3 { // its actions
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
	for function := range known {
		if !found[function] {
			t.Errorf("%s is known to walk a whole list, and does not", function)
		}
	}
}

// Records of removed servers, and of those that no list has named, are dropped a while later, at the next list
// update; those of servers that are back, or have connections, are kept.
func TestRecordsOfRemovedServersAreDropped(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(40, 0))
	h.send(ConnectionRestored{Request: RequestArrived{ID: "connected"}, Server: 1})
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
		t.Fatalf("%d records kept, want those of 20 listed, one that is back and one that has a connection",
			len(h.b.servers))
	}
	h.endAttempt("connected", 0, 1, OK, true)
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
