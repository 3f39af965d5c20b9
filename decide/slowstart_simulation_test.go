package decide

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartCase is a fleet of balancers that share nothing, before servers of two zones, some of which start in the
// middle of the simulation. The requests at each warming server are counted over all balancers.
type slowStartCase struct {
	name                string
	balancers           int
	configuredBalancers int           // number in the settings; 0: the true one, below 0: not set
	membershipCounts    bool          // balancers get the true number from the membership
	notAdmitted         bool          // the membership does not admit them
	warmServers         int           // in each zone
	warmingServers      int           // in zone a
	lostFor             time.Duration // how long these were removed before; 0: they are new
	groups              int           // groups of the requests; 0: requests have none
	serverCapacity      float64       // connections that a warm server bears
	meanLifetime        time.Duration // of a connection
	load                float64       // of the warm servers before the start
	demandFactor        float64       // demand since the start over the demand before
	uneven              bool          // some balancers get several times the mean demand
	synchronized        bool          // the demand since the start comes within 50 ms of every second
	restartedFraction   float64       // balancers that are replaced, evenly over the warm-up
	learned             bool          // replacements import what the previous ones have learned
	warmUp              time.Duration // of the fleet before the start; 0: defaultWarmUp
	lateFraction        float64       // balancers that observe the start 3 s late
	droppingServers     int           // warm servers of zone a that drop their connections 2 s after the start
	seed                uint64
}

// placementRecord is an attempt at a warming server.
type placementRecord struct {
	at            time.Duration
	observedStart bool // the balancer had observed the start
}

// simulatedServer is a server, and what the balancers did to it.
type simulatedServer struct {
	Server
	capacity          float64
	connections       int
	connectionHistory []int             // one for each step, newest last
	attempts          []placementRecord // while it warmed up
	watched           bool              // it is one of the warming servers
	removed           bool
}

// scheduledEvent is an event of a balancer, the end of a connection, or the return of a client.
type scheduledEvent struct {
	at             time.Duration
	seq            int // order of the events of one moment
	balancer       *simulatedBalancer
	ev             Event
	client         RequestID // whose connection ends
	returns        bool      // a client returns
	reconnectGroup string    // the group of that client
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulatedBalancer is one balancer; a stopped one gets no more events.
type simulatedBalancer struct {
	*Balancer
	zone          string
	stopped       bool
	late          bool
	observedStart bool // it has observed the start of the warming servers
	connections   map[RequestID]*simulatedServer
	attempts      map[RequestID]int
	group         map[RequestID]string
}

// slowStartSimulation plays a slowStartCase in virtual time.
type slowStartSimulation struct {
	slowStartCase
	settings  Settings
	now       time.Duration
	rng       *rand.Rand
	balancers []*simulatedBalancer
	weights   []float64 // running sums of the balancers' parts of the demand
	servers   map[ServerID]*simulatedServer
	list      []Server
	due       eventHeap
	seq       int
	next      int
	rejected  int
	seeds     uint64
}

const (
	slowStartStep        = 20 * time.Millisecond
	slowStartReportDelay = 200 * time.Millisecond
	defaultWarmUp        = 12 * time.Second
)

// newSlowStartSimulation starts the balancers of a case.
func newSlowStartSimulation(t *testing.T, c slowStartCase, set Settings) *slowStartSimulation {
	f := &slowStartSimulation{slowStartCase: c, settings: set, now: 1000 * time.Second,
		rng:     rand.New(rand.NewPCG(11, c.seed)),
		servers: map[ServerID]*simulatedServer{}}
	f.settings.Balancers, f.settings.GroupAffinity = max(c.configuredBalancers, 0), c.groups > 0
	if c.configuredBalancers == 0 {
		f.settings.Balancers = c.balancers
	}
	for _, s := range servers(c.warmServers, c.warmServers) {
		f.servers[s.ID] = &simulatedServer{Server: s, capacity: c.serverCapacity}
		f.list = append(f.list, s)
	}
	sum := 0.0
	for i := range c.balancers {
		w := 1.0
		if c.uneven {
			w = f.rng.ExpFloat64() * f.rng.ExpFloat64()
		}
		sum += w
		f.weights = append(f.weights, sum)
		f.balancers = append(f.balancers, f.newBalancer(t, []string{"a", "b"}[i%2]))
	}
	for i, m := range f.balancers {
		m.late = float64(i) < c.lateFraction*float64(c.balancers)
	}
	return f
}

// newBalancer starts a balancer with a seed of its own, which knows only the list.
func (f *slowStartSimulation) newBalancer(t *testing.T, zone string) *simulatedBalancer {
	f.seeds++
	f.settings.Seed, f.settings.Zone = mix(f.seed, f.seeds), zone
	b, err := New(f.settings)
	if err != nil {
		t.Fatal(err)
	}
	m := &simulatedBalancer{Balancer: b, zone: zone, connections: map[RequestID]*simulatedServer{},
		attempts: map[RequestID]int{}, group: map[RequestID]string{}}
	f.handle(m, Started{})
	if f.membershipCounts {
		f.handle(m, FleetSize{Fleet: f.slowStartCase.balancers, Zone: (f.slowStartCase.balancers + 1) / 2,
			Admitted: !f.notAdmitted})
	}
	f.handle(m, ListReceived{Kind: ListSnapshot, Servers: f.list})
	return m
}

// schedule schedules an event after a delay.
func (f *slowStartSimulation) schedule(e scheduledEvent, delay time.Duration) {
	f.seq++
	e.at, e.seq = f.now+delay, f.seq
	heap.Push(&f.due, e)
}

// capacityFraction is the fraction of its warm capacity that a server has now.
func (f *slowStartSimulation) capacityFraction(s *simulatedServer, at time.Duration) float64 {
	if age := at - s.Started; s.Started > 0 && age < f.settings.Safety.SlowStartDuration {
		warm := max(0, float64(age)/float64(f.settings.Safety.SlowStartDuration))
		return f.settings.Safety.SlowStartInitialCapacity + (1-f.settings.Safety.SlowStartInitialCapacity)*warm
	}
	return 1
}

// handle sends an event to a balancer and carries out its actions.
func (f *slowStartSimulation) handle(m *simulatedBalancer, ev Event) {
	for _, a := range m.Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.schedule(scheduledEvent{balancer: m, ev: TimerFired{Token: a.Token}}, a.Delay)
		case Probe:
			f.answerProbe(m, f.servers[a.Server])
		case StartAttempt:
			f.startAttempt(m, a)
		case Reject:
			f.rejected++
			f.reconnectLater(m, a.ID)
		case Fail:
			f.rejected++
			f.reconnectLater(m, a.ID)
		case Migrate:
			f.end(m, a.ID, Cancelled)
			f.reconnectLater(m, a.ID)
		}
	}
}

// answerProbe schedules the answer of a server, which reports its load of slowStartReportDelay ago.
func (f *slowStartSimulation) answerProbe(m *simulatedBalancer, s *simulatedServer) {
	result := ProbeCompleted{Server: s.ID, Code: ConnectFailed, Report: NoLoadReport}
	if !s.removed {
		connections := 0
		if n := len(s.connectionHistory) - int(slowStartReportDelay/slowStartStep); n >= 0 {
			connections = s.connectionHistory[n]
		}
		load := float64(connections) / (s.capacity * f.capacityFraction(s, f.now))
		result.Code, result.Report = OK, LoadReport{Load: load, Connections: float64(connections)}
	}
	f.schedule(scheduledEvent{balancer: m, ev: result}, slowStartStep)
}

// startAttempt establishes a connection, and schedules its end, unless the server is removed.
func (f *slowStartSimulation) startAttempt(m *simulatedBalancer, a StartAttempt) {
	s, attempt := f.servers[a.Server], m.attempts[a.ID]
	m.attempts[a.ID]++
	if s.removed {
		f.schedule(scheduledEvent{balancer: m, ev: AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server,
			Code: ConnectFailed, Report: NoLoadReport}}, slowStartStep)
		return
	}
	if s.watched && f.capacityFraction(s, f.now) < 1 {
		s.attempts = append(s.attempts, placementRecord{f.now, m.observedStart})
	}
	s.connections++
	m.connections[a.ID] = s
	established := Established{ID: a.ID, Server: a.Server, Elapsed: slowStartStep}
	f.schedule(scheduledEvent{balancer: m, ev: established}, slowStartStep)
	lifetime := time.Duration(f.rng.ExpFloat64() * float64(f.meanLifetime))
	f.schedule(scheduledEvent{balancer: m, client: a.ID}, slowStartStep+lifetime)
}

// reconnectLater lets a client return, to any balancer, within 50 to 1000 ms.
func (f *slowStartSimulation) reconnectLater(m *simulatedBalancer, id RequestID) {
	f.schedule(scheduledEvent{reconnectGroup: m.group[id], returns: true},
		50*time.Millisecond+time.Duration(f.rng.Int64N(int64(950*time.Millisecond))))
}

// end ends an established connection, and reports whether there was one.
func (f *slowStartSimulation) end(m *simulatedBalancer, id RequestID, code Code) bool {
	s := m.connections[id]
	if s == nil {
		return false
	}
	delete(m.connections, id)
	s.connections--
	if !m.stopped {
		f.schedule(scheduledEvent{balancer: m, ev: AttemptEnded{ID: id, Server: s.ID, Attempt: m.attempts[id] - 1,
			Code: code, Final: true, Report: NoLoadReport}}, 0)
	}
	return true
}

// arrive lets a client of a group arrive at a random balancer.
func (f *slowStartSimulation) arrive(group string) {
	f.next++
	id := RequestID(name("c", f.next))
	at := f.rng.Float64() * f.weights[len(f.weights)-1]
	i, _ := slices.BinarySearch(f.weights, at)
	m := f.balancers[i]
	m.group[id] = group
	f.handle(m, RequestArrived{ID: id, Key: string(id), Group: group, Remaining: 2 * time.Second, Returning: true})
}

// anyGroup returns a random group; the first group has several times the clients of the last.
func (f *slowStartSimulation) anyGroup() string {
	if f.groups == 0 {
		return ""
	}
	return name("g", int(float64(f.groups)*math.Pow(f.rng.Float64(), 1.5)))
}

// run lets time pass while clients arrive at a rate per second.
func (f *slowStartSimulation) run(d time.Duration, rate float64, synchronized bool) {
	for end := f.now + d; f.now < end; {
		f.now += slowStartStep
		for _, s := range f.servers {
			s.connectionHistory = append(s.connectionHistory, s.connections)
		}
		n := rate * slowStartStep.Seconds()
		if synchronized {
			n = 0
			if f.now%time.Second < 2*slowStartStep {
				n = rate / 2
			}
		}
		for ; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.arrive(f.anyGroup())
			}
		}
		for len(f.due) > 0 && f.due[0].at <= f.now {
			e := heap.Pop(&f.due).(scheduledEvent)
			switch {
			case e.returns:
				f.arrive(e.reconnectGroup)
			case e.client != "":
				f.end(e.balancer, e.client, OK)
			case !e.balancer.stopped:
				f.handle(e.balancer, e.ev)
			}
		}
	}
}

// sendList sends the list to the balancers that observe it late, or to the others.
func (f *slowStartSimulation) sendList(late bool) {
	for _, m := range f.balancers {
		if m.late == late {
			m.observedStart = true
			f.handle(m, ListReceived{Kind: ListSnapshot, Servers: f.list})
		}
	}
}

// restart replaces the i-th balancer. Its clients reconnect to any balancer.
func (f *slowStartSimulation) restart(t *testing.T, i int) {
	old := f.balancers[i]
	learned := old.ExportLearned()
	old.stopped = true
	var ids []RequestID
	for id := range old.connections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.end(old, id, Reset)
		f.reconnectLater(old, id)
	}
	f.balancers[i] = f.newBalancer(t, old.zone)
	f.balancers[i].observedStart = true
	if f.learned {
		f.balancers[i].ImportLearned(learned)
	}
}

// disconnectAll breaks all connections of a server; the clients reconnect.
func (f *slowStartSimulation) disconnectAll(s *simulatedServer) {
	for _, m := range f.balancers {
		var ids []RequestID
		for id, at := range m.connections {
			if at == s {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			f.end(m, id, Reset)
			f.reconnectLater(m, id)
		}
	}
}

// play runs a case, and counts every window at each warming server.
func (c slowStartCase) play(t *testing.T, set Settings) slowStartResult {
	f := newSlowStartSimulation(t, c, set)
	// The rate that keeps the warm servers at their load. The load is reached sooner by a higher rate at first.
	rate := c.load * c.serverCapacity * 2 * float64(c.warmServers) / c.meanLifetime.Seconds()
	fill := 4 * time.Second
	f.run(fill, rate*(c.meanLifetime.Seconds()/fill.Seconds())*0.9, false)
	f.run(cmp.Or(c.warmUp, defaultWarmUp), rate, false)
	if c.lostFor > 0 {
		f.loseAndRestartServers(rate)
	} else {
		f.addWarmingServers()
	}
	for _, m := range f.balancers {
		m.observedStart = false
	}
	rejectedBefore, started := f.rejected, f.now
	f.sendList(false)
	f.runWarmUp(t, rate)
	return f.result(started, f.rejected-rejectedBefore)
}

// loseAndRestartServers removes some servers for a time, with their connections; then they start again.
func (f *slowStartSimulation) loseAndRestartServers(rate float64) {
	lost := f.list[:f.warmingServers]
	for i := range lost {
		lost[i].State = Removed
		f.servers[lost[i].ID].removed = true
		f.disconnectAll(f.servers[lost[i].ID])
	}
	f.sendList(false)
	f.sendList(true)
	f.run(f.lostFor, rate, false)
	for i := range lost {
		lost[i].State, lost[i].Started = Ready, f.now
		s := f.servers[lost[i].ID]
		s.Server, s.removed, s.watched = lost[i], false, true
	}
}

// addWarmingServers lists servers that start now.
func (f *slowStartSimulation) addWarmingServers() {
	for i := range f.warmingServers {
		s := Server{ID: ServerID(50 + i), Zone: "a", Started: f.now}
		f.list = append(f.list, s)
		f.servers[s.ID] = &simulatedServer{Server: s, capacity: f.serverCapacity, watched: true}
	}
}

// runWarmUp lets the servers warm up, while what the case asks for happens.
func (f *slowStartSimulation) runWarmUp(t *testing.T, rate float64) {
	const rounds = 20
	duration := f.settings.Safety.SlowStartDuration
	seconds, replaced := int(duration.Seconds()), 0
	for round := range rounds {
		if f.lateFraction > 0 && round == rounds*3/seconds {
			f.sendList(true)
		}
		if f.droppingServers > 0 && round == rounds*2/seconds {
			for _, s := range f.list[f.warmServers-f.droppingServers : f.warmServers] {
				f.disconnectAll(f.servers[s.ID])
			}
		}
		restarts := int(f.restartedFraction * float64(f.slowStartCase.balancers) * float64(round+1) / rounds)
		for ; replaced < restarts; replaced++ {
			f.restart(t, replaced)
		}
		f.run(duration/rounds, rate*max(f.demandFactor, 1), f.synchronized)
	}
}
