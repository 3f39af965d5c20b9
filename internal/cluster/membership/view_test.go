package membership

import (
	"slices"
	"testing"
)

// The names of the states are part of the log lines that operators and experiments read.
func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left"} {
		if got := state.String(); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
}

func TestViewIsImmutableAndVersioned(t *testing.T) {
	h := newHarness(t, testConfig())
	h.addPeer(newMember("z", peerIncarnation))
	before := h.machine.View()
	if h.machine.View() != before {
		t.Error("a new view without a change")
	}
	h.addPeer(newMember("b", peerIncarnation))
	after := h.machine.View()
	if len(before.Members) != 2 || after.Version != before.Version+1 {
		t.Errorf("%d members in the earlier view, version %d after %d", len(before.Members), after.Version, before.Version)
	}
	var names []string
	for _, member := range after.Members {
		names = append(names, member.Name)
	}
	if !slices.Equal(names, []string{"b", "self", "z"}) {
		t.Errorf("members %q, want them by name", names)
	}
}
