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
	timerTick         = 0 // timer tokens; those above are requests' deadlines
	timerRetryWaiting = 1

	classLoadWeight  = 0.02 // weight of one told load in a class's usual load
	maxClientRecords = 1024 // clients' last servers that are kept
)

// server is what this balancer knows of one server.
type server struct {
	Server
	cacheOrder          uint64          // place in this balancer's cache order
	notReadySince       time.Duration   // when it was reported draining or gone
	load                float64         // latest probed load, plus own placements since
	reportedLoad        float64         // that load without them
	reportedAt          time.Duration   // when that was probed; 0: never
	loadPerConnection   float64         // load of one connection there, as a report showed it; 0: unknown
	placementsOnReport  int             // placements on that answer
	probedOnDemandAt    time.Duration   // when it was last probed ahead of the steady probes, for a request
	consecutiveFailures int             // failures since the last success
	ejectedUntil        time.Duration   // until then
	slowUntil           time.Duration   // messages are slow there, until then unless told again
	slowStartQuota      float64         // slow start: placements this balancer may make while it is cold,
	slowStartQuotaUntil time.Duration   // until then
	groupDemand         decayingCounter // requests of groups at home there that came for it while it was cold
	reservations        []reservation   // own placements that a report may not show yet, oldest first
	migratedAt          time.Duration   // when connections were last moved off
	connections         []*request      // connections that stand there through this balancer,
	connectionsByGroup  map[string]int  // and how many of each group
	entry               indexEntry      // in the index
}

// request is one client request from its arrival to its end.
type request struct {
	RequestArrived
	timerToken           uint64
	deadline             time.Duration
	notBefore            time.Duration // not placed before
	attempts             int
	triedServers         []ServerID
	server               *server       // the server of the latest attempt
	inFlight             bool          // that attempt has not ended
	established          bool          // its connection stands
	migrated             bool          // it was moved off an overloaded server
	demandCountedFor     *server       // the cold server whose demand it was last counted in
	localPreferred       []*server     // its group's servers in the own zone,
	remotePreferred      []*server     // and elsewhere,
	preferredListVersion uint64        // by that list
	executedOn           *server       // the server of the first attempt that may have run,
	firstSentAt          time.Duration // sent at or after this
}

// clientRecord is where a client's key last was; lost says that its connection broke there, or was too much for it.
type clientRecord struct {
	server  ServerID
	endedAt time.Duration
	avoid   bool
}

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	fleet fleetState
	serverIndex
	listVersion                                           uint64        // counts the lists that came
	cursor                                                int           // rotates the cache order
	pollAt                                                time.Duration // next poll
	pollFailures                                          int
	lastAnswerAt                                          time.Duration // last sign of life from any server, or the first failure after it
	allFailing                                            bool          // attempts have failed since then
	localAnswers, remoteAnswers                           []*server     // fresh answers, oldest first: own zone; others, while it lacks room
	meanLoad                                              float64       // average load that own-zone probes tell,
	meanLoadReports                                       int           // and how many have
	lastSpillAt                                           time.Duration // when the own zone last lacked room
	probeCursor                                           int           // rotates the probes of the own zone,
	probeCount                                            int           // and decides when it is another's turn
	probeCredit                                           float64
	overloadProbeCredit                                   float64 // probes ahead of the steady ones, for servers short of room
	requests                                              map[RequestID]*request
	requestsByToken                                       map[uint64]*request
	lastToken                                             uint64
	waiting                                               []*request // held: no server may take them now
	clients                                               map[string]clientRecord
	clientOrder                                           []string
	recentFailures, recentEstablished                     float64       // recent attempts that may have run and did not stand, and those that stood, fading
	establishRate, establishRateSpan, establishedThisTick float64       // connections set up a second, over how many; those since the last tick
	capacity                                              float64       // of a warm server: connections a second, this balancer's part
	capacitySpan                                          float64       // seconds over which that is averaged
	recentDemand                                          float64       // requests that came of late, and connections that broke, fading,
	recentResets                                          float64       // and of these the connections
	connectionSeconds, closedByClient                     float64       // seconds that connections have stood, and how many left by themselves, fading
	setupTime                                             time.Duration // how long set-ups take of late
	dialing                                               int           // attempts that are out and do not stand
	dialWindow                                            float64       // how many of these may be
	dialWindowHalvedAt                                    time.Duration // when it was last halved
	capacityThreshold, saturationThreshold                float64       // loads, as the number of balancers makes them
	crossZoneLoadGap                                      float64       // in load, by which another zone's server must be lighter than the own zone's best
	classLoads                                            []float64     // usual load of each class, learnt, and last of any; 0: unknown
}

// New checks the settings and returns a balancer that knows no server yet.
func New(set Settings) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Balancers, set.MaxAttempts = max(set.Balancers, 1), max(set.MaxAttempts, 1)
	b := &Balancer{
		settings: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		serverIndex: newServerIndex(), requests: map[RequestID]*request{}, requestsByToken: map[uint64]*request{},
		clients: map[string]clientRecord{}, classLoads: make([]float64, len(set.Classes)+1), meanLoad: 0.5,
		lastToken: timerRetryWaiting, dialWindow: maxDialWindow / 4, fleet: fleetState{FleetSize: ConfiguredFleetSize(set)},
	}
	b.localZone, b.remoteZone = &b.zones[0], &b.zones[1]
	b.crossZoneLoadGap = crossZoneCostFactor * set.Costs.CrossZone
	b.updateThresholds()
	return b, nil
}

// Handle takes one event and appends the actions it calls for to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = now, out
	b.reindexDue()
	switch ev := ev.(type) {
	case Started:
		b.start()
	case ListReceived:
		b.applyList(ev)
	case RequestArrived:
		b.requestArrived(ev)
	case ConnectionRestored:
		b.restoreConnection(ev)
	case Established:
		b.connectionEstablished(ev)
	case LoadChanged:
		b.updateClassLoad(ev)
	case MessageDelayReported:
		b.messageDelayReported(ev)
	case AttemptEnded:
		b.attemptEnded(ev)
	case RequestExpired:
		if r := b.requests[ev.ID]; r != nil && !r.established {
			b.finish(r)
		}
	case ClientDisconnected:
		b.forget(b.requests[ev.ID])
	case ProbeCompleted:
		b.probeCompleted(ev)
	case FleetSize:
		b.setFleetSize(ev)
	case TimerFired:
		b.timerFired(ev.Token)
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter returns a random part of d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// serverRecord returns the record of a server, made when it is new.
func (b *Balancer) serverRecord(id ServerID) *server {
	s := b.listedServerRecord(id)
	if s.entry.zone == nil {
		b.reindex(s)
	}
	return s
}

// listedServerRecord does so for a list, which is indexed as a whole.
func (b *Balancer) listedServerRecord(id ServerID) *server {
	s := b.servers[id]
	if s == nil {
		s = &server{Server: Server{ID: id, State: Removed}, cacheOrder: mix(b.settings.Seed, uint64(id))}
		b.servers[id] = s
	}
	return s
}

func (b *Balancer) setState(s *server, state State) {
	if state != Ready && s.State == Ready {
		s.notReadySince = b.now
	}
	s.State = state
}

// crossZoneCostFactor makes a load of the price of crossing, which is in parts of a request's worth: a server that is lighter by so much has
// to serve better by as much as crossing costs, and a quarter more for the doubt in the two reports.
const crossZoneCostFactor = 1.25

// minReportedConnections is how many connections a report must show to tell the load of one.
const minReportedConnections = 4

// maxReportedConnections is how many it may show; more is spoilt, as no process has so many descriptors.
const maxReportedConnections = 1 << 20

// recordReport keeps what a report tells: the load, and what one connection loads the server with.
func (s *server) recordReport(r LoadReport) {
	s.reportedLoad = r.Load
	if r.Connections >= minReportedConnections && r.Connections <= maxReportedConnections {
		s.loadPerConnection = r.Load / r.Connections
	}
}

// spillingOver tells whether the own zone was short of room lately, so that other zones must be known too.
func (b *Balancer) spillingOver() bool {
	return b.lastSpillAt > 0 && b.now-b.lastSpillAt < spillOverPeriod || b.meanLoad > b.capacityThreshold
}

// connectionLoad estimates what a usual connection adds to a server's load, as its report tells, else as the zone's mean load over
// the connections that a server holds on average, were all balancers alike. Of fewer than shareLeast, or of few reports, it is a guess.
func (b *Balancer) connectionLoad(s *server) (load float64, guess bool) {
	if s.loadPerConnection > 0 {
		return s.loadPerConnection, false
	}
	held := float64(len(b.requests)) * b.zoneBalancers() / float64(max(len(b.local), 1))
	return b.meanLoad / max(held, minReportedConnections), held < minReportedConnections || b.meanLoadReports < minMeanLoadReports
}

// minMeanLoadReports is how many reports the mean load is of before it tells more than what it began with.
const minMeanLoadReports = 2 * maxAnswers

func (b *Balancer) updateMeanLoad(load float64) {
	b.meanLoadReports++
	b.meanLoad += (min(load, 1.5) - b.meanLoad) / maxAnswers
}

// expectedLoad is what a request's connection adds.
func (b *Balancer) expectedLoad(r *request, s *server) float64 {
	usual, _ := b.connectionLoad(s)
	return b.relativeLoad(r) * usual
}

// maxGroupOpeningLoad bounds the price of opening a group. Guards a balancer that has just started: by the few connections that it holds,
// one looks several times too dear, and it holds its clients back before servers with room.
const maxGroupOpeningLoad = 0.2

// groupOpeningLoad is what a request adds to a server that holds none of its group yet, which pays for the group from then on, as
// far as this balancer knows: where others share the zone, one of them holds some of it there most likely.
func (b *Balancer) groupOpeningLoad(r *request, s *server) float64 {
	usual, guess := b.connectionLoad(s)
	opened := func(x reservation) bool { return x.request.Group == r.Group } // its set-up is under way, say
	if guess || !b.hasGroup(r) || s.connectionsByGroup[r.Group] > 0 || slices.ContainsFunc(s.reservations, opened) {
		return 0
	}
	return min((groupOpeningConnections+b.relativeLoad(r))*usual, maxGroupOpeningLoad) / b.zoneBalancers()
}

// compareGroupSizes compares two connections of a server by how many of their groups it holds, as far as this balancer knows: of what
// many balancers hold there its own part says nothing.
func (b *Balancer) compareGroupSizes(s *server, x, y *request) int {
	return cmp.Compare(s.connectionsByGroup[x.Group]/int(b.zoneBalancers()), s.connectionsByGroup[y.Group]/int(b.zoneBalancers()))
}

// reservation is a placement's share of a server's load.
type reservation struct {
	request *request
	load    float64
	at      time.Duration
}

// reserve adds a placement to a server's load until a report shows it.
func (b *Balancer) reserve(r *request, s *server, share float64) {
	s.load += share
	s.reservations = append(s.reservations, reservation{r, share, b.now})
	b.reindex(s)
}

// releaseReservation takes it back, as what it was for has ended or never came to be. Guards against a server that looks full by
// clients that have left, and is asked for nothing that would tell.
func (s *server) releaseReservation(r *request) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool {
		if x.request == r {
			s.load -= x.load
		}
		return x.request == r
	})
}

// pendingReservations is the share of the placements that a report coming now may not show yet. Each is forgotten by itself: guards
// against a server that looks full for as long as it is sent a client now and then.
func (s *server) pendingReservations(now time.Duration) (sum float64) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x reservation) bool { return now-x.at > maxReportLag })
	for _, x := range s.reservations {
		sum += x.load
	}
	return sum
}

// recordAnswer notes that some server answers.
func (b *Balancer) recordAnswer() { b.lastAnswerAt, b.allFailing = b.now, false }

// Ejected tells whether a server gets nothing new for now though it is ready. It looks only.
func (b *Balancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejectedUntil
}

// recordSuccess notes that a server answers.
func (b *Balancer) recordSuccess(s *server) {
	s.consecutiveFailures = 0
	b.recordAnswer()
}

// removeValue takes x out of list, in place.
func removeValue[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

// addAnswer puts a server's new answer last in its pool; the oldest beyond the size falls out.
func addAnswer(pool []*server, s *server) []*server {
	pool = append(removeValue(pool, s), s)
	return pool[max(0, len(pool)-maxAnswers):]
}

// removeAnswer takes a server's answer out of the pools.
func (b *Balancer) removeAnswer(s *server) {
	b.localAnswers, b.remoteAnswers = removeValue(b.localAnswers, s), removeValue(b.remoteAnswers, s)
}

// minimum is the fit server of a list with the smallest key, or nil.
func minimum(list []*server, fit func(*server) bool, key func(*server) float64) (best *server) {
	low := math.Inf(1)
	for _, s := range list {
		if k := key(s); k < low && fit(s) {
			best, low = s, k
		}
	}
	return best
}

// preferredServers gives the homes of a request here and elsewhere, ranked once for each list: a request that waits is tried
// at every answer.
func (b *Balancer) preferredServers(r *request) (homes, away []*server) {
	if r.preferredListVersion != b.listVersion {
		r.localPreferred, r.remotePreferred, r.preferredListVersion = b.preferredInZone(r, b.localZone), b.preferredInZone(r, b.remoteZone), b.listVersion
	}
	return r.localPreferred, r.remotePreferred
}

func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }

// firstMatching is the first fit server of a list.
func firstMatching(list []*server, fit func(*server) bool) *server {
	if i := slices.IndexFunc(list, fit); i >= 0 {
		return list[i]
	}
	return nil
}

func (b *Balancer) restoreConnection(ev ConnectionRestored) {
	r := &request{RequestArrived: ev.Request, attempts: 1, server: b.serverRecord(ev.Server), established: true, inFlight: true}
	b.requests[r.ID] = r
	b.addConnection(r)
}

// addConnection notes that a connection stands at its server.
func (b *Balancer) addConnection(r *request) {
	s := r.server
	s.connections = append(s.connections, r)
	if s.connectionsByGroup == nil {
		s.connectionsByGroup = map[string]int{}
	}
	s.connectionsByGroup[r.Group]++
	b.reindex(s)
}

// removeConnection notes that it does not any more.
func (s *server) removeConnection(r *request) {
	s.connections = removeValue(s.connections, r)
	if s.connectionsByGroup[r.Group]--; s.connectionsByGroup[r.Group] == 0 {
		delete(s.connectionsByGroup, r.Group)
	}
}

// forget frees a request's state.
func (b *Balancer) forget(r *request) {
	if r == nil {
		return
	}
	if r.inFlight && !r.established {
		b.dialing--
	}
	delete(b.requests, r.ID)
	delete(b.requestsByToken, r.timerToken)
	if r.established {
		r.server.removeConnection(r)
	}
	if r.server != nil {
		r.server.releaseReservation(r)
		b.reindex(r.server)
	}
	b.waiting = removeValue(b.waiting, r)
}

// rememberClient keeps a client off the server it lost, or was moved off for its load, and finds the server of one whose packets come back.
func (b *Balancer) rememberClient(r *request, code Code) {
	if code == Reset || r.migrated { // it comes again, as those of others do that were cut off with it
		b.recentDemand++
		b.recentResets++
	} else {
		b.closedByClient++
	}
	if r.Key == "" || code != Reset && code != Cancelled {
		return
	}
	if _, ok := b.clients[r.Key]; !ok {
		b.clientOrder = append(b.clientOrder, r.Key)
		if len(b.clientOrder) > maxClientRecords {
			delete(b.clients, b.clientOrder[0])
			b.clientOrder = b.clientOrder[1:]
		}
	}
	b.clients[r.Key] = clientRecord{r.server.ID, b.now, code == Reset || r.migrated}
}

// expireClients drops what is too old to matter.
func (b *Balancer) expireClients() {
	for len(b.clientOrder) > 0 && b.now-b.clients[b.clientOrder[0]].endedAt > recordRetention {
		delete(b.clients, b.clientOrder[0])
		b.clientOrder = b.clientOrder[1:]
	}
}

// relativeLoad is a request's load against a usual connection's, by its hint or its class's history.
func (b *Balancer) relativeLoad(r *request) float64 {
	load, usual := cmp.Or(r.Load, b.classLoads[r.Class]), b.classLoads[len(b.classLoads)-1]
	if load <= 0 || usual <= 0 {
		return 1
	}
	return min(max(load/usual, 0.1), 10)
}

func (b *Balancer) updateClassLoad(ev LoadChanged) {
	r := b.requests[ev.ID]
	if r == nil || ev.Load <= 0 {
		return
	}
	r.Load = ev.Load
	for _, i := range [2]int{r.Class, len(b.classLoads) - 1} {
		if b.classLoads[i] == 0 {
			b.classLoads[i] = ev.Load
		}
		b.classLoads[i] += (ev.Load - b.classLoads[i]) * classLoadWeight
	}
}

// updateEstimates keeps the figures that fade with time; it runs once a tick.
func (b *Balancer) updateEstimates() {
	// A mean over the time seen at first, fading later.
	step := tick.Seconds()
	b.establishRateSpan = min(b.establishRateSpan+step, establishRateWindow.Seconds())
	b.establishRate += (b.establishedThisTick/step - b.establishRate) * step / b.establishRateSpan
	fade := 1 - step/attemptDecayTime.Seconds()
	b.establishedThisTick, b.recentFailures, b.recentEstablished = 0, b.recentFailures*fade, b.recentEstablished*fade
	b.recentDemand *= 1 - step/demandDecayTime.Seconds()
	b.recentResets *= 1 - step/demandDecayTime.Seconds()
	b.updateLifetime()
	b.updateCapacity()
}

// updateCapacity estimates how many connections a second a warm server can take, as the part of one of its zone's
// balancers: the own rate, as if all balancers had the same, over the fleet's servers, scaled up to full load.
// The fleet is what was listed lately and is not cold, lost servers too, since their clients come to the others;
// while most of it is lost, what was known before stands. It changes slowly, for a storm of clients that come back
// says nothing of what a server can take.
func (b *Balancer) updateCapacity() {
	cold := b.warmingCount()
	warm, fleet := len(b.ready)-cold, len(b.servers)-cold
	if 2*warm >= fleet && warm > 0 {
		now := b.establishRate * float64(max(len(b.settings.Zones), 1)) / (float64(fleet) * max(b.meanLoad, 0.5))
		b.capacitySpan = min(b.capacitySpan+tick.Seconds(), capacityWindow.Seconds())
		b.capacity += (now - b.capacity) * tick.Seconds() / b.capacitySpan
	}
}

// rendezvousDistance is how far a server is from being a group's first; equal at all balancers.
func rendezvousDistance(group uint64, s *server) float64 {
	u := (float64(mix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / cmp.Or(s.Weight, 1)
}

// hash and mix are equal on every machine.

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func mix(a, b uint64) uint64 { return finalizeMix(a ^ b*mixMultiplier) }

const mixMultiplier = 0x9e3779b97f4a7c15

func finalizeMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
