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
		servers: map[ServerID]*refServer{}, requests: map[RequestID]*refRequest{}, requestsByToken: map[uint64]*refRequest{},
		clients: map[string]refClientRecord{}, classLoads: make([]float64, len(set.Classes)+1), meanLoad: 0.5,
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
	return b.meanLoad / max(held, minReportedConnections), held < minReportedConnections || b.meanLoadReports < minMeanLoadReports
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
	return cmp.Compare(s.connectionsByGroup[x.Group]/int(b.zoneBalancers()), s.connectionsByGroup[y.Group]/int(b.zoneBalancers()))
}

func (b *refBalancer) zoneBalancers() float64 {
	return float64(max(1, b.settings.Balancers/max(len(b.settings.Zones), 1)))
}

func (b *refBalancer) meanLoadPerConnection() float64 {
	sum, told := 0.0, 0.0
	for _, s := range b.ready {
		if s.loadPerConnection > 0 && !b.warming(s) {
			sum, told = sum+s.loadPerConnection, told+1
		}
	}
	return sum / max(told, 1)
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
		r.localPreferred, r.remotePreferred, r.preferredListVersion = b.preferredInZone(r, b.local), b.preferredInZone(r, b.remote), b.listVersion
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
	r := &refRequest{RequestArrived: ev.Request, attempts: 1, server: b.serverRecord(ev.Server), established: true, inFlight: true}
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

func (b *refBalancer) start() {
	b.lastAnswerAt = b.now
	b.emit(SetTimer{Token: tickToken, Delay: 1 + b.jitter(tickInterval)})
	b.pollAt = b.now + b.jitter(min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval)))
}

func (b *refBalancer) pollInterval() time.Duration {
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + time.Duration(b.settings.Balancers)*pollIntervalPerBalancer
}

func (b *refBalancer) poll() {
	b.pollAt = b.now + b.pollInterval()
	if b.settings.WatchList {
		b.emit(WatchList{})
	} else {
		b.emit(FetchList{})
	}
}

func (b *refBalancer) applyList(ev ListReceived) {
	if ev.Kind == ListFailed {
		wait := min(pollRetryDelay<<min(b.pollFailures, 5), b.pollInterval())
		b.pollFailures++
		b.pollAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	b.pollFailures = 0
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
		s := b.serverRecord(line.ID)
		if line.Started != s.Started {
			*s = refServer{Server: s.Server, cacheOrder: s.cacheOrder, notReadySince: s.notReadySince, connections: s.connections, connectionsByGroup: s.connectionsByGroup}
		}
		b.setState(s, line.State)
		s.Server = line
	}
	b.rebuildLists()
}

func (b *refBalancer) rebuildLists() {
	b.local, b.remote, b.ready = b.local[:0], b.remote[:0], b.ready[:0]
	b.listVersion++
	for id, s := range b.servers {
		switch {
		case s.State == Ready:
			b.ready = append(b.ready, s)
		case s.State == Removed && len(s.connections) == 0 && b.now-s.notReadySince > recordRetention:
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.ready, func(x, y *refServer) int {
		return cmp.Or(cmp.Compare(x.cacheOrder, y.cacheOrder), cmp.Compare(x.ID, y.ID))
	})
	for _, s := range b.ready {
		if s.Zone == b.settings.Zone {
			b.local = append(b.local, s)
		} else {
			b.remote = append(b.remote, s)
		}
	}
	if len(b.local) == 0 {
		b.local, b.remote = b.remote, b.local
	}
	gone := func(s *refServer) bool { return s.State != Ready }
	b.localAnswers, b.remoteAnswers = slices.DeleteFunc(b.localAnswers, gone), slices.DeleteFunc(b.remoteAnswers, gone)
	b.retryWaiting()
}

func (b *refBalancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.lastAnswerAt)})
	b.lastAnswerAt, b.allFailing, b.localAnswers = b.now, false, b.localAnswers[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.emit(FetchList{})
}

func (b *refBalancer) requestArrived(ev RequestArrived) {
	b.lastToken++
	r := &refRequest{RequestArrived: ev, timerToken: b.lastToken, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.requestsByToken[r.timerToken] = r, r
	b.recentDemand++
	b.emit(SetTimer{Token: r.timerToken, Delay: ev.Remaining})
	b.probeForRequest(r)
	b.place(r, len(b.waiting))
}

func (b *refBalancer) place(r *refRequest, before int) {
	if r.attempts >= b.settings.MaxAttempts || b.now >= r.deadline {
		b.finish(r)
		return
	}
	var s *refServer
	tries := !b.throttled() && b.now >= r.notBefore
	if tries {
		s = b.pick(r)
	}
	if s == nil {
		if r.executedOn != nil && b.classOf(r).Idempotency != Idempotent || tries && b.wouldExpireWaiting(r, before) {
			b.finish(r)
			return
		}
		b.waiting = append(b.waiting, r)
		return
	}
	b.reservePlacement(r, s)
	left := r.deadline - b.now
	wait := min(left, max(left/time.Duration(b.settings.MaxAttempts-r.attempts), minAttemptSetups*b.setupTime))
	r.server, r.inFlight = s, true
	b.dialing++
	r.attempts++
	r.attemptedServers = append(r.attemptedServers, s.ID)
	if r.executedOn == nil {
		r.firstSentAt = b.now
	}
	b.emit(StartAttempt{ID: r.ID, Server: s.ID, Timeout: wait})
}

func (b *refBalancer) wouldExpireWaiting(r *refRequest, before int) bool {
	return float64(before) > max(minQueueLength, b.recentEstablished/attemptDecayTime.Seconds()*(r.deadline-b.now).Seconds())
}

func (b *refBalancer) throttled() bool {
	return b.recentFailures > freeFailures+b.recentEstablished || b.dialing >= int(b.dialWindow)
}

func (b *refBalancer) reservePlacement(r *refRequest, s *refServer) {
	s.placementsOnReport++
	if s.placementsOnReport >= maxPlacementsPerReport || len(b.waiting) > 0 {
		b.removeAnswer(s)
	}
	s.reserve(r, max(b.expectedLoad(r, s), b.groupOpeningLoad(r, s)), b.now)
	if b.warming(s) {
		s.slowStartQuota -= b.relativeLoad(r)
	}
}

func (b *refBalancer) pick(r *refRequest) *refServer {
	was := b.clients[r.Key]
	if s := b.servers[was.server]; r.MidFlow && r.attempts == 0 && s != nil && was.endedAt > 0 && !was.avoid {
		if s.State == Ready || b.now-s.notReadySince < b.settings.Safety.DrainGrace {
			return s
		}
	}
	fit := func(s *refServer) bool {
		return !(was.avoid && s.ID == was.server) && b.now >= s.ejectedUntil && !b.saturated(s) && b.mayAttempt(r, s)
	}
	known := func(s *refServer) bool {
		return fit(s) && b.hasRecentReport(s) && s.load+b.groupOpeningLoad(r, s) < b.saturationThreshold
	}
	room := func(s *refServer) bool { return known(s) && s.load+b.groupOpeningLoad(r, s) < b.capacityThreshold }
	homes, away := b.preferredServers(r)
	if s := refFirstMatching(homes, room); s != nil {
		return s
	}
	if s := refFirstMatching(away, room); s != nil {
		b.lastSpillAt = b.now
		return s
	}
	if s := refFirstMatching(homes, known); s != nil {
		return s
	}
	short := func(s *refServer) bool { return b.saturated(s) || b.warming(s) }
	if slices.ContainsFunc(homes, short) || slices.ContainsFunc(away, short) {
		blind := func(s *refServer) bool { return fit(s) && !b.hasRecentReport(s) }
		homes, away = homes[:min(onDemandProbes, len(homes))], away[:min(onDemandProbes, len(away))]
		return cmp.Or(refFirstMatching(homes, blind), refFirstMatching(away, blind))
	}
	if s := cmp.Or(refFirstMatching(homes, fit), refFirstMatching(away, fit)); s != nil {
		return s
	}
	best := refLeastLoaded(b.localAnswers, known)
	if best != nil && best.load < b.capacityThreshold {
		return best
	}
	if s := b.nextInOrder(b.local, func(s *refServer) bool { return b.warming(s) && fit(s) }); s != nil {
		return s
	}
	if best != nil || slices.ContainsFunc(b.localAnswers, b.saturated) || !slices.ContainsFunc(b.local, fit) {
		b.lastSpillAt = b.now
		better := func(s *refServer) bool { return room(s) && (best == nil || s.load < best.load-b.crossZoneLoadGap) }
		s := cmp.Or(refLeastLoaded(b.remoteAnswers, better), best)
		if s != nil || slices.ContainsFunc(b.localAnswers, b.saturated) {
			return s
		}
	}
	doubtful := func(s *refServer) bool { return !b.saturated(s) && b.mayAttempt(r, s) }
	for _, fit := range [2]func(*refServer) bool{fit, doubtful} {
		if s := cmp.Or(b.nextInOrder(b.local, fit), b.nextInOrder(b.remote, fit)); s != nil {
			return s
		}
	}
	return nil
}

func (b *refBalancer) hasRecentReport(s *refServer) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < maxReportAge
}

func (b *refBalancer) saturated(s *refServer) bool {
	return b.now < s.slowUntil || b.hasRecentReport(s) && s.load > b.saturationThreshold
}

func (b *refBalancer) mayAttempt(r *refRequest, s *refServer) bool {
	if slices.Contains(r.attemptedServers, s.ID) || !b.withinSlowStartQuota(r, s) {
		return false
	}
	c := b.classOf(r)
	switch {
	case r.executedOn == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NotIdempotent || b.now+b.settings.ConnectTimeout >= r.firstSentAt+c.DedupWindow:
		return false
	}
	return c.KeyScope == ScopeAll || s.Zone == r.executedOn.Zone && (c.KeyScope == ScopeZone || s.Cell == r.executedOn.Cell)
}

func refLeastLoaded(pool []*refServer, fit func(*refServer) bool) *refServer {
	return refMinimum(pool, fit, func(s *refServer) float64 { return s.load })
}

func (b *refBalancer) hasGroup(r *refRequest) bool { return b.settings.GroupAffinity && r.Group != "" }

func (b *refBalancer) preferredInZone(r *refRequest, list []*refServer) (homes []*refServer) {
	if !b.hasGroup(r) {
		return nil
	}
	group, most := refHashString(r.Group), min(maxPreferredServers, (len(list)+1)/2)
	keys := make([]float64, 0, maxPreferredServers+1)
	homes = make([]*refServer, 0, maxPreferredServers+1)
	for _, s := range list {
		key := refRendezvousDistance(group, s)
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

func (b *refBalancer) probeForRequest(r *refRequest) {
	known := b.hasGroup(r) || slices.ContainsFunc(b.localAnswers, func(s *refServer) bool {
		return b.hasRecentReport(s) && s.load < b.capacityThreshold && b.withinSlowStartQuota(r, s)
	})
	homes, far := b.preferredServers(r)
	for i, targets := range [2][]*refServer{homes, far} {
		list := [2][]*refServer{b.local, b.remote}[i]
		settled := i == 0 && len(targets) > 0 && targets[0].load < b.capacityThreshold &&
			b.now-targets[0].reportedAt < b.onDemandProbeInterval()
		if !b.settings.ProbingAllowed || settled || i > 0 && !b.spillingOver() && !b.hasGroup(r) {
			return
		}
		targets = targets[:min(onDemandProbes, len(targets))]
		for n := 0; !known && n < min(onDemandProbes, len(list)); n++ {
			b.probeCursor++
			targets = append(targets, list[b.probeCursor%len(list)])
		}
		for _, s := range targets {
			if b.now >= s.ejectedUntil && b.now-s.reportedAt > b.onDemandProbeInterval() && b.now-s.probedOnDemandAt > b.onDemandProbeInterval() {
				s.probedOnDemandAt, r.notBefore = b.now, b.now+onDemandProbeTimeout
				b.emit(Probe{Server: s.ID})
				b.emit(SetTimer{Token: retryWaitingToken, Delay: onDemandProbeTimeout})
			}
		}
	}
}

func (b *refBalancer) onDemandProbeInterval() time.Duration {
	return max(minOnDemandProbeInterval, min(maxOnDemandProbeInterval, onDemandProbeIntervalOfFleet/time.Duration(b.settings.Balancers)))
}

func (b *refBalancer) warming(s *refServer) bool {
	return s.Started > 0 && b.now-s.Started < b.settings.Safety.SlowStartDuration
}

func (b *refBalancer) withinSlowStartQuota(r *refRequest, s *refServer) bool {
	if !b.warming(s) || s.Zone != b.settings.Zone {
		return !b.warming(s)
	}
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
	rules := b.settings.Safety
	if b.now >= s.slowStartQuotaUntil {
		age := float64(b.now-s.Started) / float64(rules.SlowStartDuration)
		part := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		span := max(rules.OverloadWindow, tickInterval)
		comes, sharers := b.expectedDemandFor(r, s, span), b.estimatedZoneBalancers()
		work := max(part*b.serverCapacity()*span.Seconds(), minSlowStartConnections/max(float64(b.settings.Balancers), sharers))
		use := comes / (1 + comes)
		mine := slowStartSafetyFactor / max(use, minSlowStartUse) * rules.OverloadFactor * work
		if each := b.meanLoadPerConnection(); each > 0 {
			bears := rules.OverloadFactor * part * span.Seconds() / (each * b.meanLifetime())
			mine = max(mine, min(slowStartSafetyFactor*bears/(use*sharers), 1))
		}
		s.slowStartQuota, s.slowStartQuotaUntil = math.Floor(mine+b.rng.Float64()), b.now+span
	}
	return s.slowStartQuota >= min(b.relativeLoad(r), 1)
}

func (b *refBalancer) meanLifetime() float64 {
	if b.closedByClient == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + b.connectionSeconds) / (1 + b.closedByClient)
}

func (b *refBalancer) updateLifetime() {
	fade := 1 - tickInterval.Seconds()/lifetimeDecayTime.Seconds()
	b.connectionSeconds, b.closedByClient = b.connectionSeconds*fade+float64(len(b.requests))*tickInterval.Seconds(), b.closedByClient*fade
}

func (b *refBalancer) serverCapacity() float64 {
	own, warm := 0, 0
	for _, s := range b.local {
		if !b.warming(s) {
			own, warm = own+len(s.connections), warm+1
		}
	}
	if warm == 0 {
		return b.capacity
	}
	return min(b.capacity, float64(own)/(b.meanLifetime()*float64(warm)*max(b.meanLoad, 0.5)))
}

func (b *refBalancer) expectedDemand(r *refRequest, span time.Duration) float64 {
	spread := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		spread = 0
		for _, s := range b.local {
			if b.warming(s) {
				spread++
			}
		}
	}
	return b.recentDemand / demandDecayTime.Seconds() * span.Seconds() / float64(max(spread, 1))
}

func (b *refBalancer) expectedDemandFor(r *refRequest, s *refServer, span time.Duration) float64 {
	mean := b.expectedDemand(r, span)
	if !b.hasGroup(r) || mean == 0 {
		return mean
	}
	window := demandDecayTime.Seconds() / span.Seconds()
	came := s.groupDemand.value(b.now)
	usual := (priorDemand + came) / (priorDemand/mean + window)
	storm := min(1, 2*b.recentResets/b.recentDemand)
	return max(mean, storm*came/window+(1-storm)*usual)
}

func (b *refBalancer) estimatedZoneBalancers() float64 {
	held, own, told := 0.0, 0.0, 0
	for _, s := range b.local {
		own += float64(len(s.connections))
		if s.loadPerConnection > 0 {
			held, told = held+min(s.reportedLoad/s.loadPerConnection, maxReportedConnections), told+1
		}
	}
	if told == 0 {
		return b.zoneBalancers()
	}
	held *= float64(len(b.local)) / float64(told)
	chance, most := math.Sqrt(own), b.zoneBalancers()
	if own > chance {
		most = min(most, held/(own-chance))
	}
	return max(most, held/(own+chance+1), 1)
}

func (b *refBalancer) connectionEstablished(ev Established) {
	b.recordSuccess(b.serverRecord(ev.Server))
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || !r.inFlight || r.established {
		return
	}
	r.established = true
	b.setupTime += (ev.Elapsed - b.setupTime) / setupTimeSamples
	b.dialing--
	b.dialWindow = min(b.dialWindow+1/b.dialWindow, maxDialWindow)
	b.establishedThisTick++
	b.recentEstablished++
	r.server.addConnection(r)
	delete(b.requestsByToken, r.timerToken)
	b.retryWaiting()
}

func (b *refBalancer) attemptEnded(ev AttemptEnded) {
	s, r := b.serverRecord(ev.Server), b.requests[ev.ID]
	b.recordOutcome(s, ev.Code)
	if r == nil || !r.inFlight || r.server != s || ev.Attempt != r.attempts-1 {
		return
	}
	if !r.established {
		b.dialing--
		if !ev.Code.NeverExecuted() {
			b.recentFailures++
		}
	}
	r.inFlight = false
	if ev.Final {
		if r.established {
			b.rememberClient(r, ev.Code)
		}
		b.forget(r)
		return
	}
	if !ev.Code.NeverExecuted() && r.executedOn == nil {
		r.executedOn = s
	}
	if ev.Code == TimedOut {
		b.setupTime += (max(minAttemptSetups*ev.Elapsed, b.setupTime) - b.setupTime) / setupTimeSamples
		if b.now-b.dialWindowHalvedAt > tickInterval {
			b.dialWindow, b.dialWindowHalvedAt = max(b.dialWindow/2, 1), b.now
		}
	}
	if r.established || ev.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.finish(r)
		return
	}
	b.place(r, len(b.waiting))
}

func (b *refBalancer) recordOutcome(s *refServer, code Code) {
	switch code {
	case OK:
		b.recordSuccess(s)
	case Rejected:
		b.recordAnswer()
		s.ejectedUntil = max(s.ejectedUntil, b.now+rejectionEjectionTime)
	case ServerError, TimedOut, ConnectFailed, Reset:
		if code == ServerError || !b.allFailing {
			b.lastAnswerAt, b.allFailing = b.now, code != ServerError
		} else if b.now-b.lastAnswerAt > bootstrapTimeout {
			b.bootstrap()
		}
		s.consecutiveFailures++
		b.eject(s, min(baseEjectionTime<<min(s.consecutiveFailures-1, 4), maxEjectionTime))
	}
}

func (b *refBalancer) eject(s *refServer, d time.Duration) {
	out := 0
	for _, o := range b.ready {
		if o != s && b.now < o.ejectedUntil {
			out++
		}
	}
	if b.now >= s.ejectedUntil && float64(out+1) <= maxEjectedFraction*float64(len(b.ready)) {
		s.ejectedUntil = b.now + d
		b.removeAnswer(s)
	}
}

func (b *refBalancer) finish(r *refRequest) {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || r.executedOn == nil && !r.inFlight || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		rest := baseRetryAfter
		if len(b.waiting) > minQueueLength {
			rest = max(rest, b.settings.MaxRetryAfter/2)
		}
		b.emit(Reject{ID: r.ID, RetryAfter: min(rest+b.jitter(rest), b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forget(r)
}

func (b *refBalancer) probeCompleted(ev ProbeCompleted) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if ev.Code != OK {
		b.recordOutcome(s, ev.Code)
		return
	}
	b.recordAnswer()
	if !(ev.Report.Load >= 0 && ev.Report.Load <= maxReportedLoad) {
		return
	}
	s.load, s.reportedAt, s.placementsOnReport = ev.Report.Load+s.pendingReservations(b.now), b.now, 0
	s.recordReport(ev.Report)
	if s.State != Ready {
		return
	}
	if slices.Contains(b.local, s) {
		b.localAnswers = refAddAnswer(b.localAnswers, s)
		b.updateMeanLoad(s.load)
	} else {
		b.remoteAnswers = refAddAnswer(b.remoteAnswers, s)
	}
	if !b.saturated(s) {
		b.retryWaiting()
	}
}

func (b *refBalancer) messageDelayReported(ev MessageDelayReported) {
	s, r := b.serverRecord(ev.Server), b.requests[ev.ID]
	if r == nil {
		return
	}
	s.slowUntil = 0
	if aim := b.classOf(r).MessageLatencyObjective; aim > 0 && ev.Delay > aim/2 {
		s.slowUntil = b.now + slowMessagesPeriod
		if s.State == Ready && b.now-s.reportedAt > time.Second && b.probeCredit > -maxProbeDebt && b.settings.ProbingAllowed {
			b.probeCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
}

func (b *refBalancer) timerFired(token uint64) {
	switch {
	case token == retryWaitingToken:
		b.retryWaiting()
		return
	case token != tickToken:
		if r := b.requestsByToken[token]; r != nil {
			b.finish(r)
		}
		return
	}
	b.emit(SetTimer{Token: tickToken, Delay: tickInterval})
	b.updateEstimates()
	if b.now >= b.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.migrateFromOverloaded()
	b.probePeriodically()
	b.expireClients()
}

func (b *refBalancer) retryWaiting() {
	for left := len(b.waiting) - 1; left >= 0; left-- {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.place(r, len(b.waiting)-left)
	}
}

func (b *refBalancer) migrateFromOverloaded() {
	for _, s := range b.ready {
		bad := s.reportedLoad > migrationLoad || b.now < s.slowUntil && s.reportedLoad > migrationTargetLoad
		if len(s.connections) > 0 && bad && b.hasRecentReport(s) && s.reportedAt > s.migratedAt+migrationSettlePeriod {
			s.migratedAt = b.now
			n := int(float64(len(s.connections))*(1-migrationTargetLoad/s.reportedLoad) + b.rng.Float64())
			for _, r := range b.migrationOrder(s)[:min(n, len(s.connections))] {
				r.migrated = true
				b.emit(Migrate{ID: r.ID})
			}
		}
	}
}

func (b *refBalancer) migrationOrder(s *refServer) []*refRequest {
	conns := slices.Clone(s.connections)
	b.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	slices.SortStableFunc(conns, func(x, y *refRequest) int {
		return cmp.Or(b.compareGroupSizes(s, x, y), cmp.Compare(refRendezvousDistance(refHashString(y.Group), s), refRendezvousDistance(refHashString(x.Group), s)))
	})
	return conns
}

func (b *refBalancer) probePeriodically() {
	if !b.settings.ProbingAllowed || len(b.local) == 0 {
		return
	}
	worth := max(b.establishRate, float64(len(b.requests))/defaultLifetime.Seconds())
	own, near := refConnected(b.ready), b.local
	refLeast := minProbeRate
	if len(own) == 0 {
		refLeast *= min(1, fullRateProbers/float64(b.settings.Balancers))
	}
	rate := max(refLeast, worth*probeCostFraction/cmp.Or(b.settings.Costs.Probe, math.Inf(1)))
	away, hot := b.remote, append(refConnected(b.remote), b.local...)
	if !b.spillingOver() {
		away = refConnected(b.remote)
	}
	if len(own) > 0 && len(own) < len(b.local) {
		near, away, hot = own, nil, own
	}
	if s := refFirstMatching(away, func(s *refServer) bool {
		return s.reportedAt == 0 && b.now-s.probedOnDemandAt > maxOnDemandProbeInterval
	}); s != nil {
		s.probedOnDemandAt = b.now
		b.emit(Probe{Server: s.ID})
	}
	b.overloadProbeCredit = min(b.overloadProbeCredit+rate*tickInterval.Seconds(), maxProbeDebt)
	for _, s := range hot {
		if s.load > b.capacityThreshold && b.now-max(s.reportedAt, s.probedOnDemandAt) >= overloadProbeInterval && b.overloadProbeCredit >= 1 {
			s.probedOnDemandAt = b.now
			b.overloadProbeCredit--
			b.emit(Probe{Server: s.ID})
		}
	}
	b.probeCredit = min(b.probeCredit+min(rate, float64(len(b.local)))*tickInterval.Seconds(), maxAnswers)
	for ; b.probeCredit >= 1; b.probeCredit-- {
		if b.probeCount++; b.probeCount%2 == 0 && len(away) > 0 {
			b.emit(Probe{Server: away[b.probeCount/2%len(away)].ID})
			continue
		}
		from := near
		if b.probeCount%probesPerAnyServer == 0 {
			from = b.local
		}
		b.probeCursor++
		b.emit(Probe{Server: from[b.probeCursor%len(from)].ID})
	}
}

func (b *refBalancer) ExportLearned() (all []LearnedState) {
	for _, s := range b.ready {
		l := LearnedState{Server: s.ID, Load: s.reportedLoad, Age: -1, LoadPerConnection: s.loadPerConnection, ConsecutiveFailures: s.consecutiveFailures, EjectedFor: max(s.ejectedUntil-b.now, 0)}
		if s.reportedAt > 0 {
			l.Age = b.now - s.reportedAt
		}
		all = append(all, l)
	}
	return all
}

func (b *refBalancer) ImportLearned(all []LearnedState) {
	for _, l := range all {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		if l.ConsecutiveFailures > 0 && l.EjectedFor > 0 {
			s.consecutiveFailures, s.ejectedUntil = l.ConsecutiveFailures, b.now+min(l.EjectedFor, maxEjectionTime)
		}
		if l.LoadPerConnection > 0 && l.LoadPerConnection < 1 {
			s.loadPerConnection = l.LoadPerConnection
		}
		if l.Age >= 0 && l.Age < maxReportAge && l.Load >= 0 {
			s.load, s.reportedLoad, s.reportedAt = l.Load, l.Load, b.now-l.Age
		}
	}
}
