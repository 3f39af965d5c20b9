package decide

import "time"

// LearnedState is what a balancer knows of a server beyond the list, for the one that takes over from it on this machine.
type LearnedState struct {
	Server              ServerID      `json:"server"`
	Load                float64       `json:"load"`   // latest reported
	Age                 time.Duration `json:"age"`    // of that report; below 0: there is none
	LoadPerConnection   float64       `json:"each"`   // load of one connection there; 0: unknown
	ConsecutiveFailures int           `json:"streak"` // failures since the last success
	EjectedFor          time.Duration `json:"out"`    // left out for so long yet
}

// ExportLearned tells what was learned of the listed servers. It looks only.
func (b *Balancer) ExportLearned() (all []LearnedState) {
	for _, s := range b.ready {
		l := LearnedState{Server: s.ID, Load: s.reportedLoad, Age: -1, LoadPerConnection: s.loadPerConnection, ConsecutiveFailures: s.consecutiveFailures, EjectedFor: max(s.ejectedUntil-b.now, 0)}
		if s.reportedAt > 0 {
			l.Age = b.now - s.reportedAt
		}
		all = append(all, l)
	}
	return all
}

// ImportLearned takes over what another balancer has learned, at the start. Guards against a server that fails and so looks
// empty: without this it would be tried again by all the clients that come over. What makes no sense counts as not told.
func (b *Balancer) ImportLearned(all []LearnedState) {
	for _, l := range all {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		if l.ConsecutiveFailures > 0 && l.EjectedFor > 0 {
			s.consecutiveFailures, s.ejectedUntil = l.ConsecutiveFailures, b.now+min(l.EjectedFor, maxEjectionTime)
		}
		if l.LoadPerConnection > 0 && l.LoadPerConnection < 1 {
			s.loadPerConnection = l.LoadPerConnection
		}
		if l.Age >= 0 && l.Age < maxReportAge && l.Load >= 0 {
			s.load, s.reportedLoad, s.reportedAt = l.Load, l.Load, b.now-l.Age
		}
	}
	b.reindexAll(b.ready)
}
