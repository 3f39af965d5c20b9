package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestPlacementPrefersOwnZone(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 8))
	for i := range 8 {
		if s := h.establish(name("r", i), idempotentClass); zoneOf(s) != "a" {
			t.Fatalf("request %d was placed on server %d of zone b", i, s)
		}
	}
}

func TestPlacementPicksLeastLoadedReport(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(6, 0))
	for id, load := range map[ServerID]float64{1: 0.6, 2: 0.5, 3: 0.2, 4: 0.4} {
		h.reportLoad(id, load)
	}
	if s := h.wantAttempt(h.request("r", idempotentClass)); s != 3 {
		t.Fatalf("placed on %d, want the least loaded server 3", s)
	}
}

func TestPlacementIgnoresOldReports(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.reportLoad(1, 0.1)
	h.now += maxReportAge + time.Second
	h.reportLoad(2, 0.5)
	if s := h.wantAttempt(h.request("r", idempotentClass)); s != 2 {
		t.Fatal("a load report older than maxReportAge was used")
	}
}

// A report of low load is used for only a few placements. Otherwise many balancers that have the same report would
// place all of their requests on that server.
func TestReportServesFewPlacements(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(6, 0))
	h.reportLoad(1, 0.01)
	for id := range ServerID(5) {
		h.reportLoad(id+2, 0.6)
	}
	count := 0
	for i := range 8 {
		if h.establish(name("r", i), idempotentClass) == 1 {
			count++
		}
	}
	if count == 0 || count > maxPlacementsPerReport {
		t.Fatalf("server 1 got %d of 8 requests by one report, want 1 to %d", count, maxPlacementsPerReport)
	}
}

// While requests wait, a report that shows capacity is used for one placement only, as the waiting requests of all
// balancers are placed by it.
func TestReportServesOnePlacementWhileRequestsWait(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.reportLoad(1, 0.95)
	h.reportLoad(2, 0.95)
	for i := range 5 {
		h.wantNoAttempt(h.request(name("r", i), idempotentClass), "no server has capacity")
	}
	if p := actionsOf[StartAttempt](h.reportLoad(2, 0.1)); len(p) != 1 {
		t.Fatalf("%d of the waiting requests were placed by one report, want 1", len(p))
	}
}

func TestShuffledOrderDiffersBetweenBalancers(t *testing.T) {
	firsts := map[ServerID]bool{}
	for seed := range uint64(8) {
		set := settings()
		set.Seed = seed
		h := newHarness(t, set)
		h.replaceList(servers(8, 0))
		firsts[h.wantAttempt(h.request("r", idempotentClass))] = true
	}
	if len(firsts) < 3 {
		t.Fatalf("eight balancers placed their first requests on %v, want at least 3 servers", firsts)
	}
}

func TestNoPlacementOnDrainingOrRemovedServer(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		t.Run(fmt.Sprintf("state %d", state), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(2, 0))
			h.reportLoad(1, 0.1)
			h.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: 1, Zone: "a", State: state}}})
			for i := range 4 {
				if s := h.establish(name("r", i), idempotentClass); s == 1 {
					t.Fatalf("state %d: server 1 is still used", state)
				}
			}
		})
	}
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.replaceList(servers(1, 0)) // server 2 is missing, so it is removed
	for i := range 4 {
		if s := h.establish(name("r", i), idempotentClass); s == 2 {
			t.Fatal("a server that is missing in the snapshot is still used")
		}
	}
}

func TestMidFlowConnectionStaysWithinDrainGrace(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {600 * time.Millisecond, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(4, 0))
			s := h.establish("r", idempotentClass)
			h.endAttempt("r", 0, s, Cancelled, true) // the packets of its connection now arrive at another balancer
			h.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: s, Zone: "a", State: Draining}}})
			h.now += c.after
			got := h.wantAttempt(h.send(RequestArrived{ID: "r2", Key: "key-r", Remaining: time.Second, MidFlow: true}))
			if (got == s) != c.want {
				t.Fatalf("%v after the start of the drain: placed on %d, the client's server is %d", c.after, got, s)
			}
		})
	}
}

func TestReturningClientAvoidsServerThatBrokeItsConnection(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	s := h.establish("r", idempotentClass)
	h.endAttempt("r", 0, s, Reset, true)
	h.now += maxEjectionTime + time.Second // no longer ejected
	h.reportLoad(s, 0.05)
	back := RequestArrived{ID: "again", Key: "key-r", Remaining: time.Second, Returning: true}
	if got := h.wantAttempt(h.send(back)); got == s {
		t.Fatal("the client was placed on the server that broke its connection")
	}
	other := RequestArrived{ID: "other", Key: "key-other", Remaining: time.Second}
	if got := h.wantAttempt(h.send(other)); got != s {
		t.Fatal("another client avoids the server too")
	}
}

func TestSpillOverOnlyToCapacity(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 2))
	h.reportLoad(1, 0.95)
	h.reportLoad(2, 0.95)
	h.reportLoad(101, 0.95)
	h.wantNoAttempt(h.request("r", idempotentClass), "no server has capacity: the request waits")
	if got := h.wantAttempt(h.reportLoad(102, 0.3)); got != 102 {
		t.Fatalf("placed on %d, want server 102 of the other zone, which has capacity", got)
	}
}

func TestNoSpillOverWhileOwnZoneHasCapacity(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 2))
	h.reportLoad(1, 0.6)
	h.reportLoad(101, 0.0)
	if got := h.wantAttempt(h.request("r", idempotentClass)); got != 1 {
		t.Fatalf("placed on %d though zone a has capacity", got)
	}
}

func TestSpillOverWeighsCrossZoneCost(t *testing.T) {
	for _, c := range []struct {
		cost, remote float64
		want         ServerID
	}{{0.16, 0.6, 1}, {0.16, 0.5, 101}, {0.32, 0.5, 1}, {0.32, 0.3, 101}, {0.08, 0.66, 1}, {0.08, 0.6, 101}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			set := settings()
			set.Costs.CrossZone = c.cost
			h := newHarness(t, set)
			h.replaceList(servers(1, 1))
			h.reportLoad(1, 0.75)
			h.reportLoad(101, c.remote)
			if s := h.wantAttempt(h.request("r", idempotentClass)); s != c.want {
				t.Fatalf("cost %.2f, loads 0.75 in the own zone, %.2f in the other: placed on %d", c.cost, c.remote, s)
			}
		})
	}
}

func TestOtherZonesServeWhenOwnZoneFails(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 6))
	for id := ServerID(1); id <= 2; id++ {
		h.send(ProbeCompleted{Server: id, Code: ConnectFailed, Report: NoLoadReport})
	}
	if s := h.wantAttempt(h.request("r", idempotentClass)); zoneOf(s) != "b" {
		t.Fatalf("placed on %d, want a server of zone b", s)
	}
}

// Between two load reports, a balancer knows only its own placements. So the more balancers share a zone, the lower is
// the load at which the next preferred server is chosen instead.
func TestThresholdsAllowForOtherBalancers(t *testing.T) {
	for _, c := range []struct {
		balancers int
		load      float64
		first     bool // the first preferred server is chosen
	}{{2, 0.65, true}, {300, 0.65, false}, {300, 0.55, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			set := affinitySettings()
			set.Balancers = c.balancers
			h := newHarness(t, set)
			h.replaceList(servers(4, 0))
			preferred := h.b.preferredInZone(&request{RequestArrived: RequestArrived{Group: "g"}}, h.b.localZone)
			for i, s := range preferred {
				h.reportLoad(s.ID, []float64{c.load, 0.2, 0.2}[i])
			}
			if got := h.wantAttempt(h.requestInGroup("r", "g")); (got == preferred[0].ID) != c.first {
				t.Errorf("%d balancers, load %.2f at the first server: placed on %d, preferred are %d and %d",
					c.balancers, c.load, got, preferred[0].ID, preferred[1].ID)
			}
		})
	}
}
