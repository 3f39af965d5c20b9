package decide

import (
	"fmt"
	"testing"
	"time"
)

// A topic whose listeners are more than its homes bear: a tenth of a fleet's connections in one group, beside others
// in groups of four. Its listeners stand at its homes, three in each of the two zones, and at no other server; these
// are not overloaded, and what they can't take is refused although the rest of the fleet has room. That is the limit
// of three homes; docs/CAPACITY.md tells what it means at full size.
func TestLargestTopicStaysAtItsHomes(t *testing.T) {
	const each, capacity = 30, 100.0 // servers of a zone, connections that one bears
	for _, usual := range []float64{0.2, 0.4} {
		list := servers(2*each, 0)
		for i := each; i < 2*each; i++ {
			list[i].Zone = "b"
		}
		set := fleetSettings()
		set.Zones = []string{"a", "b"}
		f := newFleetSimulation(t, set, 10, list, capacity)
		var rooms []string
		for i := range int(usual * capacity * 2 * each / (4 + groupLoad)) {
			rooms = append(rooms, fmt.Sprint("room-", i))
		}
		// Placed one after the other, four to a room, within a minute.
		f.run(time.Minute, float64(4*len(rooms))/6000, rooms)
		refused, before := f.rejected, map[ServerID]float64{}
		for id := range f.servers {
			before[id] = f.load(id)
		}
		f.run(time.Minute, 600.0/6000, []string{"topic"})
		f.run(20*time.Second, 0, rooms)
		stands, homes, most, room, there := f.connectionsOfGroup("topic"), 0, 0.0, 0.0, 0.0
		for id, s := range f.servers {
			if s.groups["topic"] > 0 {
				homes++
				most = max(most, f.load(id))
				there += max(0, saturationLoad-before[id]) * capacity
			} else {
				room += max(0, maxLoadWithCapacity-f.load(id)) * capacity
			}
		}
		t.Logf("usual load %.1f: %d of 600 listeners stand at %d homes, the fullest at %.2f; %d refusals; there was room for %.0f there, and there is for %.0f elsewhere; %d moved",
			usual, stands, homes, most, f.rejected-refused, there, room, len(f.migratedOff))
		if homes > 2*maxPreferredServers || homes < maxPreferredServers {
			t.Errorf("usual load %.1f: %d homes", usual, homes)
		}
		if most > migrationLoad+0.05 {
			t.Errorf("usual load %.1f: a home is at %.2f", usual, most)
		}
		// What the homes had room for, and no more than moves would let them keep.
		if least, bound := there/2, there+maxPreferredServers*2*capacity*(migrationLoad-saturationLoad); float64(stands) < least || float64(stands) > bound {
			t.Errorf("usual load %.1f: %d listeners stand, %.0f to %.0f wanted", usual, stands, least, bound)
		}
		if stands < 600 && f.rejected == refused {
			t.Errorf("usual load %.1f: %d of 600 stand, and nobody was refused", usual, stands)
		}
	}
}

// connectionsOfGroup counts the connections of a group that stand.
func (f *fleetSimulation) connectionsOfGroup(group string) (n int) {
	for id := range f.established {
		if f.groups[id] == group {
			n++
		}
	}
	return n
}
