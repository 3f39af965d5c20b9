package decide

// The index of servers: lists of servers in the shuffled order, which are updated whenever a server is added, removed
// or changed. So ticks, requests and deltas of a few servers scan only short lists, such as the list of servers with
// connections. A request scans a long list only if no server is eligible or if its group must be ranked. Each list
// contains exactly the servers that a scan of all servers would find. No decisions are made here.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

const (
	// rebuildMinChanges and rebuildListFraction decide when the lists are rebuilt instead of updated: when more than
	// rebuildMinChanges servers, plus one for each rebuildListFraction ready servers, have changed at the same time.
	rebuildMinChanges   = 32
	rebuildListFraction = 64
	// loadUnitsPerOne is the number of integer units that represent a load of 1 in a sum. Unlike a sum of floats, an
	// integer sum does not depend on the order in which load reports arrive.
	loadUnitsPerOne = 1 << 40
	// connectionUnitsPerOne is the number of integer units that represent one connection in a sum.
	connectionUnitsPerOne = 1 << 28
	// btreeDegree is the degree of the trees of scheduled servers.
	btreeDegree = 16
)

// listSet says which lists of the index a server is in.
type listSet uint8

const (
	inReady     listSet = 1 << iota
	inConnected         // ready servers with connections of this balancer
	inUnprobed          // ready servers without a load report
	inBusy              // ready servers whose load leaves no capacity
	inWarming           // ready servers that warm up
	inEjected           // ready servers that are ejected
)

// indexEntry is the data that the index keeps for a server.
type indexEntry struct {
	lists           listSet
	zone            *zoneIndex    // nil: not in the index yet
	weight          float64       // weight by which it is ranked for groups
	loadUnits       uint64        // its contribution to serverIndex.loadUnitsSum
	connectionUnits uint64        // its contribution to zoneIndex.connectionUnits
	reindexAt       time.Duration // when its warm-up or its ejection ends, whichever is first; 0: neither
	dropAt          time.Duration // when its record may be dropped; 0: never
	listVersion     uint64        // version of the last list that contained it
	dropped         bool          // its record was dropped
}

// serverIndex holds the records of all servers and the lists of the ready ones.
type serverIndex struct {
	servers        map[ServerID]*server
	ready          orderedServers // all ready servers
	connected      orderedServers // ready servers with connections of this balancer
	zones          [2]zoneIndex   // ready servers of the own zone, and of all other zones
	localZone      *zoneIndex     // own zone, or the other zones if the own zone has no ready server
	remoteZone     *zoneIndex     // entry of zones that is not localZone
	local          []*server      // ready servers of localZone
	remote         []*server      // ready servers of remoteZone
	ejectedCount   int            // number of ready servers that are ejected
	loadUnitsSum   uint64         // sum of the load of one connection at each warm server, in load units
	loadUnitsCount int            // number of servers in that sum
	reindexQueue   *btree.BTreeG[scheduled]
	dropQueue      *btree.BTreeG[scheduled]
	visits         int // number of servers examined one by one; tests of the cost of a long list read it
}

// zoneIndex holds the ready servers of the own zone, or of all other zones.
type zoneIndex struct {
	ready             orderedServers
	connected         orderedServers // servers with connections of this balancer
	unprobed          orderedServers // servers without a load report
	busy              orderedServers // servers whose load leaves no capacity
	warming           orderedServers // servers that warm up
	rankingKeys       []rankingKey   // keys of ready, in the same order, in one array for a quick scan
	changes           uint64         // number of changes of ready
	changeLog         [changeLogLength]membershipChange
	recentGroups      map[uint64]*groupRanking // rankings by the hash of the group
	olderGroups       map[uint64]*groupRanking // rankings to drop when recentGroups is full, unless used by then
	connectionUnits   uint64                   // sum of the reported connections, in connection units
	connectionReports int                      // number of servers in that sum
}

// reportedConnections returns the total number of connections at the servers whose reports show it.
func (z *zoneIndex) reportedConnections() float64 {
	return float64(z.connectionUnits) / connectionUnitsPerOne
}

// updateConnections replaces a server's contribution to the reported connections; 0 means unknown.
func (z *zoneIndex) updateConnections(entry *indexEntry, units uint64) {
	z.connectionUnits += units - entry.connectionUnits
	z.connectionReports += min(int(units), 1) - min(int(entry.connectionUnits), 1)
	entry.connectionUnits = units
}

// scheduled is an entry of a queue: a server and the time at which the queue returns it.
type scheduled struct {
	at     time.Duration
	server *server
}

func newServerIndex() serverIndex {
	earlier := func(x, y scheduled) bool {
		return x.at < y.at || x.at == y.at && compareShuffledOrder(x.server, y.server) < 0
	}
	return serverIndex{
		servers:      map[ServerID]*server{},
		reindexQueue: btree.NewG(btreeDegree, earlier),
		dropQueue:    btree.NewG(btreeDegree, earlier),
	}
}

// compareShuffledOrder compares two servers by the shuffled order, in which this balancer tries servers. The order
// depends on the balancer's seed, so balancers start with different servers.
func compareShuffledOrder(x, y *server) int {
	return cmp.Or(cmp.Compare(x.shuffledOrder, y.shuffledOrder), cmp.Compare(x.ID, y.ID))
}

// orderedServers is a list of servers in the shuffled order.
type orderedServers []*server

// find returns the position of a server in the list, or the position at which it would be inserted.
func (o orderedServers) find(s *server) (position int, found bool) {
	if n := len(o); n == 0 || compareShuffledOrder(o[n-1], s) < 0 {
		return n, false
	}
	return slices.BinarySearchFunc(o, s, compareShuffledOrder)
}

// setMember adds a server to the list or removes it, and returns its position.
func (o *orderedServers) setMember(s *server, member bool) int {
	i, found := o.find(s)
	switch {
	case member && !found:
		*o = slices.Insert(*o, i, s)
	case !member && found:
		*o = slices.Delete(*o, i, i+1)
	}
	return i
}

// zoneOf returns the zone index that a server belongs to.
func (b *Balancer) zoneOf(s *server) *zoneIndex {
	if s.Zone == b.settings.Zone {
		return &b.zones[0]
	}
	return &b.zones[1]
}

// listsOf returns the lists that a server belongs to now.
func (b *Balancer) listsOf(s *server) (lists listSet) {
	if s.State != Ready {
		return 0
	}
	lists = inReady
	if len(s.connections) > 0 {
		lists |= inConnected
	}
	if s.reportedAt == 0 {
		lists |= inUnprobed
	}
	if s.load > b.thresholds.capacity {
		lists |= inBusy
	}
	if b.warming(s) {
		lists |= inWarming
	}
	if b.now < s.ejectedUntil {
		lists |= inEjected
	}
	return lists
}

// reindex updates the index for a server. It must be called after each change of a value that the index depends on.
func (b *Balancer) reindex(s *server) {
	entry := &s.entry
	if entry.dropped {
		return // an attempt at the server ended after its record was dropped
	}
	if z := b.zoneOf(s); entry.zone != z || entry.weight != s.Weight {
		if entry.zone != nil {
			entry.zone.updateConnections(entry, 0)
		}
		b.setLists(s, 0)
		entry.zone, entry.weight = z, s.Weight
	}
	b.setLists(s, b.listsOf(s))
	b.updateSums(s)
	b.updateQueues(s)
}

// updateSums updates a server's contributions to the sums of loads and connections.
func (b *Balancer) updateSums(s *server) {
	entry := &s.entry
	loadUnits, connectionUnits := uint64(0), uint64(0)
	if s.loadPerConnection > 0 && entry.lists&(inReady|inWarming) == inReady {
		loadUnits = uint64(math.Ceil(s.loadPerConnection * loadUnitsPerOne))
	}
	b.loadUnitsSum += loadUnits - entry.loadUnits
	b.loadUnitsCount += min(int(loadUnits), 1) - min(int(entry.loadUnits), 1)
	entry.loadUnits = loadUnits
	if s.loadPerConnection > 0 && entry.lists&inReady != 0 {
		connections := max(s.reportedLoad/s.loadPerConnection, 1.0/connectionUnitsPerOne)
		connectionUnits = uint64(math.Ceil(min(connections, maxReportedConnections) * connectionUnitsPerOne))
	}
	entry.zone.updateConnections(entry, connectionUnits)
}

// updateQueues schedules when a server leaves a list because its warm-up or ejection ends, and when its record may be
// dropped.
func (b *Balancer) updateQueues(s *server) {
	entry := &s.entry
	reindexAt, dropAt := time.Duration(0), time.Duration(0)
	if entry.lists&inWarming != 0 {
		reindexAt = s.Started + b.settings.Safety.SlowStartDuration
	}
	if entry.lists&inEjected != 0 && (reindexAt == 0 || s.ejectedUntil < reindexAt) {
		reindexAt = s.ejectedUntil
	}
	if s.State == Removed && len(s.connections) == 0 {
		dropAt = s.notReadySince + recordRetention
	}
	reschedule(b.reindexQueue, s, &entry.reindexAt, reindexAt)
	reschedule(b.dropQueue, s, &entry.dropAt, dropAt)
}

// reschedule moves a server in a queue to another time, and stores this time in *at. A time of 0 means that the server
// is not in the queue.
func reschedule(queue *btree.BTreeG[scheduled], s *server, at *time.Duration, to time.Duration) {
	if *at == to {
		return
	}
	if *at != 0 {
		queue.Delete(scheduled{*at, s})
	}
	if *at = to; to != 0 {
		queue.ReplaceOrInsert(scheduled{to, s})
	}
}

// setLists adds a server to the given lists and removes it from all others.
func (b *Balancer) setLists(s *server, lists listSet) {
	changed, zone := s.entry.lists^lists, s.entry.zone
	if changed == 0 {
		return
	}
	s.entry.lists = lists
	if changed&inReady != 0 {
		b.ready.setMember(s, lists&inReady != 0)
		zone.setReady(s, lists&inReady != 0)
	}
	if changed&inConnected != 0 {
		b.connected.setMember(s, lists&inConnected != 0)
		zone.connected.setMember(s, lists&inConnected != 0)
	}
	if changed&inUnprobed != 0 {
		zone.unprobed.setMember(s, lists&inUnprobed != 0)
	}
	if changed&inBusy != 0 {
		zone.busy.setMember(s, lists&inBusy != 0)
	}
	if changed&inWarming != 0 {
		zone.warming.setMember(s, lists&inWarming != 0)
	}
	if lists&changed&inEjected != 0 {
		b.ejectedCount++
	} else if changed&inEjected != 0 {
		b.ejectedCount--
	}
}

// reindexAll updates the index for several servers. If many of them have changed, it rebuilds all lists.
func (b *Balancer) reindexAll(servers []*server) {
	changed := 0
	for _, s := range servers {
		if s.entry.lists != b.listsOf(s) || s.entry.zone != b.zoneOf(s) || s.entry.weight != s.Weight {
			changed++
		}
	}
	if changed > rebuildMinChanges+len(b.ready)/rebuildListFraction {
		b.rebuild()
		return
	}
	for _, s := range servers {
		b.reindex(s)
	}
}

// applyChangedServers reindexes the servers that a list update has changed, and drops expired records of removed
// servers.
func (b *Balancer) applyChangedServers(changed []*server) {
	b.reindexAll(changed)
	for next, ok := b.dropQueue.Min(); ok && next.at < b.now; next, ok = b.dropQueue.Min() {
		b.dropQueue.DeleteMin()
		delete(b.servers, next.server.ID)
		next.server.entry.dropped = true
	}
	b.localZone, b.remoteZone = &b.zones[0], &b.zones[1]
	if len(b.localZone.ready) == 0 {
		// If the own zone has no ready server, the other zones become the local zone. Otherwise connections of each
		// group would be spread over many of their servers, without probing them first.
		b.localZone, b.remoteZone = b.remoteZone, b.localZone
	}
	b.local, b.remote = b.localZone.ready, b.remoteZone.ready
}

// rebuild builds all lists from the records of the servers.
func (b *Balancer) rebuild() {
	all, zoneSizes := make(orderedServers, 0, len(b.servers)), map[*zoneIndex]int{}
	for _, s := range b.servers {
		s.entry = indexEntry{listVersion: s.entry.listVersion}
		all = append(all, s)
		zoneSizes[b.zoneOf(s)]++
	}
	slices.SortFunc(all, compareShuffledOrder)
	b.reindexQueue.Clear(false)
	b.dropQueue.Clear(false)
	b.ready, b.connected = make(orderedServers, 0, len(all)), b.connected[:0]
	b.ejectedCount, b.loadUnitsSum, b.loadUnitsCount = 0, 0, 0
	for i := range b.zones {
		z := &b.zones[i]
		*z = zoneIndex{
			ready:       make(orderedServers, 0, zoneSizes[z]),
			rankingKeys: make([]rankingKey, 0, zoneSizes[z]),
		}
	}
	for _, s := range all {
		b.reindex(s)
	}
	b.local, b.remote = b.localZone.ready, b.remoteZone.ready
	b.visits += len(all)
}

// reindexDue reindexes the servers whose warm-up or ejection has ended. It is called before each event.
func (b *Balancer) reindexDue() {
	for next, ok := b.reindexQueue.Min(); ok && next.at <= b.now; next, ok = b.reindexQueue.Min() {
		b.reindex(next.server)
		b.visits++
	}
}

// ejectedExcept counts the ready servers other than s that are ejected.
func (b *Balancer) ejectedExcept(s *server) int {
	if s.entry.lists&inEjected != 0 {
		return b.ejectedCount - 1
	}
	return b.ejectedCount
}

// warmingCount counts the ready servers that warm up.
func (b *Balancer) warmingCount() int {
	return len(b.zones[0].warming) + len(b.zones[1].warming)
}

// meanLoadPerConnection returns the mean load of one connection at the warm servers whose reports show it, or 0 if no
// report does.
func (b *Balancer) meanLoadPerConnection() float64 {
	return float64(b.loadUnitsSum) / loadUnitsPerOne / float64(max(b.loadUnitsCount, 1))
}

// nextInOrder returns the next matching server of a list, or nil. The search starts at b.cursor and wraps around. It
// moves the cursor, which all lists share, past the server that it returns. It examines only the candidates, which must
// be servers of the list in the same order.
func (b *Balancer) nextInOrder(list []*server, candidates orderedServers, matches func(*server) bool) *server {
	if len(candidates) == 0 {
		return nil
	}
	from := b.cursor % len(list)
	start, _ := candidates.find(list[from])
	for i := range candidates {
		if s := candidates[(start+i)%len(candidates)]; matches(s) {
			position, _ := orderedServers(list).find(s)
			b.cursor += (position-from+len(list))%len(list) + 1
			return s
		}
	}
	return nil
}
