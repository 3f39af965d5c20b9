package decide

import (
	"math"
	"testing"
	"time"
)

// If a zone has no ready server, the connections of a group are kept together in another zone, whose servers are probed
// before the placement.
func TestAffinityWithoutLocalServer(t *testing.T) {
	set := settings()
	set.GroupAffinity, set.ProbingAllowed = true, true
	h := newHarness(t, set)
	h.replaceList(servers(0, 6))
	used := map[ServerID]bool{}
	for i := range 12 {
		actions := h.send(RequestArrived{ID: RequestID(name("r", i)), Class: idempotentClass, Group: "room",
			Remaining: 2 * time.Second})
		for _, p := range actionsOf[Probe](actions) {
			h.reportLoad(p.Server, 0.2)
		}
		if len(actionsOf[StartAttempt](actions)) == 0 {
			h.now += onDemandProbeTimeout
			actions = h.send(TimerFired{Token: retryWaitingToken})
		}
		id := h.wantAttempt(actions)
		used[id] = true
		h.send(Established{ID: RequestID(name("r", i)), Server: id})
	}
	if len(used) > maxPreferredServers {
		t.Errorf("a group was placed on %d servers though all have capacity, want at most 3", len(used))
	}
}

// When the only server of the zone fails, its clients are placed on servers of other zones whose reports show capacity.
// The connections of a group stay together.
func TestAffinityWhenZoneFails(t *testing.T) {
	set := affinitySettings()
	h := newHarness(t, set)
	h.replaceList(servers(1, 8))
	h.endAttempt("x", 0, 1, ServerError, false)
	if h.now >= h.b.servers[1].ejectedUntil {
		t.Fatal("the failing server is not ejected")
	}
	used := map[ServerID]bool{}
	for i := range 12 {
		id := name("r", i)
		actions := h.requestInGroup(id, "taxi-7")
		for _, p := range actionsOf[Probe](actions) {
			h.reportLoad(p.Server, 0.2)
		}
		if len(actionsOf[StartAttempt](actions)) == 0 {
			h.now += onDemandProbeTimeout
			actions = h.send(TimerFired{Token: retryWaitingToken})
		}
		s := h.wantAttempt(actions)
		used[s] = true
		h.send(Established{ID: RequestID(id), Server: s})
	}
	if used[1] || len(used) > maxPreferredServers {
		t.Errorf("a group was placed on %v, want at most 3 servers without the failing server 1", used)
	}
}

// affinitySettings returns the settings with group affinity and probes.
func affinitySettings() Settings {
	set := settings()
	set.GroupAffinity, set.ProbingAllowed = true, true
	return set
}

// requestInGroup sends a request whose connection belongs to a group.
func (h *harness) requestInGroup(id, group string) []Action {
	return h.send(RequestArrived{ID: RequestID(id), Group: group, Remaining: 2 * time.Second})
}

func TestGroupsStayTogetherAcrossBalancers(t *testing.T) {
	preferred := map[ServerID]bool{}
	for seed := range uint64(6) {
		set := affinitySettings()
		set.Seed = seed
		h := newHarness(t, set)
		h.replaceList(servers(12, 0))
		actions := h.requestInGroup("r", "taxi-7")
		h.wantNoAttempt(actions, "the preferred servers are probed first")
		for _, p := range actionsOf[Probe](actions) {
			h.reportLoad(p.Server, 0.3)
		}
		h.now += onDemandProbeTimeout
		preferred[h.wantAttempt(h.send(TimerFired{Token: retryWaitingToken}))] = true
	}
	if len(preferred) != 1 {
		t.Fatalf("six balancers placed one group on %v, want one server", preferred)
	}
}

func TestSaturatedGroupUsesNextPreferredServer(t *testing.T) {
	h := newHarness(t, affinitySettings())
	h.replaceList(servers(12, 0))
	r := &request{RequestArrived: RequestArrived{Group: "taxi-7"}}
	preferred := h.b.preferredInZone(r, h.b.localZone)
	h.reportLoad(preferred[0].ID, 0.85)
	h.reportLoad(preferred[1].ID, 0.4)
	h.reportLoad(preferred[2].ID, 0.1)
	if s := h.wantAttempt(h.requestInGroup("r", "taxi-7")); s != preferred[1].ID {
		t.Fatalf("placed on %d, want the group's second server %d", s, preferred[1].ID)
	}
}

// While a preferred server of the own zone has capacity, no preferred server of another zone is used, even if the own
// zone's server is only the second. If no preferred server of the own zone has capacity, one of another zone is used
// rather than one of the own zone that is nearly saturated.
func TestGroupStaysInZoneWithCapacity(t *testing.T) {
	h := newHarness(t, affinitySettings())
	h.replaceList(servers(6, 6))
	r := &request{RequestArrived: RequestArrived{Group: "taxi-7"}}
	preferred, remote := h.b.preferredInZone(r, h.b.localZone), h.b.preferredInZone(r, h.b.remoteZone)
	for i, load := range []float64{0.75, 0.5, 0.78} {
		h.reportLoad(preferred[i].ID, load)
		h.reportLoad(remote[i].ID, 0.1)
	}
	if s := h.wantAttempt(h.requestInGroup("r", "taxi-7")); s != preferred[1].ID {
		t.Errorf("placed on %d, want the zone's second server %d", s, preferred[1].ID)
	}
	h.reportLoad(preferred[1].ID, 0.79)
	if s := h.wantAttempt(h.requestInGroup("r2", "taxi-7")); s != remote[0].ID {
		t.Errorf("placed on %d, want the first preferred server of the other zone %d", s, remote[0].ID)
	}
}

// The first connection of a group at a server reserves as much load as several connections, as the server also has the
// cost of the group. Otherwise a burst of clients would place their groups on every preferred server that has capacity
// for one connection, until a third of the fleet's work is the cost of groups.
func TestFirstConnectionOfGroupReservesMore(t *testing.T) {
	set := affinitySettings()
	set.Balancers = 1
	h := newHarness(t, set)
	h.replaceList(servers(6, 0))
	preferred := h.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, h.b.localZone)
	for i := range 25 {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Group: "taxi-7"},
			Server: preferred[1].ID})
	}
	for i, load := range []float64{0.55, 0.6, 0.9} {
		// the load of one connection is about 0.04, at the third server 0.06
		h.send(ProbeCompleted{Server: preferred[i].ID, Code: OK, Report: LoadReport{Load: load, Connections: 15}})
	}
	if s := h.wantAttempt(h.requestInGroup("r", "taxi-7")); s != preferred[1].ID {
		t.Errorf("placed on %d, want %d with load 0.6, the only server that has connections of the group", s,
			preferred[1].ID)
	}
	h.send(ProbeCompleted{Server: preferred[0].ID, Code: OK, Report: LoadReport{Load: 0.3, Connections: 10}})
	if s := h.wantAttempt(h.requestInGroup("r2", "taxi-7")); s != preferred[0].ID {
		t.Fatalf("placed on %d, though the first preferred server has capacity for the request and its group", s)
	}
	if got, want := preferred[0].load, 0.3+(groupOpeningConnections+1)*0.03; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v with the reservation, want %v", got, want)
	}
}

// Requests that arrive while the first connection of a group is being established reserve only their own load. A load
// per connection that is estimated from few load reports is a guess, and nothing is reserved for the group then.
func TestGroupOpeningLoadIsReservedOnce(t *testing.T) {
	set := affinitySettings()
	set.Balancers = 1
	h := newHarness(t, set)
	h.replaceList(servers(2, 0))
	preferred := h.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, h.b.localZone)[0]
	h.send(ProbeCompleted{Server: preferred.ID, Code: OK, Report: LoadReport{Load: 0.1, Connections: 20}})
	for i := range 16 {
		if s := h.wantAttempt(h.requestInGroup(name("r", i), "taxi-7")); s != preferred.ID {
			t.Fatalf("request %d was placed on %d", i, s)
		}
	}
	if got, want := preferred.load, 0.1+(groupOpeningConnections+16)*0.005; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v with 16 reservations, want %v", got, want)
	}
	preferred.loadPerConnection = 0
	if _, guess := h.b.connectionLoad(preferred); !guess {
		t.Error("the load of a connection estimated from one load report is not marked as a guess")
	}
}

// A group must not be spread over many servers, as each of them would have the cost of the group.
func TestGroupStaysOnPreferredServers(t *testing.T) {
	h := newHarness(t, affinitySettings())
	h.replaceList(servers(12, 0))
	preferred := h.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, h.b.localZone)
	for _, s := range h.b.local {
		h.reportLoad(s.ID, 0.1)
	}
	for _, s := range preferred {
		h.reportLoad(s.ID, 0.75)
	}
	if s := h.wantAttempt(h.requestInGroup("r", "taxi-7")); s != preferred[0].ID {
		t.Fatalf("placed on %d, want the group's first preferred server %d", s, preferred[0].ID)
	}
	for _, s := range preferred {
		h.reportLoad(s.ID, 0.95)
	}
	h.wantNoAttempt(h.requestInGroup("r2", "taxi-7"), "all preferred servers are saturated")
}

func TestPreferredServersFollowWeightAndChangeLittle(t *testing.T) {
	h := newHarness(t, affinitySettings())
	list := servers(10, 0)
	list[0].Weight = 4
	h.replaceList(list)
	firsts := func() map[string]ServerID {
		m := map[string]ServerID{}
		for i := range 400 {
			g := name("g", i)
			m[g] = h.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: g}}, h.b.localZone)[0].ID
		}
		return m
	}
	before, big := firsts(), 0
	for _, id := range before {
		if id == 1 {
			big++
		}
	}
	if big < 80 || big > 170 {
		t.Fatalf("a server of weight 4 among 10 servers is the first for %d of 400 groups, want 80 to 170", big)
	}
	h.replaceList(list[:9])
	for g, id := range firsts() {
		if id != before[g] && before[g] != 10 {
			t.Fatalf("group %s no longer prefers server %d, though only server 10 was removed", g, before[g])
		}
	}
}

// A group prefers at most half of a small zone's servers, rounded up. Otherwise it would prefer all of them, and each
// server would have the cost of all groups.
func TestPreferredServersAreHalfOfSmallZone(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 6: 3, 30: 3} {
		h := newHarness(t, affinitySettings())
		h.replaceList(servers(n, 0))
		r := &request{RequestArrived: RequestArrived{Group: "g"}}
		if got := len(h.b.preferredInZone(r, h.b.localZone)); got != want {
			t.Errorf("a group has %d preferred servers among %d, want %d", got, n, want)
		}
	}
}
