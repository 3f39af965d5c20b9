package experiment

import (
	"slices"
	"testing"
	"time"

	"cottonplank/internal/cluster/membership"
)

const second = time.Second

// memberEvent returns an event that concerns only an instance's process.
func memberEvent(at time.Duration, kind membershipEventKind, member int) membershipEvent {
	return membershipEvent{At: at, Kind: kind, Member: member}
}

// pathEvent returns an event of the path between two instances.
func pathEvent(at time.Duration, kind membershipEventKind, from, to int) membershipEvent {
	return membershipEvent{At: at, Kind: kind, Member: from, Other: to}
}

// reported returns the event that an instance has reported a state of another.
func reported(at time.Duration, member, other int, state membership.State) membershipEvent {
	return membershipEvent{At: at, Kind: memberReported, Member: member, Other: other, State: state}
}

// polled returns the event of a poll of an instance's metrics.
func polled(at time.Duration, member, alive, size int, version uint64) membershipEvent {
	return membershipEvent{At: at, Kind: memberPolled, Member: member, Alive: alive, Size: size, Version: version}
}

// correctRun returns the events of a run of five instances that behave correctly. Instance 4 is killed at 20 s, which
// is detected at 27 s. Instance 3 is stopped gracefully at 40 s, which is detected at 41 s.
func correctRun() (events []membershipEvent) {
	for i := range 5 {
		events = append(events, memberEvent(0, memberStarted, i))
	}
	events = append(events,
		memberEvent(20*second, memberKilled, 4),
		memberEvent(40*second, memberStopped, 3),
		membershipEvent{At: 45 * second, Kind: faultsEnded})
	for i := range 4 {
		events = append(events, reported(27*second, i, 4, membership.Failed))
	}
	for i := range 3 {
		events = append(events, reported(41*second, i, 3, membership.Left), polled(50*second, i, 3, 5, 9))
	}
	return events
}

// falseReport is the report of instance 0 that instance 1 has failed, which is false unless other events excuse it.
var falseReport = reported(35*second, 0, 1, membership.Failed)

// A correct run has no violations, and the times until the kill and the shutdown are detected are measured. The run has
// no reports of suspicion, so the test does not check Suspect.
func TestMembershipCheckerOnCorrectRun(t *testing.T) {
	f := checkMembership(5, correctRun())
	if len(f.FalseFailed) > 0 || f.SizeBelowLive > 0 || f.ViewRegressions > 0 || f.Agree > 0 {
		t.Errorf("%+v", f)
	}
	if !slices.Equal(f.Detect, []float64{7000}) || !slices.Equal(f.Leave, []float64{1000}) {
		t.Errorf("kill detected after %v ms, want 7000; shutdown after %v ms, want 1000", f.Detect, f.Leave)
	}
}

// The checker finds each violation that is added to the events of a correct run.
func TestMembershipCheckerFindsViolations(t *testing.T) {
	falseFailed := func(f membershipFindings) bool { return len(f.FalseFailed) == 1 }
	notDetected := func(f membershipFindings) bool { return len(f.Detect) == 2 && f.Detect[1] == notDetectedMs }
	for name, v := range map[string]struct {
		events []membershipEvent
		found  func(membershipFindings) bool
	}{
		"a live instance is reported failed": {[]membershipEvent{falseReport}, falseFailed},
		"an instance that was paused for 5 s is reported failed": {
			[]membershipEvent{
				memberEvent(29*second, memberPaused, 1), memberEvent(34*second, memberResumed, 1), falseReport,
			},
			falseFailed,
		},
		"an instance that one other cannot reach is reported failed": {
			[]membershipEvent{pathEvent(5*second, pathCut, 0, 1), falseReport},
			falseFailed,
		},
		"a fleet size below the number of live instances": {
			[]membershipEvent{polled(30*second, 1, 4, 3, 1)},
			func(f membershipFindings) bool { return f.SizeBelowLive == 1 },
		},
		"a view version that goes down": {
			[]membershipEvent{polled(51*second, 1, 3, 5, 8)},
			func(f membershipFindings) bool { return f.ViewRegressions == 1 },
		},
		"an instance with a wrong number of live instances after the last fault": {
			[]membershipEvent{polled(60*second, 1, 4, 5, 10)},
			func(f membershipFindings) bool { return f.Agree == 15000 },
		},
		"a kill not detected by an instance that is cut off only after the objective": {
			[]membershipEvent{
				memberEvent(21*second, memberKilled, 2),
				reported(28*second, 0, 2, membership.Failed),
				reported(28*second, 1, 2, membership.Failed),
				pathEvent(34*second, pathCut, 0, 3),
				pathEvent(34*second, pathCut, 1, 3),
			},
			notDetected,
		},
		"a kill that no instance detects": {[]membershipEvent{memberEvent(21*second, memberKilled, 2)}, notDetected},
	} {
		t.Run(name, func(t *testing.T) {
			if f := checkMembership(5, append(correctRun(), v.events...)); !v.found(f) {
				t.Errorf("%+v", f)
			}
		})
	}
}

// Reports of a failure of an instance that was paused too long, was cut off or has just started, and missing reports of
// disturbed instances, are not findings.
func TestMembershipCheckerAllowsTrueReports(t *testing.T) {
	for name, events := range map[string][]membershipEvent{
		"an instance paused for 9 s is reported failed": {
			memberEvent(25*second, memberPaused, 1), memberEvent(34*second, memberResumed, 1), falseReport,
		},
		"an instance cut off from all others is reported failed": {
			pathEvent(20*second, pathCut, 0, 1),
			pathEvent(20*second, pathCut, 2, 1),
			pathEvent(20*second, pathCut, 3, 1),
			falseReport,
		},
		"a kill not detected by an instance that is cut off before the objective": {
			memberEvent(21*second, memberKilled, 2),
			reported(28*second, 0, 2, membership.Failed),
			reported(28*second, 1, 2, membership.Failed),
			pathEvent(30*second, pathCut, 0, 3),
			pathEvent(30*second, pathCut, 1, 3),
		},
		"an instance that has just started is reported failed": {
			memberEvent(28*second, memberKilled, 1), memberEvent(30*second, memberStarted, 1), falseReport,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := checkMembership(5, append(correctRun(), events...))
			if len(f.FalseFailed) > 0 || slices.Contains(f.Detect, notDetectedMs) {
				t.Errorf("false reports of failure %+v, detection times %v", f.FalseFailed, f.Detect)
			}
		})
	}
}
