package core

import (
	"cmp"
	"slices"
	"time"

	"cottonplank/decide"
)

// Counters count since the start.
type Counters struct {
	Served, Refused, Failed uint64 // final answers
	Reopened                uint64 // connections that were open before the start and stand again
	Left                    uint64 // clients that left before their answer
	Attempts, Moves, Probes uint64
	Shed                    uint64 // channels dropped for their descriptor
	Silent                  uint64 // standing connections whose server went silent
	Lists                   uint64 // whole lists received
}

// SubchannelRow is one room server in a snapshot.
type SubchannelRow struct {
	Subchannel
	Zone     string
	State    decide.State
	Open     int
	Attempts uint64
	Load     float64 // the latest reported load over capacity; below 0: none
}

// Snapshot is the module's state as it was when it was published; nobody changes it afterwards.
type Snapshot struct {
	Counters
	At          time.Time
	Started     time.Time
	ListAt      time.Time // when the list last changed or was confirmed
	Open        int       // channels
	Waiting     int       // requests without a final answer
	Subchannels []SubchannelRow
}

// Snapshot returns the latest published snapshot.
func (m *Module) Snapshot() *Snapshot { return m.snapshot.Load() }

func (m *Module) publishLater() {
	m.publish()
	m.deadlines.set(m.now+snapshotEvery, m.publishLater)
}

func (m *Module) publish() {
	s := &Snapshot{Counters: m.counters, At: m.wall(m.now), Started: m.epoch, ListAt: m.wall(m.listAt),
		Open: len(m.open), Waiting: m.waiting}
	for _, sub := range m.subchannels {
		if sub.state != decide.Gone || sub.open > 0 {
			s.Subchannels = append(s.Subchannels, SubchannelRow{sub.Subchannel, sub.zone, sub.state, sub.open,
				sub.attempts, sub.load})
		}
	}
	slices.SortFunc(s.Subchannels, func(a, b SubchannelRow) int { return cmp.Compare(a.ID, b.ID) })
	m.snapshot.Store(s)
}

func (m *Module) wall(at time.Duration) time.Time { return m.epoch.Add(at - clockStart) }
