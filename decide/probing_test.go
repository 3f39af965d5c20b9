package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSteadyProbesStayInZoneAndBudget(t *testing.T) {
	rate := func(cost float64) (n int) {
		set := settings()
		set.Costs.Probe, set.ProbingAllowed = cost, true
		h := newHarness(t, set)
		h.replaceList(servers(20, 20))
		for i := range 100 {
			for _, p := range actionsOf[Probe](h.tick(tickInterval)) {
				n++
				if zoneOf(p.Server) != "a" {
					t.Fatalf("server %d of another zone was probed", p.Server)
				}
			}
			h.establish(name("r", i), idempotentClass)
		}
		return n
	}
	cheap, expensive := rate(0.002), rate(0.02)
	if expensive < 8 || cheap < 3*expensive {
		t.Fatalf("%d probes at a low cost, %d at ten times the cost, want at most a third, and at least 8", cheap, expensive)
	}
	set := settings()
	set.ProbingAllowed = false
	h := newHarness(t, set)
	h.replaceList(servers(5, 5))
	if len(actionsOf[Probe](h.tick(20*time.Second))) > 0 {
		t.Fatal("a server was probed though ProbingAllowed is false")
	}
}

// A server short of capacity is probed more often than others, as far as the cost of a probe allows.
func TestServersShortOfCapacityAreProbed(t *testing.T) {
	count := func(cost float64) (saturated, available int) {
		set := settings()
		set.Costs.Probe, set.ProbingAllowed = cost, true
		h := newHarness(t, set)
		h.replaceList(servers(6, 0))
		for i := range 30 {
			h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: ServerID(i%6 + 1)})
		}
		for range 40 {
			h.reportLoad(1, 0.9)
			h.reportLoad(2, 0.3)
			for _, p := range actionsOf[Probe](h.tick(3 * tickInterval)) {
				switch p.Server {
				case 1:
					saturated++
				case 2:
					available++
				}
			}
		}
		return saturated, available
	}
	if saturated, available := count(0.002); saturated < 40 || available > saturated/2 {
		t.Errorf("%d probes of the server short of capacity, %d of one with capacity", saturated, available)
	}
	if saturated, _ := count(0.05); saturated > 20 {
		t.Errorf("%d probes of the server short of capacity at a high cost, want at most 20", saturated)
	}
}

// When no load report shows capacity, a few servers are probed and the request waits for the answers, but no longer
// than onDemandProbeTimeout.
func TestRequestProbesWithoutReports(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	h := newHarness(t, set)
	h.replaceList(servers(8, 8))
	actions := h.request("r", idempotentClass)
	h.wantNoAttempt(actions, "there are no load reports yet")
	probes := actionsOf[Probe](actions)
	if len(probes) != onDemandProbes {
		t.Fatalf("want %d probes, got %v", onDemandProbes, actions)
	}
	h.reportLoad(probes[0].Server, 0.6)
	h.reportLoad(probes[1].Server, 0.2)
	h.now += onDemandProbeTimeout
	if s := h.wantAttempt(h.send(TimerFired{Token: retryWaitingToken})); s != probes[1].Server {
		t.Fatalf("placed on %d, want the least loaded of the probed servers %d", s, probes[1].Server)
	}
	h.now += maxReportAge
	h.request("silent", idempotentClass) // its probes are not answered; it is placed nevertheless
	h.now += onDemandProbeTimeout
	h.wantAttempt(h.send(TimerFired{Token: retryWaitingToken}))
}

// A server of another zone with connections of this balancer is probed even while the own zone has capacity. So its
// overload is noticed, and connections are migrated off it.
func TestOverloadInOtherZonesIsNoticed(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	h := newHarness(t, set)
	h.replaceList(servers(3, 3))
	for i := range 20 {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Class: idempotentClass},
			Server: 102})
	}
	migrated := 0
	for range 20 {
		for _, p := range actionsOf[Probe](h.tick(time.Second)) {
			load := 0.3
			if p.Server > 100 {
				load = 1.4
				if p.Server != 102 {
					t.Fatalf("server %d of another zone was probed without having connections", p.Server)
				}
			}
			migrated += len(actionsOf[Migrate](h.reportLoad(p.Server, load)))
		}
		migrated += len(actionsOf[Migrate](h.tick(tickInterval)))
	}
	if migrated == 0 {
		t.Error("no connection was migrated off the overloaded server")
	}
}

// An invalid load or number of connections in a report must be ignored. Otherwise it could cause the migration of all
// connections off its server, or make the load of one connection there look far too high or zero.
func TestInvalidReportsAreIgnored(t *testing.T) {
	for _, load := range []float64{-3, 101, 1e300, math.Inf(1), math.NaN()} {
		t.Run(fmt.Sprintf("load %v", load), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(2, 0))
			h.reportLoad(1, 0.5)
			s := h.b.servers[1]
			h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: load, Connections: 4}})
			if s.load != 0.5 || s.reportedLoad != 0.5 || s.loadPerConnection != 0 {
				t.Errorf("a reported load of %v is accepted: %+v", load, s)
			}
		})
	}
	for _, connections := range []float64{-7, 1e9, math.Inf(1), math.NaN()} {
		t.Run(fmt.Sprintf("connections %v", connections), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(2, 0))
			h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.5, Connections: connections}})
			if s := h.b.servers[1]; s.loadPerConnection != 0 || s.load != 0.5 {
				t.Errorf("a report of %v connections is accepted: %+v", connections, s)
			}
		})
	}
}
