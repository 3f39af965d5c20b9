package membership

import (
	"slices"
	"testing"
)

// Operators and experiments read the names of the states in log lines, so the names must not change.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left"} {
		if got := state.String(); got != want {
			t.Errorf("name of state %d is %q, want %q", state, got, want)
		}
	}
}

// A view must stay as it is when the state machine changes, because other goroutines read it. The next view must have
// the next version.
func TestViewIsImmutableAndVersioned(t *testing.T) {
	h := newHarness(t, testConfig())
	h.addPeer(newMember("z", peerIncarnation))
	before := h.machine.View()
	if h.machine.View() != before {
		t.Error("View returned a new view although nothing changed")
	}
	h.addPeer(newMember("b", peerIncarnation))
	after := h.machine.View()
	if len(before.Members) != 2 || after.Version != before.Version+1 {
		t.Errorf("earlier view has %d members, want 2; version is %d after %d, want an increase by 1",
			len(before.Members), after.Version, before.Version)
	}
	var names []string
	for _, member := range after.Members {
		names = append(names, member.Name)
	}
	if !slices.Equal(names, []string{"b", "self", "z"}) {
		t.Errorf("members are %q, want them sorted by name", names)
	}
}
