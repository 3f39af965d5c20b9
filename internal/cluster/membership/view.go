package membership

import (
	"cmp"
	"slices"
)

// View is an immutable snapshot of the state machine's state.
type View struct {
	// Version increases when any other field changes.
	Version uint64
	// Members lists all members, sorted by name, including the instance itself. The instance's own entry is Config.Self:
	// its Divisor and Incarnation are not updated.
	Members []Member
	// Alive counts the members in state Alive, including the instance itself.
	Alive int
	// Suspect counts the members in state Suspect.
	Suspect int
	// Failed counts the members in state Failed.
	Failed int
	// Isolated reports that no other member has answered a probe for Config.IsolationTimeout.
	Isolated bool
	// Partitioned reports that a large fraction of the cluster became unreachable at once, as in a network partition.
	// While it is set, no member is declared failed.
	Partitioned bool
	// Divisors are the numbers by which shared budgets are divided.
	Divisors BudgetDivisors
}

// BudgetDivisors are the numbers by which budgets that several instances share are divided.
type BudgetDivisors struct {
	// Cluster is the divisor of budgets that the whole cluster shares, such as polls of service discovery.
	Cluster int
	// Zone is the divisor of budgets that the instances of one zone share, such as the slow-start budget of a room
	// server.
	Zone int
	// Admitted reports that the instance may use its share of the zone's budget. A new process may not use it until all
	// other instances count the process in their divisors, except while the whole cluster starts (see quota.update).
	Admitted bool
	// Converged reports that all other instances of the zone count this one. Once set, it stays set. The instance then
	// announces Zone as Member.Divisor.
	Converged bool
}

// View returns the current view. It builds the view on demand rather than with each event, because a large cluster
// produces many events at once.
func (m *StateMachine) View() *View {
	if m.viewStale || m.view == nil {
		m.viewStale = false
		m.viewVersion++
		m.view = m.buildView()
	}
	return m.view
}

func (m *StateMachine) buildView() *View {
	view := &View{
		Version:     m.viewVersion,
		Members:     []Member{m.cfg.Self},
		Alive:       1,
		Isolated:    m.isolated,
		Partitioned: m.partition.active,
		Divisors:    m.divisors(),
	}
	for _, p := range m.peers {
		view.Members = append(view.Members, p.Member)
		switch p.State {
		case Alive:
			view.Alive++
		case Suspect:
			view.Suspect++
		case Failed:
			view.Failed++
		}
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return view
}
