package experiment

// The changes of a scale run's list, and when they come.

import (
	"context"
	"time"

	"cottonplank/internal/testbench/hollow"
)

// change publishes one change.
func (s *scaleRun) change(n int) {
	i := len(s.rooms) + s.changes.IntN(max(len(s.entries)-len(s.rooms), 1))
	if n%drainEvery == 0 || len(s.entries) == len(s.rooms) {
		i = s.drainNext()
	}
	e := &s.entries[i]
	if e.Lifecycle == "active" {
		e.Lifecycle = "leaving"
	} else {
		e.Lifecycle = "active"
	}
	if i < len(s.rooms) {
		if s.drained[i] = !s.drained[i]; s.drained[i] {
			s.rooms[i].Drain()
		} else {
			s.rooms[i].EndDrain()
		}
	}
	s.mu.Lock()
	s.events = append(s.events, hollow.Event{At: hollow.Now(), Kind: hollow.VersionPublished, Version: s.roster.Publish(*e)})
	s.mu.Unlock()
	s.result.Changes++
	s.spread()
}

// drainNext is a room server that exists: the one that is drained, if any, else one by chance.
func (s *scaleRun) drainNext() int {
	for i, drained := range s.drained {
		if drained {
			return i
		}
	}
	return s.changes.IntN(len(s.rooms))
}

// spread brings the newest list to the sources, at once in the first region, where changes are published.
func (s *scaleRun) spread() {
	v := s.roster.Version()
	for i, source := range s.sources {
		region := i % s.e.Regions
		bring := func() {
			s.mu.Lock()
			parted := s.parted[region]
			s.mu.Unlock()
			if !parted {
				source.AdvanceTo(v)
			}
		}
		if region == 0 {
			bring()
		} else {
			time.AfterFunc(millis(s.e.RegionMs), bring)
		}
	}
}

// after does something later, unless the run ends before.
func (s *scaleRun) after(ctx context.Context, d time.Duration, do func() error) {
	s.later.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			if err := do(); err != nil {
				s.mu.Lock()
				s.failed = err
				s.mu.Unlock()
			}
		}
	})
}
