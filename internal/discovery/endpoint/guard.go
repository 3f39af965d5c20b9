package endpoint

// Decision is the outcome of proposing a list to a ChangeGuard.
type Decision uint8

// The possible decisions.
const (
	// Unchanged means that the proposed list equals the current one.
	Unchanged Decision = iota

	// Applied means that the proposed list has become the current one.
	Applied

	// NeedsConfirmation means that the proposed list removes or drains over half of the active (not draining)
	// endpoints of the current list. It is pending until the operator confirms it by requesting a reload of the same
	// list.
	NeedsConfirmation
)

// ChangeGuard protects the current list against accidental mass removals. It is not safe for concurrent use.
type ChangeGuard struct {
	current List
	pending *List // the last proposed list if it needs confirmation, otherwise nil
}

// NewChangeGuard returns a guard whose current list is first.
func NewChangeGuard(first List) *ChangeGuard { return &ChangeGuard{current: first} }

// Current returns the current list.
func (g *ChangeGuard) Current() List { return g.current }

// Propose decides whether a proposed list replaces the current list, and returns the change between the two.
// requested says that the operator requested a reload. A list that removes or drains over half of the active
// endpoints is applied only if it is requested and equals the pending list.
func (g *ChangeGuard) Propose(proposed List, requested bool) (Decision, Change) {
	change := Diff(g.current, proposed)
	if change.Empty() {
		g.pending = nil
		return Unchanged, change
	}
	confirmed := requested && g.pending != nil && Diff(*g.pending, proposed).Empty()
	if !confirmed && g.losesMajority(change) {
		g.pending = &proposed
		return NeedsConfirmation, change
	}
	g.current = proposed
	g.pending = nil
	return Applied, change
}

// losesMajority reports whether a change removes or drains over half of the current list's active endpoints.
func (g *ChangeGuard) losesMajority(change Change) bool {
	removed := make(map[string]bool, len(change.Removed))
	for _, name := range change.Removed {
		removed[name] = true
	}
	active := 0
	lost := len(change.Drained)
	for _, entry := range g.current.Entries {
		if entry.Drain {
			continue
		}
		active++
		if removed[entry.Name] {
			lost++
		}
	}
	return 2*lost > active
}
