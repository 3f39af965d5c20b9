package experiment

import (
	"slices"
	"time"
)

// notPaused is the time of the pause of an instance that is not paused.
const notPaused = -1

// clusterState is the true state of the instances and of the paths between them.
type clusterState struct {
	live []bool
	// since is when the instance's process has started, or ended if it is not live.
	since []time.Duration
	// pausedAt is when the instance was paused; notPaused if it is not.
	pausedAt []time.Duration
	// longPauseEnd is when the latest pause of the instance that was longer than maxTolerablePause has ended.
	longPauseEnd []time.Duration
	// cut says which paths are cut.
	cut [][]bool
}

// newClusterState returns the state before any instance has started.
func newClusterState(instances int) *clusterState {
	s := &clusterState{
		live:         make([]bool, instances),
		since:        make([]time.Duration, instances),
		pausedAt:     make([]time.Duration, instances),
		longPauseEnd: make([]time.Duration, instances),
	}
	for i := range instances {
		s.pausedAt[i] = notPaused
		s.longPauseEnd[i] = -time.Hour
		s.cut = append(s.cut, make([]bool, instances))
	}
	return s
}

// clone returns a copy.
func (s *clusterState) clone() *clusterState {
	clone := &clusterState{
		live:         slices.Clone(s.live),
		since:        slices.Clone(s.since),
		pausedAt:     slices.Clone(s.pausedAt),
		longPauseEnd: slices.Clone(s.longPauseEnd),
	}
	for _, row := range s.cut {
		clone.cut = append(clone.cut, slices.Clone(row))
	}
	return clone
}

// apply applies an event; those that instances have said make no difference.
func (s *clusterState) apply(e membershipEvent) {
	m := e.Member
	switch e.Kind {
	case memberStarted:
		s.live[m], s.since[m] = true, e.At
	case memberKilled, memberStopped:
		s.live[m], s.since[m], s.pausedAt[m] = false, e.At, notPaused
	case memberPaused:
		s.pausedAt[m] = e.At
	case memberResumed:
		if e.At-s.pausedAt[m] > maxTolerablePause {
			s.longPauseEnd[m] = e.At
		}
		s.pausedAt[m] = notPaused
	case pathCut:
		s.cut[m][e.Other] = true
	case pathHealed:
		s.cut[m][e.Other] = false
	}
}

// paused reports whether an instance is paused.
func (s *clusterState) paused(m int) bool { return s.pausedAt[m] >= 0 }

// pausedTooLong reports whether an instance is or was paused for so long that it may be considered failed.
func (s *clusterState) pausedTooLong(m int, now time.Duration) bool {
	return s.paused(m) && now-s.pausedAt[m] > maxTolerablePause || now-s.longPauseEnd[m] < settledAfter
}

// reachable reports whether most of the other live instances reach an instance, in both directions.
func (s *clusterState) reachable(m int) bool {
	others, reaching := 0, 0
	for i := range s.live {
		if i == m || !s.live[i] {
			continue
		}
		others++
		if !s.cut[i][m] && !s.cut[m][i] && !s.paused(i) {
			reaching++
		}
	}
	return 2*reaching > others
}
