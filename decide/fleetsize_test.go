package decide

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizeEffect is what depends on the fleet size.
type fleetSizeEffect struct {
	thresholds    loadThresholds
	probeInterval time.Duration
	pollInterval  time.Duration
	zoneBalancers float64
}

func fleetSizeEffects(b *Balancer) fleetSizeEffect {
	return fleetSizeEffect{b.thresholds, b.onDemandProbeInterval(), b.pollInterval(), b.zoneBalancers()}
}

// A fleet size from the membership has the same effect as the same number in the settings.
func TestSetFleetSize(t *testing.T) {
	few, many := settings(), settings()
	few.Balancers, many.Balancers = 4, 300
	counted, configured := newHarness(t, few), newHarness(t, many)
	counted.send(FleetSize{Fleet: 300, Zone: 150, Admitted: true})
	got, want := fleetSizeEffects(counted.b), fleetSizeEffects(configured.b)
	if got != want {
		t.Errorf("by the membership %+v; by the settings %+v", got, want)
	}
	for _, invalid := range []FleetSize{{}, {Fleet: 5}, {Zone: 5}, {Fleet: -1, Zone: 1},
		{Fleet: MaxBalancers + 1, Zone: 1}} {
		t.Run(fmt.Sprintf("%+v", invalid), func(t *testing.T) {
			counted.send(invalid)
			if counted.b.zoneBalancers() != 150 || !counted.b.fleet.Admitted {
				t.Errorf("%+v is accepted", invalid)
			}
		})
	}
	counted.send(ConfiguredFleetSize(few))
	if counted.b.zoneBalancers() != newHarness(t, few).b.zoneBalancers() {
		t.Errorf("%v balancers in the zone, as configured", counted.b.zoneBalancers())
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
		t.Error("admitted balancers send a warming server nothing")
	}
}
