package experiment

import (
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/hollow"
)

// drainInterval determines which changes concern a room server that exists: every drainInterval-th one. The other
// changes concern room servers that do not exist, if the list has any.
const drainInterval = 5

// publishChange makes the n-th change of the list and publishes it: one room server begins or ends its drain.
func (s *scaleRun) publishChange(n int) {
	existing := len(s.roomServers)
	i := existing + s.changeRNG.IntN(max(len(s.entries)-existing, 1))
	if n%drainInterval == 0 || len(s.entries) == existing {
		i = s.nextDrain()
	}
	e := &s.entries[i]
	if e.Lifecycle == emulator.LifecycleActive {
		e.Lifecycle = emulator.LifecycleLeaving
	} else {
		e.Lifecycle = emulator.LifecycleActive
	}
	if i < existing {
		s.toggleDrain(i)
	}
	s.mu.Lock()
	event := hollow.Event{At: hollow.Now(), Kind: hollow.VersionPublished}
	event.Version = s.table.Publish(*e)
	s.events = append(s.events, event)
	s.mu.Unlock()
	s.result.Changes++
	s.replicate()
}

// toggleDrain makes a room server that exists begin or end its drain.
func (s *scaleRun) toggleDrain(i int) {
	s.draining[i] = !s.draining[i]
	if s.draining[i] {
		s.roomServers[i].Drain()
	} else {
		s.roomServers[i].EndDrain()
	}
}

// nextDrain returns the index of the draining room server. If none is draining, it returns the index of a random room
// server that exists.
func (s *scaleRun) nextDrain() int {
	for i, draining := range s.draining {
		if draining {
			return i
		}
	}
	return s.changeRNG.IntN(len(s.roomServers))
}

// replicate makes the newest version of the list available at the list servers. Those of the first region, where
// changes are published, get it immediately, those of other regions after RegionDelayMs, unless their region is cut by
// then.
func (s *scaleRun) replicate() {
	version := s.table.Version()
	for i, server := range s.listServers {
		region := i % s.e.Regions
		advance := func() {
			s.mu.Lock()
			cut := s.regionCut[region]
			s.mu.Unlock()
			if !cut {
				server.AdvanceTo(version)
			}
		}
		if region == 0 {
			advance()
		} else {
			time.AfterFunc(milliseconds(s.e.RegionDelayMs), advance)
		}
	}
}
