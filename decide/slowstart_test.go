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
