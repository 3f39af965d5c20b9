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

// slowStartCase describes a fleet of balancers that share no state and servers in two zones. Some servers start during
// the simulation, which counts the requests of all balancers at each of these warming servers.
type slowStartCase struct {
	name                string
	balancers           int
	configuredBalancers int           // Settings.Balancers; 0: the actual number, below 0: not set
	membershipCounts    bool          // balancers receive the actual number in FleetSize events
	notAdmitted         bool          // these FleetSize events have Admitted false
	warmServers         int           // warm servers in each zone
	warmingServers      int           // servers in zone a that start during the simulation
	lostFor             time.Duration // how long the warming servers were removed before their start; 0: they are new
	groups              int           // number of groups of the requests; 0: requests have no group
	serverCapacity      float64       // connections at which a warm server's load is 1
	meanLifetime        time.Duration // mean lifetime of a connection
	load                float64       // load of the warm servers before the start of the warming servers
	demandFactor        float64       // requests per second after the start divided by those before; below 1 counts as 1
	uneven              bool          // some balancers get several times the mean demand
	synchronized        bool          // the demand after the start arrives in the first two steps of each second
	restartedFraction   float64       // fraction of the balancers that are replaced, evenly over the warm-up
	learned             bool          // replacements import the learned state of the balancers that they replace
	settleTime          time.Duration // time that the fleet runs before the start; 0: defaultSettleTime
	lateFraction        float64       // fraction of the balancers that observe the start about 3 s late
	droppingServers     int           // warm servers of zone a that drop all connections 2 s after the start
	seed                uint64        // seed of the simulation's random choices
}

// placementRecord records an attempt at a warming server.
type placementRecord struct {
	at            time.Duration
	observedStart bool // whether the balancer had observed the start
}

// simulatedServer is a server with the connections and attempts of all balancers.
type simulatedServer struct {
	Server
	capacity          float64
	connections       int
	connectionHistory []int             // number of connections at each step, newest last
	attempts          []placementRecord // attempts while the server warmed up; only if watched
	watched           bool              // whether it is one of the warming servers
	removed           bool
}

// scheduledEvent is an event of a balancer, the end of a connection or the reconnect of a client.
type scheduledEvent struct {
	at             time.Duration
	seq            int // order of the events with the same time
	balancer       *simulatedBalancer
	ev             Event
	client         RequestID // request whose connection ends; empty: no connection ends
	returns        bool      // whether a client reconnects
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

// simulatedBalancer is a balancer with its connections. A stopped balancer receives no events.
type simulatedBalancer struct {
	*Balancer
	zone          string
	stopped       bool
	late          bool // whether it receives the list with the warming servers late
	observedStart bool // whether it has received the list with the warming servers
	connections   map[RequestID]*simulatedServer
	attempts      map[RequestID]int // number of attempts of each request
	group         map[RequestID]string
}

// slowStartSimulation runs a slowStartCase in virtual time.
type slowStartSimulation struct {
	slowStartCase
	settings  Settings
	now       time.Duration
	rng       *rand.Rand
	balancers []*simulatedBalancer
	weights   []float64 // cumulative sums of the balancers' shares of the demand
	servers   map[ServerID]*simulatedServer
	list      []Server
	due       eventHeap
	seq       int    // number of the latest scheduled event
	next      int    // number of the latest request
	rejected  int    // rejected and failed requests
	seeds     uint64 // number of balancers that were created; each has a seed of its own
}

const (
	slowStartStep        = 20 * time.Millisecond
	slowStartReportDelay = 200 * time.Millisecond
	defaultSettleTime    = 12 * time.Second
)

// newSlowStartSimulation creates the servers that are warm from the start and starts the balancers.
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

// newBalancer starts a balancer with its own seed. Its only knowledge is the settings, the list and, if the case has
// it, the fleet's size.
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

// capacityFraction returns the fraction of its warm capacity that a server has at a time.
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

// answerProbe schedules the answer of a server, with a report of its connections slowStartReportDelay ago. A removed
// server does not accept the probe.
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

// startAttempt establishes a connection and schedules its end. At a removed server the attempt fails instead.
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

// reconnectLater makes a client reconnect to a random balancer after 50 to 1000 ms.
func (f *slowStartSimulation) reconnectLater(m *simulatedBalancer, id RequestID) {
	f.schedule(scheduledEvent{reconnectGroup: m.group[id], returns: true},
		50*time.Millisecond+time.Duration(f.rng.Int64N(int64(950*time.Millisecond))))
}

// end ends an established connection. It returns false if there is none.
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

// arrive sends a request of a group to a random balancer.
func (f *slowStartSimulation) arrive(group string) {
	f.next++
	id := RequestID(name("c", f.next))
	at := f.rng.Float64() * f.weights[len(f.weights)-1]
	i, _ := slices.BinarySearch(f.weights, at)
	m := f.balancers[i]
	m.group[id] = group
	f.handle(m, RequestArrived{ID: id, Key: string(id), Group: group, Remaining: 2 * time.Second, Returning: true})
}

// anyGroup returns a random group. The first group has several times the clients of the last group.
func (f *slowStartSimulation) anyGroup() string {
	if f.groups == 0 {
		return ""
	}
	return name("g", int(float64(f.groups)*math.Pow(f.rng.Float64(), 1.5)))
}

// run advances the simulation by d, in which the given number of clients per second arrive. If synchronized, they
// arrive in the first two steps of each second.
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

// sendList sends the list to the balancers with the given value of late.
func (f *slowStartSimulation) sendList(late bool) {
	for _, m := range f.balancers {
		if m.late == late {
			m.observedStart = true
			f.handle(m, ListReceived{Kind: ListSnapshot, Servers: f.list})
		}
	}
}

// restart replaces the i-th balancer. Its clients reconnect to random balancers.
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

// disconnectAll resets all connections of a server. Their clients reconnect.
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

// play runs a case and returns the results of its warming servers.
func (c slowStartCase) play(t *testing.T, set Settings) slowStartResult {
	f := newSlowStartSimulation(t, c, set)
	// The rate keeps the load of the warm servers constant. In the first 4 s, a higher rate sends requests for 0.9
	// of the connections at that load.
	rate := c.load * c.serverCapacity * 2 * float64(c.warmServers) / c.meanLifetime.Seconds()
	fill := 4 * time.Second
	f.run(fill, rate*(c.meanLifetime.Seconds()/fill.Seconds())*0.9, false)
	f.run(cmp.Or(c.settleTime, defaultSettleTime), rate, false)
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

// loseAndRestartServers removes some servers and their connections for the time lostFor. The servers are then ready
// again and warm up.
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

// addWarmingServers adds the new servers, which start now, to the list.
func (f *slowStartSimulation) addWarmingServers() {
	for i := range f.warmingServers {
		s := Server{ID: ServerID(50 + i), Zone: "a", Started: f.now}
		f.list = append(f.list, s)
		f.servers[s.ID] = &simulatedServer{Server: s, capacity: f.serverCapacity, watched: true}
	}
}

// runWarmUp runs the time in which the servers warm up, with the late lists, dropped connections and restarts of the
// case.
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
