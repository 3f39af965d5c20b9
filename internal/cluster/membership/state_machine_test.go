package membership

import (
	"errors"
	"testing"
	"time"
)

func TestFailureIsConfirmed(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.fail("m03")
	h.expectState("m03", Suspect)
	h.run(DefaultSuspicionTimeout + 2*time.Second)
	h.expectState("m03", Failed)
	if v := h.machine.View(); v.Divisors.Zone != 20 || v.Alive != 19 || v.Failed != 1 {
		t.Errorf("divisor %d, alive %d, failed %d right after a failure, want 20, 19, 1",
			v.Divisors.Zone, v.Alive, v.Failed)
	}
	h.run(DefaultMaxPartitionDuration)
	if got := h.divisors(); got.Zone != 19 || got.Cluster != 19 {
		t.Errorf("divisors %d and %d long after a failure, want 19", got.Zone, got.Cluster)
	}
}

// The subject of a false report, as a faulty member can make one, refutes it before it is confirmed.
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

// Failed probes confirm a failure before the suspicion timeout; those before a pause of the own process do not count.
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

// A suspect that answers this instance's own probes is not confirmed, whatever the failure detector reports.
func TestRespondingSuspectIsNotConfirmed(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.handle(FailureReported{"m03", peerIncarnation})
	h.run(time.Minute)
	h.expectState("m03", Suspect)
}

// After a pause of the own process the failure detector reports failures, because all its timers are due at once.
// They are confirmed only after a round of probes was answered.
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

// The suspicion of a failure that was reported before the pause starts over, even where the answers that were queued
// during the pause are read at once.
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

func TestIsolatedInstanceConfirmsNoFailureAndKeepsDivisor(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for _, name := range h.peers {
		h.unresponsive[name] = true
	}
	h.run(DefaultIsolationTimeout + time.Second)
	if !h.machine.View().Isolated {
		t.Error("not isolated though no peer answers")
	}
	for _, name := range h.peers {
		h.fail(name)
		h.run(time.Second)
	}
	h.run(3 * time.Minute)
	if v := h.machine.View(); v.Failed != 0 || v.Divisors.Zone != 20 {
		t.Errorf("isolated: %d failed, divisor %d; want 0, 20", v.Failed, v.Divisors.Zone)
	}
	for _, name := range h.peers {
		h.recover(name)
	}
	h.run(2*DefaultDetectionTime + 2*time.Second)
	if v := h.machine.View(); v.Isolated || v.Partitioned || !v.Divisors.Admitted || v.Divisors.Zone != 20 {
		t.Errorf("after its return: isolated %v, partitioned %v, divisors %+v", v.Isolated, v.Partitioned, v.Divisors)
	}
}

func TestPartitionKeepsDivisorUntilMaxDuration(t *testing.T) {
	h := newConvergedHarness(t, 19)
	for i := range 9 {
		h.fail(h.peers[i])
		h.run(500 * time.Millisecond)
	}
	h.run(10 * time.Minute)
	v := h.machine.View()
	if !v.Partitioned || v.Failed != 0 || v.Divisors.Zone != 20 || !v.Divisors.Admitted {
		t.Errorf("partitioned %v, failed %d, divisors %+v; want true, 0, 20 and admitted",
			v.Partitioned, v.Failed, v.Divisors)
	}
	h.run(DefaultMaxPartitionDuration)
	v = h.machine.View()
	if v.Partitioned || v.Failed+len(v.Members) != 11 || v.Divisors.Zone != 11 {
		t.Errorf("afterwards: partitioned %v, failed %d, %d members, divisor %d; want false, 0, 11, 11",
			v.Partitioned, v.Failed, len(v.Members), v.Divisors.Zone)
	}
}

func TestPlannedStopIsAppliedAtOnce(t *testing.T) {
	h := newConvergedHarness(t, 19)
	h.handle(MemberLeft{"m07", peerIncarnation})
	h.expectState("m07", Left)
	h.run(DefaultDetectionTime - time.Second)
	if got := h.divisors().Zone; got != 20 {
		t.Errorf("divisor %d before all members know of a planned stop, want 20", got)
	}
	h.handle(FailureReported{"m07", peerIncarnation})
	h.expectState("m07", Left)
	h.run(2 * time.Second)
	if got := h.divisors().Zone; got != 19 {
		t.Errorf("divisor %d after a planned stop, want 19", got)
	}
	h.handle(MemberAlive{newMember("m07", peerIncarnation+1)}) // a new process
	h.expectState("m07", Alive)
}

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
				t.Errorf("%+v: error %v, want one on %s", c.cfg, err, c.key)
			}
		})
	}
}
