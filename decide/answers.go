package decide

import (
	"slices"
	"time"
)

// Use of the load reports.
const (
	// maxReportAge is the age at which a report no longer counts.
	maxReportAge = 10 * time.Second
	// maxAnswers is the number of reports in a pool.
	maxAnswers = 8
	// maxPlacementsPerReport is the number of placements on one report, so that few balancers follow the same one.
	maxPlacementsPerReport = 2
)

// answerPools hold the servers whose latest load report is recent, oldest report first.
type answerPools struct {
	ownZone    []*server // of the local list
	otherZones []*server // of the remote list
}

// addAnswer puts a server last in a pool; the oldest report beyond maxAnswers is dropped.
func addAnswer(pool []*server, s *server) []*server {
	pool = append(removeValue(pool, s), s)
	return pool[max(0, len(pool)-maxAnswers):]
}

// remove drops a server's report from both pools.
func (a *answerPools) remove(s *server) {
	a.ownZone, a.otherZones = removeValue(a.ownZone, s), removeValue(a.otherZones, s)
}

// removeNotReady drops the answers of servers that are draining or removed.
func (a *answerPools) removeNotReady() {
	notReady := func(s *server) bool { return s.State != Ready }
	a.ownZone = slices.DeleteFunc(a.ownZone, notReady)
	a.otherZones = slices.DeleteFunc(a.otherZones, notReady)
}
