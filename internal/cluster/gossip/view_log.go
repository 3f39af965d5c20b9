package gossip

import (
	"cottonplank/internal/cluster/membership"

	"github.com/sirupsen/logrus"
)

// logViewChange logs each member whose state has changed. If the isolation, the partition or the divisors have
// changed, it logs all of them in one line. before is nil for the first view.
func logViewChange(log *logrus.Logger, before, now *membership.View) {
	logMemberChanges(log, before, now)
	if before == nil || before.Isolated != now.Isolated || before.Partitioned != now.Partitioned ||
		before.Divisors != now.Divisors {
		log.WithFields(logrus.Fields{
			"isolated":    now.Isolated,
			"partitioned": now.Partitioned,
			"fleet_size":  now.Divisors.Cluster,
			"zone_size":   now.Divisors.Zone,
			"admitted":    now.Divisors.Admitted,
		}).Info("membership: the view of the cluster changed")
	}
}

func logMemberChanges(log *logrus.Logger, before, now *membership.View) {
	stateBefore := map[string]membership.State{}
	if before != nil {
		for _, member := range before.Members {
			stateBefore[member.Name] = member.State
		}
	}
	for _, member := range now.Members {
		if state, known := stateBefore[member.Name]; known && state == member.State {
			continue
		}
		log.WithFields(logrus.Fields{
			"member":  member.Name,
			"address": member.Address,
			"zone":    member.Zone,
			"state":   member.State.String(),
			"alive":   now.Alive,
		}).Info("membership: a member's state changed")
	}
}
