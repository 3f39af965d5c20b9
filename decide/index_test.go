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

// With the index, the Balancer gives the same actions as the reference, which scans all servers for each choice.
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
				t.Fatalf("seed %d, %d servers: %s", seed, n, p.difference)
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

// The comparison with the reference detects a fault in each of these parts of the index.
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
				t.Error("the comparison does not find the injected fault")
			}
		})
	}
}

// faultIsFound reports whether the comparison finds an injected fault with any of several seeds.
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

// The cached ranking of a group equals a ranking of all servers, for all kinds of weights. Between two rounds, the
// state or weight of a few servers changes, or there are more changes than the change log holds.
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
							t.Fatalf("weights %s, %d servers, round %d: group %s prefers other servers", kind, n,
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

// listSizes are the lengths of the endpoint lists in the cost tests.
var listSizes = []int{600, 5000, 20_000}

// costCase is a kind of event whose cost must not depend on the length of the list.
type costCase struct {
	name      string
	maxVisits int // largest mean number of servers examined per event
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

// No event of costCases examines more servers when the list is longer. A request of a group that is not cached scans
// the list once.
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
					t.Errorf("%d servers: %d visits for %d events, want at most %d per event", n, visits, times,
						c.maxVisits)
				}
			}
		})
	}
	for _, n := range listSizes {
		b := newBalancerWithList(t, affinitySettings(), n, 0)
		before := b.visits
		b.Handle(101*time.Second, RequestArrived{ID: "r", Group: "new", Remaining: time.Second}, nil)
		if visits := b.visits - before; visits > n+12 {
			t.Errorf("%d servers: a request of a new group caused %d visits, want at most 12 more", n, visits)
		}
	}
}

// An idle tick allocates memory only for its actions, and a request with a long list allocates as much as with a short
// one.
func TestAllocationsDoNotGrowWithTheList(t *testing.T) {
	var short float64
	for _, n := range []int{600, 20_000} {
		b := newBalancerWithList(t, affinitySettings(), n, 0)
		now, out := 101*time.Second, make([]Action, 0, 100)
		if allocs := testing.AllocsPerRun(100, func() {
			now += tickInterval
			b.Handle(now, TimerFired{Token: tickToken}, out[:0])
		}); allocs > 3 { // the tick's actions
			t.Errorf("%d servers: %v allocations per tick, want at most 3", n, allocs)
		}
		allocs := testing.AllocsPerRun(100, func() {
			b.Handle(now, RequestArrived{ID: "r", Group: "g", Remaining: time.Second}, out[:0])
			b.Handle(now, ClientDisconnected{ID: "r"}, out[:0])
		})
		if short = max(short, 1); n == 600 {
			short = allocs
		} else if allocs > short+1 {
			t.Errorf("%d servers: %v allocations per request, %v with 600 servers", n, allocs, short)
		}
	}
}

// Functions may scan whole lists of servers only if they are listed here with the reason. Any other scan would make the
// cost of an event grow with the length of the list.
func TestWalksOverWholeListsAreKnown(t *testing.T) {
	known := map[string]string{
		"applyList":     "a snapshot has been received",
		"rebuild":       "many servers have changed at the same time",
		"reindexAll":    "scans only the servers passed to it",
		"bootstrap":     "no server has answered for seconds",
		"rank":          "one quick scan for a group that is not cached",
		"pickPreferred": "scans only the preferred servers of one group",
		"pickReported":  "stops at the first eligible server; scans all only if none is eligible",
		"pickAny":       "stops at the first eligible server; scans all only if none is eligible",
		"ExportLearned": "once, for the replacement process",
		"setReady":      "moves memory without examining servers",
		"apply":         "scans only the few servers in the ranking of one group",
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
					t.Errorf("%s:%d: %s scans a whole list: %s", file, i+1, in, strings.TrimSpace(line))
				}
			}
		}
	}
	for function := range known {
		if !found[function] {
			t.Errorf("%s is listed as scanning a whole list, but no longer does", function)
		}
	}
}

// The record of a removed server is dropped at the first list update after recordRetention. The record of a server that
// was in no list is dropped at the next list update. Records of servers that are listed again or have connections are
// kept.
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
		t.Fatalf("%d records kept, want those of 20 listed servers, one listed again and one with a connection",
			len(h.b.servers))
	}
	h.endAttempt("connected", 0, 1, OK, true)
	h.send(ListReceived{})
	if len(h.b.servers) != 21 {
		t.Fatalf("%d records kept, want 21", len(h.b.servers))
	}
}

// An attempt that ends after its server's record was dropped must not affect the new record of a server with the same
// ID.
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
		t.Fatal("the record of the server that was listed again was dropped or changed")
	}
}
