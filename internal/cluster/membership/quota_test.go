package membership

import (
	"fmt"
	"testing"
	"time"
)

// A process that starts on one side of a partition is not admitted before the partition heals: the other side does
// not count it.
func TestNewProcessIsNotAdmittedDuringPartition(t *testing.T) {
	h := newHarness(t, testConfig())
	for i := range 10 { // these count 21: ten more beyond the partition, and this one
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

func TestFlappingMemberDoesNotChangeDivisor(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for range 30 {
		h.fail("m05")
		h.run(8 * time.Second)
		h.recover("m05")
		h.run(8 * time.Second)
		if got := h.divisors().Zone; got != 20 {
			t.Fatalf("divisor %d while a member flaps, want 20", got)
		}
	}
}

// A new instance beside a converged cluster uses no part of a budget before the others count it.
func TestNewInstanceIsAdmittedOnceCounted(t *testing.T) {
	h := newHarness(t, testConfig())
	h.run(5 * time.Second)
	if h.divisors().Admitted {
		t.Error("admitted without contact to any member")
	}
	for i := range 19 {
		h.addPeer(newMember(fmt.Sprintf("m%02d", i), peerIncarnation))
	}
	h.run(DefaultDetectionTime - time.Second)
	if h.divisors().Admitted {
		t.Error("admitted before the others count it")
	}
	h.run(3 * time.Second)
	if !h.divisors().Admitted {
		t.Error("not admitted after the detection time")
	}
}

// A zone's budget is shared by the instances of that zone: those of other zones neither count nor delay a start.
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
		t.Errorf("%+v, want 30 in the cluster, 10 in the zone, converged and admitted", got)
	}
}

// An instance without configured peers does not wait for any.
func TestStandaloneInstanceIsAdmittedAtOnce(t *testing.T) {
	cfg := testConfig()
	cfg.FleetSize = 1
	cfg.Standalone = true
	h := newHarness(t, cfg)
	h.run(TickInterval)
	if got := h.divisors(); got.Cluster != 1 || got.Zone != 1 || !got.Converged || !got.Admitted {
		t.Errorf("%+v, want divisors of 1, converged and admitted", got)
	}
}
