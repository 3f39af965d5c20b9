package decide

import (
	"slices"
	"time"
)

// Limits for the use of load reports.
const (
	// maxReportAge is the age at which a load report becomes too old for placements and migrations.
	maxReportAge = 10 * time.Second
	// maxAnswers is the maximum number of servers in a pool.
	maxAnswers = 8
	// maxPlacementsPerReport is the number of placements after which a server leaves its pool until its next load
	// report. It limits how many connections a server gets if many balancers see the same low load.
	maxPlacementsPerReport = 2
)

// answerPools hold the servers that placements choose from by load: the servers with the latest probe answers, oldest
// load report first.
type answerPools struct {
	ownZone    []*server // in the local list when they answered
	otherZones []*server // in the remote list when they answered
}

// addAnswer puts a server at the end of a pool. If the pool exceeds maxAnswers, the server with the oldest
// load report leaves it.
func addAnswer(pool []*server, s *server) []*server {
	pool = append(removeValue(pool, s), s)
	return pool[max(0, len(pool)-maxAnswers):]
}

// remove removes a server from both pools.
func (a *answerPools) remove(s *server) {
	a.ownZone, a.otherZones = removeValue(a.ownZone, s), removeValue(a.otherZones, s)
}

// removeNotReady removes servers that are draining or removed from both pools.
func (a *answerPools) removeNotReady() {
	notReady := func(s *server) bool { return s.State != Ready }
	a.ownZone = slices.DeleteFunc(a.ownZone, notReady)
	a.otherZones = slices.DeleteFunc(a.otherZones, notReady)
}
