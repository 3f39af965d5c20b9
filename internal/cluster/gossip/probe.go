package gossip

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cottonplank/internal/cluster/membership"
)

const (
	// probeInterval is the time between two rounds of probes.
	probeInterval = time.Second
	// maxSuspectProbes bounds the suspects that are probed in a round.
	maxSuspectProbes = 4
	// maxAliveProbes bounds the live members that are probed in a round while there are suspects.
	maxAliveProbes = 4
	// sampledInstances is how many instances of the whole cluster, on average, probe a failed member or join one that
	// answers again, in a round.
	sampledInstances = 20
)

// probe starts a round of probes, which check that both directions to a member work. It probes one live member, or
// several while there are suspects, some suspects, and now and then a failed member.
func (s *session) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	targets := s.probeTargets()
	go func() {
		defer s.probing.Store(false)
		var probes sync.WaitGroup
		for _, target := range targets {
			probes.Go(func() { s.probeMember(target) })
		}
		probes.Wait()
	}()
}

func (s *session) probeTargets() []membership.Member {
	view, self := s.machine.View(), s.cluster.cfg.Settings.Name
	aliveProbes := 1
	if view.Suspect > 0 {
		aliveProbes = maxAliveProbes // a failure is confirmed only after others have answered
	}
	targets := sampleMembers(view.Members, self, membership.Alive, aliveProbes)
	targets = append(targets, sampleMembers(view.Members, self, membership.Suspect, maxSuspectProbes)...)
	if s.isSampled() {
		targets = append(targets, sampleMembers(view.Members, self, membership.Failed, 1)...)
	}
	return targets
}

// probeMember probes a member. It joins one that answers though it was reported as failed, so that the member learns
// of the report and refutes it.
func (s *session) probeMember(member membership.Member) {
	answered := s.ping(member.Name, member.Address)
	switch {
	case !answered:
		s.events.push(membership.ProbeFailed{Name: member.Name})
	case member.State != membership.Alive && s.isSampled():
		s.join([]string{member.Address})
	}
}

// ping reports whether a member answers. It may be called from any goroutine.
func (s *session) ping(name, address string) bool {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	if _, err := s.list.Ping(name, udpAddress); err != nil {
		return false
	}
	s.events.push(membership.ProbeSucceeded{Name: name})
	return true
}

// isSampled draws whether this instance does something that a few instances of the whole cluster are enough for.
func (s *session) isSampled() bool {
	return rand.IntN(max(1, s.cluster.aliveCount())) < sampledInstances
}

// sampleMembers draws at most limit of the other members in a state, each with the same chance (reservoir sampling).
func sampleMembers(members []membership.Member, self string, state membership.State, limit int) []membership.Member {
	var sample []membership.Member
	seen := 0
	for _, member := range members {
		if member.Name == self || member.State != state {
			continue
		}
		seen++
		if len(sample) < limit {
			sample = append(sample, member)
		} else if i := rand.IntN(seen); i < limit {
			sample[i] = member
		}
	}
	return sample
}
