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
	homesKept   = 6    // servers kept for a group, so that a few may go before all are looked at again
	groupsKept  = 4096 // groups whose servers are kept, and as many older ones
	changesKept = 256  // changes of a zone by which these are mended; after more, all servers are looked at again
	rebuildFrom = 32   // so many changes at once, and this part of the list, are cheaper made anew
	rebuildPart = 64
	eachUnit    = 1 << 40 // parts in which loads are summed,
	holdsUnit   = 1 << 28 // and connections, of which a server has shareMost at most
)

// kinds are the lists in which a server is kept.
type kinds uint8

const (
	isReady  kinds = 1 << iota
	isHeld         // holds connections of this balancer
	isUnseen       // was never looked at
	isLaden        // its load is above what leaves room
	isCold
	isOut // ejected
)

// place is where the index keeps a server.
type place struct {
	in     kinds
	zone   *zoneIndex
	weight float64       // by which it is ranked for groups
	each   uint64        // what it adds to the sum of the loads of one connection,
	holds  uint64        // and to that of the connections which the zone's servers hold
	turn   time.Duration // when it turns warm or comes back; 0: neither
	leave  time.Duration // when its record may be dropped; 0: never
	listed uint64        // the last list that named it
	gone   bool          // its record was dropped
}

// index is the whole of it.
type index struct {
	servers       map[ServerID]*server
	ready         ordered      // the ready servers of the last list
	held          ordered      // those of them that hold own connections
	zones         [2]zoneIndex // those of the own zone, and the others
	near, far     *zoneIndex   // the cache: the own zone, where it has any, and the rest
	local, remote []*server    // their ready servers
	outs          int          // how many are ejected
	eachSum       uint64       // of the loads of one connection at the warm servers that told,
	eachTold      int          // and how many have
	turns         *btree.BTreeG[due]
	leaves        *btree.BTreeG[due]
	visits        int // servers looked at one by one, for the tests of what a long list costs
}

// zoneIndex is the ready servers of the own zone, or of all others.
type zoneIndex struct {
	ready, held, unseen, laden, cold ordered
	keys                             []homeKey // of ready, for one quick pass over them
	changes                          uint64    // of ready, counted
	log                              [changesKept]change
	recent, older                    map[uint64]*groupHomes
	holds                            uint64 // how many connections its servers hold, as the reports of some show,
	told                             int    // and how many have
}

// heldInAll is how many connections those hold whose reports have shown it.
func (z *zoneIndex) heldInAll() float64 { return float64(z.holds) / holdsUnit }

// count takes note of what a server's reports show it to hold.
func (z *zoneIndex) count(p *place, holds uint64) {
	z.holds += holds - p.holds
	z.told += min(int(holds), 1) - min(int(p.holds), 1)
	p.holds = holds
}

// homeKey is what ranks a server for a group.
type homeKey struct {
	id     uint64 // its part of the hash
	weight float64
}

// change is a server that came or went.
type change struct {
	s    *server
	came bool
}

// groupHomes are the servers of a zone that come first for a group, after so many changes.
type groupHomes struct {
	changes   uint64
	n         int
	servers   [homesKept]*server
	distances [homesKept]float64
}

// due is a server with the time when it is to be looked at.
type due struct {
	at time.Duration
	s  *server
}

func newIndex() index {
	early := func(x, y due) bool { return x.at < y.at || x.at == y.at && inOrder(x.s, y.s) < 0 }
	return index{servers: map[ServerID]*server{}, turns: btree.NewG(16, early), leaves: btree.NewG(16, early)}
}

// inOrder is this balancer's cache order.
func inOrder(x, y *server) int {
	return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
}

// ordered is a list in the cache order.
type ordered []*server

// find gives the place of s, or where it belongs.
func (o ordered) find(s *server) (int, bool) {
	if n := len(o); n == 0 || inOrder(o[n-1], s) < 0 {
		return n, false
	}
	return slices.BinarySearchFunc(o, s, inOrder)
}

// keep puts s into the list, or takes it out, and tells where.
func (o *ordered) keep(s *server, in bool) int {
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
	if s.Zone == b.set.Zone {
		return &b.zones[0]
	}
	return &b.zones[1]
}

// kindsOf tells in which lists a server belongs now.
func (b *Balancer) kindsOf(s *server) (k kinds) {
	if s.State != Ready {
		return 0
	}
	k = isReady
	for _, x := range [...]struct {
		is   bool
		kind kinds
	}{{len(s.conns) > 0, isHeld}, {s.at == 0, isUnseen}, {s.load > b.roomy, isLaden}, {b.cold(s), isCold}, {b.now < s.ejected, isOut}} {
		if x.is {
			k |= x.kind
		}
	}
	return k
}

// reindex is called after each change of a server that its lists depend on.
func (b *Balancer) reindex(s *server) {
	p := &s.place
	if p.gone {
		return // an attempt that was out at it ended late
	}
	if z := b.zoneOf(s); p.zone != z || p.weight != s.Weight {
		if p.zone != nil {
			p.zone.count(p, 0)
		}
		b.put(s, 0)
		p.zone, p.weight = z, s.Weight
	}
	b.put(s, b.kindsOf(s))
	each := uint64(0)
	if s.each > 0 && p.in&(isReady|isCold) == isReady {
		each = uint64(math.Ceil(s.each * eachUnit))
	}
	b.eachSum += each - p.each
	b.eachTold += min(int(each), 1) - min(int(p.each), 1)
	p.each = each
	holds := uint64(0)
	if s.each > 0 && p.in&isReady != 0 {
		holds = uint64(math.Ceil(min(max(s.reported/s.each, 1.0/holdsUnit), shareMost) * holdsUnit))
	}
	p.zone.count(p, holds)
	turn, leave := time.Duration(0), time.Duration(0)
	if p.in&isCold != 0 {
		turn = s.Started + b.set.Safety.SlowStartDuration
	}
	if p.in&isOut != 0 && (turn == 0 || s.ejected < turn) {
		turn = s.ejected
	}
	if s.State == Removed && len(s.conns) == 0 {
		leave = s.told + rememberFor
	}
	reset(b.turns, s, &p.turn, turn)
	reset(b.leaves, s, &p.leave, leave)
}

// reset moves a server to another time, or out where that is 0.
func reset(tree *btree.BTreeG[due], s *server, at *time.Duration, to time.Duration) {
	if *at == to {
		return
	}
	if *at != 0 {
		tree.Delete(due{*at, s})
	}
	if *at = to; to != 0 {
		tree.ReplaceOrInsert(due{to, s})
	}
}

// put moves a server to the lists of these kinds.
func (b *Balancer) put(s *server, k kinds) {
	p := &s.place
	change, z := p.in^k, p.zone
	if change == 0 {
		return
	}
	p.in = k
	if change&isReady != 0 {
		b.ready.keep(s, k&isReady != 0)
		z.keep(s, k&isReady != 0)
	}
	if change&isHeld != 0 {
		b.held.keep(s, k&isHeld != 0)
		z.held.keep(s, k&isHeld != 0)
	}
	if change&isUnseen != 0 {
		z.unseen.keep(s, k&isUnseen != 0)
	}
	if change&isLaden != 0 {
		z.laden.keep(s, k&isLaden != 0)
	}
	if change&isCold != 0 {
		z.cold.keep(s, k&isCold != 0)
	}
	if k&change&isOut != 0 {
		b.outs++
	} else if change&isOut != 0 {
		b.outs--
	}
}

// keep adds a ready server, or takes one out, and notes it for the groups.
func (z *zoneIndex) keep(s *server, in bool) {
	i := z.ready.keep(s, in)
	if in {
		z.keys = slices.Insert(z.keys, i, homeKey{uint64(s.ID) * mixStep, cmp.Or(s.Weight, 1)})
	} else {
		z.keys = slices.Delete(z.keys, i, i+1)
	}
	z.log[z.changes%changesKept] = change{s, in}
	z.changes++
}

// reindexAll does so for many, of which few may have changed.
func (b *Balancer) reindexAll(some []*server) {
	moved := 0
	for _, s := range some {
		if s.place.in != b.kindsOf(s) || s.place.zone != b.zoneOf(s) || s.place.weight != s.Weight {
			moved++
		}
	}
	if moved > rebuildFrom+len(b.ready)/rebuildPart {
		b.rebuild()
		return
	}
	for _, s := range some {
		b.reindex(s)
	}
}

// relist puts the servers of a list event where they belong, and drops records that nothing needs any more.
func (b *Balancer) relist(changed []*server) {
	b.reindexAll(changed)
	for x, ok := b.leaves.Min(); ok && x.at < b.now; x, ok = b.leaves.Min() {
		b.leaves.DeleteMin()
		delete(b.servers, x.s.ID)
		x.s.place.gone = true
	}
	b.near, b.far = &b.zones[0], &b.zones[1]
	if len(b.near.ready) == 0 { // Guards a zone without a ready server: the others are its cache then, or each of
		b.near, b.far = b.far, b.near // its groups would be strewn over them, unasked.
	}
	b.local, b.remote = b.near.ready, b.far.ready
}

// rebuild makes all lists anew.
func (b *Balancer) rebuild() {
	all, most := make(ordered, 0, len(b.servers)), map[*zoneIndex]int{}
	for _, s := range b.servers {
		s.place = place{listed: s.place.listed}
		all = append(all, s)
		most[b.zoneOf(s)]++
	}
	slices.SortFunc(all, inOrder)
	b.turns.Clear(false)
	b.leaves.Clear(false)
	b.ready, b.held, b.outs, b.eachSum, b.eachTold = make(ordered, 0, len(all)), b.held[:0], 0, 0, 0
	for i := range b.zones {
		z := &b.zones[i]
		*z = zoneIndex{ready: make(ordered, 0, most[z]), keys: make([]homeKey, 0, most[z])}
	}
	for _, s := range all {
		b.reindex(s)
	}
	b.local, b.remote = b.near.ready, b.far.ready
	b.visits += len(all)
}

// turn takes note of those that have turned warm or whose ejection has ended; it comes before each event.
func (b *Balancer) turn() {
	for x, ok := b.turns.Min(); ok && x.at <= b.now; x, ok = b.turns.Min() {
		b.reindex(x.s)
		b.visits++
	}
}

// ejected counts the ready servers but s that are left out now.
func (b *Balancer) ejected(s *server) int {
	if s.place.in&isOut != 0 {
		return b.outs - 1
	}
	return b.outs
}

// coldCount counts the ready servers that are cold.
func (b *Balancer) coldCount() int {
	return len(b.zones[0].cold) + len(b.zones[1].cold)
}

// each is the load of one connection at the warm servers, as their reports show it; 0: none has. It is summed in whole
// parts, so that the order in which reports came makes no difference.
func (b *Balancer) each() float64 {
	return float64(b.eachSum) / eachUnit / float64(max(b.eachTold, 1))
}

// inTurn is the first fit server of a cached list, from where the last look ended. It looks at some of it only, which
// are in the same order.
func (b *Balancer) inTurn(list []*server, some ordered, fit func(*server) bool) *server {
	if len(some) == 0 {
		return nil
	}
	from := b.next % len(list)
	start, _ := some.find(list[from])
	for i := range some {
		if s := some[(start+i)%len(some)]; fit(s) {
			at, _ := ordered(list).find(s)
			b.next += (at-from+len(list))%len(list) + 1
			return s
		}
	}
	return nil
}

// first gives the servers that come first for a group, the nearest first.
func (b *Balancer) first(z *zoneIndex, group uint64, most int) []*server {
	h := z.recent[group]
	if h == nil {
		if h = z.older[group]; h == nil {
			h = &groupHomes{}
			b.visits += z.rank(group, h)
		}
		if z.recent == nil || len(z.recent) >= groupsKept {
			z.recent, z.older = map[uint64]*groupHomes{}, z.recent
		}
		z.recent[group] = h
	}
	if z.changes-h.changes > changesKept {
		b.visits += z.rank(group, h)
	}
	for ; h.changes < z.changes; h.changes++ {
		h.mend(group, z.log[h.changes%changesKept])
	}
	if h.n < most {
		b.visits += z.rank(group, h)
	}
	return h.servers[:most:most]
}

// rank looks at all servers. The logarithm is taken of the few only that may come first: as -ln(u) is 1-u or more, the
// rest are passed over by 1-u, with a little to spare for the rounding.
func (z *zoneIndex) rank(group uint64, h *groupHomes) (visited int) {
	*h = groupHomes{changes: z.changes}
	limit := math.Inf(1)
	for i, k := range z.keys {
		if k.weight > 0 && float64(int64(^mixed(group^k.id)>>11)) > limit*k.weight {
			continue
		}
		h.add(group, z.ready[i])
		if h.n == homesKept {
			limit = h.distances[homesKept-1] * (1 << 53) * (1 + 1e-9)
		}
	}
	return len(z.keys)
}

// add puts a server in its place if it comes before the last one, or that is missing, and tells where.
func (h *groupHomes) add(group uint64, s *server) int {
	d := distance(group, s)
	before := func(i int) bool {
		return d < h.distances[i] || d == h.distances[i] && inOrder(s, h.servers[i]) < 0
	}
	i := h.n
	if i < homesKept {
		h.n++
	} else if i--; !before(i) {
		return homesKept
	}
	for ; i > 0 && before(i-1); i-- {
		h.servers[i], h.distances[i] = h.servers[i-1], h.distances[i-1]
	}
	h.servers[i], h.distances[i] = s, d
	return i
}

// mend takes a change in. What comes after the last one kept is left out: others that are not kept may come before it.
func (h *groupHomes) mend(group uint64, c change) {
	n := h.n
	if i := slices.Index(h.servers[:n], c.s); !c.came && i >= 0 {
		copy(h.servers[i:n], h.servers[i+1:n])
		copy(h.distances[i:n], h.distances[i+1:n])
		h.n--
		h.servers[h.n] = nil
	} else if c.came && h.add(group, c.s) == n && n < homesKept {
		h.n--
		h.servers[h.n] = nil
	}
}
