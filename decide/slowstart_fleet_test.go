package decide

import (
	"testing"
	"time"
)

// slowStartSettings returns the settings of a fleet with probes.
func slowStartSettings() Settings {
	set := settings()
	set.ProbingAllowed = true
	set.Safety.SlowStartDuration, set.Safety.SlowStartInitialCapacity, set.Safety.OverloadFactor,
		set.Safety.OverloadWindow = 8*time.Second, 0.37, 4, time.Second
	return set
}

var slowStartCases = []slowStartCase{
	{name: "3", balancers: 3, warmServers: 6, warmingServers: 1, groups: 20, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "3 without groups", balancers: 3, warmServers: 6, warmingServers: 1, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "20 lost", balancers: 20, warmServers: 6, warmingServers: 3, lostFor: 5 * time.Second, groups: 20,
		serverCapacity: 60, load: 0.5, demandFactor: 1},
	{name: "20 lost without groups", balancers: 20, warmServers: 6, warmingServers: 3, lostFor: 5 * time.Second,
		serverCapacity: 60, load: 0.5, demandFactor: 1},
	{name: "30", balancers: 30, warmServers: 10, warmingServers: 1, groups: 20, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "30 without groups", balancers: 30, warmServers: 10, warmingServers: 1, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "30 high load without groups", balancers: 30, warmServers: 10, warmingServers: 1, serverCapacity: 60,
		load:         0.7,
		demandFactor: 3},
	{name: "80 lost", balancers: 80, warmServers: 10, warmingServers: 5, lostFor: 5 * time.Second, groups: 30,
		serverCapacity: 60, load: 0.5, demandFactor: 1},
	{name: "80 synchronized uneven", balancers: 80, warmServers: 10, warmingServers: 2, groups: 30, serverCapacity: 60,
		load: 0.5, demandFactor: 3, uneven: true, synchronized: true},
	{name: "300", balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "300 without groups", balancers: 300, warmServers: 15, warmingServers: 2, serverCapacity: 60, load: 0.5,
		demandFactor: 2},
	{name: "300 large without groups", balancers: 300, warmServers: 15, warmingServers: 1, serverCapacity: 400,
		load: 0.6, demandFactor: 2},
	{name: "300 uneven synchronized without groups", balancers: 300, warmServers: 15, warmingServers: 2,
		serverCapacity: 60,
		load:           0.6, demandFactor: 3, uneven: true, synchronized: true},
	{name: "300 restarts", balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 60,
		load: 0.5, demandFactor: 2, restartedFraction: 0.5},
	{name: "300 restarts learned", balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 60,
		load: 0.5, demandFactor: 2, restartedFraction: 0.5, learned: true},
	{name: "300 lost restarts", balancers: 300, warmServers: 15, warmingServers: 7, lostFor: 5 * time.Second,
		groups: 40, serverCapacity: 60, load: 0.5, demandFactor: 1, restartedFraction: 0.3},
	{name: "300 late lost", balancers: 300, warmServers: 15, warmingServers: 7, lostFor: 5 * time.Second, groups: 40,
		serverCapacity: 60, load: 0.5, demandFactor: 1, lateFraction: 0.3},
	{name: "300 configured 30", balancers: 300, configuredBalancers: 30, warmServers: 15, warmingServers: 2, groups: 40,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 configured 100", balancers: 300, configuredBalancers: 100, warmServers: 15, warmingServers: 2,
		groups:         40,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 configured 900", balancers: 300, configuredBalancers: 900, warmServers: 15, warmingServers: 2,
		groups:         40,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 configured 3000", balancers: 300, configuredBalancers: 3000, warmServers: 15, warmingServers: 2,
		groups:         40,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 without size", balancers: 300, configuredBalancers: -1, warmServers: 15, warmingServers: 2, groups: 40,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 long lifetime", balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 200,
		meanLifetime: 150 * time.Second, load: 0.5, demandFactor: 2},
	{name: "300 long lifetime drop without groups", balancers: 300, warmServers: 15, warmingServers: 2,
		serverCapacity: 200, meanLifetime: 150 * time.Second, settleTime: 40 * time.Second, load: 0.5, demandFactor: 1,
		droppingServers: 3},
	{name: "300 drop", balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 60, load: 0.5,
		demandFactor: 1, droppingServers: 7},
	{name: "300 drop configured 30", balancers: 300, configuredBalancers: 30, warmServers: 15, warmingServers: 2,
		groups: 40, serverCapacity: 60, load: 0.5, demandFactor: 1, droppingServers: 7},
	{name: "300 drop without groups", balancers: 300, warmServers: 15, warmingServers: 2, serverCapacity: 60, load: 0.5,
		demandFactor: 1, droppingServers: 7},
	{name: "300 high load configured 30 without groups", balancers: 300, configuredBalancers: 30, warmServers: 15,
		warmingServers: 2, serverCapacity: 60, load: 0.7, demandFactor: 3},
	{name: "300 membership", balancers: 300, configuredBalancers: 30, membershipCounts: true, warmServers: 15,
		warmingServers: 2, groups: 40, serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "300 membership uneven synchronized without groups", balancers: 300, configuredBalancers: 30,
		membershipCounts: true,
		warmServers:      15, warmingServers: 2, serverCapacity: 60, load: 0.6, demandFactor: 3, uneven: true,
		synchronized: true},
	{name: "300 membership configured 3000 restarts", balancers: 300, configuredBalancers: 3000, membershipCounts: true,
		warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 60, load: 0.5, demandFactor: 2,
		restartedFraction: 0.5},
	{name: "300 membership drop without groups", balancers: 300, configuredBalancers: 30, membershipCounts: true,
		warmServers: 15, warmingServers: 2, serverCapacity: 60, load: 0.5, demandFactor: 1, droppingServers: 7},
	{name: "3 membership configured 30", balancers: 3, configuredBalancers: 30, membershipCounts: true, warmServers: 6,
		warmingServers: 1, groups: 20, serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "3 configured 30", balancers: 3, configuredBalancers: 30, warmServers: 6, warmingServers: 1, groups: 20,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "30 configured 3", balancers: 30, configuredBalancers: 3, warmServers: 10, warmingServers: 1, groups: 20,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "30 configured 3 without groups", balancers: 30, configuredBalancers: 3, warmServers: 10, warmingServers: 1,
		serverCapacity: 60, load: 0.5, demandFactor: 2},
	{name: "2300", balancers: 2300, warmServers: 12, settleTime: 8 * time.Second, warmingServers: 2, groups: 40,
		serverCapacity: 200, load: 0.5, demandFactor: 2},
	{name: "2300 without groups", balancers: 2300, warmServers: 12, settleTime: 8 * time.Second, warmingServers: 2,
		serverCapacity: 200, load: 0.5, demandFactor: 2},
	{name: "2300 configured 230", balancers: 2300, configuredBalancers: 230, warmServers: 12,
		settleTime: 8 * time.Second, warmingServers: 2, groups: 40, serverCapacity: 200, load: 0.5, demandFactor: 2},
}

// The requests that all balancers together send to a warming server do not overload it, although each balancer knows
// only its own requests. The warming servers are also used: they get some requests during their warm-up.
func TestSlowStartOfFleets(t *testing.T) {
	t.Parallel()
	for _, c := range slowStartCases {
		if c.meanLifetime == 0 {
			c.meanLifetime = 30 * time.Second
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := c.play(t, slowStartSettings())
			t.Log(r)
			if r.violations > 0 {
				t.Errorf("balancers that had observed the start overloaded %d of %d warming servers", r.violations, r.servers)
			}
			if r.all < 2*r.servers || r.least == 0 && r.servers < 3 { // one of several may be preferred by too few groups
				t.Errorf("only %d requests at %d warming servers during their warm-up", r.all, r.servers)
			}
		})
	}
}

// Connections last five times the default lifetime. Soon after the warming servers start, three of the fifteen warm
// servers of their zone drop all of their connections. The groups of such a server reconnect to the same next preferred
// servers, so that a warming server among these gets three times the mean demand of the zone's servers. The test runs
// the first ten seeds instead of selected ones.
func TestSlowStartDuringResetsOfLongConnections(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := slowStartCase{balancers: 300, warmServers: 15, warmingServers: 2, groups: 40, serverCapacity: 200,
			meanLifetime: 150 * time.Second, settleTime: 40 * time.Second, load: 0.5,
			demandFactor: 1, droppingServers: 3, seed: seed}
		r := c.play(t, slowStartSettings())
		t.Logf("seed %d: %v", seed, r)
		if r.violations > 0 {
			t.Errorf("seed %d: balancers that had observed the start overloaded %d of %d warming servers", seed, r.violations,
				r.servers)
		}
	}
}
