package decide

// What a Balancer keeps of what it has seen, and the records' upkeep. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	timerTick = 0 // timer tokens; those above are requests' deadlines
	timerHeld = 1

	learnRate    = 0.02 // weight of one told load in a class's usual load
	rememberMost = 1024 // clients' last servers that are kept
)

// server is what this balancer knows of one server.
type server struct {
	Server
	order       uint64         // place in this balancer's cache order
	told        time.Duration  // when it was reported draining or gone
	load        float64        // latest probed load, plus own placements since
	reported    float64        // that load without them
	at          time.Duration  // when that was probed; 0: never
	each        float64        // load of one connection there, as a report showed it; 0: unknown
	uses        int            // placements on that answer
	asked       time.Duration  // when it was last probed ahead of the steady probes, for a request
	streak      int            // failures since the last success
	ejected     time.Duration  // until then
	slow        time.Duration  // messages are slow there, until then unless told again
	credit      float64        // slow start: placements this balancer may make while it is cold,
	creditUntil time.Duration  // until then
	demand      fadingCount    // requests of groups at home there that came for it while it was cold
	booked      []booking      // own placements that a report may not show yet, oldest first
	movedAt     time.Duration  // when connections were last moved off
	conns       []*request     // connections that stand there through this balancer,
	groups      map[string]int // and how many of each group
	place       place          // in the index
}

// request is one client request from its arrival to its end.
type request struct {
	RequestArrived
	seq      uint64
	deadline time.Duration
	held     time.Duration // not placed before
	tries    int
	tried    []ServerID
	srv      *server       // the server of the latest attempt
	out      bool          // that attempt has not ended
	stands   bool          // its connection stands
	tooMuch  bool          // it was moved off an overloaded server
	cameFor  *server       // the cold server whose demand it was last counted in
	homes    []*server     // its group's servers in the own zone,
	away     []*server     // and elsewhere,
	ranked   uint64        // by that list
	ran      *server       // the server of the first attempt that may have run,
	ranAt    time.Duration // sent at or after this
}

// memory is where a client's key last was; lost says that its connection broke there, or was too much for it.
type memory struct {
	server ServerID
	at     time.Duration
	lost   bool
}

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	set Settings
	rng *rand.Rand
	now time.Duration
	out []Action

	fleet fleetShare
	index
	lists               uint64        // counts the lists that came
	next                int           // rotates the cache order
	pollAt              time.Duration // next poll
	pollFails           int
	lastSign            time.Duration // last sign of life from any server, or the first failure after it
	failing             bool          // attempts have failed since then
	pool, away          []*server     // fresh answers, oldest first: own zone; others, while it lacks room
	mean                float64       // average load that own-zone probes tell,
	told                int           // and how many have
	spillAt             time.Duration // when the own zone last lacked room
	probeNext           int           // rotates the probes of the own zone,
	probeTurn           int           // and decides when it is another's turn
	probeCredit         float64
	hotCredit           float64 // probes ahead of the steady ones, for servers short of room
	requests            map[RequestID]*request
	bySeq               map[uint64]*request
	seq                 uint64
	waiting             []*request // held: no server may take them now
	memories            map[string]memory
	memOrder            []string
	wasted, stood       float64       // recent attempts that may have run and did not stand, and those that stood, fading
	rate, rateSpan, new float64       // connections set up a second, over how many; those since the last tick
	capacity            float64       // of a warm server: connections a second, this balancer's part
	capSpan             float64       // seconds over which that is averaged
	need                float64       // requests that came of late, and connections that broke, fading,
	broken              float64       // and of these the connections
	lived, left         float64       // seconds that connections have stood, and how many left by themselves, fading
	setup               time.Duration // how long set-ups take of late
	dialing             int           // attempts that are out and do not stand
	window              float64       // how many of these may be
	cutAt               time.Duration // when it was last halved
	roomy, full         float64       // loads, as the number of balancers makes them
	gap                 float64       // in load, by which another zone's server must be lighter than the own zone's best
	loads               []float64     // usual load of each class, learnt, and last of any; 0: unknown
}

// New checks the settings and returns a balancer that knows no server yet.
func New(set Settings) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Balancers, set.MaxAttempts = max(set.Balancers, 1), max(set.MaxAttempts, 1)
	b := &Balancer{
		set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		index: newIndex(), requests: map[RequestID]*request{}, bySeq: map[uint64]*request{},
		memories: map[string]memory{}, loads: make([]float64, len(set.Classes)+1), mean: 0.5,
		seq: timerHeld, window: windowMost / 4, fleet: fleetShare{FleetSize: ConfiguredFleetSize(set)},
	}
	b.near, b.far = &b.zones[0], &b.zones[1]
	b.gap = gapPrice * set.Costs.CrossZone
	b.setMargins()
	return b, nil
}

// Handle takes one event and appends the actions it calls for to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = now, out
	b.turn()
	switch ev := ev.(type) {
	case Started:
		b.start()
	case ListReceived:
		b.list(ev)
	case RequestArrived:
		b.request(ev)
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
	case FleetSize:
		b.fleetSize(ev)
	case TimerFired:
		b.timer(ev.Token)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// jitter returns a random part of d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// server returns the record of a server, made when it is new.
func (b *Balancer) server(id ServerID) *server {
	s := b.record(id)
	if s.place.zone == nil {
		b.reindex(s)
	}
	return s
}

// record does so for a list, which is indexed as a whole.
func (b *Balancer) record(id ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{Server: Server{ID: id, State: Removed}, order: mix(b.set.Seed, uint64(id))}
		b.servers[id] = s
	}
	return s
}

func (b *Balancer) setState(s *server, state State) {
	if state != Ready && s.State == Ready {
		s.told = b.now
	}
	s.State = state
}

// gapPrice makes a load of the price of crossing, which is in parts of a request's worth: a server that is lighter by so much has
// to serve better by as much as crossing costs, and a quarter more for the doubt in the two reports.
const gapPrice = 1.25

// shareLeast is how many connections a report must show to tell the load of one.
const shareLeast = 4

// shareMost is how many it may show; more is spoilt, as no process has so many descriptors.
const shareMost = 1 << 20

// shows keeps what a report tells: the load, and what one connection loads the server with.
func (s *server) shows(r LoadReport) {
	s.reported = r.Load
	if r.Connections >= shareLeast && r.Connections <= shareMost {
		s.each = r.Load / r.Connections
	}
}

// spilling tells whether the own zone was short of room lately, so that other zones must be known too.
func (b *Balancer) spilling() bool {
	return b.spillAt > 0 && b.now-b.spillAt < spillFor || b.mean > b.roomy
}

// usual estimates what a usual connection adds to a server's load, as its report tells, else as the zone's mean load over
// the connections that a server holds on average, were all balancers alike. Of fewer than shareLeast, or of few reports, it is a guess.
func (b *Balancer) usual(s *server) (load float64, guess bool) {
	if s.each > 0 {
		return s.each, false
	}
	held := float64(len(b.requests)) * b.peers() / float64(max(len(b.local), 1))
	return b.mean / max(held, shareLeast), held < shareLeast || b.told < meanLeast
}

// meanLeast is how many reports the mean load is of before it tells more than what it began with.
const meanLeast = 2 * poolSize

func (b *Balancer) learnMean(load float64) {
	b.told++
	b.mean += (min(load, 1.5) - b.mean) / poolSize
}

// share is what a request's connection adds.
func (b *Balancer) share(r *request, s *server) float64 {
	usual, _ := b.usual(s)
	return b.weight(r) * usual
}

// openMost bounds the price of opening a group. Guards a balancer that has just started: by the few connections that it holds,
// one looks several times too dear, and it holds its clients back before servers with room.
const openMost = 0.2

// opens is what a request adds to a server that holds none of its group yet, which pays for the group from then on, as
// far as this balancer knows: where others share the zone, one of them holds some of it there most likely.
func (b *Balancer) opens(r *request, s *server) float64 {
	usual, guess := b.usual(s)
	opened := func(x booking) bool { return x.r.Group == r.Group } // its set-up is under way, say
	if guess || !b.grouped(r) || s.groups[r.Group] > 0 || slices.ContainsFunc(s.booked, opened) {
		return 0
	}
	return min((openGroup+b.weight(r))*usual, openMost) / b.peers()
}

// fewer compares two connections of a server by how many of their groups it holds, as far as this balancer knows: of what
// many balancers hold there its own part says nothing.
func (b *Balancer) fewer(s *server, x, y *request) int {
	return cmp.Compare(s.groups[x.Group]/int(b.peers()), s.groups[y.Group]/int(b.peers()))
}

// booking is a placement's share of a server's load.
type booking struct {
	r     *request
	share float64
	at    time.Duration
}

// book adds a placement to a server's load until a report shows it.
func (b *Balancer) book(r *request, s *server, share float64) {
	s.load += share
	s.booked = append(s.booked, booking{r, share, b.now})
	b.reindex(s)
}

// unbook takes it back, as what it was for has ended or never came to be. Guards against a server that looks full by
// clients that have left, and is asked for nothing that would tell.
func (s *server) unbook(r *request) {
	s.booked = slices.DeleteFunc(s.booked, func(x booking) bool {
		if x.r == r {
			s.load -= x.share
		}
		return x.r == r
	})
}

// unseen is the share of the placements that a report coming now may not show yet. Each is forgotten by itself: guards
// against a server that looks full for as long as it is sent a client now and then.
func (s *server) unseen(now time.Duration) (sum float64) {
	s.booked = slices.DeleteFunc(s.booked, func(x booking) bool { return now-x.at > reportLag })
	for _, x := range s.booked {
		sum += x.share
	}
	return sum
}

// sign notes that some server answers.
func (b *Balancer) sign() { b.lastSign, b.failing = b.now, false }

// Ejected tells whether a server gets nothing new for now though it is ready. It looks only.
func (b *Balancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejected
}

// alive notes that a server answers.
func (b *Balancer) alive(s *server) {
	s.streak = 0
	b.sign()
}

// without takes x out of list, in place.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

// addAnswer puts a server's new answer last in its pool; the oldest beyond the size falls out.
func addAnswer(pool []*server, s *server) []*server {
	pool = append(without(pool, s), s)
	return pool[max(0, len(pool)-poolSize):]
}

// unpool takes a server's answer out of the pools.
func (b *Balancer) unpool(s *server) {
	b.pool, b.away = without(b.pool, s), without(b.away, s)
}

// least is the fit server of a list with the smallest key, or nil.
func least(list []*server, fit func(*server) bool, key func(*server) float64) (best *server) {
	low := math.Inf(1)
	for _, s := range list {
		if k := key(s); k < low && fit(s) {
			best, low = s, k
		}
	}
	return best
}

// ranked gives the homes of a request here and elsewhere, ranked once for each list: a request that waits is tried
// at every answer.
func (b *Balancer) ranked(r *request) (homes, away []*server) {
	if r.ranked != b.lists {
		r.homes, r.away, r.ranked = b.homes(r, b.near), b.homes(r, b.far), b.lists
	}
	return r.homes, r.away
}

func (b *Balancer) classOf(r *request) *Class { return &b.set.Classes[r.Class] }

// first is the first fit server of a list.
func first(list []*server, fit func(*server) bool) *server {
	if i := slices.IndexFunc(list, fit); i >= 0 {
		return list[i]
	}
	return nil
}

func (b *Balancer) opened(ev ConnectionRestored) {
	r := &request{RequestArrived: ev.Request, tries: 1, srv: b.server(ev.Server), stands: true, out: true}
	b.requests[r.ID] = r
	b.hold(r)
}

// hold notes that a connection stands at its server.
func (b *Balancer) hold(r *request) {
	s := r.srv
	s.conns = append(s.conns, r)
	if s.groups == nil {
		s.groups = map[string]int{}
	}
	s.groups[r.Group]++
	b.reindex(s)
}

// release notes that it does not any more.
func (s *server) release(r *request) {
	s.conns = without(s.conns, r)
	if s.groups[r.Group]--; s.groups[r.Group] == 0 {
		delete(s.groups, r.Group)
	}
}

// forget frees a request's state.
func (b *Balancer) forget(r *request) {
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
		b.reindex(r.srv)
	}
	b.waiting = without(b.waiting, r)
}

// remember keeps a client off the server it lost, or was moved off for its load, and finds the server of one whose packets come back.
func (b *Balancer) remember(r *request, code Code) {
	if code == Reset || r.tooMuch { // it comes again, as those of others do that were cut off with it
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
	b.memories[r.Key] = memory{r.srv.ID, b.now, code == Reset || r.tooMuch}
}

// expireMemories drops what is too old to matter.
func (b *Balancer) expireMemories() {
	for len(b.memOrder) > 0 && b.now-b.memories[b.memOrder[0]].at > rememberFor {
		delete(b.memories, b.memOrder[0])
		b.memOrder = b.memOrder[1:]
	}
}

// weight is a request's load against a usual connection's, by its hint or its class's history.
func (b *Balancer) weight(r *request) float64 {
	load, usual := cmp.Or(r.Load, b.loads[r.Class]), b.loads[len(b.loads)-1]
	if load <= 0 || usual <= 0 {
		return 1
	}
	return min(max(load/usual, 0.1), 10)
}

func (b *Balancer) loadChanged(ev LoadChanged) {
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

// learnRates keeps the figures that fade with time; it runs once a tick.
func (b *Balancer) learnRates() {
	// A mean over the time seen at first, fading later.
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

// learnCapacity estimates how many connections a second a warm server can take, as the part of one of its zone's
// balancers: the own rate, as if all balancers had the same, over the fleet's servers, scaled up to full load.
// The fleet is what was listed lately and is not cold, lost servers too, since their clients come to the others;
// while most of it is lost, what was known before stands. It changes slowly, for a storm of clients that come back
// says nothing of what a server can take.
func (b *Balancer) learnCapacity() {
	cold := b.coldCount()
	warm, fleet := len(b.ready)-cold, len(b.servers)-cold
	if 2*warm >= fleet && warm > 0 {
		now := b.rate * float64(max(len(b.set.Zones), 1)) / (float64(fleet) * max(b.mean, 0.5))
		b.capSpan = min(b.capSpan+tick.Seconds(), capacityTime.Seconds())
		b.capacity += (now - b.capacity) * tick.Seconds() / b.capSpan
	}
}

// distance is how far a server is from being a group's first; equal at all balancers.
func distance(group uint64, s *server) float64 {
	u := (float64(mix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / cmp.Or(s.Weight, 1)
}

// hash and mix are equal on every machine.

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func mix(a, b uint64) uint64 { return mixed(a ^ b*mixStep) }

const mixStep = 0x9e3779b97f4a7c15

func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
