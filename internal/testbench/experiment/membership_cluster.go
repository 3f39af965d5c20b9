package experiment

import (
	"slices"
	"time"
)

// notPaused is the value of clusterState.pausedAt for an instance that is not paused.
const notPaused = -1

// clusterState is the true state of the instances and the network paths between them, as the run has caused it.
type clusterState struct {
	live []bool
	// since holds the time at which each instance last started or, if it is not live, ended.
	since []time.Duration
	// pausedAt holds the time at which each instance was paused; notPaused if it is not paused.
	pausedAt []time.Duration
	// longPauseEnd holds the end of each instance's latest pause that was longer than maxTolerablePause; a time long
	// before the run if there was none.
	longPauseEnd []time.Duration
	// cut says whether the path from one instance, the first index, to another is cut.
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

// apply applies an event. Reports and polls of instances do not change the state.
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

// pausedTooLong reports whether an instance has been paused for longer than maxTolerablePause, or such a pause ended
// less than settledAfter ago. Others may consider it failed then.
func (s *clusterState) pausedTooLong(m int, now time.Duration) bool {
	return s.paused(m) && now-s.pausedAt[m] > maxTolerablePause || now-s.longPauseEnd[m] < settledAfter
}

// reachable reports whether more than half of the other live instances are not paused and have uncut paths to and from
// an instance.
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
