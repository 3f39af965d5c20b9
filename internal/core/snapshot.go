package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cottonplank/decide"
)

// ClassCounters count what came of the requests of one class since the start.
type ClassCounters struct {
	Served, Refused, Failed uint64 // final answers; a connection that stands again counts as served
	Attempts                uint64 // first lines that were written whole to a room server
}

// Counters count since the start.
type Counters struct {
	Malformed     uint64 // first lines that name no class; answered as failed
	Reopened      uint64 // connections that were open before the start and stand again
	Left          uint64 // clients that left before their answer
	Moves, Probes uint64
	Shed          uint64 // channels dropped for their descriptor
	Silent        uint64 // standing connections whose server went silent
	Lists         uint64 // whole lists received
	ResumeCounters
}

// ResumeCounters count what came of sessions that go on with a token.
type ResumeCounters struct {
	Given       uint64            // tokens
	Unsealed    uint64            // tokens that could not be given, as no key seals
	Resumed     uint64            // requests that went on from where their session was
	StartedOver map[Reason]uint64 // those that could not
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
	ClassCounters // of all classes together
	Counters
	Classes     []ClassCounters // by class, as the settings order them
	Service     Service
	Generation  uint64 // of the configuration in force; 0: not told
	Resumes     bool   // sessions go on with a token
	At          time.Time
	Started     time.Time
	ListAt      time.Time // when the list last changed or was confirmed
	Open        int       // channels
	Waiting     int       // requests without a final answer
	Standing    int       // connections that stand
	Listed      int       // room servers in the list
	Avoided     int       // of these, the ones that get nothing new now
	Subchannels []SubchannelRow
}

// Snapshot returns the latest published snapshot.
func (m *Module) Snapshot() *Snapshot { return m.snapshot.Load() }

func (m *Module) publishLater() {
	m.publish()
	m.deadlines.set(m.now+snapshotEvery, m.publishLater)
}

func (m *Module) publish() {
	s := &Snapshot{Counters: m.counters, Classes: slices.Clone(m.classes), Service: m.service, Generation: m.generation, Resumes: m.cfg.StateWait > 0, At: m.wall(m.now),
		Started: m.epoch, ListAt: m.wall(m.listAt), Open: len(m.open), Waiting: m.waiting, Standing: m.standing}
	s.StartedOver = maps.Clone(s.StartedOver)
	for _, c := range m.classes {
		s.Served += c.Served
		s.Refused += c.Refused
		s.Failed += c.Failed
		s.Attempts += c.Attempts
	}
	s.Failed += s.Malformed
	for _, sub := range m.subchannels {
		if sub.state != decide.Gone {
			s.Listed++
			if sub.state == decide.Draining || m.balancer.Avoids(sub.ID) {
				s.Avoided++
			}
		}
		if sub.state != decide.Gone || sub.open > 0 {
			s.Subchannels = append(s.Subchannels, SubchannelRow{sub.Subchannel, sub.zone, sub.state, sub.open,
				sub.attempts, sub.load})
		}
	}
	slices.SortFunc(s.Subchannels, func(a, b SubchannelRow) int { return cmp.Compare(a.ID, b.ID) })
	m.snapshot.Store(s)
}

func (m *Module) wall(at time.Duration) time.Time { return m.epoch.Add(at - clockStart) }
