package decide

import (
	"testing"
	"time"
)

func TestPlacementPrefersOwnZone(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 8))
	for i := range 8 {
		if s := w.establish(name("r", i), idempotentClass); zoneOf(s) != "a" {
			t.Fatalf("request %d went to zone b's server %d", i, s)
		}
	}
}

func TestPlacementPicksLeastLoadedReport(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(6, 0))
	for id, load := range map[ServerID]float64{1: 0.6, 2: 0.5, 3: 0.2, 4: 0.4} {
		w.reportLoad(id, load)
	}
	if s := w.wantAttempt(w.request("r", idempotentClass)); s != 3 {
		t.Fatalf("went to %d, the lightest is 3", s)
	}
}

func TestPlacementIgnoresOldReports(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 0))
	w.reportLoad(1, 0.1)
	w.now += maxReportAge + time.Second
	w.reportLoad(2, 0.5)
	if s := w.wantAttempt(w.request("r", idempotentClass)); s != 2 {
		t.Fatal("an answer beyond its age was used")
	}
}

// A report of low load serves only a few placements; otherwise many balancers would follow the same one.
func TestReportServesFewPlacements(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(6, 0))
	w.reportLoad(1, 0.01)
	for id := range ServerID(5) {
		w.reportLoad(id+2, 0.6)
	}
	count := 0
	for i := range 8 {
		if w.establish(name("r", i), idempotentClass) == 1 {
			count++
		}
	}
	if count == 0 || count > maxPlacementsPerReport {
		t.Fatalf("server 1 got %d of 8 on one answer, want 1 to %d", count, maxPlacementsPerReport)
	}
}

// While requests wait, all balancers rush to any capacity that a report shows.
func TestReportServesOnePlacementWhileRequestsWait(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 0))
	w.reportLoad(1, 0.95)
	w.reportLoad(2, 0.95)
	for i := range 5 {
		w.wantNoAttempt(w.request(name("r", i), idempotentClass), "no server has room")
	}
	if p := actionsOf[StartAttempt](w.reportLoad(2, 0.1)); len(p) != 1 {
		t.Fatalf("%d of the held requests went to the room shown, want 1", len(p))
	}
}

func TestCacheOrderDiffersBetweenBalancers(t *testing.T) {
	firsts := map[ServerID]bool{}
	for seed := range uint64(8) {
		set := settings()
		set.Seed = seed
		w := newHarness(t, set)
		w.replaceList(servers(8, 0))
		firsts[w.wantAttempt(w.request("r", idempotentClass))] = true
	}
	if len(firsts) < 3 {
		t.Fatalf("eight balancers began with only %v", firsts)
	}
}

func TestNoPlacementOnDrainingOrRemovedServer(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		w := newHarness(t, settings())
		w.replaceList(servers(2, 0))
		w.reportLoad(1, 0.1)
		w.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: 1, Zone: "a", State: state}}})
		for i := range 4 {
			if s := w.establish(name("r", i), idempotentClass); s == 1 {
				t.Fatalf("state %d: server 1 still used", state)
			}
		}
	}
	w := newHarness(t, settings())
	w.replaceList(servers(2, 0))
	w.replaceList(servers(1, 0)) // absence is removal
	for i := range 4 {
		if s := w.establish(name("r", i), idempotentClass); s == 2 {
			t.Fatal("a server absent from the complete list is still used")
		}
	}
}

func TestMidFlowConnectionStaysWithinDrainGrace(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {600 * time.Millisecond, false}} {
		w := newHarness(t, settings())
		w.replaceList(servers(4, 0))
		s := w.establish("r", idempotentClass)
		w.endAttempt("r", 0, s, Cancelled, true) // its packets went to another balancer
		w.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: s, Zone: "a", State: Draining}}})
		w.now += c.after
		got := w.wantAttempt(w.send(RequestArrived{ID: "r2", Key: "key-r", Remaining: time.Second, MidFlow: true}))
		if (got == s) != c.want {
			t.Fatalf("%v after the drain: went to %d, its server is %d", c.after, got, s)
		}
	}
}

func TestReturningClientAvoidsServerItLost(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 0))
	s := w.establish("r", idempotentClass)
	w.endAttempt("r", 0, s, Reset, true)
	w.now += maxEjectionTime + time.Second // no longer ejected
	w.reportLoad(s, 0.05)
	back := RequestArrived{ID: "again", Key: "key-r", Remaining: time.Second, Returning: true}
	if got := w.wantAttempt(w.send(back)); got == s {
		t.Fatal("the client came back to the server it lost")
	}
	other := RequestArrived{ID: "other", Key: "key-other", Remaining: time.Second}
	if got := w.wantAttempt(w.send(other)); got != s {
		t.Fatal("only that client is kept off")
	}
}

func TestSpillOverOnlyToCapacity(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 2))
	w.reportLoad(1, 0.95)
	w.reportLoad(2, 0.95)
	w.reportLoad(101, 0.95)
	w.wantNoAttempt(w.request("r", idempotentClass), "no server has room: the request is held")
	if got := w.wantAttempt(w.reportLoad(102, 0.3)); got != 102 {
		t.Fatalf("went to %d", got)
	}
}

func TestNoSpillOverWhileOwnZoneHasCapacity(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 2))
	w.reportLoad(1, 0.6)
	w.reportLoad(101, 0.0)
	if got := w.wantAttempt(w.request("r", idempotentClass)); got != 1 {
		t.Fatalf("went to %d though zone a has room", got)
	}
}

func TestSpillOverWeighsCrossZoneCost(t *testing.T) {
	for _, c := range []struct {
		price, away float64
		want        ServerID
	}{{0.16, 0.6, 1}, {0.16, 0.5, 101}, {0.32, 0.5, 1}, {0.32, 0.3, 101}, {0.08, 0.66, 1}, {0.08, 0.6, 101}} {
		set := settings()
		set.Costs.CrossZone = c.price
		w := newHarness(t, set)
		w.replaceList(servers(1, 1))
		w.reportLoad(1, 0.75)
		w.reportLoad(101, c.away)
		if s := w.wantAttempt(w.request("r", idempotentClass)); s != c.want {
			t.Fatalf("price %.2f, own zone at 0.75, the other at %.2f: went to %d", c.price, c.away, s)
		}
	}
}

func TestOtherZonesServeWhenOwnZoneFails(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 6))
	for id := ServerID(1); id <= 2; id++ {
		w.send(ProbeCompleted{Server: id, Code: ConnectFailed, Report: NoLoadReport})
	}
	if s := w.wantAttempt(w.request("r", idempotentClass)); zoneOf(s) != "b" {
		t.Fatalf("went to %d", s)
	}
}

// Between two reports each balancer knows its own placements only: the more of them share a zone, the sooner the next
// server is taken.
func TestThresholdsAllowForOtherBalancers(t *testing.T) {
	for _, c := range []struct {
		balancers int
		load      float64
		goes      bool // to the first
	}{{2, 0.65, true}, {300, 0.65, false}, {300, 0.55, true}} {
		set := affinitySettings()
		set.Balancers = c.balancers
		w := newHarness(t, set)
		w.replaceList(servers(4, 0))
		homes := w.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "g"}}, w.b.localZone)
		for i, s := range homes {
			w.reportLoad(s.ID, []float64{c.load, 0.2, 0.2}[i])
		}
		if got := w.wantAttempt(w.requestInGroup("r", "g")); (got == homes[0].ID) != c.goes {
			t.Errorf("%d balancers, the first at %.2f: went to %d, the group's are %d, %d", c.balancers, c.load, got, homes[0].ID, homes[1].ID)
		}
	}
}
