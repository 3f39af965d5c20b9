package decide

import (
	"math"
	"testing"
	"time"
)

func TestSteadyProbesStayInZoneAndBudget(t *testing.T) {
	rate := func(price float64) (n int) {
		set := settings()
		set.Costs.Probe, set.ProbingAllowed = price, true
		w := newHarness(t, set)
		w.replaceList(servers(20, 20))
		for i := range 100 {
			for _, p := range actionsOf[Probe](w.tick(tickInterval)) {
				n++
				if zoneOf(p.Server) != "a" {
					t.Fatalf("probed %d of another zone", p.Server)
				}
			}
			w.establish(name("r", i), idempotentClass)
		}
		return n
	}
	cheap, dear := rate(0.002), rate(0.02)
	if dear < 8 || cheap < 3*dear {
		t.Fatalf("%d probes at a low price, %d at ten times that", cheap, dear)
	}
	set := settings()
	set.ProbingAllowed = false
	w := newHarness(t, set)
	w.replaceList(servers(5, 5))
	if len(actionsOf[Probe](w.tick(20*time.Second))) > 0 {
		t.Fatal("probed where probes are not allowed")
	}
}

// A server short of capacity is probed ahead of the steady probes, others are not, as often as the cost allows.
func TestServersShortOfCapacityAreProbed(t *testing.T) {
	count := func(price float64) (hot, cool int) {
		set := settings()
		set.Costs.Probe, set.ProbingAllowed = price, true
		w := newHarness(t, set)
		w.replaceList(servers(6, 0))
		for i := range 30 {
			w.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: ServerID(i%6 + 1)})
		}
		for range 40 {
			w.reportLoad(1, 0.9)
			w.reportLoad(2, 0.3)
			for _, p := range actionsOf[Probe](w.tick(3 * tickInterval)) {
				switch p.Server {
				case 1:
					hot++
				case 2:
					cool++
				}
			}
		}
		return hot, cool
	}
	if hot, cool := count(0.002); hot < 40 || cool > hot/2 {
		t.Errorf("%d probes of the server short of room, %d of one with room", hot, cool)
	}
	if hot, _ := count(0.05); hot > 20 {
		t.Errorf("%d probes of the server short of room at a high price", hot)
	}
}

// When no report shows capacity, servers are probed while the request waits.
func TestRequestProbesWithoutReports(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	w := newHarness(t, set)
	w.replaceList(servers(8, 8))
	acts := w.request("r", idempotentClass)
	w.wantNoAttempt(acts, "nothing is known yet")
	probes := actionsOf[Probe](acts)
	if len(probes) != onDemandProbes {
		t.Fatalf("want %d probes, got %v", onDemandProbes, acts)
	}
	w.reportLoad(probes[0].Server, 0.6)
	w.reportLoad(probes[1].Server, 0.2)
	w.now += onDemandProbeTimeout
	if s := w.wantAttempt(w.send(TimerFired{Token: retryWaitingToken})); s != probes[1].Server {
		t.Fatalf("went to %d, the lightest asked is %d", s, probes[1].Server)
	}
	w.now += maxReportAge
	w.request("silent", idempotentClass) // no answer comes: it is placed all the same
	w.now += onDemandProbeTimeout
	w.wantAttempt(w.send(TimerFired{Token: retryWaitingToken}))
}

// A server of another zone that has connections of this balancer is probed now and then, also while the own zone has
// capacity, and loses some of them when it is overloaded.
func TestOverloadInOtherZonesIsNoticed(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	w := newHarness(t, set)
	w.replaceList(servers(3, 3))
	for i := range 20 {
		w.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Class: idempotentClass}, Server: 102})
	}
	moved := 0
	for range 20 {
		for _, p := range actionsOf[Probe](w.tick(time.Second)) {
			load := 0.3
			if p.Server > 100 {
				load = 1.4
				if p.Server != 102 {
					t.Fatalf("server %d of another zone holds nothing and is probed", p.Server)
				}
			}
			moved += len(actionsOf[Migrate](w.reportLoad(p.Server, load)))
		}
		moved += len(actionsOf[Migrate](w.tick(tickInterval)))
	}
	if moved == 0 {
		t.Error("no connection was moved off the overloaded server")
	}
}

// One invalid report must not migrate all connections off its server, nor make each placement look too expensive or
// free.
func TestInvalidReportsAreIgnored(t *testing.T) {
	for _, load := range []float64{-3, 101, 1e300, math.Inf(1), math.NaN()} {
		w := newHarness(t, settings())
		w.replaceList(servers(2, 0))
		w.reportLoad(1, 0.5)
		s := w.b.servers[1]
		w.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: load, Connections: 4}})
		if s.load != 0.5 || s.reportedLoad != 0.5 || s.loadPerConnection != 0 {
			t.Errorf("a load of %v is taken: %+v", load, s)
		}
	}
	for _, held := range []float64{-7, 1e9, math.Inf(1), math.NaN()} {
		w := newHarness(t, settings())
		w.replaceList(servers(2, 0))
		w.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.5, Connections: held}})
		if s := w.b.servers[1]; s.loadPerConnection != 0 || s.load != 0.5 {
			t.Errorf("%v connections are taken: %+v", held, s)
		}
	}
}
