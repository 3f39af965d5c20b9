package decide

import (
	"fmt"
	"testing"
	"time"
)

// One group has 600 connections; each other group has about four. The preferred servers of the large group, up to
// three in each of the two zones, do not have the capacity for all of its connections. The test checks that the group
// stays on its preferred servers, that these are not overloaded, and that the remaining requests are rejected,
// although the rest of the fleet has capacity. This follows from the limit of three preferred servers;
// docs/CAPACITY.md describes its effect in a fleet of full size.
func TestLargestGroupStaysOnPreferredServers(t *testing.T) {
	const perZone, capacity = 30, 100.0 // servers in each zone; connections at which a server's load is 1
	for _, initial := range []float64{0.2, 0.4} {
		t.Run(fmt.Sprintf("load %v", initial), func(t *testing.T) {
			list := serversOfTwoZones(perZone)
			set := fleetSettings()
			set.Zones = []string{"a", "b"}
			f := newFleetSimulation(t, set, 10, list, capacity)
			groups := groupNamesUpTo(int(initial * capacity * 2 * perZone / (4 + groupLoad)))
			// On average four connections of each group, placed over one minute.
			f.run(time.Minute, float64(4*len(groups))/6000, groups)
			rejected, before := f.rejected, map[ServerID]float64{}
			for id := range f.servers {
				before[id] = f.load(id)
			}
			f.run(time.Minute, 600.0/6000, []string{"topic"})
			f.run(20*time.Second, 0, groups)
			established, preferred, maxLoad, elsewhere, available := f.connectionsOfGroup("topic"), 0, 0.0, 0.0, 0.0
			for id, s := range f.servers {
				if s.groups["topic"] > 0 {
					preferred++
					maxLoad = max(maxLoad, f.load(id))
					available += max(0, saturationLoad-before[id]) * capacity
				} else {
					elsewhere += max(0, maxLoadWithCapacity-f.load(id)) * capacity
				}
			}
			t.Logf("initial load %.1f: %d of 600 connections are established at %d preferred servers, "+
				"the highest load is %.2f; %d rejections; "+
				"the preferred servers had capacity for %.0f, the others have capacity for %.0f; migrations off %d servers",
				initial, established, preferred, maxLoad, f.rejected-rejected, available, elsewhere, len(f.migratedOff))
			if preferred > 2*maxPreferredServers || preferred < maxPreferredServers {
				t.Errorf("initial load %.1f: the group is on %d servers, want maxPreferredServers to twice that", initial,
					preferred)
			}
			if maxLoad > migrationLoad+0.05 {
				t.Errorf("initial load %.1f: the load of a preferred server is %.2f, want at most migrationLoad + 0.05",
					initial, maxLoad)
			}
			// At least half of the capacity that the preferred servers had is used. The upper bound is the number of
			// connections above which connections would be migrated off.
			least, bound := available/2, available+maxPreferredServers*2*capacity*(migrationLoad-saturationLoad)
			if float64(established) < least || float64(established) > bound {
				t.Errorf("initial load %.1f: %d connections are established, want %.0f to %.0f", initial, established,
					least,
					bound)
			}
			if established < 600 && f.rejected == rejected {
				t.Errorf("initial load %.1f: %d of 600 are established, but no request was rejected", initial, established)
			}
		})
	}
}

// connectionsOfGroup counts the established connections of a group.
func (f *fleetSimulation) connectionsOfGroup(group string) (n int) {
	for id := range f.established {
		if f.groups[id] == group {
			n++
		}
	}
	return n
}

// serversOfTwoZones returns perZone ready servers in each of the zones a and b.
func serversOfTwoZones(perZone int) []Server {
	list := servers(2*perZone, 0)
	for i := perZone; i < len(list); i++ {
		list[i].Zone = "b"
	}
	return list
}

// groupNamesUpTo returns n group names.
func groupNamesUpTo(n int) (groups []string) {
	for i := range n {
		groups = append(groups, fmt.Sprint("room-", i))
	}
	return groups
}
