package gossip

import (
	"cottonplank/internal/cluster/membership"

	"github.com/sirupsen/logrus"
)

// logChanges writes a line for each member whose state has changed, and one for what the instance concludes of itself.
func logChanges(log *logrus.Logger, before, now *membership.View) {
	states := map[string]membership.State{}
	if before != nil {
		for _, m := range before.Members {
			states[m.Name] = m.State
		}
	}
	for _, m := range now.Members {
		if was, known := states[m.Name]; !known || was != m.State {
			log.WithFields(logrus.Fields{"member": m.Name, "address": m.Address, "zone": m.Zone, "state": m.State.String(),
				"alive": now.Alive}).Info("membership: a member's state changed")
		}
	}
	if before == nil || before.Isolated != now.Isolated || before.Partitioned != now.Partitioned || before.Divisors != now.Divisors {
		log.WithFields(logrus.Fields{"isolated": now.Isolated, "partitioned": now.Partitioned, "fleet_size": now.Divisors.Cluster,
			"zone_size": now.Divisors.Zone, "admitted": now.Divisors.Admitted}).Info("membership: the cluster as this instance sees it")
	}
}
