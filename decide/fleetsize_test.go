package decide

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizeEffect holds the values that depend on the fleet size.
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
		t.Errorf("with the size from the membership: %+v; with the same size from the settings: %+v", got, want)
	}
	for _, invalid := range []FleetSize{{}, {Fleet: 5}, {Zone: 5}, {Fleet: -1, Zone: 1},
		{Fleet: MaxBalancers + 1, Zone: 1}} {
		t.Run(fmt.Sprintf("%+v", invalid), func(t *testing.T) {
			counted.send(invalid)
			if counted.b.zoneBalancers() != 150 || !counted.b.fleet.Admitted {
				t.Errorf("the invalid size %+v is applied", invalid)
			}
		})
	}
	counted.send(ConfiguredFleetSize(few))
	if counted.b.zoneBalancers() != newHarness(t, few).b.zoneBalancers() {
		t.Errorf("%v balancers in the zone, want the configured number", counted.b.zoneBalancers())
	}
}

// Balancers that are not admitted send no requests to a warming server, and admitted ones send some in the same case.
func TestNotAdmittedBalancersSkipWarmingServers(t *testing.T) {
	c := slowStartCase{balancers: 30, membershipCounts: true, notAdmitted: true, warmServers: 10, warmingServers: 1,
		groups: 20, serverCapacity: 60, meanLifetime: 30 * time.Second, load: 0.5, demandFactor: 2}
	if r := c.play(t, slowStartSettings()); r.all > 0 {
		t.Errorf("balancers that are not admitted sent %d requests to a warming server", r.all)
	}
	c.notAdmitted = false
	if r := c.play(t, slowStartSettings()); r.all == 0 {
		t.Error("admitted balancers sent no requests to a warming server")
	}
}
