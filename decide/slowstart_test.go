package decide

import (
	"math"
	"testing"
	"time"
)

// newReportingHarness returns a harness with ten servers, each of which reports half load and perServer connections.
// The parameter own is the number of connections of the balancer.
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

// The balancers of a fleet must not overload a warming server even if the configured fleet size is wrong. They correct
// it by the load reports, which show how many connections other balancers have.
func TestEstimatedZoneBalancers(t *testing.T) {
	for _, c := range []struct {
		name       string
		configured int     // balancers in the settings
		perServer  int     // connections that each server reports
		own        int     // connections of this balancer
		least      float64 // smallest accepted estimate
		most       float64 // largest accepted estimate
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
				t.Errorf("estimate %.1f, want %.0f to %.0f", got, c.least, c.most)
			}
		})
	}
}

// The mean lifetime is estimated from connections that ended without breaking. The capacity of a server depends on it:
// where connections last longer than defaultLifetime, a server accepts fewer per second.
func TestMeanLifetime(t *testing.T) {
	h := newReportingHarness(t, 1, 10, 100)
	if got := h.b.lifetime.meanSeconds(); got != defaultLifetime.Seconds() {
		t.Errorf("%.0f s before any connection has ended, want defaultLifetime", got)
	}
	h.tick(30 * time.Second)
	for i := range 10 { // one connection in ten ends within 30 s, so the mean lifetime is 300 s
		h.endAttempt(name("o", i), 0, ServerID(i%10+1), OK, true)
	}
	if got := h.b.lifetime.meanSeconds(); math.Abs(got-300) > 40 {
		t.Errorf("%.0f s when one connection in ten ended within 30 s, want about 300 s", got)
	}
	before := h.b.lifetime.meanSeconds()
	for i := range 10 { // broken connections
		h.endAttempt(name("o", 10+i), 0, ServerID(i%10+1), Reset, true)
	}
	if got := h.b.lifetime.meanSeconds(); got != before {
		t.Errorf("%.0f s after some connections broke, %.0f s before; want no change", got, before)
	}
}

// After an outage, all clients connect within seconds. This rate does not show how many connections a server accepts,
// so the estimated capacity is limited by the number of established connections.
func TestServerCapacityAfterBurst(t *testing.T) {
	h := newReportingHarness(t, 1, 10, 100)
	h.b.capacity.perSecond = 50
	if got := h.b.serverCapacity(); math.Abs(got-100.0/(30*10*0.5)) > 0.1 {
		t.Errorf("%.2f connections per second, want 0.67: 100 connections last 30 s at 10 servers with half load", got)
	}
	h.b.capacity.perSecond = 0.1
	if got := h.b.serverCapacity(); got != 0.1 {
		t.Errorf("%.2f connections per second, want the recent rate 0.1, which is lower", got)
	}
}

// warmingHarness returns a harness whose balancer has established ten connections per second at n warm servers. Then
// server 50 has been added, which has just started.
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

// A burst of clients must not overload a warming server: each placement, retries included, uses up quota, and quotas of
// later windows can't be used in advance.
func TestWarmingServerGetsOnlyThisBalancersQuota(t *testing.T) {
	h := warmingHarness(t, settings(), 9)
	got := 0
	for i := range 300 {
		h.reportLoad(50, 0) // server 50 is idle, so it reports the lowest load
		if h.establish(name("c", i), idempotentClass) == 50 {
			got++
		}
	}
	safety := settings().Safety
	accepted := safety.SlowStartInitialCapacity * h.b.capacity.perSecond * safety.OverloadWindow.Seconds()
	if most := 1 + slowStartSafetyFactor*safety.OverloadFactor*accepted; float64(got) > most {
		t.Fatalf("%d requests of a burst of 300 were placed on the warming server, want at most %.1f", got, most)
	}
	for i := range 40 {
		h.now += 200 * time.Millisecond
		h.reportLoad(50, 0)
		if h.establish(name("d", i), idempotentClass) == 50 {
			got++
		}
	}
	if got < 2 || got > 30 {
		t.Fatalf("%d requests were placed on the warming server after 40 more in 8 s, want 2 to 30", got)
	}
	h.now += settings().Safety.SlowStartDuration
	h.reportLoad(50, 0)
	if h.establish("warm-now", idempotentClass) != 50 {
		t.Fatal("the server is warm now, but the request was not placed on it")
	}
}

// Unused quotas expire. If many balancers accumulated theirs, they could use them at one warming server at the same
// time and overload it.
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
		t.Fatalf("%d connections at the same time, the server tolerates %.1f within the overload window", sent, most)
	}
}

// A warming server must not stay idle while the other servers are nearly full, so it is used before its first report.
func TestWarmingServerIsUsedWithoutReportWhenOthersFill(t *testing.T) {
	h := warmingHarness(t, settings(), 4)
	for id := ServerID(1); id <= 4; id++ {
		h.reportLoad(id, 0.78)
	}
	if s := h.establish("r", idempotentClass); s != 50 {
		t.Fatalf("placed on %d, want the idle warming server 50", s)
	}
}

// Only the balancers of its own zone share a warming server's budget, so balancers of other zones send it no requests.
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
		t.Fatalf("%d requests were sent to %d warming servers at the same time, want at most one to each", sent,
			len(list))
	}
}
