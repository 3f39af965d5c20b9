package decide

// The cache of the preferred servers of each group. Cached rankings are updated by the changes of the endpoint list,
// so a request of a cached group examines few servers.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// rankingLength is the number of servers in a group's ranking. It exceeds maxPreferredServers, so that a few
	// servers may be removed before all servers must be ranked again.
	rankingLength = 6
	// maxCachedRankings is the maximum number of rankings in each of the two maps recentGroups and olderGroups.
	maxCachedRankings = 4096
	// changeLogLength is the number of latest changes of a zone that are kept for updating rankings.
	changeLogLength = 256
	// hashBits is the number of bits of a hash that a distance is computed from.
	hashBits = 53
	// rankingTolerance is the relative tolerance for rounding errors in the quick comparison of distances.
	rankingTolerance = 1e-9
)

// rankingKey holds the values by which a server is ranked for a group.
type rankingKey struct {
	idHash uint64 // the server's part of the input of the hash
	weight float64
}

// membershipChange says that a server was added to a zone's ready servers or removed from them.
type membershipChange struct {
	server *server
	added  bool
}

// groupRanking holds the servers of a zone that a group prefers most, in order of increasing distance.
type groupRanking struct {
	changes   uint64 // number of the zone's changes that the ranking includes
	count     int
	servers   [rankingLength]*server
	distances [rankingLength]float64
}

// setReady adds a server to the ready servers or removes it, and logs the change for updating the rankings.
func (z *zoneIndex) setReady(s *server, ready bool) {
	i := z.ready.setMember(s, ready)
	if ready {
		z.rankingKeys = slices.Insert(z.rankingKeys, i, rankingKey{uint64(s.ID) * mixMultiplier, cmp.Or(s.Weight, 1)})
	} else {
		z.rankingKeys = slices.Delete(z.rankingKeys, i, i+1)
	}
	z.changeLog[z.changes%changeLogLength] = membershipChange{s, ready}
	z.changes++
}

// preferredForGroup returns the count servers of a zone that a group prefers most, in order of increasing distance. The
// count must not exceed maxPreferredServers or the number of servers in the zone.
func (b *Balancer) preferredForGroup(z *zoneIndex, group uint64, count int) []*server {
	ranking := b.cachedRanking(z, group)
	if z.changes-ranking.changes > changeLogLength {
		b.visits += z.rank(group, ranking)
	}
	for ; ranking.changes < z.changes; ranking.changes++ {
		ranking.apply(group, z.changeLog[ranking.changes%changeLogLength])
	}
	if ranking.count < count {
		b.visits += z.rank(group, ranking)
	}
	return ranking.servers[:count:count]
}

// cachedRanking returns a group's ranking, which may lack the latest changes.
func (b *Balancer) cachedRanking(z *zoneIndex, group uint64) *groupRanking {
	if ranking := z.recentGroups[group]; ranking != nil {
		return ranking
	}
	ranking := z.olderGroups[group]
	if ranking == nil {
		ranking = &groupRanking{}
		b.visits += z.rank(group, ranking)
	}
	if z.recentGroups == nil || len(z.recentGroups) >= maxCachedRankings {
		z.recentGroups, z.olderGroups = map[uint64]*groupRanking{}, z.recentGroups
	}
	z.recentGroups[group] = ranking
	return ranking
}

// rank computes a group's ranking from all servers of the zone and returns their number. The distance of a server is
// -ln(u)/weight, where u is a uniform hash. As -ln(u) is at least 1-u, a server whose (1-u)/weight exceeds the largest
// distance in the full ranking is skipped without computing the logarithm. A tolerance allows for rounding errors.
func (z *zoneIndex) rank(group uint64, ranking *groupRanking) (visited int) {
	*ranking = groupRanking{changes: z.changes}
	limit := math.Inf(1)
	for i, key := range z.rankingKeys {
		if key.weight > 0 && float64(int64(^finalizeMix(group^key.idHash)>>11)) > limit*key.weight {
			continue
		}
		ranking.insert(group, z.ready[i])
		if ranking.count == rankingLength {
			limit = ranking.distances[rankingLength-1] * (1 << hashBits) * (1 + rankingTolerance)
		}
	}
	return len(z.rankingKeys)
}

// insert adds a server to the ranking. If the ranking is full, a server that ranks before the last server replaces it.
// It returns the server's position, or rankingLength if the server was not added.
func (g *groupRanking) insert(group uint64, s *server) int {
	distance := rendezvousDistance(group, s)
	before := func(i int) bool {
		return distance < g.distances[i] || distance == g.distances[i] && compareShuffledOrder(s, g.servers[i]) < 0
	}
	i := g.count
	if i < rankingLength {
		g.count++
	} else if i--; !before(i) {
		return rankingLength
	}
	for ; i > 0 && before(i-1); i-- {
		g.servers[i], g.distances[i] = g.servers[i-1], g.distances[i-1]
	}
	g.servers[i], g.distances[i] = s, distance
	return i
}

// apply updates the ranking by one change. If the ranking is not full, a server that comes after its last one is not
// added, as servers that are not in the ranking may come before it.
func (g *groupRanking) apply(group uint64, change membershipChange) {
	count := g.count
	if i := slices.Index(g.servers[:count], change.server); !change.added && i >= 0 {
		copy(g.servers[i:count], g.servers[i+1:count])
		copy(g.distances[i:count], g.distances[i+1:count])
		g.removeLast()
	} else if change.added && g.insert(group, change.server) == count && count < rankingLength {
		g.removeLast()
	}
}

func (g *groupRanking) removeLast() {
	g.count--
	g.servers[g.count] = nil
}
