package decide

import (
	"testing"
	"time"
)

// A size that is told makes the same margins, askings and polls as the same number in the settings.
func TestFleetSizeIsTakenOver(t *testing.T) {
	few, many := settings(), settings()
	few.Balancers, many.Balancers = 4, 300
	told, named := newWorld(t, few), newWorld(t, many)
	told.send(FleetSize{Fleet: 300, Zone: 150, Admitted: true})
	if told.b.roomy != named.b.roomy || told.b.full != named.b.full || told.b.askAfter() != named.b.askAfter() ||
		told.b.period() != named.b.period() || told.b.peers() != named.b.peers() {
		t.Errorf("told %v, %v, %v, %v, %v; named %v, %v, %v, %v, %v", told.b.roomy, told.b.full, told.b.askAfter(), told.b.period(), told.b.peers(),
			named.b.roomy, named.b.full, named.b.askAfter(), named.b.period(), named.b.peers())
	}
	for _, spoilt := range []FleetSize{{}, {Fleet: 5}, {Zone: 5}, {Fleet: -1, Zone: 1}, {Fleet: MaxBalancers + 1, Zone: 1}} {
		told.send(spoilt)
		if told.b.peers() != 150 || !told.b.fleet.Admitted {
			t.Errorf("%+v is taken", spoilt)
		}
	}
	told.send(ConfiguredFleetSize(few))
	if told.b.peers() != newWorld(t, few).b.peers() {
		t.Errorf("%v peers without a view", told.b.peers())
	}
}

// Balancers that the others do not count yet send a cold server nothing, where they would send it some requests else.
func TestNotAdmittedSendNothingToColdServers(t *testing.T) {
	c := coldCase{modules: 30, counted: true, barred: true, rooms: 10, cold: 1, groups: 20, holds: 60, life: 30 * time.Second, load: 0.5, burst: 2}
	if r := c.play(t, coldSettings()); r.all > 0 {
		t.Errorf("%d requests at a cold server", r.all)
	}
	c.barred = false
	if r := c.play(t, coldSettings()); r.all == 0 {
		t.Error("admitted ones send a cold server nothing")
	}
}
