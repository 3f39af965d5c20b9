package decide

// A reference implementation of Balancer. It has no index: it rebuilds its lists of servers whenever the endpoint
// list changes, and scans a whole list for each choice, so it is slow but simple. comparison_test.go checks that the
// Balancer and the reference return the same actions. A change to a decision must be made in both implementations.
// The reference ignores FleetSize events, and the comparison sends none.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// referenceServer is the record of a server. Its fields have the same meaning as in server.
type referenceServer struct {
	Server
	shuffledOrder       uint64
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
	reservations        []referenceReservation
	migratedAt          time.Duration
	connections         []*referenceRequest
	connectionsByGroup  map[string]int
}

// referenceRequest is the record of a request. Its fields have the same meaning as in request.
type referenceRequest struct {
	RequestArrived
	timerToken           uint64
	deadline             time.Duration
	notBefore            time.Duration
	attempts             int
	attemptedServers     []ServerID
	server               *referenceServer
	inFlight             bool
	established          bool
	migrated             bool
	demandCountedFor     *referenceServer
	localPreferred       []*referenceServer
	remotePreferred      []*referenceServer
	preferredListVersion uint64
	executedOn           *referenceServer
	firstSentAt          time.Duration
}

// referenceClient is the record of a client. Its fields have the same meaning as in clientRecord.
type referenceClient struct {
	server  ServerID
	endedAt time.Duration
	avoid   bool
}

// referenceBalancer is the reference implementation of Balancer. All of its state is in one struct.
type referenceBalancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	servers     map[ServerID]*referenceServer
	ready       []*referenceServer
	local       []*referenceServer
	remote      []*referenceServer
	listVersion uint64
	cursor      int

	pollAt        time.Duration
	pollFailures  int
	noAnswerSince time.Duration
	failing       bool

	localAnswers        []*referenceServer
	remoteAnswers       []*referenceServer
	meanLoad            float64
	meanLoadReports     int
	lastSpillAt         time.Duration
	capacityThreshold   float64
	saturationThreshold float64
	crossZoneLoadGap    float64

	probeCursor         int
	probeCount          int
	probeCredit         float64
	overloadProbeCredit float64

	requests        map[RequestID]*referenceRequest
	requestsByToken map[uint64]*referenceRequest
	lastToken       uint64
	waiting         []*referenceRequest
	clients         map[string]referenceClient
	clientOrder     []string

	recentFailures     float64
	recentEstablished  float64
	setupTime          time.Duration
	dialing            int
	dialWindow         float64
	dialWindowHalvedAt time.Duration

	establishRate       float64
	establishRateSpan   float64
	establishedThisTick float64
	capacity            float64
	capacitySpan        float64
	recentDemand        float64
	recentResets        float64
	connectionSeconds   float64
	connectionsEnded    float64
	classLoads          []float64
}

func newReferenceBalancer(settings Settings) (*referenceBalancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Balancers, settings.MaxAttempts = max(settings.Balancers, 1), max(settings.MaxAttempts, 1)
	b := &referenceBalancer{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0x9e3779b97f4a7c15)),
		servers: map[ServerID]*referenceServer{}, requests: map[RequestID]*referenceRequest{},
		requestsByToken: map[uint64]*referenceRequest{},
		clients:         map[string]referenceClient{}, classLoads: make([]float64, len(settings.Classes)+1),
		meanLoad:  0.5,
		lastToken: retryWaitingToken, dialWindow: maxDialWindow / 4,
	}
	margin := unreportedLoadMargin * (1 - 1/b.zoneBalancers())
	b.crossZoneLoadGap = crossZoneCostFactor * settings.Costs.CrossZone
	b.capacityThreshold, b.saturationThreshold = maxLoadWithCapacity-margin, saturationLoad-margin/2
	return b, nil
}

func (b *referenceBalancer) Handle(now time.Duration, ev Event, out []Action) []Action {
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

func (b *referenceBalancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *referenceBalancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

func (b *referenceBalancer) serverRecord(id ServerID) *referenceServer {
	s := b.servers[id]
	if s == nil {
		s = &referenceServer{Server: Server{ID: id, State: Removed},
			shuffledOrder: referenceMix(b.settings.Seed, uint64(id))}
		b.servers[id] = s
	}
	return s
}

func (b *referenceBalancer) setState(s *referenceServer, state State) {
	if state != Ready && s.State == Ready {
		s.notReadySince = b.now
	}
	s.State = state
}

func (s *referenceServer) recordReport(r LoadReport) {
	s.reportedLoad = r.Load
	if r.Connections >= minReportedConnections && r.Connections <= maxReportedConnections {
		s.loadPerConnection = r.Load / r.Connections
	}
}

func (b *referenceBalancer) spillingOver() bool {
	return b.lastSpillAt > 0 && b.now-b.lastSpillAt < spillOverPeriod || b.meanLoad > b.capacityThreshold
}

func (b *referenceBalancer) connectionLoad(s *referenceServer) (load float64, guess bool) {
	if s.loadPerConnection > 0 {
		return s.loadPerConnection, false
	}
	perServer := float64(len(b.requests)) * b.zoneBalancers() / float64(max(len(b.local), 1))
	return b.meanLoad / max(perServer, minReportedConnections), perServer < minReportedConnections ||
		b.meanLoadReports < minMeanLoadReports
}

func (b *referenceBalancer) updateMeanLoad(load float64) {
	b.meanLoadReports++
	b.meanLoad += (min(load, 1.5) - b.meanLoad) / maxAnswers
}

func (b *referenceBalancer) expectedLoad(r *referenceRequest, s *referenceServer) float64 {
	average, _ := b.connectionLoad(s)
	return b.relativeLoad(r) * average
}

func (b *referenceBalancer) groupOpeningLoad(r *referenceRequest, s *referenceServer) float64 {
	average, guess := b.connectionLoad(s)
	opened := func(x referenceReservation) bool { return x.request.Group == r.Group }
	if guess || !b.hasGroup(r) || s.connectionsByGroup[r.Group] > 0 || slices.ContainsFunc(s.reservations, opened) {
		return 0
	}
	return min((groupOpeningConnections+b.relativeLoad(r))*average, maxGroupOpeningLoad) / b.zoneBalancers()
}

func (b *referenceBalancer) compareGroupSizes(s *referenceServer, x, y *referenceRequest) int {
	return cmp.Compare(s.connectionsByGroup[x.Group]/int(b.zoneBalancers()),
		s.connectionsByGroup[y.Group]/int(b.zoneBalancers()))
}

func (b *referenceBalancer) zoneBalancers() float64 {
	return float64(max(1, b.settings.Balancers/max(len(b.settings.Zones), 1)))
}

func (b *referenceBalancer) meanLoadPerConnection() float64 {
	sum, reports := 0.0, 0.0
	for _, s := range b.ready {
		if s.loadPerConnection > 0 && !b.warming(s) {
			sum, reports = sum+s.loadPerConnection, reports+1
		}
	}
	return sum / max(reports, 1)
}

// referenceReservation is the load that a placement adds to its server until a load report includes it.
type referenceReservation struct {
	request *referenceRequest
	load    float64
	at      time.Duration
}

func (s *referenceServer) reserve(r *referenceRequest, load float64, now time.Duration) {
	s.load += load
	s.reservations = append(s.reservations, referenceReservation{r, load, now})
}

func (s *referenceServer) releaseReservation(r *referenceRequest) {
	s.reservations = slices.DeleteFunc(s.reservations, func(x referenceReservation) bool {
		if x.request == r {
			s.load -= x.load
		}
		return x.request == r
	})
}

func (s *referenceServer) pendingReservations(now time.Duration) (sum float64) {
	s.reservations = slices.DeleteFunc(s.reservations,
		func(x referenceReservation) bool { return now-x.at > maxReportLag })
	for _, x := range s.reservations {
		sum += x.load
	}
	return sum
}

func (b *referenceBalancer) recordAnswer() { b.noAnswerSince, b.failing = b.now, false }

func (b *referenceBalancer) Ejected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && b.now < s.ejectedUntil
}

func (b *referenceBalancer) recordSuccess(s *referenceServer) {
	s.consecutiveFailures = 0
	b.recordAnswer()
}

func referenceRemoveValue[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

func referenceAddAnswer(pool []*referenceServer, s *referenceServer) []*referenceServer {
	pool = append(referenceRemoveValue(pool, s), s)
	return pool[max(0, len(pool)-maxAnswers):]
}

func (b *referenceBalancer) removeAnswer(s *referenceServer) {
	b.localAnswers, b.remoteAnswers = referenceRemoveValue(b.localAnswers, s), referenceRemoveValue(b.remoteAnswers, s)
}

func referenceMinimum(list []*referenceServer, matches func(*referenceServer) bool,
	key func(*referenceServer) float64) (best *referenceServer) {
	low := math.Inf(1)
	for _, s := range list {
		if k := key(s); k < low && matches(s) {
			best, low = s, k
		}
	}
	return best
}

func (b *referenceBalancer) preferredServers(r *referenceRequest) (preferred, remotePreferred []*referenceServer) {
	if r.preferredListVersion != b.listVersion {
		r.localPreferred, r.remotePreferred, r.preferredListVersion = b.preferredInZone(r, b.local),
			b.preferredInZone(r, b.remote), b.listVersion
	}
	return r.localPreferred, r.remotePreferred
}

func (b *referenceBalancer) classOf(r *referenceRequest) *Class { return &b.settings.Classes[r.Class] }

func (b *referenceBalancer) nextInOrder(list []*referenceServer, matches func(*referenceServer) bool) *referenceServer {
	for i := range list {
		if s := list[(b.cursor+i)%len(list)]; matches(s) {
			b.cursor += i + 1
			return s
		}
	}
	return nil
}

func referenceConnected(list []*referenceServer) (some []*referenceServer) {
	for _, s := range list {
		if len(s.connections) > 0 {
			some = append(some, s)
		}
	}
	return some
}

func referenceFirstMatching(list []*referenceServer, matches func(*referenceServer) bool) *referenceServer {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		return list[i]
	}
	return nil
}

func (b *referenceBalancer) restoreConnection(ev ConnectionRestored) {
	r := &referenceRequest{RequestArrived: ev.Request, attempts: 1, server: b.serverRecord(ev.Server),
		established: true,
		inFlight:    true}
	b.requests[r.ID] = r
	r.server.addConnection(r)
}

func (s *referenceServer) addConnection(r *referenceRequest) {
	s.connections = append(s.connections, r)
	if s.connectionsByGroup == nil {
		s.connectionsByGroup = map[string]int{}
	}
	s.connectionsByGroup[r.Group]++
}

func (s *referenceServer) removeConnection(r *referenceRequest) {
	s.connections = referenceRemoveValue(s.connections, r)
	if s.connectionsByGroup[r.Group]--; s.connectionsByGroup[r.Group] == 0 {
		delete(s.connectionsByGroup, r.Group)
	}
}

func (b *referenceBalancer) forget(r *referenceRequest) {
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
	b.waiting = referenceRemoveValue(b.waiting, r)
}

func (b *referenceBalancer) rememberClient(r *referenceRequest, code Code) {
	if code == Reset || r.migrated {
		b.recentDemand++
		b.recentResets++
	} else {
		b.connectionsEnded++
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
	b.clients[r.Key] = referenceClient{r.server.ID, b.now, code == Reset || r.migrated}
}

func (b *referenceBalancer) expireClients() {
	for len(b.clientOrder) > 0 && b.now-b.clients[b.clientOrder[0]].endedAt > recordRetention {
		delete(b.clients, b.clientOrder[0])
		b.clientOrder = b.clientOrder[1:]
	}
}

func (b *referenceBalancer) relativeLoad(r *referenceRequest) float64 {
	load, average := cmp.Or(r.Load, b.classLoads[r.Class]), b.classLoads[len(b.classLoads)-1]
	if load <= 0 || average <= 0 {
		return 1
	}
	return min(max(load/average, 0.1), 10)
}

func (b *referenceBalancer) updateClassLoad(ev LoadChanged) {
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

func (b *referenceBalancer) updateEstimates() {
	step := tickInterval.Seconds()
	b.establishRateSpan = min(b.establishRateSpan+step, establishRateWindow.Seconds())
	b.establishRate += (b.establishedThisTick/step - b.establishRate) * step / b.establishRateSpan
	decay := 1 - step/attemptDecayTime.Seconds()
	b.establishedThisTick, b.recentFailures, b.recentEstablished = 0, b.recentFailures*decay, b.recentEstablished*decay
	b.recentDemand *= 1 - step/demandDecayTime.Seconds()
	b.recentResets *= 1 - step/demandDecayTime.Seconds()
	b.updateLifetime()
	b.updateCapacity()
}

func (b *referenceBalancer) updateCapacity() {
	warm, fleet := 0, len(b.servers)
	for _, s := range b.ready {
		if b.warming(s) {
			fleet--
		} else {
			warm++
		}
	}
	if 2*warm >= fleet && warm > 0 {
		current := b.establishRate * float64(max(len(b.settings.Zones), 1)) / (float64(fleet) * max(b.meanLoad, 0.5))
		b.capacitySpan = min(b.capacitySpan+tickInterval.Seconds(), capacityWindow.Seconds())
		b.capacity += (current - b.capacity) * tickInterval.Seconds() / b.capacitySpan
	}
}

func referenceDistance(group uint64, s *referenceServer) float64 {
	u := (float64(referenceMix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / cmp.Or(s.Weight, 1)
}

func referenceHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func referenceMix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
