package decide

import "time"

// maxImportedLoadPerConnection is the limit that an imported load per connection must be below. One connection of this
// load would use the whole capacity of a server, and a server has more than one connection.
const maxImportedLoadPerConnection = 1

// LearnedState is a balancer's learned state of one server: measurements that the endpoint list does not contain. It
// is passed to the replacement process on the same machine.
type LearnedState struct {
	Server              ServerID      `json:"server"`
	Load                float64       `json:"load"`   // latest reported load, as a fraction of capacity
	Age                 time.Duration `json:"age"`    // age of that report; below 0: no report
	LoadPerConnection   float64       `json:"each"`   // load of one connection; 0: unknown
	ConsecutiveFailures int           `json:"streak"` // failed attempts and probes since the last successful attempt
	EjectedFor          time.Duration `json:"out"`    // remaining ejection time; 0: not ejected
}

// ExportLearned returns the learned state of all ready servers. It does not change the balancer.
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

// ImportLearned applies the learned state of the previous process. Without this state, all clients that reconnect to
// this process would be sent to a failing server again, as that server looks idle. The host calls ImportLearned after
// ListRestored, as servers that are not in the list yet are ignored. Some values are ignored too: negative ones, old
// load reports, too high loads of one connection, and ejections without failures, which a rejection caused.
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
