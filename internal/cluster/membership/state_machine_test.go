package membership

import (
	"errors"
	"testing"
	"time"
)

// A failed member that answers no probe must be declared failed after the suspicion timeout, and the divisors must
// count it until MaxPartitionDuration has passed.
func TestFailureIsConfirmed(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.fail("m03")
	h.expectState("m03", Suspect)
	h.run(DefaultSuspicionTimeout + 2*time.Second)
	h.expectState("m03", Failed)
	if v := h.machine.View(); v.Divisors.Zone != 20 || v.Alive != 19 || v.Failed != 1 {
		t.Errorf("after a confirmed failure: divisor %d, %d alive, %d failed; want 20, 19, 1",
			v.Divisors.Zone, v.Alive, v.Failed)
	}
	h.run(DefaultMaxPartitionDuration)
	if got := h.divisors(); got.Zone != 19 || got.Cluster != 19 {
		t.Errorf("after MaxPartitionDuration: zone divisor %d, cluster divisor %d; want 19, 19", got.Zone, got.Cluster)
	}
}

// A faulty member can spread a false failure report. The report must not be confirmed if its subject refutes it
// within the suspicion timeout, even if this happens repeatedly.
func TestRefutedReportConfirmsNoFailure(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for range 20 {
		h.handle(FailureReported{"m03", peerIncarnation})
		h.run(2 * time.Second) // until the refutation arrives
		h.expectState("m03", Suspect)
		h.handle(MemberAlive{newMember("m03", peerIncarnation)})
		h.expectState("m03", Alive)
	}
}

// Two failed probes must confirm a failure before the suspicion timeout. A failed probe from before a pause of this
// process must not count: after the pause, m04 has only one.
func TestFailedProbesConfirmSooner(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.fail("m03", "m04")
	for _, name := range []string{"m03", "m03", "m04"} {
		h.handle(ProbeFailed{name})
	}
	h.run(2 * time.Second)
	h.expectState("m03", Failed)
	h.expectState("m04", Suspect)
	h.pause(5 * time.Second)
	h.handle(Tick{})
	h.handle(ProbeFailed{"m04"})
	h.run(2 * time.Second)
	h.expectState("m04", Suspect)
}

// A suspect that answers this instance's probes must not be declared failed, even if the failure detector's report is
// not refuted.
func TestRespondingSuspectIsNotConfirmed(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.handle(FailureReported{"m03", peerIncarnation})
	h.run(time.Minute)
	h.expectState("m03", Suspect)
}

// After a pause of this process all timers of the failure detector expire at once, so that it may report members that
// are alive. No failure may be confirmed before respondersAfterPause peers have answered probes.
func TestProcessPauseConfirmsNoFailure(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.pause(9 * time.Second)
	h.fail("m01", "m02")
	h.handle(Tick{})
	unresponsive := h.unresponsive
	h.unresponsive = map[string]bool{}
	for _, name := range h.peers {
		h.unresponsive[name] = true // no answer has arrived yet
	}
	h.run(DefaultSuspicionTimeout + 2*time.Second)
	h.expectState("m01", Suspect)
	h.unresponsive = unresponsive
	h.run(DefaultSuspicionTimeout + 2*time.Second)
	h.expectState("m01", Failed)
}

// A suspicion that began before a pause of this process must start over after the pause. Otherwise the answers that
// were queued during the pause would be read at once and confirm the failure, because the suspicion timeout has
// passed.
func TestProcessPauseRestartsOlderSuspicions(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.fail("m01")
	h.run(time.Second)
	h.pause(6 * time.Second)
	h.handle(Tick{})
	h.answerProbes(h.peers[2:])
	h.machine.Handle(h.now+TickInterval, Tick{})
	h.expectState("m01", Suspect)
}

// An instance whose network fails gets no answers, and its failure detector reports every other member. It must
// recognize its isolation, declare no member failed and keep its divisor. After the network recovers, it must be
// admitted as before.
func TestIsolatedInstanceConfirmsNoFailureAndKeepsDivisor(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for _, name := range h.peers {
		h.unresponsive[name] = true
	}
	h.run(DefaultIsolationTimeout + time.Second)
	if !h.machine.View().Isolated {
		t.Error("the instance is not isolated although no peer answers")
	}
	for _, name := range h.peers {
		h.fail(name)
		h.run(time.Second)
	}
	h.run(3 * time.Minute)
	if v := h.machine.View(); v.Failed != 0 || v.Divisors.Zone != 20 {
		t.Errorf("during the isolation: %d failed, divisor %d; want 0, 20", v.Failed, v.Divisors.Zone)
	}
	for _, name := range h.peers {
		h.recover(name)
	}
	h.run(2*DefaultDetectionTime + 2*time.Second)
	if v := h.machine.View(); v.Isolated || v.Partitioned || !v.Divisors.Admitted || v.Divisors.Zone != 20 {
		t.Errorf("after the isolation: isolated %v, partitioned %v, divisors %+v; want false, false, 20 and admitted",
			v.Isolated, v.Partitioned, v.Divisors)
	}
}

// During a partition the lost members must stay counted and must not be declared failed, because they may be alive on
// the other side. After MaxPartitionDuration the divisor must count only the remaining members.
func TestPartitionKeepsDivisorUntilMaxDuration(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for i := range 9 {
		h.fail(h.peers[i])
		h.run(500 * time.Millisecond)
	}
	h.run(10 * time.Minute)
	v := h.machine.View()
	if !v.Partitioned || v.Failed != 0 || v.Divisors.Zone != 20 || !v.Divisors.Admitted {
		t.Errorf("during the partition: partitioned %v, %d failed, divisors %+v; want true, 0, 20 and admitted",
			v.Partitioned, v.Failed, v.Divisors)
	}
	h.run(DefaultMaxPartitionDuration)
	v = h.machine.View()
	if v.Partitioned || v.Failed != 0 || len(v.Members) != 11 || v.Divisors.Zone != 11 {
		t.Errorf("after MaxPartitionDuration: partitioned %v, %d failed, %d members, divisor %d; want false, 0, 11, 11",
			v.Partitioned, v.Failed, len(v.Members), v.Divisors.Zone)
	}
}

// A planned stop must take effect without a suspicion, and a later failure report must not change it. The divisor
// must count the member for another DetectionTime, until all members have been informed.
func TestPlannedStopIsAppliedAtOnce(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.handle(MemberLeft{"m07", peerIncarnation})
	h.expectState("m07", Left)
	h.run(DefaultDetectionTime - time.Second)
	if got := h.divisors().Zone; got != 20 {
		t.Errorf("divisor is %d within the detection time after a planned stop, want 20", got)
	}
	h.handle(FailureReported{"m07", peerIncarnation})
	h.expectState("m07", Left)
	h.run(2 * time.Second)
	if got := h.divisors().Zone; got != 19 {
		t.Errorf("divisor is %d after a planned stop and the detection time, want 19", got)
	}
	h.handle(MemberAlive{newMember("m07", peerIncarnation+1)}) // a new process
	h.expectState("m07", Alive)
}

// Delayed messages about an earlier process of a member must not affect its current process. A description from the
// future must not be stored, because later processes of the member would then be ignored.
func TestStaleAndFutureIncarnationsAreIgnored(t *testing.T) {
	h := newConvergedHarness(t, 3)
	current := uint64((wallClock + h.now) / time.Millisecond)
	future := current + 2*uint64(maxClockSkew/time.Millisecond)
	h.handle(MemberAlive{newMember("m01", current)})
	for _, c := range []struct {
		name  string
		event Event
	}{
		{"stale description", MemberAlive{newMember("m01", peerIncarnation)}},
		{"stale failure report", FailureReported{"m01", peerIncarnation}},
		{"stale planned stop", MemberLeft{"m01", peerIncarnation}},
		{"description from the future", MemberAlive{newMember("m01", future)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if h.machine.Handle(h.now, c.event) {
				t.Errorf("%#v changed the view", c.event)
			}
		})
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for _, c := range []struct {
		key string
		cfg Config
	}{
		{"name", Config{}},
		{"partition_part", Config{Self: Member{Name: "x"}, PartitionFraction: 0.6}},
		{"partition_hold_s", Config{Self: Member{Name: "x"}, MaxPartitionDuration: time.Second}},
	} {
		t.Run(c.key, func(t *testing.T) {
			_, err := New(c.cfg)
			if configError := (*ConfigError)(nil); !errors.As(err, &configError) || configError.Key != c.key {
				t.Errorf("New(%+v) returned error %v, want a ConfigError with key %s", c.cfg, err, c.key)
			}
		})
	}
}
