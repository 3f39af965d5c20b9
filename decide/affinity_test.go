package decide

import (
	"math"
	"testing"
	"time"
)

// A zone without a ready server keeps its groups together in another zone, and probes there before it places.
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
		t.Errorf("one group was placed on %d servers, all with capacity", len(used))
	}
}

// When the zone's only server fails, its clients go where reports of other zones show capacity, a group's together.
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
		t.Errorf("a group was placed on %v", used)
	}
}

// affinitySettings are the settings with groups and probes.
func affinitySettings() Settings {
	set := settings()
	set.GroupAffinity, set.ProbingAllowed = true, true
	return set
}

// requestInGroup sends a request of a group.
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
		t.Fatalf("six balancers put one group on %v", preferred)
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

// The own zone comes first: while a group's second server there has capacity, its first one in another zone is not
// used. That one comes before a nearly saturated one of the own zone.
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
		t.Errorf("placed on %d, want the first one elsewhere %d", s, remote[0].ID)
	}
}

// The first connection of a group reserves as much as several. Otherwise a burst would open its groups at every
// preferred server with capacity for one connection, until a third of the fleet's work is for groups.
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
		// each loads it with 0.04 or so
		h.send(ProbeCompleted{Server: preferred[i].ID, Code: OK, Report: LoadReport{Load: load, Connections: 15}})
	}
	if s := h.wantAttempt(h.requestInGroup("r", "taxi-7")); s != preferred[1].ID {
		t.Errorf("placed on %d at 0.55, which has no connection of the group; %d at 0.6 does", s, preferred[1].ID)
	}
	h.send(ProbeCompleted{Server: preferred[0].ID, Code: OK, Report: LoadReport{Load: 0.3, Connections: 10}})
	if s := h.wantAttempt(h.requestInGroup("r2", "taxi-7")); s != preferred[0].ID {
		t.Fatalf("placed on %d, though the first server has capacity for it and its group", s)
	}
	if got, want := preferred[0].load, 0.3+(groupOpeningConnections+1)*0.03; math.Abs(got-want) > 1e-9 {
		t.Errorf("reserved: load %v, want %v", got, want)
	}
}

// The requests that come while the first connection of a group is being established reserve their own load only. The
// load of a connection that rests on few reports is a guess, which reserves nothing for the group.
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
		t.Errorf("load %v with 16 reserved, want %v", got, want)
	}
	preferred.loadPerConnection = 0
	if _, guess := h.b.connectionLoad(preferred); !guess {
		t.Error("one report counts as a mean")
	}
}

// A group must not be scattered over many servers, each of which pays for the group.
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
		t.Fatalf("placed on %d, the group prefers %d", s, preferred[0].ID)
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
		t.Fatalf("the server of weight 4 among 10 is first for %d of 400 groups", big)
	}
	h.replaceList(list[:9])
	for g, id := range firsts() {
		if id != before[g] && before[g] != 10 {
			t.Fatalf("group %s left server %d though only 10 went", g, before[g])
		}
	}
}

// In a small zone, every group would otherwise prefer every server, and each server would pay for all groups.
func TestPreferredServersAreHalfOfSmallZone(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 6: 3, 30: 3} {
		h := newHarness(t, affinitySettings())
		h.replaceList(servers(n, 0))
		r := &request{RequestArrived: RequestArrived{Group: "g"}}
		if got := len(h.b.preferredInZone(r, h.b.localZone)); got != want {
			t.Errorf("a group has %d servers of %d, want %d", got, n, want)
		}
	}
}
