package decide

// The cache of the servers that each group prefers. It is updated by the changes of the list, so that a request of a
// cached group looks at few servers.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// rankingLength is the number of servers kept for a group, so that a few may be removed before all are ranked
	// again.
	rankingLength = 6
	// maxCachedRankings is the number of recently used rankings, and the number of older ones.
	maxCachedRankings = 4096
	// changeLogLength is the number of changes of a zone by which a ranking can be updated.
	changeLogLength = 256
	// hashBits is the number of bits of a hash that a distance is made of.
	hashBits = 53
	// rankingTolerance covers the rounding of the distances in the quick comparison.
	rankingTolerance = 1e-9
)

// rankingKey is what ranks a server for a group.
type rankingKey struct {
	idHash uint64 // the server's part of the hash
	weight float64
}

// membershipChange is a server that became ready, or stopped being so.
type membershipChange struct {
	server *server
	added  bool
}

// groupRanking is the first servers of a zone for a group, nearest first.
type groupRanking struct {
	changes   uint64 // changes of the zone that it includes
	count     int
	servers   [rankingLength]*server
	distances [rankingLength]float64
}

// setReady adds a ready server or removes it, and logs the change for the rankings.
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

// preferredForGroup returns the first count servers of a zone for a group, nearest first. The count is at most
// maxPreferredServers and the zone's number of servers.
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

// rank looks at all servers of the zone and returns their number. The logarithm is taken only of the few that may
// come first: as -ln(u) is at least 1-u, the others are excluded by 1-u, with a tolerance for the rounding.
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

// insert puts a server in its place if it comes before the last one, or if there are fewer than rankingLength. It
// returns the server's position, rankingLength if it is not kept.
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

// apply updates the ranking by one change. A server that comes after the last one kept is not added: others that are
// not kept may come before it.
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
