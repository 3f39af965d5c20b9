package decide

import "time"

// maxImportedLoadPerConnection bounds the load of one connection that is imported: a full server has several.
const maxImportedLoadPerConnection = 1

// LearnedState is what a balancer knows of a server beyond the list, for the replacement process on the same machine.
type LearnedState struct {
	Server              ServerID      `json:"server"`
	Load                float64       `json:"load"`   // latest reported load over capacity
	Age                 time.Duration `json:"age"`    // age of that report; below 0: there is none
	LoadPerConnection   float64       `json:"each"`   // load of one connection there; 0: unknown
	ConsecutiveFailures int           `json:"streak"` // failures since the last success
	EjectedFor          time.Duration `json:"out"`    // rest of the ejection time; 0: not ejected
}

// ExportLearned returns what was learned of the listed servers. It changes nothing.
func (b *Balancer) ExportLearned() (states []LearnedState) {
	for _, s := range b.ready {
		state := LearnedState{
			Server:              s.ID,
			Load:                s.reportedLoad,
			Age:                 -1,
			LoadPerConnection:   s.loadPerConnection,
			ConsecutiveFailures: s.consecutiveFailures,
			EjectedFor:          max(s.ejectedUntil-b.now, 0),
		}
		if s.reportedAt > 0 {
			state.Age = b.now - s.reportedAt
		}
		states = append(states, state)
	}
	return states
}

// ImportLearned applies what the previous process has learned; it is called at the start. A server that fails looks
// idle, and without this all clients that come over would try it again. Invalid values are ignored.
func (b *Balancer) ImportLearned(states []LearnedState) {
	for _, state := range states {
		if s := b.servers[state.Server]; s != nil {
			b.importServer(s, state)
		}
	}
	b.reindexAll(b.ready)
}

func (b *Balancer) importServer(s *server, state LearnedState) {
	if state.ConsecutiveFailures > 0 && state.EjectedFor > 0 {
		s.consecutiveFailures = state.ConsecutiveFailures
		s.ejectedUntil = b.now + min(state.EjectedFor, maxEjectionTime)
	}
	if state.LoadPerConnection > 0 && state.LoadPerConnection < maxImportedLoadPerConnection {
		s.loadPerConnection = state.LoadPerConnection
	}
	if state.Age >= 0 && state.Age < maxReportAge && state.Load >= 0 {
		s.load, s.reportedLoad, s.reportedAt = state.Load, state.Load, b.now-state.Age
	}
}
