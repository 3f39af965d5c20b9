package decide

// Migration: connections are moved off a server that is overloaded, and so serves all of its connections badly. The
// evidence is its load report, and for a lower bound, clients' reports of slow messages there. Every balancer moves
// the same fraction of its own connections, so that all together move the excess.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// migrationLoad is the reported load above which a server loses connections.
	migrationLoad = 0.95
	// migrationTargetLoad is the load that it is brought down to, and the bound where its messages are slow.
	migrationTargetLoad = 0.75
	// migrationSettlePeriod is how long a report may take to show what was migrated.
	migrationSettlePeriod = 2500 * time.Millisecond
)

// migrateFromOverloaded migrates the excess connections off overloaded servers. Then a report gets time to show it.
func (b *Balancer) migrateFromOverloaded() {
	b.visits += len(b.connected)
	for _, s := range b.connected {
		if b.overloaded(s) && b.hasRecentReport(s) && s.reportedAt > s.migratedAt+migrationSettlePeriod {
			b.migrateExcess(s)
		}
	}
}

// overloaded uses the report alone: it shows most of the placements reserved since, and the rest may never matter.
func (b *Balancer) overloaded(s *server) bool {
	return s.reportedLoad > migrationLoad || b.now < s.slowUntil && s.reportedLoad > migrationTargetLoad
}

// migrateExcess rounds the number of connections by chance. Drawing each connection by itself would often migrate
// none of a few until the next round.
func (b *Balancer) migrateExcess(s *server) {
	s.migratedAt = b.now
	count := int(float64(len(s.connections))*(1-migrationTargetLoad/s.reportedLoad) + b.rng.Float64())
	for _, r := range b.migrationOrder(s)[:min(count, len(s.connections))] {
		r.migrated = true
		b.emit(Migrate{ID: r.ID})
	}
}

// migrationOrder orders the connections of a server for migration: first those of groups that have fewest connections
// there, as far as is known, then those of the groups that prefer the server least. The order is equal at all
// balancers, so the server stops paying for these groups.
func (b *Balancer) migrationOrder(s *server) []*request {
	connections := slices.Clone(s.connections)
	b.rng.Shuffle(len(connections), func(i, j int) {
		connections[i], connections[j] = connections[j], connections[i]
	})
	slices.SortStableFunc(connections, func(x, y *request) int {
		xDistance, yDistance := rendezvousDistance(hashString(x.Group), s), rendezvousDistance(hashString(y.Group), s)
		return cmp.Or(b.compareGroupSizes(s, x, y), cmp.Compare(yDistance, xDistance))
	})
	return connections
}

// compareGroupSizes compares two connections of a server by how many of their groups it has. Of a group that many
// balancers have connections of there, this balancer's part says nothing.
func (b *Balancer) compareGroupSizes(s *server, x, y *request) int {
	balancers := int(b.zoneBalancers())
	return cmp.Compare(s.connectionsByGroup[x.Group]/balancers, s.connectionsByGroup[y.Group]/balancers)
}
