package decide

// The Balancer as it was before its lists were kept in order: each list is made and walked anew. It is what the
// present one is held against, action by action, in index_test.go. Whoever changes a decision changes it here too.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type refServer struct {
	Server
	order       uint64
	told        time.Duration
	load        float64
	reported    float64
	at          time.Duration
	each        float64
	uses        int
	asked       time.Duration
	streak      int
	ejected     time.Duration
	slow        time.Duration
	credit      float64
	creditUntil time.Duration
	demand      fadingCount
	booked      []refBooking
	movedAt     time.Duration
	conns       []*refRequest
	groups      map[string]int
}

type refRequest struct {
	RequestArrived
	seq      uint64
	deadline time.Duration
	held     time.Duration
	tries    int
	tried    []ServerID
	srv      *refServer
	out      bool
	stands   bool
	tooMuch  bool
	cameFor  *refServer
	homes    []*refServer
	away     []*refServer
	ranked   uint64
	ran      *refServer
	ranAt    time.Duration
}

type refMemory struct {
	refServer ServerID
	at        time.Duration
	lost      bool
}

type refBalancer struct {
	set Settings
	rng *rand.Rand
	now time.Duration
	out []Action

	servers             map[ServerID]*refServer
	ready               []*refServer
	local, remote       []*refServer
	lists               uint64
	next                int
	pollAt              time.Duration
	pollFails           int
	lastSign            time.Duration
	failing             bool
	pool, away          []*refServer
	mean                float64
	told                int
	spillAt             time.Duration
	probeNext           int
	probeTurn           int
	probeCredit         float64
	hotCredit           float64
	requests            map[RequestID]*refRequest
	bySeq               map[uint64]*refRequest
	seq                 uint64
	waiting             []*refRequest
	memories            map[string]refMemory
	memOrder            []string
	wasted, stood       float64
	rate, rateSpan, new float64
	capacity            float64
	capSpan             float64
	need, broken        float64
	lived, left         float64
	setup               time.Duration
	dialing             int
	window              float64
	cutAt               time.Duration
	roomy, full         float64
	gap                 float64
	loads               []float64
}

func newRef(set Settings) (*refBalancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Balancers, set.MaxAttempts = max(set.Balancers, 1), max(set.MaxAttempts, 1)
	b := &refBalancer{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		servers: map[ServerID]*refServer{}, requests: map[RequestID]*refRequest{}, bySeq: map[uint64]*refRequest{},
		memories: map[string]refMemory{}, loads: make([]float64, len(set.Classes)+1), mean: 0.5,
		seq: timerHeld, window: windowMost / 4,
	}
	hidden := hiddenLoad * (1 - 1/b.peers())
	b.gap = gapPrice * set.Costs.CrossZone
	b.roomy, b.full = roomyLoad-hidden, fullLoad-hidden/2
	return b, nil
}

func (b *refBalancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = now, out
	switch ev := ev.(type) {
	case Started:
		b.start()
	case ListReceived:
		b.list(ev)
	case RequestArrived:
		b.refRequest(ev)
	case ConnectionRestored:
		b.opened(ev)
	case Established:
		b.established(ev)
	case LoadChanged:
		b.loadChanged(ev)
	case MessageDelayReported:
		b.messagesSlow(ev)
	case AttemptEnded:
		b.ended(ev)
	case RequestExpired:
		if r := b.requests[ev.ID]; r != nil && !r.stands {
			b.answer(r)
		}
	case ClientDisconnected:
		b.forget(b.requests[ev.ID])
	case ProbeCompleted:
		b.probed(ev)
	case TimerFired:
		b.timer(ev.Token)
	}
	out, b.out = b.out, nil
	return out
}

func (b *refBalancer) do(a Action) { b.out = append(b.out, a) }

func (b *refBalancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

func (b *refBalancer) refServer(id ServerID) *refServer {
	s := b.servers[id]
	if s == nil {
		s = &refServer{Server: Server{ID: id, State: Removed}, order: refMix(b.set.Seed, uint64(id))}
		b.servers[id] = s
	}
	return s
}

func (b *refBalancer) setState(s *refServer, state State) {
	if state != Ready && s.State == Ready {
		s.told = b.now
	}
	s.State = state
}

func (s *refServer) shows(r LoadReport) {
	s.reported = r.Load
	if r.Connections >= shareLeast && r.Connections <= shareMost {
		s.each = r.Load / r.Connections
	}
}

func (b *refBalancer) spilling() bool {
	return b.spillAt > 0 && b.now-b.spillAt < spillFor || b.mean > b.roomy
}

func (b *refBalancer) usual(s *refServer) (load float64, guess bool) {
	if s.each > 0 {
		return s.each, false
	}
	held := float64(len(b.requests)) * b.peers() / float64(max(len(b.local), 1))
	return b.mean / max(held, shareLeast), held < shareLeast || b.told < meanLeast
}

func (b *refBalancer) learnMean(load float64) {
	b.told++
	b.mean += (min(load, 1.5) - b.mean) / poolSize
}

func (b *refBalancer) share(r *refRequest, s *refServer) float64 {
	usual, _ := b.usual(s)
	return b.weight(r) * usual
}

func (b *refBalancer) opens(r *refRequest, s *refServer) float64 {
	usual, guess := b.usual(s)
	opened := func(x refBooking) bool { return x.r.Group == r.Group }
	if guess || !b.grouped(r) || s.groups[r.Group] > 0 || slices.ContainsFunc(s.booked, opened) {
		return 0
	}
	return min((openGroup+b.weight(r))*usual, openMost) / b.peers()
}

func (b *refBalancer) fewer(s *refServer, x, y *refRequest) int {
	return cmp.Compare(s.groups[x.Group]/int(b.peers()), s.groups[y.Group]/int(b.peers()))
}

func (b *refBalancer) peers() float64 {
	return float64(max(1, b.set.Balancers/max(len(b.set.Zones), 1)))
}

func (b *refBalancer) each() float64 {
	sum, told := 0.0, 0.0
	for _, s := range b.ready {
		if s.each > 0 && !b.cold(s) {
			sum, told = sum+s.each, told+1
		}
	}
	return sum / max(told, 1)
}

type refBooking struct {
	r     *refRequest
	share float64
	at    time.Duration
}

func (s *refServer) book(r *refRequest, share float64, now time.Duration) {
	s.load += share
	s.booked = append(s.booked, refBooking{r, share, now})
}

func (s *refServer) unbook(r *refRequest) {
	s.booked = slices.DeleteFunc(s.booked, func(x refBooking) bool {
		if x.r == r {
			s.load -= x.share
		}
		return x.r == r
	})
}

func (s *refServer) unseen(now time.Duration) (sum float64) {
	s.booked = slices.DeleteFunc(s.booked, func(x refBooking) bool { return now-x.at > reportLag })
	for _, x := range s.booked {
		sum += x.share
	}
	return sum
}

func (b *refBalancer) sign() { b.lastSign, b.failing = b.now, false }

func (b *refBalancer) Avoids(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejected
}

func (b *refBalancer) alive(s *refServer) {
	s.streak = 0
	b.sign()
}

func refWithout[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

func refAddAnswer(pool []*refServer, s *refServer) []*refServer {
	pool = append(refWithout(pool, s), s)
	return pool[max(0, len(pool)-poolSize):]
}

func (b *refBalancer) unpool(s *refServer) {
	b.pool, b.away = refWithout(b.pool, s), refWithout(b.away, s)
}

func refLeast(list []*refServer, fit func(*refServer) bool, key func(*refServer) float64) (best *refServer) {
	low := math.Inf(1)
	for _, s := range list {
		if k := key(s); k < low && fit(s) {
			best, low = s, k
		}
	}
	return best
}

func (b *refBalancer) ranked(r *refRequest) (homes, away []*refServer) {
	if r.ranked != b.lists {
		r.homes, r.away, r.ranked = b.homes(r, b.local), b.homes(r, b.remote), b.lists
	}
	return r.homes, r.away
}

func (b *refBalancer) classOf(r *refRequest) *Class { return &b.set.Classes[r.Class] }

func (b *refBalancer) inOrder(list []*refServer, fit func(*refServer) bool) *refServer {
	for i := range list {
		if s := list[(b.next+i)%len(list)]; fit(s) {
			b.next += i + 1
			return s
		}
	}
	return nil
}

func refHolding(list []*refServer) (some []*refServer) {
	for _, s := range list {
		if len(s.conns) > 0 {
			some = append(some, s)
		}
	}
	return some
}

func refFirst(list []*refServer, fit func(*refServer) bool) *refServer {
	if i := slices.IndexFunc(list, fit); i >= 0 {
		return list[i]
	}
	return nil
}

func (b *refBalancer) opened(ev ConnectionRestored) {
	r := &refRequest{RequestArrived: ev.Request, tries: 1, srv: b.refServer(ev.Server), stands: true, out: true}
	b.requests[r.ID] = r
	r.srv.hold(r)
}

func (s *refServer) hold(r *refRequest) {
	s.conns = append(s.conns, r)
	if s.groups == nil {
		s.groups = map[string]int{}
	}
	s.groups[r.Group]++
}

func (s *refServer) release(r *refRequest) {
	s.conns = refWithout(s.conns, r)
	if s.groups[r.Group]--; s.groups[r.Group] == 0 {
		delete(s.groups, r.Group)
	}
}

func (b *refBalancer) forget(r *refRequest) {
	if r == nil {
		return
	}
	if r.out && !r.stands {
		b.dialing--
	}
	delete(b.requests, r.ID)
	delete(b.bySeq, r.seq)
	if r.stands {
		r.srv.release(r)
	}
	if r.srv != nil {
		r.srv.unbook(r)
	}
	b.waiting = refWithout(b.waiting, r)
}

func (b *refBalancer) remember(r *refRequest, code Code) {
	if code == Reset || r.tooMuch {
		b.need++
		b.broken++
	} else {
		b.left++
	}
	if r.Key == "" || code != Reset && code != Cancelled {
		return
	}
	if _, ok := b.memories[r.Key]; !ok {
		b.memOrder = append(b.memOrder, r.Key)
		if len(b.memOrder) > rememberMost {
			delete(b.memories, b.memOrder[0])
			b.memOrder = b.memOrder[1:]
		}
	}
	b.memories[r.Key] = refMemory{r.srv.ID, b.now, code == Reset || r.tooMuch}
}

func (b *refBalancer) expireMemories() {
	for len(b.memOrder) > 0 && b.now-b.memories[b.memOrder[0]].at > rememberFor {
		delete(b.memories, b.memOrder[0])
		b.memOrder = b.memOrder[1:]
	}
}

func (b *refBalancer) weight(r *refRequest) float64 {
	load, usual := cmp.Or(r.Load, b.loads[r.Class]), b.loads[len(b.loads)-1]
	if load <= 0 || usual <= 0 {
		return 1
	}
	return min(max(load/usual, 0.1), 10)
}

func (b *refBalancer) loadChanged(ev LoadChanged) {
	r := b.requests[ev.ID]
	if r == nil || ev.Load <= 0 {
		return
	}
	r.Load = ev.Load
	for _, i := range [2]int{r.Class, len(b.loads) - 1} {
		if b.loads[i] == 0 {
			b.loads[i] = ev.Load
		}
		b.loads[i] += (ev.Load - b.loads[i]) * learnRate
	}
}

func (b *refBalancer) learnRates() {
	step := tick.Seconds()
	b.rateSpan = min(b.rateSpan+step, rateTime.Seconds())
	b.rate += (b.new/step - b.rate) * step / b.rateSpan
	fade := 1 - step/fadeTime.Seconds()
	b.new, b.wasted, b.stood = 0, b.wasted*fade, b.stood*fade
	b.need *= 1 - step/needTime.Seconds()
	b.broken *= 1 - step/needTime.Seconds()
	b.learnLife()
	b.learnCapacity()
}

func (b *refBalancer) learnCapacity() {
	warm, fleet := 0, len(b.servers)
	for _, s := range b.ready {
		if b.cold(s) {
			fleet--
		} else {
			warm++
		}
	}
	if 2*warm >= fleet && warm > 0 {
		now := b.rate * float64(max(len(b.set.Zones), 1)) / (float64(fleet) * max(b.mean, 0.5))
		b.capSpan = min(b.capSpan+tick.Seconds(), capacityTime.Seconds())
		b.capacity += (now - b.capacity) * tick.Seconds() / b.capSpan
	}
}

func refDistance(group uint64, s *refServer) float64 {
	u := (float64(refMix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / cmp.Or(s.Weight, 1)
}

func refHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func refMix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *refBalancer) start() {
	b.lastSign = b.now
	b.do(SetTimer{Token: timerTick, Delay: 1 + b.jitter(tick)})
	b.pollAt = b.now + b.jitter(min(pollFirst, cmp.Or(b.set.Safety.MaxPollInterval/2, pollBase)))
}

func (b *refBalancer) period() time.Duration {
	return max(pollBase, b.set.Safety.MaxPollInterval) + time.Duration(b.set.Balancers)*pollEach
}

func (b *refBalancer) poll() {
	b.pollAt = b.now + b.period()
	if b.set.WatchList {
		b.do(WatchList{})
	} else {
		b.do(FetchList{})
	}
}

func (b *refBalancer) list(ev ListReceived) {
	if ev.Kind == ListFailed {
		wait := min(pollRetry<<min(b.pollFails, 5), b.period())
		b.pollFails++
		b.pollAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	b.pollFails = 0
	if ev.Kind != ListDelta {
		listed := make(map[ServerID]bool, len(ev.Servers))
		for _, s := range ev.Servers {
			listed[s.ID] = true
		}
		for id, s := range b.servers {
			if !listed[id] {
				b.setState(s, Removed)
			}
		}
	}
	for _, line := range ev.Servers {
		s := b.refServer(line.ID)
		if line.Started != s.Started {
			*s = refServer{Server: s.Server, order: s.order, told: s.told, conns: s.conns, groups: s.groups}
		}
		b.setState(s, line.State)
		s.Server = line
	}
	b.cache()
}

func (b *refBalancer) cache() {
	b.local, b.remote, b.ready = b.local[:0], b.remote[:0], b.ready[:0]
	b.lists++
	for id, s := range b.servers {
		switch {
		case s.State == Ready:
			b.ready = append(b.ready, s)
		case s.State == Removed && len(s.conns) == 0 && b.now-s.told > rememberFor:
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.ready, func(x, y *refServer) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
	})
	for _, s := range b.ready {
		if s.Zone == b.set.Zone {
			b.local = append(b.local, s)
		} else {
			b.remote = append(b.remote, s)
		}
	}
	if len(b.local) == 0 {
		b.local, b.remote = b.remote, b.local
	}
	gone := func(s *refServer) bool { return s.State != Ready }
	b.pool, b.away = slices.DeleteFunc(b.pool, gone), slices.DeleteFunc(b.away, gone)
	b.retryWaiting()
}

func (b *refBalancer) bootstrap() {
	b.do(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.lastSign)})
	b.lastSign, b.failing, b.pool = b.now, false, b.pool[:0]
	for _, s := range b.ready {
		s.streak, s.ejected, s.slow, s.at = 0, 0, 0, 0
	}
	b.do(FetchList{})
}

func (b *refBalancer) refRequest(ev RequestArrived) {
	b.seq++
	r := &refRequest{RequestArrived: ev, seq: b.seq, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.bySeq[r.seq] = r, r
	b.need++
	b.do(SetTimer{Token: r.seq, Delay: ev.Remaining})
	b.ask(r)
	b.place(r, len(b.waiting))
}

func (b *refBalancer) place(r *refRequest, before int) {
	if r.tries >= b.set.MaxAttempts || b.now >= r.deadline {
		b.answer(r)
		return
	}
	var s *refServer
	tries := !b.throttled() && b.now >= r.held
	if tries {
		s = b.pick(r)
	}
	if s == nil {
		if r.ran != nil && b.classOf(r).Idempotency != Idempotent || tries && b.hopeless(r, before) {
			b.answer(r)
			return
		}
		b.waiting = append(b.waiting, r)
		return
	}
	b.charge(r, s)
	left := r.deadline - b.now
	wait := min(left, max(left/time.Duration(b.set.MaxAttempts-r.tries), setupSlack*b.setup))
	r.srv, r.out = s, true
	b.dialing++
	r.tries++
	r.tried = append(r.tried, s.ID)
	if r.ran == nil {
		r.ranAt = b.now
	}
	b.do(StartAttempt{ID: r.ID, Server: s.ID, Timeout: wait})
}

func (b *refBalancer) hopeless(r *refRequest, before int) bool {
	return float64(before) > max(waitFree, b.stood/fadeTime.Seconds()*(r.deadline-b.now).Seconds())
}

func (b *refBalancer) throttled() bool {
	return b.wasted > throttleFree+b.stood || b.dialing >= int(b.window)
}

func (b *refBalancer) charge(r *refRequest, s *refServer) {
	s.uses++
	if s.uses >= poolUses || len(b.waiting) > 0 {
		b.unpool(s)
	}
	s.book(r, max(b.share(r, s), b.opens(r, s)), b.now)
	if b.cold(s) {
		s.credit -= b.weight(r)
	}
}

func (b *refBalancer) pick(r *refRequest) *refServer {
	was := b.memories[r.Key]
	if s := b.servers[was.refServer]; r.MidFlow && r.tries == 0 && s != nil && was.at > 0 && !was.lost {
		if s.State == Ready || b.now-s.told < b.set.Safety.DrainGrace {
			return s
		}
	}
	fit := func(s *refServer) bool {
		return !(was.lost && s.ID == was.refServer) && b.now >= s.ejected && !b.over(s) && b.allowed(r, s)
	}
	known := func(s *refServer) bool { return fit(s) && b.fresh(s) && s.load+b.opens(r, s) < b.full }
	room := func(s *refServer) bool { return known(s) && s.load+b.opens(r, s) < b.roomy }
	homes, away := b.ranked(r)
	if s := refFirst(homes, room); s != nil {
		return s
	}
	if s := refFirst(away, room); s != nil {
		b.spillAt = b.now
		return s
	}
	if s := refFirst(homes, known); s != nil {
		return s
	}
	short := func(s *refServer) bool { return b.over(s) || b.cold(s) }
	if slices.ContainsFunc(homes, short) || slices.ContainsFunc(away, short) {
		blind := func(s *refServer) bool { return fit(s) && !b.fresh(s) }
		homes, away = homes[:min(askCount, len(homes))], away[:min(askCount, len(away))]
		return cmp.Or(refFirst(homes, blind), refFirst(away, blind))
	}
	if s := cmp.Or(refFirst(homes, fit), refFirst(away, fit)); s != nil {
		return s
	}
	best := refLightest(b.pool, known)
	if best != nil && best.load < b.roomy {
		return best
	}
	if s := b.inOrder(b.local, func(s *refServer) bool { return b.cold(s) && fit(s) }); s != nil {
		return s
	}
	if best != nil || slices.ContainsFunc(b.pool, b.over) || !slices.ContainsFunc(b.local, fit) {
		b.spillAt = b.now
		better := func(s *refServer) bool { return room(s) && (best == nil || s.load < best.load-b.gap) }
		s := cmp.Or(refLightest(b.away, better), best)
		if s != nil || slices.ContainsFunc(b.pool, b.over) {
			return s
		}
	}
	doubtful := func(s *refServer) bool { return !b.over(s) && b.allowed(r, s) }
	for _, fit := range [2]func(*refServer) bool{fit, doubtful} {
		if s := cmp.Or(b.inOrder(b.local, fit), b.inOrder(b.remote, fit)); s != nil {
			return s
		}
	}
	return nil
}

func (b *refBalancer) fresh(s *refServer) bool { return s.at > 0 && b.now-s.at < poolAge }

func (b *refBalancer) over(s *refServer) bool { return b.now < s.slow || b.fresh(s) && s.load > b.full }

func (b *refBalancer) allowed(r *refRequest, s *refServer) bool {
	if slices.Contains(r.tried, s.ID) || !b.warmEnough(r, s) {
		return false
	}
	c := b.classOf(r)
	switch {
	case r.ran == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NotIdempotent || b.now+b.set.ConnectTimeout >= r.ranAt+c.DedupWindow:
		return false
	}
	return c.KeyScope == ScopeAll || s.Zone == r.ran.Zone && (c.KeyScope == ScopeZone || s.Cell == r.ran.Cell)
}

func refLightest(pool []*refServer, fit func(*refServer) bool) *refServer {
	return refLeast(pool, fit, func(s *refServer) float64 { return s.load })
}

func (b *refBalancer) grouped(r *refRequest) bool { return b.set.GroupAffinity && r.Group != "" }

func (b *refBalancer) homes(r *refRequest, list []*refServer) (homes []*refServer) {
	if !b.grouped(r) {
		return nil
	}
	group, most := refHash(r.Group), min(homeCount, (len(list)+1)/2)
	keys := make([]float64, 0, homeCount+1)
	homes = make([]*refServer, 0, homeCount+1)
	for _, s := range list {
		key := refDistance(group, s)
		i := len(keys)
		for i > 0 && key < keys[i-1] {
			i--
		}
		if i < most {
			keys, homes = slices.Insert(keys, i, key), slices.Insert(homes, i, s)
			n := min(len(keys), most)
			keys, homes = keys[:n], homes[:n]
		}
	}
	return homes
}

func (b *refBalancer) ask(r *refRequest) {
	known := b.grouped(r) || slices.ContainsFunc(b.pool, func(s *refServer) bool {
		return b.fresh(s) && s.load < b.roomy && b.warmEnough(r, s)
	})
	homes, far := b.ranked(r)
	for i, targets := range [2][]*refServer{homes, far} {
		list := [2][]*refServer{b.local, b.remote}[i]
		settled := i == 0 && len(targets) > 0 && targets[0].load < b.roomy &&
			b.now-targets[0].at < b.askAfter()
		if !b.set.ProbingAllowed || settled || i > 0 && !b.spilling() && !b.grouped(r) {
			return
		}
		targets = targets[:min(askCount, len(targets))]
		for n := 0; !known && n < min(askCount, len(list)); n++ {
			b.probeNext++
			targets = append(targets, list[b.probeNext%len(list)])
		}
		for _, s := range targets {
			if b.now >= s.ejected && b.now-s.at > b.askAfter() && b.now-s.asked > b.askAfter() {
				s.asked, r.held = b.now, b.now+askWait
				b.do(Probe{Server: s.ID})
				b.do(SetTimer{Token: timerHeld, Delay: askWait})
			}
		}
	}
}

func (b *refBalancer) askAfter() time.Duration {
	return max(askLeast, min(askMost, askFleet/time.Duration(b.set.Balancers)))
}

func (b *refBalancer) cold(s *refServer) bool {
	return s.Started > 0 && b.now-s.Started < b.set.Safety.SlowStartDuration
}

func (b *refBalancer) warmEnough(r *refRequest, s *refServer) bool {
	if !b.cold(s) || s.Zone != b.set.Zone {
		return !b.cold(s)
	}
	if b.grouped(r) && r.cameFor != s {
		r.cameFor = s
		s.demand.add(b.now)
	}
	rules := b.set.Safety
	if b.now >= s.creditUntil {
		age := float64(b.now-s.Started) / float64(rules.SlowStartDuration)
		part := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		span := max(rules.OverloadWindow, tick)
		comes, sharers := b.comesFor(r, s, span), b.sharers()
		work := max(part*b.takes()*span.Seconds(), coldLeast/max(float64(b.set.Balancers), sharers))
		use := comes / (1 + comes)
		mine := coldSafety / max(use, coldUseLeast) * rules.OverloadFactor * work
		if each := b.each(); each > 0 {
			bears := rules.OverloadFactor * part * span.Seconds() / (each * b.life())
			mine = max(mine, min(coldSafety*bears/(use*sharers), 1))
		}
		s.credit, s.creditUntil = math.Floor(mine+b.rng.Float64()), b.now+span
	}
	return s.credit >= min(b.weight(r), 1)
}

func (b *refBalancer) life() float64 {
	if b.left == 0 {
		return usualLife.Seconds()
	}
	return (usualLife.Seconds() + b.lived) / (1 + b.left)
}

func (b *refBalancer) learnLife() {
	fade := 1 - tick.Seconds()/lifeTime.Seconds()
	b.lived, b.left = b.lived*fade+float64(len(b.requests))*tick.Seconds(), b.left*fade
}

func (b *refBalancer) takes() float64 {
	own, warm := 0, 0
	for _, s := range b.local {
		if !b.cold(s) {
			own, warm = own+len(s.conns), warm+1
		}
	}
	if warm == 0 {
		return b.capacity
	}
	return min(b.capacity, float64(own)/(b.life()*float64(warm)*max(b.mean, 0.5)))
}

func (b *refBalancer) comes(r *refRequest, span time.Duration) float64 {
	spread := len(b.local)
	if !b.grouped(r) && b.spilling() {
		spread = 0
		for _, s := range b.local {
			if b.cold(s) {
				spread++
			}
		}
	}
	return b.need / needTime.Seconds() * span.Seconds() / float64(max(spread, 1))
}

func (b *refBalancer) comesFor(r *refRequest, s *refServer, span time.Duration) float64 {
	mean := b.comes(r, span)
	if !b.grouped(r) || mean == 0 {
		return mean
	}
	window := needTime.Seconds() / span.Seconds()
	came := s.demand.value(b.now)
	usual := (priorDemand + came) / (priorDemand/mean + window)
	storm := min(1, 2*b.broken/b.need)
	return max(mean, storm*came/window+(1-storm)*usual)
}

func (b *refBalancer) sharers() float64 {
	held, own, told := 0.0, 0.0, 0
	for _, s := range b.local {
		own += float64(len(s.conns))
		if s.each > 0 {
			held, told = held+min(s.reported/s.each, shareMost), told+1
		}
	}
	if told == 0 {
		return b.peers()
	}
	held *= float64(len(b.local)) / float64(told)
	chance, most := math.Sqrt(own), b.peers()
	if own > chance {
		most = min(most, held/(own-chance))
	}
	return max(most, held/(own+chance+1), 1)
}

func (b *refBalancer) established(ev Established) {
	b.alive(b.refServer(ev.Server))
	r := b.requests[ev.ID]
	if r == nil || r.srv == nil || !r.out || r.stands {
		return
	}
	r.stands = true
	b.setup += (ev.Elapsed - b.setup) / setupMemory
	b.dialing--
	b.window = min(b.window+1/b.window, windowMost)
	b.new++
	b.stood++
	r.srv.hold(r)
	delete(b.bySeq, r.seq)
	b.retryWaiting()
}

func (b *refBalancer) ended(ev AttemptEnded) {
	s, r := b.refServer(ev.Server), b.requests[ev.ID]
	b.judge(s, ev.Code)
	if r == nil || !r.out || r.srv != s || ev.Attempt != r.tries-1 {
		return
	}
	if !r.stands {
		b.dialing--
		if !ev.Code.NeverExecuted() {
			b.wasted++
		}
	}
	r.out = false
	if ev.Final {
		if r.stands {
			b.remember(r, ev.Code)
		}
		b.forget(r)
		return
	}
	if !ev.Code.NeverExecuted() && r.ran == nil {
		r.ran = s
	}
	if ev.Code == TimedOut {
		b.setup += (max(setupSlack*ev.Elapsed, b.setup) - b.setup) / setupMemory
		if b.now-b.cutAt > tick {
			b.window, b.cutAt = max(b.window/2, 1), b.now
		}
	}
	if r.stands || ev.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.answer(r)
		return
	}
	b.place(r, len(b.waiting))
}

func (b *refBalancer) judge(s *refServer, code Code) {
	switch code {
	case OK:
		b.alive(s)
	case Rejected:
		b.sign()
		s.ejected = max(s.ejected, b.now+fullRest)
	case ServerError, TimedOut, ConnectFailed, Reset:
		if code == ServerError || !b.failing {
			b.lastSign, b.failing = b.now, code != ServerError
		} else if b.now-b.lastSign > deadAfter {
			b.bootstrap()
		}
		s.streak++
		b.eject(s, min(ejectFirst<<min(s.streak-1, 4), ejectMost))
	}
}

func (b *refBalancer) eject(s *refServer, d time.Duration) {
	out := 0
	for _, o := range b.ready {
		if o != s && b.now < o.ejected {
			out++
		}
	}
	if b.now >= s.ejected && float64(out+1) <= ejectPart*float64(len(b.ready)) {
		s.ejected = b.now + d
		b.unpool(s)
	}
}

func (b *refBalancer) answer(r *refRequest) {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || r.ran == nil && !r.out || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		rest := refuseRest
		if len(b.waiting) > waitFree {
			rest = max(rest, b.set.MaxRetryAfter/2)
		}
		b.do(Reject{ID: r.ID, RetryAfter: min(rest+b.jitter(rest), b.set.MaxRetryAfter)})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.forget(r)
}

func (b *refBalancer) probed(ev ProbeCompleted) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if ev.Code != OK {
		b.judge(s, ev.Code)
		return
	}
	b.sign()
	if !(ev.Report.Load >= 0 && ev.Report.Load <= mostLoad) {
		return
	}
	s.load, s.at, s.uses = ev.Report.Load+s.unseen(b.now), b.now, 0
	s.shows(ev.Report)
	if s.State != Ready {
		return
	}
	if slices.Contains(b.local, s) {
		b.pool = refAddAnswer(b.pool, s)
		b.learnMean(s.load)
	} else {
		b.away = refAddAnswer(b.away, s)
	}
	if !b.over(s) {
		b.retryWaiting()
	}
}

func (b *refBalancer) messagesSlow(ev MessageDelayReported) {
	s, r := b.refServer(ev.Server), b.requests[ev.ID]
	if r == nil {
		return
	}
	s.slow = 0
	if aim := b.classOf(r).MessageLatencyObjective; aim > 0 && ev.Delay > aim/2 {
		s.slow = b.now + slowFor
		if s.State == Ready && b.now-s.at > time.Second && b.probeCredit > -probeDebt && b.set.ProbingAllowed {
			b.probeCredit--
			b.do(Probe{Server: s.ID})
		}
	}
}

func (b *refBalancer) timer(token uint64) {
	switch {
	case token == timerHeld:
		b.retryWaiting()
		return
	case token != timerTick:
		if r := b.bySeq[token]; r != nil {
			b.answer(r)
		}
		return
	}
	b.do(SetTimer{Token: timerTick, Delay: tick})
	b.learnRates()
	if b.now >= b.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.rebalance()
	b.probe()
	b.expireMemories()
}

func (b *refBalancer) retryWaiting() {
	for left := len(b.waiting) - 1; left >= 0; left-- {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.place(r, len(b.waiting)-left)
	}
}

func (b *refBalancer) rebalance() {
	for _, s := range b.ready {
		bad := s.reported > moveLoad || b.now < s.slow && s.reported > moveTarget
		if len(s.conns) > 0 && bad && b.fresh(s) && s.at > s.movedAt+moveSettle {
			s.movedAt = b.now
			n := int(float64(len(s.conns))*(1-moveTarget/s.reported) + b.rng.Float64())
			for _, r := range b.farthest(s)[:min(n, len(s.conns))] {
				r.tooMuch = true
				b.do(Migrate{ID: r.ID})
			}
		}
	}
}

func (b *refBalancer) farthest(s *refServer) []*refRequest {
	conns := slices.Clone(s.conns)
	b.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	slices.SortStableFunc(conns, func(x, y *refRequest) int {
		return cmp.Or(b.fewer(s, x, y), cmp.Compare(refDistance(refHash(y.Group), s), refDistance(refHash(x.Group), s)))
	})
	return conns
}

func (b *refBalancer) probe() {
	if !b.set.ProbingAllowed || len(b.local) == 0 {
		return
	}
	worth := max(b.rate, float64(len(b.requests))/usualLife.Seconds())
	own, near := refHolding(b.ready), b.local
	refLeast := probeLeast
	if len(own) == 0 {
		refLeast *= min(1, probeFew/float64(b.set.Balancers))
	}
	rate := max(refLeast, worth*probeShare/cmp.Or(b.set.Costs.Probe, math.Inf(1)))
	away, hot := b.remote, append(refHolding(b.remote), b.local...)
	if !b.spilling() {
		away = refHolding(b.remote)
	}
	if len(own) > 0 && len(own) < len(b.local) {
		near, away, hot = own, nil, own
	}
	if s := refFirst(away, func(s *refServer) bool { return s.at == 0 && b.now-s.asked > askMost }); s != nil {
		s.asked = b.now
		b.do(Probe{Server: s.ID})
	}
	b.hotCredit = min(b.hotCredit+rate*tick.Seconds(), probeDebt)
	for _, s := range hot {
		if s.load > b.roomy && b.now-max(s.at, s.asked) >= hotAge && b.hotCredit >= 1 {
			s.asked = b.now
			b.hotCredit--
			b.do(Probe{Server: s.ID})
		}
	}
	b.probeCredit = min(b.probeCredit+min(rate, float64(len(b.local)))*tick.Seconds(), poolSize)
	for ; b.probeCredit >= 1; b.probeCredit-- {
		if b.probeTurn++; b.probeTurn%2 == 0 && len(away) > 0 {
			b.do(Probe{Server: away[b.probeTurn/2%len(away)].ID})
			continue
		}
		from := near
		if b.probeTurn%poolTurn == 0 {
			from = b.local
		}
		b.probeNext++
		b.do(Probe{Server: from[b.probeNext%len(from)].ID})
	}
}

func (b *refBalancer) Learned() (all []LearnedState) {
	for _, s := range b.ready {
		l := LearnedState{Server: s.ID, Load: s.reported, Age: -1, LoadPerConnection: s.each, ConsecutiveFailures: s.streak, EjectedFor: max(s.ejected-b.now, 0)}
		if s.at > 0 {
			l.Age = b.now - s.at
		}
		all = append(all, l)
	}
	return all
}

func (b *refBalancer) Learn(all []LearnedState) {
	for _, l := range all {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		if l.ConsecutiveFailures > 0 && l.EjectedFor > 0 {
			s.streak, s.ejected = l.ConsecutiveFailures, b.now+min(l.EjectedFor, ejectMost)
		}
		if l.LoadPerConnection > 0 && l.LoadPerConnection < 1 {
			s.each = l.LoadPerConnection
		}
		if l.Age >= 0 && l.Age < poolAge && l.Load >= 0 {
			s.load, s.reported, s.at = l.Load, l.Load, b.now-l.Age
		}
	}
}
