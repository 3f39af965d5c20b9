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
	w := newHarness(t, set)
	w.replaceList(servers(0, 6))
	used := map[ServerID]bool{}
	for i := range 12 {
		acts := w.send(RequestArrived{ID: RequestID(name("r", i)), Class: idempotentClass, Group: "room", Remaining: 2 * time.Second})
		for _, p := range actionsOf[Probe](acts) {
			w.reportLoad(p.Server, 0.2)
		}
		if len(actionsOf[StartAttempt](acts)) == 0 {
			w.now += onDemandProbeTimeout
			acts = w.send(TimerFired{Token: retryWaitingToken})
		}
		id := w.wantAttempt(acts)
		used[id] = true
		w.send(Established{ID: RequestID(name("r", i)), Server: id})
	}
	if len(used) > maxPreferredServers {
		t.Errorf("one group went to %d servers, all with room", len(used))
	}
}

// When the zone's only server fails, its clients go where reports of other zones show capacity, a group's together.
func TestAffinityWhenZoneFails(t *testing.T) {
	set := affinitySettings()
	w := newHarness(t, set)
	w.replaceList(servers(1, 8))
	w.endAttempt("x", 0, 1, ServerError, false)
	if w.now >= w.b.servers[1].ejectedUntil {
		t.Fatal("the failing server is not left out")
	}
	used := map[ServerID]bool{}
	for i := range 12 {
		id := name("r", i)
		acts := w.requestInGroup(id, "taxi-7")
		for _, p := range actionsOf[Probe](acts) {
			w.reportLoad(p.Server, 0.2)
		}
		if len(actionsOf[StartAttempt](acts)) == 0 {
			w.now += onDemandProbeTimeout
			acts = w.send(TimerFired{Token: retryWaitingToken})
		}
		s := w.wantAttempt(acts)
		used[s] = true
		w.send(Established{ID: RequestID(id), Server: s})
	}
	if used[1] || len(used) > maxPreferredServers {
		t.Errorf("a group went to %v", used)
	}
}

// affinitySettings are the settings with groups and probes.
func affinitySettings() Settings {
	set := settings()
	set.GroupAffinity, set.ProbingAllowed = true, true
	return set
}

// requestInGroup sends a request of a group.
func (w *harness) requestInGroup(id, group string) []Action {
	return w.send(RequestArrived{ID: RequestID(id), Group: group, Remaining: 2 * time.Second})
}

func TestGroupsStayTogetherAcrossBalancers(t *testing.T) {
	homes := map[ServerID]bool{}
	for seed := range uint64(6) {
		set := affinitySettings()
		set.Seed = seed
		w := newHarness(t, set)
		w.replaceList(servers(12, 0))
		acts := w.requestInGroup("r", "taxi-7")
		w.wantNoAttempt(acts, "the group's servers are asked first")
		for _, p := range actionsOf[Probe](acts) {
			w.reportLoad(p.Server, 0.3)
		}
		w.now += onDemandProbeTimeout
		homes[w.wantAttempt(w.send(TimerFired{Token: retryWaitingToken}))] = true
	}
	if len(homes) != 1 {
		t.Fatalf("six balancers put one group on %v", homes)
	}
}

func TestSaturatedGroupUsesNextPreferredServer(t *testing.T) {
	w := newHarness(t, affinitySettings())
	w.replaceList(servers(12, 0))
	r := &request{RequestArrived: RequestArrived{Group: "taxi-7"}}
	homes := w.b.preferredInZone(r, w.b.localZone)
	w.reportLoad(homes[0].ID, 0.85)
	w.reportLoad(homes[1].ID, 0.4)
	w.reportLoad(homes[2].ID, 0.1)
	if s := w.wantAttempt(w.requestInGroup("r", "taxi-7")); s != homes[1].ID {
		t.Fatalf("went to %d, want the group's second server %d", s, homes[1].ID)
	}
}

// The own zone comes first: while a group's second server there has capacity, its first one in another zone is not
// used. That one comes before a nearly saturated one of the own zone.
func TestGroupStaysInZoneWithCapacity(t *testing.T) {
	w := newHarness(t, affinitySettings())
	w.replaceList(servers(6, 6))
	r := &request{RequestArrived: RequestArrived{Group: "taxi-7"}}
	homes, away := w.b.preferredInZone(r, w.b.localZone), w.b.preferredInZone(r, w.b.remoteZone)
	for i, load := range []float64{0.75, 0.5, 0.78} {
		w.reportLoad(homes[i].ID, load)
		w.reportLoad(away[i].ID, 0.1)
	}
	if s := w.wantAttempt(w.requestInGroup("r", "taxi-7")); s != homes[1].ID {
		t.Errorf("went to %d, want the zone's second server %d", s, homes[1].ID)
	}
	w.reportLoad(homes[1].ID, 0.79)
	if s := w.wantAttempt(w.requestInGroup("r2", "taxi-7")); s != away[0].ID {
		t.Errorf("went to %d, want the first one elsewhere %d", s, away[0].ID)
	}
}

// The first connection of a group reserves as much as several. Otherwise a burst would open its groups at every
// preferred server with capacity for one connection, until a third of the fleet's work is for groups.
func TestFirstConnectionOfGroupReservesMore(t *testing.T) {
	set := affinitySettings()
	set.Balancers = 1
	w := newHarness(t, set)
	w.replaceList(servers(6, 0))
	homes := w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, w.b.localZone)
	for i := range 25 {
		w.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Group: "taxi-7"}, Server: homes[1].ID})
	}
	for i, load := range []float64{0.55, 0.6, 0.9} {
		w.send(ProbeCompleted{Server: homes[i].ID, Code: OK, Report: LoadReport{Load: load, Connections: 15}}) // each loads it with 0.04 or so
	}
	if s := w.wantAttempt(w.requestInGroup("r", "taxi-7")); s != homes[1].ID {
		t.Errorf("went to %d at 0.55, which holds none of the group; %d at 0.6 does", s, homes[1].ID)
	}
	w.send(ProbeCompleted{Server: homes[0].ID, Code: OK, Report: LoadReport{Load: 0.3, Connections: 10}})
	if s := w.wantAttempt(w.requestInGroup("r2", "taxi-7")); s != homes[0].ID {
		t.Fatalf("went to %d, though its first server has room for it and its group", s)
	}
	if got, want := homes[0].load, 0.3+(groupOpeningConnections+1)*0.03; math.Abs(got-want) > 1e-9 {
		t.Errorf("booked: load %v, want %v", got, want)
	}
}

// The requests that come while the first connection of a group is being established reserve their own load only. The
// load of a connection that rests on few reports is a guess, which reserves nothing for the group.
func TestGroupOpeningLoadIsReservedOnce(t *testing.T) {
	set := affinitySettings()
	set.Balancers = 1
	w := newHarness(t, set)
	w.replaceList(servers(2, 0))
	home := w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, w.b.localZone)[0]
	w.send(ProbeCompleted{Server: home.ID, Code: OK, Report: LoadReport{Load: 0.1, Connections: 20}})
	for i := range 16 {
		if s := w.wantAttempt(w.requestInGroup(name("r", i), "taxi-7")); s != home.ID {
			t.Fatalf("request %d went to %d", i, s)
		}
	}
	if got, want := home.load, 0.1+(groupOpeningConnections+16)*0.005; math.Abs(got-want) > 1e-9 {
		t.Errorf("load %v with 16 booked, want %v", got, want)
	}
	home.loadPerConnection = 0
	if _, guess := w.b.connectionLoad(home); !guess {
		t.Error("one report is taken for a mean")
	}
}

// A group must not be scattered over many servers, each of which pays for the group.
func TestGroupStaysOnPreferredServers(t *testing.T) {
	w := newHarness(t, affinitySettings())
	w.replaceList(servers(12, 0))
	homes := w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "taxi-7"}}, w.b.localZone)
	for _, s := range w.b.local {
		w.reportLoad(s.ID, 0.1)
	}
	for _, s := range homes {
		w.reportLoad(s.ID, 0.75)
	}
	if s := w.wantAttempt(w.requestInGroup("r", "taxi-7")); s != homes[0].ID {
		t.Fatalf("went to %d, the group is at home at %d", s, homes[0].ID)
	}
	for _, s := range homes {
		w.reportLoad(s.ID, 0.95)
	}
	w.wantNoAttempt(w.requestInGroup("r2", "taxi-7"), "all servers of the group are full, yet it is strewn further")
}

func TestPreferredServersFollowWeightAndChangeLittle(t *testing.T) {
	w := newHarness(t, affinitySettings())
	list := servers(10, 0)
	list[0].Weight = 4
	w.replaceList(list)
	firsts := func() map[string]ServerID {
		m := map[string]ServerID{}
		for i := range 400 {
			g := name("g", i)
			m[g] = w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: g}}, w.b.localZone)[0].ID
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
	w.replaceList(list[:9])
	for g, id := range firsts() {
		if id != before[g] && before[g] != 10 {
			t.Fatalf("group %s left server %d though only 10 went", g, before[g])
		}
	}
}

// In a small zone, every group would otherwise prefer every server, and each server would pay for all groups.
func TestPreferredServersAreHalfOfSmallZone(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 6: 3, 30: 3} {
		w := newHarness(t, affinitySettings())
		w.replaceList(servers(n, 0))
		if got := len(w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "g"}}, w.b.localZone)); got != want {
			t.Errorf("a group has %d servers of %d, want %d", got, n, want)
		}
	}
}
