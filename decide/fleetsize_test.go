package decide

import (
	"testing"
	"time"
)

// A fleet size from the membership has the same effect as the same number in the settings.
func TestSetFleetSize(t *testing.T) {
	few, many := settings(), settings()
	few.Balancers, many.Balancers = 4, 300
	told, named := newHarness(t, few), newHarness(t, many)
	told.send(FleetSize{Fleet: 300, Zone: 150, Admitted: true})
	if told.b.thresholds.capacity != named.b.thresholds.capacity ||
		told.b.thresholds.saturation != named.b.thresholds.saturation ||
		told.b.onDemandProbeInterval() != named.b.onDemandProbeInterval() ||
		told.b.pollInterval() != named.b.pollInterval() || told.b.zoneBalancers() != named.b.zoneBalancers() {
		t.Errorf("told %v, %v, %v, %v, %v; named %v, %v, %v, %v, %v", told.b.thresholds.capacity,
			told.b.thresholds.saturation, told.b.onDemandProbeInterval(), told.b.pollInterval(),
			told.b.zoneBalancers(),
			named.b.thresholds.capacity, named.b.thresholds.saturation, named.b.onDemandProbeInterval(),
			named.b.pollInterval(), named.b.zoneBalancers())
	}
	for _, spoilt := range []FleetSize{{}, {Fleet: 5}, {Zone: 5}, {Fleet: -1, Zone: 1},
		{Fleet: MaxBalancers + 1, Zone: 1}} {
		told.send(spoilt)
		if told.b.zoneBalancers() != 150 || !told.b.fleet.Admitted {
			t.Errorf("%+v is taken", spoilt)
		}
	}
	told.send(ConfiguredFleetSize(few))
	if told.b.zoneBalancers() != newHarness(t, few).b.zoneBalancers() {
		t.Errorf("%v peers without a view", told.b.zoneBalancers())
	}
}

// Balancers that are not admitted send a warming server nothing, where admitted ones send it some requests.
func TestNotAdmittedBalancersSkipWarmingServers(t *testing.T) {
	c := slowStartCase{balancers: 30, membershipCounts: true, notAdmitted: true, warmServers: 10, warmingServers: 1,
		groups: 20, serverCapacity: 60, meanLifetime: 30 * time.Second, load: 0.5, demandFactor: 2}
	if r := c.play(t, slowStartSettings()); r.all > 0 {
		t.Errorf("%d requests at a warming server", r.all)
	}
	c.notAdmitted = false
	if r := c.play(t, slowStartSettings()); r.all == 0 {
		t.Error("admitted ones send a warming server nothing")
	}
}
