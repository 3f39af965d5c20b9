package endpoint

import "testing"

// A list that removes or drains over half of the active endpoints is applied only when the operator requests
// the same list twice. That protects a fleet from a file that was truncated or mixed up.
func TestChangeGuard(t *testing.T) {
	guard := NewChangeGuard(listOf("a", "b", "c", "d"))
	for i, step := range []struct {
		proposed  List
		requested bool
		decision  Decision
		change    string
	}{
		{listOf("a", "b", "c", "d"), false, Unchanged, "nothing"},
		{listOf("a", "b", "c!", "d", "e"), false, Apply, "added e; drained c"}, // 4 are active
		{listOf("a", "b", "c", "d", "e"), false, Apply, "returned c"},
		{listOf("a", "b"), false, NeedsConfirmation, "removed c d e"},
		{listOf("a", "b"), false, NeedsConfirmation, "removed c d e"},
		{listOf("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"}, // not the pending one
		{listOf("a", "b", "c", "d", "e"), false, Unchanged, "nothing"},           // clears the pending one
		{listOf("a", "b!"), true, NeedsConfirmation, "drained b; removed c d e"},
		{listOf("a", "b!"), true, Apply, "drained b; removed c d e"},
		{listOf("b!"), true, NeedsConfirmation, "changed b; removed a"},
		{listOf("a"), false, Apply, "removed b"},
	} {
		decision, change := guard.Propose(step.proposed, step.requested)
		if decision != step.decision || change.String() != step.change {
			t.Errorf("step %d: decision %d, %s, want %d, %s", i, decision, change, step.decision, step.change)
		}
	}
	if len(guard.Current().Entries) != 1 {
		t.Errorf("current list: %+v", guard.Current())
	}
}

// Exactly half of a long list may be removed without a confirmation.
func TestChangeGuardLongList(t *testing.T) {
	list := longList(20_000)
	guard := NewChangeGuard(list)
	if decision, _ := guard.Propose(List{list.Entries[:9_999]}, false); decision != NeedsConfirmation {
		t.Errorf("over half of the endpoints may be removed: %d", decision)
	}
	if decision, _ := guard.Propose(List{list.Entries[:10_000]}, false); decision != Apply {
		t.Errorf("half of the endpoints may not be removed: %d", decision)
	}
}
