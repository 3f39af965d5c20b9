package membership

import (
	"fmt"
	"testing"
	"time"
)

// A process that starts on one side of a partition must not be admitted before the partition heals, because the
// instances on the other side do not count it yet. Otherwise the shares of both sides would exceed the budget.
func TestNewProcessIsNotAdmittedDuringPartition(t *testing.T) {
	h := newHarness(t, testConfig())
	for i := range 10 { // these announce a divisor of 21: they also count ten members beyond the partition and "self"
		member := newMember(fmt.Sprintf("m%02d", i), peerIncarnation)
		member.Divisor = 21
		h.addPeer(member)
	}
	h.run(10 * time.Minute)
	if got := h.divisors(); got.Admitted || got.Zone != 21 {
		t.Errorf("admitted %v with divisor %d during a partition, want false, 21", got.Admitted, got.Zone)
	}
	for i := range 10 {
		h.addPeer(newMember(fmt.Sprintf("far%02d", i), peerIncarnation))
	}
	h.run(time.Second)
	if got := h.divisors(); !got.Admitted || got.Zone != 21 {
		t.Errorf("admitted %v with divisor %d after a partition, want true, 21", got.Admitted, got.Zone)
	}
}

// A member that repeatedly fails and recovers must stay counted. Otherwise each failure and each recovery would change
// the shares of the other instances.
func TestFlappingMemberDoesNotChangeDivisor(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for range 30 {
		h.fail("m05")
		h.run(8 * time.Second)
		h.recover("m05")
		h.run(8 * time.Second)
		if got := h.divisors().Zone; got != 20 {
			t.Fatalf("divisor is %d while a member flaps, want 20", got)
		}
	}
}

// A new instance that joins a converged cluster must not use a share of a budget before the other members count it.
// Otherwise the shares would temporarily exceed the budget.
func TestNewInstanceIsAdmittedOnceCounted(t *testing.T) {
	h := newHarness(t, testConfig())
	h.run(5 * time.Second)
	if h.divisors().Admitted {
		t.Error("the instance is admitted without contact to any member")
	}
	for i := range 19 {
		h.addPeer(newMember(fmt.Sprintf("m%02d", i), peerIncarnation))
	}
	h.run(DefaultDetectionTime - time.Second)
	if h.divisors().Admitted {
		t.Error("the instance is admitted before the other members count it")
	}
	h.run(3 * time.Second)
	if !h.divisors().Admitted {
		t.Error("the instance is not admitted after the detection time")
	}
}

// Only the instances of a zone share the zone's budget. Instances of other zones must not increase the zone's
// divisor, nor delay the admission of a new instance.
func TestZonesHaveSeparateDivisors(t *testing.T) {
	cfg := testConfig()
	cfg.FleetSize = 30
	cfg.ZoneSize = 10
	h := newHarness(t, cfg)
	zones := []string{"a", "b", "c"}
	for i := range 29 {
		zone := zones[(i+1)%len(zones)]
		h.addPeer(Member{Name: fmt.Sprintf("m%02d", i), Zone: zone, Incarnation: peerIncarnation})
	}
	h.run(2 * DefaultDetectionTime)
	if got := h.divisors(); got.Cluster != 30 || got.Zone != 10 || !got.Converged || !got.Admitted {
		t.Errorf("divisors are %+v, want 30 for the cluster and 10 for the zone, converged and admitted", got)
	}
}

// An instance without configured peers must be admitted at once. It would wait forever for contact to a peer.
func TestStandaloneInstanceIsAdmittedAtOnce(t *testing.T) {
	cfg := testConfig()
	cfg.FleetSize = 1
	cfg.Standalone = true
	h := newHarness(t, cfg)
	h.run(TickInterval)
	if got := h.divisors(); got.Cluster != 1 || got.Zone != 1 || !got.Converged || !got.Admitted {
		t.Errorf("divisors are %+v, want 1 for the cluster and the zone, converged and admitted", got)
	}
}
