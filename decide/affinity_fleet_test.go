package decide

import (
	"fmt"
	"testing"
	"time"
)

// A tenth of a fleet's connections are in one group, beside others in groups of four: more than the preferred servers
// of the group bear. Its connections are at its preferred servers, three in each of the two zones, and at no other
// server. These are not overloaded, and what exceeds them is rejected, although the rest of the fleet has capacity.
// That is the limit of three preferred servers; docs/CAPACITY.md tells what it means at full size.
func TestLargestGroupStaysOnPreferredServers(t *testing.T) {
	const each, capacity = 30, 100.0 // servers of a zone, connections that one bears
	for _, usual := range []float64{0.2, 0.4} {
		t.Run(fmt.Sprintf("load %v", usual), func(t *testing.T) {
			list := serversOfTwoZones(each)
			set := fleetSettings()
			set.Zones = []string{"a", "b"}
			f := newFleetSimulation(t, set, 10, list, capacity)
			groups := groupNamesUpTo(int(usual * capacity * 2 * each / (4 + groupLoad)))
			// Placed one after the other, four to a group, within a minute.
			f.run(time.Minute, float64(4*len(groups))/6000, groups)
			rejected, before := f.rejected, map[ServerID]float64{}
			for id := range f.servers {
				before[id] = f.load(id)
			}
			f.run(time.Minute, 600.0/6000, []string{"topic"})
			f.run(20*time.Second, 0, groups)
			established, preferred, most, room, there := f.connectionsOfGroup("topic"), 0, 0.0, 0.0, 0.0
			for id, s := range f.servers {
				if s.groups["topic"] > 0 {
					preferred++
					most = max(most, f.load(id))
					there += max(0, saturationLoad-before[id]) * capacity
				} else {
					room += max(0, maxLoadWithCapacity-f.load(id)) * capacity
				}
			}
			t.Logf("usual load %.1f: %d of 600 connections are established at %d preferred servers, "+
				"the fullest at %.2f; %d rejections; "+
				"there was capacity for %.0f there, and there is for %.0f elsewhere; %d migrated",
				usual, established, preferred, most, f.rejected-rejected, there, room, len(f.migratedOff))
			if preferred > 2*maxPreferredServers || preferred < maxPreferredServers {
				t.Errorf("usual load %.1f: %d preferred servers", usual, preferred)
			}
			if most > migrationLoad+0.05 {
				t.Errorf("usual load %.1f: a preferred server is at %.2f", usual, most)
			}
			// What the preferred servers had capacity for, and no more than migrations would let them keep.
			least, bound := there/2, there+maxPreferredServers*2*capacity*(migrationLoad-saturationLoad)
			if float64(established) < least || float64(established) > bound {
				t.Errorf("usual load %.1f: %d connections are established, %.0f to %.0f wanted", usual, established,
					least,
					bound)
			}
			if established < 600 && f.rejected == rejected {
				t.Errorf("usual load %.1f: %d of 600 are established, and nobody was rejected", usual, established)
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

// serversOfTwoZones returns ready servers, so many in each of the zones a and b.
func serversOfTwoZones(perZone int) []Server {
	list := servers(2*perZone, 0)
	for i := perZone; i < len(list); i++ {
		list[i].Zone = "b"
	}
	return list
}

// groupNamesUpTo returns the names of n groups.
func groupNamesUpTo(n int) (groups []string) {
	for i := range n {
		groups = append(groups, fmt.Sprint("room-", i))
	}
	return groups
}
