package decide

// The reference: a Balancer that makes each list of servers anew and walks all of it. comparison_test.go compares the
// Balancer's actions with it, one by one. Whoever changes a decision changes it here too.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type refServer struct {
	Server
	cacheOrder          uint64
	notReadySince       time.Duration
	load                float64
	reportedLoad        float64
	reportedAt          time.Duration
	loadPerConnection   float64
	placementsOnReport  int
	probedOnDemandAt    time.Duration
	consecutiveFailures int
	ejectedUntil        time.Duration
	slowUntil           time.Duration
	slowStartQuota      float64
	slowStartQuotaUntil time.Duration
	groupDemand         decayingCounter
	reservations        []refReservation
	migratedAt          time.Duration
	connections         []*refRequest
	connectionsByGroup  map[string]int
}

type refRequest struct {
	RequestArrived
	timerToken           uint64
	deadline             time.Duration
	notBefore            time.Duration
	attempts             int
	attemptedServers     []ServerID
	server               *refServer
	inFlight             bool
	established          bool
	migrated             bool
	demandCountedFor     *refServer
	localPreferred       []*refServer
	remotePreferred      []*refServer
	preferredListVersion uint64
	executedOn           *refServer
	firstSentAt          time.Duration
}

type refClientRecord struct {
	server  ServerID
	endedAt time.Duration
	avoid   bool
}

type refBalancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	servers                                               map[ServerID]*refServer
	ready                                                 []*refServer
	local, remote                                         []*refServer
	listVersion                                           uint64
	cursor                                                int
	pollAt                                                time.Duration
	pollFailures                                          int
	lastAnswerAt                                          time.Duration
	allFailing                                            bool
	localAnswers, remoteAnswers                           []*refServer
	meanLoad                                              float64
	meanLoadReports                                       int
	lastSpillAt                                           time.Duration
	probeCursor                                           int
	probeCount                                            int
	probeCredit                                           float64
	overloadProbeCredit                                   float64
	requests                                              map[RequestID]*refRequest
	requestsByToken                                       map[uint64]*refRequest
	lastToken                                             uint64
	waiting                                               []*refRequest
	clients                                               map[string]refClientRecord
	clientOrder                                           []string
	recentFailures, recentEstablished                     float64
	establishRate, establishRateSpan, establishedThisTick float64
	capacity                                              float64
	capacitySpan                                          float64
	recentDemand, recentResets                            float64
	connectionSeconds, closedByClient                     float64
	setupTime                                             time.Duration
	dialing                                               int
	dialWindow                                            float64
	dialWindowHalvedAt                                    time.Duration
	capacityThreshold, saturationThreshold                float64
	crossZoneLoadGap                                      float64
	classLoads                                            []float64
}

func newRef(set Settings) (*refBalancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Balancers, set.MaxAttempts = max(set.Balancers, 1), max(set.MaxAttempts, 1)
	b := &refBalancer{
		settings: set, rng: rand.New(rand.NewPCG(set.Seed, 0x9e3779b97f4a7c15)),
		servers: map[ServerID]*refServer{}, requests: map[RequestID]*refRequest{},
		requestsByToken: map[uint64]*refRequest{},
		clients:         map[string]refClientRecord{}, classLoads: make([]float64, len(set.Classes)+1), meanLoad: 0.5,
		lastToken: retryWaitingToken, dialWindow: maxDialWindow / 4,
	}
	hidden := unreportedLoadMargin * (1 - 1/b.zoneBalancers())
	b.crossZoneLoadGap = crossZoneCostFactor * set.Costs.CrossZone
	b.capacityThreshold, b.saturationThreshold = maxLoadWithCapacity-hidden, saturationLoad-hidden/2
	return b, nil
}

func (b *refBalancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = now, out
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
	case TimerFired:
		b.timerFired(ev.Token)
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *refBalancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *refBalancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

func (b *refBalancer) serverRecord(id ServerID) *refServer {
	s := b.servers[id]
	if s == nil {
		s = &refServer{Server: Server{ID: id, State: Removed}, cacheOrder: refMix(b.settings.Seed, uint64(id))}
		b.servers[id] = s
	}
	return s
}

func (b *refBalancer) setState(s *refServer, state State) {
	if state != Ready && s.State == Ready {
		s.notReadySince = b.now
	}
	s.State = state
}

func (s *refServer) recordReport(r LoadReport) {
	s.reportedLoad = r.Load
	if r.Connections >= minReportedConnections && r.Connections <= maxReportedConnections {
		s.loadPerConnection = r.Load / r.Connections
	}
}

func (b *refBalancer) spillingOver() bool {
	return b.lastSpillAt > 0 && b.now-b.lastSpillAt < spillOverPeriod || b.meanLoad > b.capacityThreshold
}

func (b *refBalancer) connectionLoad(s *refServer) (load float64, guess bool) {
	if s.loadPerConnection > 0 {
		return s.loadPerConnection, false
	}
	held := float64(len(b.requests)) * b.zoneBalancers() / float64(max(len(b.local), 1))
	return b.meanLoad / max(held, minReportedConnections), held < minReportedConnections ||
		b.meanLoadReports < minMeanLoadReports
}

func (b *refBalancer) updateMeanLoad(load float64) {
	b.meanLoadReports++
	b.meanLoad += (min(load, 1.5) - b.meanLoad) / maxAnswers
}

func (b *refBalancer) expectedLoad(r *refRequest, s *refServer) float64 {
	usual, _ := b.connectionLoad(s)
	return b.relativeLoad(r) * usual
}

func (b *refBalancer) groupOpeningLoad(r *refRequest, s *refServer) float64 {
	usual, guess := b.connectionLoad(s)
	opened := func(x refReservation) bool { return x.request.Group == r.Group }
	if guess || !b.hasGroup(r) || s.connectionsByGroup[r.Group] > 0 || slices.ContainsFunc(s.reservations, opened) {
		return 0
	}
	return min((groupOpeningConnections+b.relativeLoad(r))*usual, maxGroupOpeningLoad) / b.zoneBalancers()
}

func (b *refBalancer) compareGroupSizes(s *refServer, x, y *refRequest) int {
	return cmp.Compare(s.connectionsByGroup[x.Group]/int(b.zoneBalancers()),
		s.connectionsByGroup[y.Group]/int(b.zoneBalancers()))
}

func (b *refBalancer) zoneBalancers() float64 {
	return float64(max(1, b.settings.Balancers/max(len(b.settings.Zones), 1)))
}

func (b *refBalancer) meanLoadPerConnection() float64 {
	sum, reports := 0.0, 0.0
	for _, s := range b.ready {
		if s.loadPerConnection > 0 && !b.warming(s) {
			sum, reports = sum+s.loadPerConnection, reports+1
		}
	}
	return sum / max(reports, 1)
}

type refReservation struct {
	request *refRequest
	load    float64
	at      time.Duration
}

func (s *refServer) reserve(r *refRequest, share float64, now time.Duration) {
	s.load += share
	s.reservations = append(s.reservations, refReservation{r, share, now})
}

func (s *refServer) releaseReservation(r *refRequest) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x refReservation) bool {
		if x.request == r {
			s.load -= x.load
		}
		return x.request == r
	})
}

func (s *refServer) pendingReservations(now time.Duration) (sum float64) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x refReservation) bool { return now-x.at > maxReportLag })
	for _, x := range s.reservations {
		sum += x.load
	}
	return sum
}

func (b *refBalancer) recordAnswer() { b.lastAnswerAt, b.allFailing = b.now, false }

func (b *refBalancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejectedUntil
}

func (b *refBalancer) recordSuccess(s *refServer) {
	s.consecutiveFailures = 0
	b.recordAnswer()
}

func refRemoveValue[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

func refAddAnswer(pool []*refServer, s *refServer) []*refServer {
	pool = append(refRemoveValue(pool, s), s)
	return pool[max(0, len(pool)-maxAnswers):]
}

func (b *refBalancer) removeAnswer(s *refServer) {
	b.localAnswers, b.remoteAnswers = refRemoveValue(b.localAnswers, s), refRemoveValue(b.remoteAnswers, s)
}

func refMinimum(list []*refServer, fit func(*refServer) bool, key func(*refServer) float64) (best *refServer) {
	low := math.Inf(1)
	for _, s := range list {
		if k := key(s); k < low && fit(s) {
			best, low = s, k
		}
	}
	return best
}

func (b *refBalancer) preferredServers(r *refRequest) (homes, away []*refServer) {
	if r.preferredListVersion != b.listVersion {
		r.localPreferred, r.remotePreferred, r.preferredListVersion = b.preferredInZone(r, b.local),
			b.preferredInZone(r, b.remote), b.listVersion
	}
	return r.localPreferred, r.remotePreferred
}

func (b *refBalancer) classOf(r *refRequest) *Class { return &b.settings.Classes[r.Class] }

func (b *refBalancer) nextInOrder(list []*refServer, fit func(*refServer) bool) *refServer {
	for i := range list {
		if s := list[(b.cursor+i)%len(list)]; fit(s) {
			b.cursor += i + 1
			return s
		}
	}
	return nil
}

func refConnected(list []*refServer) (some []*refServer) {
	for _, s := range list {
		if len(s.connections) > 0 {
			some = append(some, s)
		}
	}
	return some
}

func refFirstMatching(list []*refServer, fit func(*refServer) bool) *refServer {
	if i := slices.IndexFunc(list, fit); i >= 0 {
		return list[i]
	}
	return nil
}

func (b *refBalancer) restoreConnection(ev ConnectionRestored) {
	r := &refRequest{RequestArrived: ev.Request, attempts: 1, server: b.serverRecord(ev.Server), established: true,
		inFlight: true}
	b.requests[r.ID] = r
	r.server.addConnection(r)
}

func (s *refServer) addConnection(r *refRequest) {
	s.connections = append(s.connections, r)
	if s.connectionsByGroup == nil {
		s.connectionsByGroup = map[string]int{}
	}
	s.connectionsByGroup[r.Group]++
}

func (s *refServer) removeConnection(r *refRequest) {
	s.connections = refRemoveValue(s.connections, r)
	if s.connectionsByGroup[r.Group]--; s.connectionsByGroup[r.Group] == 0 {
		delete(s.connectionsByGroup, r.Group)
	}
}

func (b *refBalancer) forget(r *refRequest) {
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
	}
	b.waiting = refRemoveValue(b.waiting, r)
}

func (b *refBalancer) rememberClient(r *refRequest, code Code) {
	if code == Reset || r.migrated {
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
	b.clients[r.Key] = refClientRecord{r.server.ID, b.now, code == Reset || r.migrated}
}

func (b *refBalancer) expireClients() {
	for len(b.clientOrder) > 0 && b.now-b.clients[b.clientOrder[0]].endedAt > recordRetention {
		delete(b.clients, b.clientOrder[0])
		b.clientOrder = b.clientOrder[1:]
	}
}

func (b *refBalancer) relativeLoad(r *refRequest) float64 {
	load, usual := cmp.Or(r.Load, b.classLoads[r.Class]), b.classLoads[len(b.classLoads)-1]
	if load <= 0 || usual <= 0 {
		return 1
	}
	return min(max(load/usual, 0.1), 10)
}

func (b *refBalancer) updateClassLoad(ev LoadChanged) {
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

func (b *refBalancer) updateEstimates() {
	step := tickInterval.Seconds()
	b.establishRateSpan = min(b.establishRateSpan+step, establishRateWindow.Seconds())
	b.establishRate += (b.establishedThisTick/step - b.establishRate) * step / b.establishRateSpan
	fade := 1 - step/attemptDecayTime.Seconds()
	b.establishedThisTick, b.recentFailures, b.recentEstablished = 0, b.recentFailures*fade, b.recentEstablished*fade
	b.recentDemand *= 1 - step/demandDecayTime.Seconds()
	b.recentResets *= 1 - step/demandDecayTime.Seconds()
	b.updateLifetime()
	b.updateCapacity()
}

func (b *refBalancer) updateCapacity() {
	warm, fleet := 0, len(b.servers)
	for _, s := range b.ready {
		if b.warming(s) {
			fleet--
		} else {
			warm++
		}
	}
	if 2*warm >= fleet && warm > 0 {
		now := b.establishRate * float64(max(len(b.settings.Zones), 1)) / (float64(fleet) * max(b.meanLoad, 0.5))
		b.capacitySpan = min(b.capacitySpan+tickInterval.Seconds(), capacityWindow.Seconds())
		b.capacity += (now - b.capacity) * tickInterval.Seconds() / b.capacitySpan
	}
}

func refRendezvousDistance(group uint64, s *refServer) float64 {
	u := (float64(refMix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / cmp.Or(s.Weight, 1)
}

func refHashString(s string) uint64 {
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
