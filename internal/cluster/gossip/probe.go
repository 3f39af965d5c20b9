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
	// maxSuspectProbes is the maximum number of suspects that are probed in a round.
	maxSuspectProbes = 4
	// maxAliveProbes is the maximum number of live members that are probed in a round while there are suspects.
	maxAliveProbes = 4
	// sampledInstances is the average number of instances in the whole cluster that probe one failed member each in a
	// round. It also sets the probability with which an instance joins a suspect or failed member that answers a probe.
	sampledInstances = 20
)

// probe starts a round of probes, unless the previous round is still under way. A probe checks that datagrams to and
// from a member arrive. Each round probes one live member (several while there are suspects), some suspects and, on a
// random sample of the instances, one failed member.
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
		aliveProbes = maxAliveProbes // a failure is confirmed only after other members have answered
	}
	targets := sampleMembers(view.Members, self, membership.Alive, aliveProbes)
	targets = append(targets, sampleMembers(view.Members, self, membership.Suspect, maxSuspectProbes)...)
	if s.isSampled() {
		targets = append(targets, sampleMembers(view.Members, self, membership.Failed, 1)...)
	}
	return targets
}

// probeMember probes a member. If a suspect or failed member answers, a random sample of the instances joins it. The
// join exchanges states, so the member receives the failure report and refutes it. It may be called from any goroutine.
func (s *session) probeMember(member membership.Member) {
	answered := s.ping(member.Name, member.Address)
	switch {
	case !answered:
		s.events.push(membership.ProbeFailed{Name: member.Name})
	case member.State != membership.Alive && s.isSampled():
		s.join([]string{member.Address})
	}
}

// ping sends one probe and reports whether the member answers it. It may be called from any goroutine.
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

// isSampled draws at random whether this instance performs an action that only about sampledInstances instances of
// the whole cluster need to perform. It may be called from any goroutine.
func (s *session) isSampled() bool {
	return rand.IntN(max(1, s.cluster.aliveCount())) < sampledInstances
}

// sampleMembers draws up to limit members in the given state, except self, with equal probability (reservoir
// sampling).
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
