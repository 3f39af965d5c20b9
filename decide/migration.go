package decide

// Migration: connections are moved off an overloaded server, as it serves all of its connections badly. A server is
// overloaded if its load report exceeds a limit, which is lower while clients report slow messages there. Every
// balancer migrates the same fraction of its own connections, so that all balancers together migrate the excess.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// migrationLoad is the reported load above which connections are migrated off a server.
	migrationLoad = 0.95
	// migrationTargetLoad is the target load of migrations. It replaces migrationLoad while a server's messages are slow.
	migrationTargetLoad = 0.75
	// migrationSettlePeriod is the time after a migration until load reports show its effect.
	migrationSettlePeriod = 2500 * time.Millisecond
)

// migrateFromOverloaded migrates the excess connections off overloaded servers. It migrates from the same server again
// only by a report that can show the effect of the previous migration.
func (b *Balancer) migrateFromOverloaded() {
	b.visits += len(b.connected)
	for _, s := range b.connected {
		if b.overloaded(s) && b.hasRecentReport(s) && s.reportedAt > s.migratedAt+migrationSettlePeriod {
			b.migrateExcess(s)
		}
	}
}

// overloaded reports whether connections must be migrated off a server. It ignores reservations: the report already
// includes most reserved connections, and the rest may never be established.
func (b *Balancer) overloaded(s *server) bool {
	return s.reportedLoad > migrationLoad || b.now < s.slowUntil && s.reportedLoad > migrationTargetLoad
}

// migrateExcess migrates the fraction of a server's connections by which its load exceeds migrationTargetLoad, rounded
// up or down at random. Drawing each of a few connections on its own would often migrate none until the next report.
func (b *Balancer) migrateExcess(s *server) {
	s.migratedAt = b.now
	count := int(float64(len(s.connections))*(1-migrationTargetLoad/s.reportedLoad) + b.rng.Float64())
	for _, r := range b.migrationOrder(s)[:min(count, len(s.connections))] {
		r.migrated = true
		b.emit(Migrate{ID: r.ID})
	}
}

// migrationOrder returns a server's connections in the order in which they are migrated: by the number of connections
// of their group there, fewest first, then by the group's preference for the server, lowest first. The preference is
// the same at all balancers, so they migrate the same groups, and the server no longer has these groups' cost.
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

// compareGroupSizes compares two connections of a server by the number of connections that their groups have there.
// The numbers are divided by the number of balancers of the zone and rounded down, so small numbers compare as equal:
// where many balancers share a group's connections, this balancer's own number says little about the size of the group.
func (b *Balancer) compareGroupSizes(s *server, x, y *request) int {
	balancers := int(b.zoneBalancers())
	return cmp.Compare(s.connectionsByGroup[x.Group]/balancers, s.connectionsByGroup[y.Group]/balancers)
}
