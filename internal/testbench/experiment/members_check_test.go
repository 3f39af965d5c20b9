package experiment

import (
	"slices"
	"testing"
	"time"

	"cottonplank/internal/cluster/membership"
)

const second = time.Second

// soundRun is five instances, of which the last is killed at 20 s, found at 27 s, and the fourth stops at 40 s.
func soundRun() (events []memberEvent) {
	for i := range 5 {
		events = append(events, memberEvent{Kind: memberStarted, Member: i})
	}
	events = append(events, memberEvent{At: 20 * second, Kind: memberKilled, Member: 4}, memberEvent{At: 40 * second, Kind: memberStopped, Member: 3},
		memberEvent{At: 45 * second, Kind: faultsEnded})
	for i := range 4 {
		events = append(events, memberEvent{At: 27 * second, Kind: memberReported, Member: i, Other: 4, State: membership.Failed})
		if i < 3 {
			events = append(events, memberEvent{At: 41 * second, Kind: memberReported, Member: i, Other: 3, State: membership.Left},
				memberEvent{At: 50 * second, Kind: memberPolled, Member: i, Alive: 3, Size: 5, Version: 9})
		}
	}
	return events
}

func TestCheckerTakesASoundRun(t *testing.T) {
	f := checkMembers(5, soundRun())
	if len(f.FalseFailed) > 0 || f.SizeBelowLive > 0 || f.ViewsBack > 0 || f.Agree > 0 || len(f.Detect) != 1 || f.Detect[0] != 7000 ||
		len(f.Left) != 1 || f.Left[0] != 1000 {
		t.Errorf("%+v", f)
	}
}

// The checker finds each fault that is planted in a sound run.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	failed := memberEvent{At: 35 * second, Kind: memberReported, Member: 0, Other: 1, State: membership.Failed}
	for name, c := range map[string]struct {
		add   []memberEvent
		found func(memberFindings) bool
	}{
		"a live one is reported failed": {[]memberEvent{failed}, func(f memberFindings) bool { return len(f.FalseFailed) == 1 }},
		"one that was stopped for 5 s is": {[]memberEvent{{At: 29 * second, Kind: memberPaused, Member: 1}, {At: 34 * second, Kind: memberResumed, Member: 1}, failed},
			func(f memberFindings) bool { return len(f.FalseFailed) == 1 }},
		"one that a single other cannot reach is": {[]memberEvent{{At: 5 * second, Kind: pathCut, Member: 0, Other: 1}, failed},
			func(f memberFindings) bool { return len(f.FalseFailed) == 1 }},
		"a size below the live ones": {[]memberEvent{{At: 30 * second, Kind: memberPolled, Member: 1, Alive: 4, Size: 3, Version: 1}},
			func(f memberFindings) bool { return f.SizeBelowLive == 1 }},
		"a view that goes back": {[]memberEvent{{At: 51 * second, Kind: memberPolled, Member: 1, Alive: 3, Size: 5, Version: 8}},
			func(f memberFindings) bool { return f.ViewsBack == 1 }},
		"one that agrees late": {[]memberEvent{{At: 60 * second, Kind: memberPolled, Member: 1, Alive: 4, Size: 5, Version: 10}},
			func(f memberFindings) bool { return f.Agree == 15000 }},
		"a kill that one does not find, which is cut off only after its time": {[]memberEvent{{At: 21 * second, Kind: memberKilled, Member: 2},
			{At: 28 * second, Kind: memberReported, Member: 0, Other: 2, State: membership.Failed}, {At: 28 * second, Kind: memberReported, Member: 1, Other: 2, State: membership.Failed},
			{At: 34 * second, Kind: pathCut, Member: 0, Other: 3}, {At: 34 * second, Kind: pathCut, Member: 1, Other: 3}},
			func(f memberFindings) bool { return len(f.Detect) == 2 && f.Detect[1] == notDetected }},
		"a kill that one does not find": {[]memberEvent{{At: 21 * second, Kind: memberKilled, Member: 2}},
			func(f memberFindings) bool { return len(f.Detect) == 2 && f.Detect[1] == notDetected }},
	} {
		if f := checkMembers(5, append(soundRun(), c.add...)); !c.found(f) {
			t.Errorf("%s: %+v", name, f)
		}
	}
}

// What an instance may rightly say is no fault.
func TestCheckerAllowsWhatIsTrue(t *testing.T) {
	failed := memberEvent{At: 35 * second, Kind: memberReported, Member: 0, Other: 1, State: membership.Failed}
	for name, add := range map[string][]memberEvent{
		"stopped for 9 s": {{At: 25 * second, Kind: memberPaused, Member: 1}, {At: 34 * second, Kind: memberResumed, Member: 1}, failed},
		"cut off from all": {{At: 20 * second, Kind: pathCut, Member: 0, Other: 1}, {At: 20 * second, Kind: pathCut, Member: 2, Other: 1},
			{At: 20 * second, Kind: pathCut, Member: 3, Other: 1}, failed},
		"of a kill that one cannot tell of, which is cut off before its time": {{At: 21 * second, Kind: memberKilled, Member: 2},
			{At: 28 * second, Kind: memberReported, Member: 0, Other: 2, State: membership.Failed}, {At: 28 * second, Kind: memberReported, Member: 1, Other: 2, State: membership.Failed},
			{At: 30 * second, Kind: pathCut, Member: 0, Other: 3}, {At: 30 * second, Kind: pathCut, Member: 1, Other: 3}},
		"just started": {{At: 28 * second, Kind: memberKilled, Member: 1}, {At: 30 * second, Kind: memberStarted, Member: 1}, failed},
	} {
		f := checkMembers(5, append(soundRun(), add...))
		if len(f.FalseFailed) > 0 || slices.Contains(f.Detect, notDetected) {
			t.Errorf("%s: %+v, %v", name, f.FalseFailed, f.Detect)
		}
	}
}
