package endpoint

import "testing"

// A list that removes or drains over half of the active endpoints is not applied until the operator requests a reload
// of the same list while it is pending. This protects a fleet from an endpoint file that was truncated or is the
// wrong one.
func TestChangeGuard(t *testing.T) {
	guard := NewChangeGuard(listOf("a", "b", "c", "d"))
	for i, step := range []struct {
		proposed  List
		requested bool
		decision  Decision
		change    string
	}{
		{listOf("a", "b", "c", "d"), false, Unchanged, "nothing"},
		{listOf("a", "b", "c!", "d", "e"), false, Applied, "added e; drained c"}, // leaves four active endpoints
		{listOf("a", "b", "c", "d", "e"), false, Applied, "returned c"},
		{listOf("a", "b"), false, NeedsConfirmation, "removed c d e"},
		{listOf("a", "b"), false, NeedsConfirmation, "removed c d e"},
		{listOf("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"}, // differs from the pending list
		{listOf("a", "b", "c", "d", "e"), false, Unchanged, "nothing"},           // discards the pending list
		{listOf("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"},
		{listOf("a", "b!"), true, Applied, "drained b; removed c d e"},
		{listOf("b!"), true, NeedsConfirmation, "changed b; removed a"},
		{listOf("a"), false, Applied, "removed b"},
	} {
		decision, change := guard.Propose(step.proposed, step.requested)
		if decision != step.decision || change.String() != step.change {
			t.Errorf("step %d: got decision %d, change %q, want decision %d, change %q",
				i, decision, change, step.decision, step.change)
		}
	}
	if len(guard.Current().Entries) != 1 {
		t.Errorf("the current list is %+v, want one entry", guard.Current())
	}
}

// Removing over half of a long list needs a confirmation, removing exactly half does not.
func TestChangeGuardLongList(t *testing.T) {
	list := longList(20_000)
	guard := NewChangeGuard(list)
	if decision, _ := guard.Propose(List{list.Entries[:9_999]}, false); decision != NeedsConfirmation {
		t.Errorf("removing over half of the endpoints: got decision %d, want NeedsConfirmation", decision)
	}
	if decision, _ := guard.Propose(List{list.Entries[:10_000]}, false); decision != Applied {
		t.Errorf("removing half of the endpoints: got decision %d, want Applied", decision)
	}
}
