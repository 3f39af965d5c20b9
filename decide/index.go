package decide

// The index of servers: lists that are kept in the cache order as servers come, go and change, so that neither a tick, nor a
// change, nor a request walks all of them, but for that of a new group. Each is what a walk over the whole list would give.
// Nothing is decided here.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

const (
	rankingLength         = 6    // servers kept for a group, so that a few may go before all are looked at again
	maxCachedRankings     = 4096 // groups whose servers are kept, and as many older ones
	changeLogLength       = 256  // changes of a zone by which these are mended; after more, all servers are looked at again
	rebuildMinChanges     = 32   // so many changes at once, and this part of the list, are cheaper made anew
	rebuildListFraction   = 64
	loadUnitsPerOne       = 1 << 40 // parts in which loads are summed,
	connectionUnitsPerOne = 1 << 28 // and connections, of which a server has shareMost at most
)

// listSet are the lists in which a server is kept.
type listSet uint8

const (
	inReady     listSet = 1 << iota
	inConnected         // holds connections of this balancer
	inUnprobed          // was never looked at
	inBusy              // its load is above what leaves room
	inWarming
	inEjected // ejected
)

// indexEntry is where the index keeps a server.
type indexEntry struct {
	lists           listSet
	zone            *zoneIndex
	weight          float64       // by which it is ranked for groups
	loadUnits       uint64        // what it adds to the sum of the loads of one connection,
	connectionUnits uint64        // and to that of the connections which the zone's servers hold
	reindexAt       time.Duration // when it turns warm or comes back; 0: neither
	dropAt          time.Duration // when its record may be dropped; 0: never
	listVersion     uint64        // the last list that named it
	dropped         bool          // its record was dropped
}

// serverIndex is the whole of it.
type serverIndex struct {
	servers               map[ServerID]*server
	ready                 orderedServers // the ready servers of the last list
	connected             orderedServers // those of them that hold own connections
	zones                 [2]zoneIndex   // those of the own zone, and the others
	localZone, remoteZone *zoneIndex     // the cache: the own zone, where it has any, and the rest
	local, remote         []*server      // their ready servers
	ejectedCount          int            // how many are ejected
	loadUnitsSum          uint64         // of the loads of one connection at the warm servers that told,
	loadUnitsCount        int            // and how many have
	reindexQueue          *btree.BTreeG[scheduled]
	dropQueue             *btree.BTreeG[scheduled]
	visits                int // servers looked at one by one, for the tests of what a long list costs
}

// zoneIndex is the ready servers of the own zone, or of all others.
type zoneIndex struct {
	ready, connected, unprobed, busy, warming orderedServers
	rankingKeys                               []rankingKey // of ready, for one quick pass over them
	changes                                   uint64       // of ready, counted
	changeLog                                 [changeLogLength]membershipChange
	recentGroups, olderGroups                 map[uint64]*groupRanking
	connectionUnits                           uint64 // how many connections its servers hold, as the reports of some show,
	connectionReports                         int    // and how many have
}

// reportedConnections is how many connections those hold whose reports have shown it.
func (z *zoneIndex) reportedConnections() float64 {
	return float64(z.connectionUnits) / connectionUnitsPerOne
}

// updateConnections takes note of what a server's reports show it to hold.
func (z *zoneIndex) updateConnections(p *indexEntry, holds uint64) {
	z.connectionUnits += holds - p.connectionUnits
	z.connectionReports += min(int(holds), 1) - min(int(p.connectionUnits), 1)
	p.connectionUnits = holds
}

// rankingKey is what ranks a server for a group.
type rankingKey struct {
	idHash uint64 // its part of the hash
	weight float64
}

// membershipChange is a server that came or went.
type membershipChange struct {
	server *server
	added  bool
}

// groupRanking are the servers of a zone that come first for a group, after so many changes.
type groupRanking struct {
	changes   uint64
	count     int
	servers   [rankingLength]*server
	distances [rankingLength]float64
}

// scheduled is a server with the time when it is to be looked at.
type scheduled struct {
	at     time.Duration
	server *server
}

func newServerIndex() serverIndex {
	early := func(x, y scheduled) bool {
		return x.at < y.at || x.at == y.at && compareCacheOrder(x.server, y.server) < 0
	}
	return serverIndex{servers: map[ServerID]*server{}, reindexQueue: btree.NewG(16, early), dropQueue: btree.NewG(16, early)}
}

// compareCacheOrder is this balancer's cache order.
func compareCacheOrder(x, y *server) int {
	return cmp.Or(cmp.Compare(x.cacheOrder, y.cacheOrder), cmp.Compare(x.ID, y.ID))
}

// orderedServers is a list in the cache order.
type orderedServers []*server

// find gives the place of s, or where it belongs.
func (o orderedServers) find(s *server) (int, bool) {
	if n := len(o); n == 0 || compareCacheOrder(o[n-1], s) < 0 {
		return n, false
	}
	return slices.BinarySearchFunc(o, s, compareCacheOrder)
}

// setMember puts s into the list, or takes it out, and tells where.
func (o *orderedServers) setMember(s *server, in bool) int {
	i, found := o.find(s)
	switch {
	case in && !found:
		*o = slices.Insert(*o, i, s)
	case !in && found:
		*o = slices.Delete(*o, i, i+1)
	}
	return i
}

// zoneOf is where a server belongs.
func (b *Balancer) zoneOf(s *server) *zoneIndex {
	if s.Zone == b.settings.Zone {
		return &b.zones[0]
	}
	return &b.zones[1]
}

// listsOf tells in which lists a server belongs now.
func (b *Balancer) listsOf(s *server) (k listSet) {
	if s.State != Ready {
		return 0
	}
	k = inReady
	for _, x := range [...]struct {
		is   bool
		kind listSet
	}{{len(s.connections) > 0, inConnected}, {s.reportedAt == 0, inUnprobed}, {s.load > b.capacityThreshold, inBusy}, {b.warming(s), inWarming}, {b.now < s.ejectedUntil, inEjected}} {
		if x.is {
			k |= x.kind
		}
	}
	return k
}

// reindex is called after each change of a server that its lists depend on.
func (b *Balancer) reindex(s *server) {
	p := &s.entry
	if p.dropped {
		return // an attempt that was out at it ended late
	}
	if z := b.zoneOf(s); p.zone != z || p.weight != s.Weight {
		if p.zone != nil {
			p.zone.updateConnections(p, 0)
		}
		b.setLists(s, 0)
		p.zone, p.weight = z, s.Weight
	}
	b.setLists(s, b.listsOf(s))
	each := uint64(0)
	if s.loadPerConnection > 0 && p.lists&(inReady|inWarming) == inReady {
		each = uint64(math.Ceil(s.loadPerConnection * loadUnitsPerOne))
	}
	b.loadUnitsSum += each - p.loadUnits
	b.loadUnitsCount += min(int(each), 1) - min(int(p.loadUnits), 1)
	p.loadUnits = each
	holds := uint64(0)
	if s.loadPerConnection > 0 && p.lists&inReady != 0 {
		holds = uint64(math.Ceil(min(max(s.reportedLoad/s.loadPerConnection, 1.0/connectionUnitsPerOne), maxReportedConnections) * connectionUnitsPerOne))
	}
	p.zone.updateConnections(p, holds)
	turn, leave := time.Duration(0), time.Duration(0)
	if p.lists&inWarming != 0 {
		turn = s.Started + b.settings.Safety.SlowStartDuration
	}
	if p.lists&inEjected != 0 && (turn == 0 || s.ejectedUntil < turn) {
		turn = s.ejectedUntil
	}
	if s.State == Removed && len(s.connections) == 0 {
		leave = s.notReadySince + recordRetention
	}
	reschedule(b.reindexQueue, s, &p.reindexAt, turn)
	reschedule(b.dropQueue, s, &p.dropAt, leave)
}

// reschedule moves a server to another time, or out where that is 0.
func reschedule(tree *btree.BTreeG[scheduled], s *server, at *time.Duration, to time.Duration) {
	if *at == to {
		return
	}
	if *at != 0 {
		tree.Delete(scheduled{*at, s})
	}
	if *at = to; to != 0 {
		tree.ReplaceOrInsert(scheduled{to, s})
	}
}

// setLists moves a server to the lists of these kinds.
func (b *Balancer) setLists(s *server, k listSet) {
	p := &s.entry
	change, z := p.lists^k, p.zone
	if change == 0 {
		return
	}
	p.lists = k
	if change&inReady != 0 {
		b.ready.setMember(s, k&inReady != 0)
		z.setReady(s, k&inReady != 0)
	}
	if change&inConnected != 0 {
		b.connected.setMember(s, k&inConnected != 0)
		z.connected.setMember(s, k&inConnected != 0)
	}
	if change&inUnprobed != 0 {
		z.unprobed.setMember(s, k&inUnprobed != 0)
	}
	if change&inBusy != 0 {
		z.busy.setMember(s, k&inBusy != 0)
	}
	if change&inWarming != 0 {
		z.warming.setMember(s, k&inWarming != 0)
	}
	if k&change&inEjected != 0 {
		b.ejectedCount++
	} else if change&inEjected != 0 {
		b.ejectedCount--
	}
}

// setReady adds a ready server, or takes one out, and notes it for the groups.
func (z *zoneIndex) setReady(s *server, in bool) {
	i := z.ready.setMember(s, in)
	if in {
		z.rankingKeys = slices.Insert(z.rankingKeys, i, rankingKey{uint64(s.ID) * mixMultiplier, cmp.Or(s.Weight, 1)})
	} else {
		z.rankingKeys = slices.Delete(z.rankingKeys, i, i+1)
	}
	z.changeLog[z.changes%changeLogLength] = membershipChange{s, in}
	z.changes++
}

// reindexAll does so for many, of which few may have changed.
func (b *Balancer) reindexAll(some []*server) {
	moved := 0
	for _, s := range some {
		if s.entry.lists != b.listsOf(s) || s.entry.zone != b.zoneOf(s) || s.entry.weight != s.Weight {
			moved++
		}
	}
	if moved > rebuildMinChanges+len(b.ready)/rebuildListFraction {
		b.rebuild()
		return
	}
	for _, s := range some {
		b.reindex(s)
	}
}

// applyChangedServers puts the servers of a list event where they belong, and drops records that nothing needs any more.
func (b *Balancer) applyChangedServers(changed []*server) {
	b.reindexAll(changed)
	for x, ok := b.dropQueue.Min(); ok && x.at < b.now; x, ok = b.dropQueue.Min() {
		b.dropQueue.DeleteMin()
		delete(b.servers, x.server.ID)
		x.server.entry.dropped = true
	}
	b.localZone, b.remoteZone = &b.zones[0], &b.zones[1]
	if len(b.localZone.ready) == 0 { // Guards a zone without a ready server: the others are its cache then, or each of
		b.localZone, b.remoteZone = b.remoteZone, b.localZone // its groups would be strewn over them, unasked.
	}
	b.local, b.remote = b.localZone.ready, b.remoteZone.ready
}

// rebuild makes all lists anew.
func (b *Balancer) rebuild() {
	all, most := make(orderedServers, 0, len(b.servers)), map[*zoneIndex]int{}
	for _, s := range b.servers {
		s.entry = indexEntry{listVersion: s.entry.listVersion}
		all = append(all, s)
		most[b.zoneOf(s)]++
	}
	slices.SortFunc(all, compareCacheOrder)
	b.reindexQueue.Clear(false)
	b.dropQueue.Clear(false)
	b.ready, b.connected, b.ejectedCount, b.loadUnitsSum, b.loadUnitsCount = make(orderedServers, 0, len(all)), b.connected[:0], 0, 0, 0
	for i := range b.zones {
		z := &b.zones[i]
		*z = zoneIndex{ready: make(orderedServers, 0, most[z]), rankingKeys: make([]rankingKey, 0, most[z])}
	}
	for _, s := range all {
		b.reindex(s)
	}
	b.local, b.remote = b.localZone.ready, b.remoteZone.ready
	b.visits += len(all)
}

// reindexDue takes note of those that have turned warm or whose ejection has ended; it comes before each event.
func (b *Balancer) reindexDue() {
	for x, ok := b.reindexQueue.Min(); ok && x.at <= b.now; x, ok = b.reindexQueue.Min() {
		b.reindex(x.server)
		b.visits++
	}
}

// ejectedExcept counts the ready servers but s that are left out now.
func (b *Balancer) ejectedExcept(s *server) int {
	if s.entry.lists&inEjected != 0 {
		return b.ejectedCount - 1
	}
	return b.ejectedCount
}

// warmingCount counts the ready servers that are cold.
func (b *Balancer) warmingCount() int {
	return len(b.zones[0].warming) + len(b.zones[1].warming)
}

// meanLoadPerConnection is the load of one connection at the warm servers, as their reports show it; 0: none has. It is summed in whole
// parts, so that the order in which reports came makes no difference.
func (b *Balancer) meanLoadPerConnection() float64 {
	return float64(b.loadUnitsSum) / loadUnitsPerOne / float64(max(b.loadUnitsCount, 1))
}

// nextInOrder is the first fit server of a cached list, from where the last look ended. It looks at some of it only, which
// are in the same order.
func (b *Balancer) nextInOrder(list []*server, some orderedServers, fit func(*server) bool) *server {
	if len(some) == 0 {
		return nil
	}
	from := b.cursor % len(list)
	start, _ := some.find(list[from])
	for i := range some {
		if s := some[(start+i)%len(some)]; fit(s) {
			at, _ := orderedServers(list).find(s)
			b.cursor += (at-from+len(list))%len(list) + 1
			return s
		}
	}
	return nil
}

// preferredForGroup gives the servers that come first for a group, the nearest first.
func (b *Balancer) preferredForGroup(z *zoneIndex, group uint64, most int) []*server {
	h := z.recentGroups[group]
	if h == nil {
		if h = z.olderGroups[group]; h == nil {
			h = &groupRanking{}
			b.visits += z.rank(group, h)
		}
		if z.recentGroups == nil || len(z.recentGroups) >= maxCachedRankings {
			z.recentGroups, z.olderGroups = map[uint64]*groupRanking{}, z.recentGroups
		}
		z.recentGroups[group] = h
	}
	if z.changes-h.changes > changeLogLength {
		b.visits += z.rank(group, h)
	}
	for ; h.changes < z.changes; h.changes++ {
		h.apply(group, z.changeLog[h.changes%changeLogLength])
	}
	if h.count < most {
		b.visits += z.rank(group, h)
	}
	return h.servers[:most:most]
}

// rank looks at all servers. The logarithm is taken of the few only that may come first: as -ln(u) is 1-u or more, the
// rest are passed over by 1-u, with a little to spare for the rounding.
func (z *zoneIndex) rank(group uint64, h *groupRanking) (visited int) {
	*h = groupRanking{changes: z.changes}
	limit := math.Inf(1)
	for i, k := range z.rankingKeys {
		if k.weight > 0 && float64(int64(^finalizeMix(group^k.idHash)>>11)) > limit*k.weight {
			continue
		}
		h.insert(group, z.ready[i])
		if h.count == rankingLength {
			limit = h.distances[rankingLength-1] * (1 << 53) * (1 + 1e-9)
		}
	}
	return len(z.rankingKeys)
}

// insert puts a server in its place if it comes before the last one, or that is missing, and tells where.
func (h *groupRanking) insert(group uint64, s *server) int {
	d := rendezvousDistance(group, s)
	before := func(i int) bool {
		return d < h.distances[i] || d == h.distances[i] && compareCacheOrder(s, h.servers[i]) < 0
	}
	i := h.count
	if i < rankingLength {
		h.count++
	} else if i--; !before(i) {
		return rankingLength
	}
	for ; i > 0 && before(i-1); i-- {
		h.servers[i], h.distances[i] = h.servers[i-1], h.distances[i-1]
	}
	h.servers[i], h.distances[i] = s, d
	return i
}

// apply takes a change in. What comes after the last one kept is left out: others that are not kept may come before it.
func (h *groupRanking) apply(group uint64, c membershipChange) {
	n := h.count
	if i := slices.Index(h.servers[:n], c.server); !c.added && i >= 0 {
		copy(h.servers[i:n], h.servers[i+1:n])
		copy(h.distances[i:n], h.distances[i+1:n])
		h.count--
		h.servers[h.count] = nil
	} else if c.added && h.insert(group, c.server) == n && n < rankingLength {
		h.count--
		h.servers[h.count] = nil
	}
}
