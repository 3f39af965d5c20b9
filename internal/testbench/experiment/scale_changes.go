package experiment

import (
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/hollow"
)

// drainInterval is the number of changes of which one is the drain of a room server that exists, or its end.
const drainInterval = 5

// publishChange publishes the n-th change of the list: a room server starts or stops to drain.
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

// toggleDrain makes a room server start or stop to drain.
func (s *scaleRun) toggleDrain(i int) {
	s.draining[i] = !s.draining[i]
	if s.draining[i] {
		s.roomServers[i].Drain()
	} else {
		s.roomServers[i].EndDrain()
	}
}

// nextDrain returns the number of the room server that is draining, or of a random one if none is.
func (s *scaleRun) nextDrain() int {
	for i, draining := range s.draining {
		if draining {
			return i
		}
	}
	return s.changeRNG.IntN(len(s.roomServers))
}

// replicate makes the newest list available at the list servers: at once in the first region, where changes are
// published, and after a delay in the others.
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
