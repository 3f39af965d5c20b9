package decide

import (
	"math"
	"testing"
	"time"
)

// newReportingHarness lists servers that report so many connections each at half load, and gives the balancer some
// connections of its own.
func newReportingHarness(t *testing.T, configured, perServer, own int) *harness {
	t.Helper()
	set := settings()
	set.Zones, set.Balancers = []string{"a"}, configured
	h := newHarness(t, set)
	list := servers(10, 0)
	h.replaceList(list)
	for i := range own {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: list[i%len(list)].ID})
	}
	for _, s := range list {
		h.send(ProbeCompleted{Server: s.ID, Code: OK, Report: LoadReport{Load: 0.5, Connections: float64(perServer)}})
	}
	return h
}

// The balancers of a fleet whose configured size is wrong must not overload a warming server: reports show that
// others have most of the connections.
func TestEstimatedZoneBalancers(t *testing.T) {
	for _, c := range []struct {
		name       string
		configured int     // balancers in the settings
		perServer  int     // connections that each server reports
		own        int     // connections of this balancer
		least      float64 // bounds of the estimate
		most       float64
	}{
		{name: "as configured", configured: 10, perServer: 40, own: 40, least: 10, most: 10},
		{name: "ten times as many", configured: 10, perServer: 400, own: 40, least: 80, most: 100},
		{name: "a tenth", configured: 100, perServer: 40, own: 40, least: 10, most: 13},
		{name: "no connections, few reported", configured: 100, perServer: 4, own: 0, least: 100, most: 100},
		{name: "no connections, many reported", configured: 10, perServer: 40, own: 0, least: 400, most: 400},
		{name: "alone", configured: 1, perServer: 10, own: 100, least: 1, most: 1},
		{name: "nothing reported", configured: 7, perServer: 0, own: 40, least: 7, most: 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReportingHarness(t, c.configured, c.perServer, c.own)
			if got := h.b.estimatedZoneBalancers(); got < c.least || got > c.most {
				t.Errorf("%.1f, want %.0f to %.0f", got, c.least, c.most)
			}
		})
	}
}

// Where connections last longer than the default, a server with many of them accepts few per second.
func TestMeanLifetime(t *testing.T) {
	h := newReportingHarness(t, 1, 10, 100)
	if got := h.b.lifetime.meanSeconds(); got != defaultLifetime.Seconds() {
		t.Errorf("%.0f s before any connection has ended", got)
	}
	h.tick(30 * time.Second)
	for i := range 10 { // one in ten within 30 s makes 300 s
		h.endAttempt(name("o", i), 0, ServerID(i%10+1), OK, true)
	}
	if got := h.b.lifetime.meanSeconds(); math.Abs(got-300) > 40 {
		t.Errorf("%.0f s, where one in ten ended in 30 s", got)
	}
	before := h.b.lifetime.meanSeconds()
	for i := range 10 { // broken connections
		h.endAttempt(name("o", 10+i), 0, ServerID(i%10+1), Reset, true)
	}
	if got := h.b.lifetime.meanSeconds(); got != before {
		t.Errorf("%.0f s, %.0f before some broke", got, before)
	}
}

// After an outage, a rate at which all clients came within seconds does not show what a server accepts.
func TestServerCapacityAfterBurst(t *testing.T) {
	h := newReportingHarness(t, 1, 10, 100)
	h.b.capacity.perSecond = 50
	if got := h.b.serverCapacity(); math.Abs(got-100.0/(30*10*0.5)) > 0.1 {
		t.Errorf("%.2f connections a second, 100 are established for 30 s at 10 servers half full", got)
	}
	h.b.capacity.perSecond = 0.1
	if got := h.b.serverCapacity(); got != 0.1 {
		t.Errorf("%.2f a second where the recent rate is lower", got)
	}
}

// warmingHarness lists n warm servers and server 50, which has just started, and lets the balancer learn its rate.
func warmingHarness(t *testing.T, set Settings, n int) *harness {
	h := newHarness(t, set)
	h.replaceList(servers(n, 0))
	for i := range 200 { // ten connections a second
		h.establish(name("warm", i), idempotentClass)
		h.now += 100 * time.Millisecond
		if i%2 == 0 {
			h.now -= tickInterval / 2
			h.send(TimerFired{Token: tickToken})
			h.now += tickInterval / 2
		}
	}
	list := servers(n, 0)
	list = append(list, Server{ID: 50, Zone: "a", Started: h.now})
	h.replaceList(list)
	return h
}

// A burst must not overload a warming server: retries count, and quotas not drawn yet cannot be spent.
func TestWarmingServerGetsOnlyThisBalancersQuota(t *testing.T) {
	h := warmingHarness(t, settings(), 9)
	got := 0
	for i := range 300 {
		h.reportLoad(50, 0) // idle, so its report is the lightest
		if h.establish(name("c", i), idempotentClass) == 50 {
			got++
		}
	}
	safety := settings().Safety
	accepted := safety.SlowStartInitialCapacity * h.b.capacity.perSecond * safety.OverloadWindow.Seconds()
	if most := 1 + slowStartSafetyFactor*safety.OverloadFactor*accepted; float64(got) > most {
		t.Fatalf("%d of a burst of 300 were placed on the warming server, this balancer's quota is %.1f", got, most)
	}
	for i := range 40 {
		h.now += 200 * time.Millisecond
		h.reportLoad(50, 0)
		if h.establish(name("d", i), idempotentClass) == 50 {
			got++
		}
	}
	if got < 2 || got > 30 {
		t.Fatalf("%d of 40 in 8 s were placed on the warming server", got)
	}
	h.now += settings().Safety.SlowStartDuration
	h.reportLoad(50, 0)
	if h.establish("warm-now", idempotentClass) != 50 {
		t.Fatal("the server is warm by now, yet gets nothing")
	}
}

// Quotas that many balancers have saved up would come together at one warming server.
func TestSlowStartQuotaIsNotAccumulated(t *testing.T) {
	const balancers = 30
	sent := 0
	for seed := range uint64(balancers) {
		set := settings()
		set.Seed, set.Balancers = seed, balancers
		h := warmingHarness(t, set, 9)
		h.b.capacity.perSecond = 1.0 / balancers // the warm server accepts one connection per second
		h.now += 5 * time.Second                 // half warm
		h.reportLoad(50, 0)
		if h.establish("r", idempotentClass) == 50 {
			sent++
		}
	}
	if most := 3 * 0.65 * 2.0; float64(sent) > 1.5*most { // overload factor x capacity x overload window
		t.Fatalf("%d connections at once, the server can take %.1f in the overload window", sent, most)
	}
}

// New servers must not stay idle while the others fill: no report of theirs is waited for.
func TestWarmingServerIsUsedWithoutReportWhenOthersFill(t *testing.T) {
	h := warmingHarness(t, settings(), 4)
	for id := ServerID(1); id <= 4; id++ {
		h.reportLoad(id, 0.78)
	}
	if s := h.establish("r", idempotentClass); s != 50 {
		t.Fatalf("placed on %d, the warming server is idle", s)
	}
}

// Only the balancers of its own zone share a warming server's budget.
func TestWarmingServersOfOtherZonesGetNothing(t *testing.T) {
	h := warmingHarness(t, settings(), 4)
	list := servers(4, 0)
	list = append(list, Server{ID: 150, Zone: "b", Started: h.now})
	h.replaceList(list)
	for id := ServerID(1); id <= 4; id++ {
		h.reportLoad(id, 0.95)
	}
	h.reportLoad(150, 0)
	for i := range 20 {
		h.wantNoAttempt(h.request(name("c", i), idempotentClass), "the warming server of another zone")
	}
}

func TestRequestsWaitWhileAllServersWarmUp(t *testing.T) {
	h := newHarness(t, settings())
	list := servers(4, 0)
	for i := range list {
		list[i].Started = h.now - time.Millisecond
	}
	h.replaceList(list)
	sent := 0
	for i := range 100 {
		sent += len(actionsOf[StartAttempt](h.request(name("r", i), idempotentClass)))
	}
	if sent > len(list) {
		t.Fatalf("%d requests at once to %d warming servers", sent, len(list))
	}
}
