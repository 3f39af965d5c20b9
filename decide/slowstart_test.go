package decide

import (
	"math"
	"testing"
	"time"
)

// newReportingHarness lists servers that hold so many each at half load, and gives the balancer so many connections
// of its own.
func newReportingHarness(t *testing.T, told, each, own int) *harness {
	t.Helper()
	set := settings()
	set.Zones, set.Balancers = []string{"a"}, told
	w := newHarness(t, set)
	list := servers(10, 0)
	w.replaceList(list)
	for i := range own {
		w.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: list[i%len(list)].ID})
	}
	for _, s := range list {
		w.send(ProbeCompleted{Server: s.ID, Code: OK, Report: LoadReport{Load: 0.5, Connections: float64(each)}})
	}
	return w
}

// Guards cold servers of a fleet that is not told its size: reports show that others hold most of what stands.
func TestReportsShowHowManyShareTheZone(t *testing.T) {
	for _, c := range []struct {
		name            string
		told, each, own int
		least, most     float64
	}{
		{name: "as told", told: 10, each: 40, own: 40, least: 10, most: 10},
		{name: "ten times as many", told: 10, each: 400, own: 40, least: 80, most: 100},
		{name: "a tenth", told: 100, each: 40, own: 40, least: 10, most: 13},
		{name: "holds none: any number", told: 100, each: 4, own: 0, least: 100, most: 100},
		{name: "holds none of much", told: 10, each: 40, own: 0, least: 400, most: 400},
		{name: "alone", told: 1, each: 10, own: 100, least: 1, most: 1},
		{name: "nothing reported", told: 7, each: 0, own: 40, least: 7, most: 7},
	} {
		if got := newReportingHarness(t, c.told, c.each, c.own).b.estimatedZoneBalancers(); got < c.least || got > c.most {
			t.Errorf("%s: %.1f, wanted %.0f to %.0f", c.name, got, c.least, c.most)
		}
	}
}

// Guards cold servers where connections stand far longer than the usual ones: a server that holds many takes few a
// second.
func TestLifeOfConnectionsIsLearned(t *testing.T) {
	w := newReportingHarness(t, 1, 10, 100)
	if got := w.b.lifetime.meanSeconds(); got != defaultLifetime.Seconds() {
		t.Errorf("%.0f s before any has left", got)
	}
	w.tick(30 * time.Second)
	for i := range 10 { // one in ten within 30 s: 300 s
		w.endAttempt(name("o", i), 0, ServerID(i%10+1), OK, true)
	}
	if got := w.b.lifetime.meanSeconds(); math.Abs(got-300) > 40 {
		t.Errorf("%.0f s, of which one in ten left in 30 s", got)
	}
	before := w.b.lifetime.meanSeconds()
	for i := range 10 { // cut off
		w.endAttempt(name("o", 10+i), 0, ServerID(i%10+1), Reset, true)
	}
	if got := w.b.lifetime.meanSeconds(); got != before {
		t.Errorf("%.0f s, %.0f before some were cut off", got, before)
	}
}

// Guards cold servers after an outage: a rate at which all clients came within seconds says nothing of what a server
// takes.
func TestStormTellsNothingOfWhatAServerTakes(t *testing.T) {
	w := newReportingHarness(t, 1, 10, 100)
	w.b.capacity.perSecond = 50
	if got := w.b.serverCapacity(); math.Abs(got-100.0/(30*10*0.5)) > 0.1 {
		t.Errorf("%.2f connections a second, 100 stand for 30 s at 10 servers half full", got)
	}
	w.b.capacity.perSecond = 0.1
	if got := w.b.serverCapacity(); got != 0.1 {
		t.Errorf("%.2f a second where the rate of late tells less", got)
	}
}

// warmingHarness lists n warm servers and server 50, which has just started, and lets the balancer learn its rate.
func warmingHarness(t *testing.T, set Settings, n int) *harness {
	w := newHarness(t, set)
	w.replaceList(servers(n, 0))
	for i := range 200 { // ten connections a second
		w.establish(name("warm", i), idempotentClass)
		w.now += 100 * time.Millisecond
		if i%2 == 0 {
			w.now -= tickInterval / 2
			w.send(TimerFired{Token: tickToken})
			w.now += tickInterval / 2
		}
	}
	list := servers(n, 0)
	list = append(list, Server{ID: 50, Zone: "a", Started: w.now})
	w.replaceList(list)
	return w
}

// A burst must not overload a warming server: retries count, and quotas not drawn yet cannot be spent.
func TestWarmingServerGetsOnlyThisBalancersQuota(t *testing.T) {
	w := warmingHarness(t, settings(), 9)
	got := 0
	for i := range 300 {
		w.reportLoad(50, 0) // idle, so the pool would have it
		if w.establish(name("c", i), idempotentClass) == 50 {
			got++
		}
	}
	rules := settings().Safety
	if most := 1 + slowStartSafetyFactor*rules.OverloadFactor*rules.SlowStartShare*w.b.capacity.perSecond*rules.OverloadWindow.Seconds(); float64(got) > most {
		t.Fatalf("%d of a burst of 300 went to the cold server, this balancer's part is %.1f", got, most)
	}
	for i := range 40 {
		w.now += 200 * time.Millisecond
		w.reportLoad(50, 0)
		if w.establish(name("d", i), idempotentClass) == 50 {
			got++
		}
	}
	if got < 2 || got > 30 {
		t.Fatalf("%d of 40 in 8 s went to the warming server", got)
	}
	w.now += settings().Safety.SlowStartDuration
	w.reportLoad(50, 0)
	if w.establish("warm-now", idempotentClass) != 50 {
		t.Fatal("warm by now, yet kept out")
	}
}

// Quotas that many balancers have saved up would come together at one warming server.
func TestSlowStartQuotaIsNotAccumulated(t *testing.T) {
	const balancers = 30
	sent := 0
	for seed := range uint64(balancers) {
		set := settings()
		set.Seed, set.Balancers = seed, balancers
		w := warmingHarness(t, set, 9)
		w.b.capacity.perSecond = 1.0 / balancers // the server can take one connection a second when warm
		w.now += 5 * time.Second                 // half warm
		w.reportLoad(50, 0)
		if w.establish("r", idempotentClass) == 50 {
			sent++
		}
	}
	if most := 3 * 0.65 * 2.0; float64(sent) > 1.5*most { // multiple x part x fall time
		t.Fatalf("%d connections at once, the server can take %.1f in the fall time", sent, most)
	}
}

// New servers must not stay idle while the others fill: no report of theirs is waited for.
func TestWarmingServerIsUsedWithoutReportWhenOthersFill(t *testing.T) {
	w := warmingHarness(t, settings(), 4)
	for id := ServerID(1); id <= 4; id++ {
		w.reportLoad(id, 0.78)
	}
	if s := w.establish("r", idempotentClass); s != 50 {
		t.Fatalf("went to %d, the cold server is idle", s)
	}
}

// Only the balancers of its own zone share a warming server's budget.
func TestWarmingServersOfOtherZonesGetNothing(t *testing.T) {
	w := warmingHarness(t, settings(), 4)
	list := servers(4, 0)
	list = append(list, Server{ID: 150, Zone: "b", Started: w.now})
	w.replaceList(list)
	for id := ServerID(1); id <= 4; id++ {
		w.reportLoad(id, 0.95)
	}
	w.reportLoad(150, 0)
	for i := range 20 {
		w.wantNoAttempt(w.request(name("c", i), idempotentClass), "the cold server of another zone")
	}
}

func TestRequestsWaitWhileAllServersWarmUp(t *testing.T) {
	w := newHarness(t, settings())
	list := servers(4, 0)
	for i := range list {
		list[i].Started = w.now - time.Millisecond
	}
	w.replaceList(list)
	sent := 0
	for i := range 100 {
		sent += len(actionsOf[StartAttempt](w.request(name("r", i), idempotentClass)))
	}
	if sent > len(list) {
		t.Fatalf("%d requests at once to %d cold servers", sent, len(list))
	}
}
