package decide

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetSimulation runs many balancers against a few servers, whose loads are what all balancers together send: one
// unit for a connection and groupLoad for each group of which a server has any connection. Reports are reportDelay
// old. Connections last until they are migrated; a migrated client reconnects to any balancer.
type fleetSimulation struct {
	now       time.Duration
	rng       *rand.Rand
	balancers []*Balancer
	due       [][]dueEvent    // scheduled events of each balancer
	nextDue   []time.Duration // time of the first of them
	servers   map[ServerID]*simulatedFleetServer
	list      []Server

	nextRequest    int                                 // number of the latest request
	groups         map[RequestID]string                // of all requests
	arrivedAt      map[RequestID]time.Duration         // of all requests
	reconnectCount map[RequestID]int                   // how often the client was rejected before
	established    map[RequestID]establishedConnection // established connections
	connectionEnds []connectionEnd
	reconnects     []reconnectingClient

	meanLifetime    time.Duration // of a connection; 0: connections do not end by themselves
	failing         map[ServerID]bool
	sharedStoreRate float64       // set-ups per second at the store that all servers share; 0: unlimited
	storeBusyUntil  time.Duration // when the store has done the set-ups so far

	attempts map[ServerID][]time.Duration // times of the attempts at each server
	// times at which connections were migrated or drained
	migratedOff     map[ServerID][]time.Duration
	probes          int
	idleProbes      int             // probes of servers where the balancer has no connection
	rejected        int             // requests
	rejectionDelays []time.Duration // time from a request's arrival to its rejection
	setupTimeouts   int             // attempts that timed out at an overloaded server
}

// connectionEnd is the scheduled end of a connection.
type connectionEnd struct {
	at time.Duration
	id RequestID
}

// overloadedLoad is the load above which a server establishes no connection in time.
const overloadedLoad = 1.3

// dueEvent is a scheduled event of a balancer.
type dueEvent struct {
	at time.Duration
	ev Event
}

// establishedConnection is where a connection was established.
type establishedConnection struct {
	balancer int
	server   ServerID
}

// reconnectingClient is a client that will return.
type reconnectingClient struct {
	at         time.Duration
	group      string
	reconnects int // how often it has returned before
}

// simulatedFleetServer is a server with the load that all balancers have sent.
type simulatedFleetServer struct {
	capacity    float64        // load units that it bears when warm
	groups      map[string]int // connections of each group
	connections int
	loadHistory []float64 // one load for each step, newest last
}

const (
	simulationStep = 10 * time.Millisecond
	reportDelay    = 200 * time.Millisecond
	groupLoad      = 3.0
)

// newFleetSimulation makes n balancers, with settings of their own, and sends them the list. Where the servers are in
// two zones, the balancers are in both in turn.
func newFleetSimulation(t *testing.T, set Settings, n int, list []Server, capacity float64) *fleetSimulation {
	f := &fleetSimulation{now: 1000 * time.Second, rng: rand.New(rand.NewPCG(1, 2)), due: make([][]dueEvent, n),
		nextDue: make([]time.Duration, n), list: list,
		servers: map[ServerID]*simulatedFleetServer{}, attempts: map[ServerID][]time.Duration{},
		groups: map[RequestID]string{}, arrivedAt: map[RequestID]time.Duration{},
		migratedOff: map[ServerID][]time.Duration{}, established: map[RequestID]establishedConnection{},
		failing: map[ServerID]bool{}, reconnectCount: map[RequestID]int{}}
	for _, s := range list {
		f.servers[s.ID] = &simulatedFleetServer{capacity: capacity, groups: map[string]int{}}
	}
	for i := range n {
		set.Seed, set.Balancers = uint64(i+1), n
		if last := list[len(list)-1].Zone; i%2 == 1 && last != set.Zone {
			set.Zone = last
		}
		b, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, b)
		f.handle(i, Started{})
		f.handle(i, ListReceived{Kind: ListSnapshot, Servers: list})
	}
	return f
}

func (f *fleetSimulation) load(id ServerID) float64 {
	s := f.servers[id]
	units := float64(s.connections) + groupLoad*float64(len(s.groups))
	return units / (s.capacity * f.capacityFraction(id))
}

// capacityFraction is the fraction of its warm capacity that a server has now.
func (f *fleetSimulation) capacityFraction(id ServerID) float64 {
	safety := f.balancers[0].settings.Safety
	for _, s := range f.list {
		if age := f.now - s.Started; s.ID == id && s.Started > 0 && age < safety.SlowStartDuration {
			initial := safety.SlowStartInitialCapacity
			return initial + (1-initial)*float64(age)/float64(safety.SlowStartDuration)
		}
	}
	return 1
}

func (f *fleetSimulation) schedule(i int, at time.Duration, ev Event) {
	f.due[i] = append(f.due[i], dueEvent{at, ev})
	f.nextDue[i] = min(f.nextDue[i], at)
}

// handle sends an event to the i-th balancer and carries out its actions.
func (f *fleetSimulation) handle(i int, ev Event) {
	for _, a := range f.balancers[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.schedule(i, f.now+a.Delay, TimerFired{Token: a.Token})
		case Probe:
			f.answerProbe(i, a.Server)
		case StartAttempt:
			f.startAttempt(i, a)
		case Fail:
			f.finish(a.ID, Cancelled)
		case Reject:
			f.reject(a)
		case Migrate:
			f.reconnectLater(a.ID)
		}
	}
}

// answerProbe schedules the answer of a server, which reports its load of reportDelay ago.
func (f *fleetSimulation) answerProbe(i int, id ServerID) {
	f.probes++
	if len(f.balancers[i].servers[id].connections) == 0 {
		f.idleProbes++
	}
	s := f.servers[id]
	report := LoadReport{Load: 0, Connections: float64(s.connections)}
	if n := len(s.loadHistory) - int(reportDelay/simulationStep); n >= 0 {
		report.Load = s.loadHistory[n]
	}
	f.schedule(i, f.now+simulationStep, ProbeCompleted{Server: id, Code: OK, Report: report})
}

// startAttempt establishes a connection. A failing server refuses it, and an overloaded one lets it time out.
func (f *fleetSimulation) startAttempt(i int, a StartAttempt) {
	f.attempts[a.Server] = append(f.attempts[a.Server], f.now)
	failed := AttemptEnded{ID: a.ID, Server: a.Server, Report: NoLoadReport,
		Attempt: f.balancers[i].requests.byID[a.ID].attempts - 1}
	switch {
	case f.failing[a.Server]:
		failed.Code = ConnectFailed
		f.schedule(i, f.now+simulationStep, failed)
	case f.load(a.Server) > overloadedLoad:
		f.setupTimeouts++
		failed.Code = TimedOut
		f.schedule(i, f.now+a.Timeout, failed)
	default:
		f.establish(i, a)
	}
}

// establish schedules the end of a set-up, which may wait for the shared store, and the end of its connection.
func (f *fleetSimulation) establish(i int, a StartAttempt) {
	s := f.servers[a.Server]
	s.connections++
	s.groups[f.groups[a.ID]]++
	f.established[a.ID] = establishedConnection{i, a.Server}
	took := simulationStep
	if f.sharedStoreRate > 0 {
		f.storeBusyUntil = max(f.storeBusyUntil, f.now) + time.Duration(float64(time.Second)/f.sharedStoreRate)
		took += f.storeBusyUntil - f.now
	}
	f.schedule(i, f.now+took, Established{ID: a.ID, Server: a.Server, Elapsed: took})
	if f.meanLifetime > 0 {
		lifetime := time.Duration(f.rng.ExpFloat64() * float64(f.meanLifetime))
		f.connectionEnds = append(f.connectionEnds, connectionEnd{f.now + took + lifetime, a.ID})
	}
}

// reject records a rejection; where connections end, the client returns by itself, twice.
func (f *fleetSimulation) reject(a Reject) {
	f.finish(a.ID, Cancelled) // a connection that was established too late is closed
	f.rejected++
	f.rejectionDelays = append(f.rejectionDelays, f.now-f.arrivedAt[a.ID])
	if returns := f.reconnectCount[a.ID]; returns < 2 && f.meanLifetime > 0 {
		client := reconnectingClient{f.now + a.RetryAfter, f.groups[a.ID], returns + 1}
		f.reconnects = append(f.reconnects, client)
	}
}

// reconnectLater ends an established connection; its client reconnects within 52 to 1000 ms.
func (f *fleetSimulation) reconnectLater(id RequestID) {
	at, group := f.established[id], f.groups[id]
	if !f.finish(id, Cancelled) {
		return
	}
	f.migratedOff[at.server] = append(f.migratedOff[at.server], f.now)
	delay := 52*time.Millisecond + time.Duration(f.rng.Int64N(int64(948*time.Millisecond)))
	f.reconnects = append(f.reconnects, reconnectingClient{f.now + delay, group, 0})
}

// finish ends a connection that is established.
func (f *fleetSimulation) finish(id RequestID, code Code) bool {
	at, ok := f.established[id]
	if !ok {
		return false
	}
	delete(f.established, id)
	s, group := f.servers[at.server], f.groups[id]
	s.connections--
	if s.groups[group]--; s.groups[group] == 0 {
		delete(s.groups, group)
	}
	if r := f.balancers[at.balancer].requests.byID[id]; r != nil {
		f.schedule(at.balancer, f.now+simulationStep, AttemptEnded{ID: id, Server: at.server, Code: code, Final: true,
			Report: NoLoadReport, Attempt: r.attempts - 1})
	}
	return true
}

// run lets time pass. In each step, perStep requests of the groups arrive on average, each at any balancer.
func (f *fleetSimulation) run(d time.Duration, perStep float64, groups []string) {
	for end := f.now + d; f.now < end; {
		f.now += simulationStep
		for id, s := range f.servers {
			s.loadHistory = append(s.loadHistory, f.load(id))
		}
		for n := perStep; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.arrive(groups[f.rng.IntN(len(groups))])
			}
		}
		f.reconnects = slices.DeleteFunc(f.reconnects, func(r reconnectingClient) bool {
			if f.now >= r.at {
				f.arrive(r.group)
				f.reconnectCount[RequestID(name("f", f.nextRequest))] = r.reconnects
			}
			return f.now >= r.at
		})
		f.connectionEnds = slices.DeleteFunc(f.connectionEnds, func(e connectionEnd) bool {
			if f.now >= e.at {
				f.finish(e.id, OK)
			}
			return f.now >= e.at
		})
		for i := range f.balancers {
			if f.nextDue[i] > f.now {
				continue
			}
			for k := 0; k < len(f.due[i]); k++ {
				if e := f.due[i][k]; e.at <= f.now {
					f.due[i] = append(f.due[i][:k], f.due[i][k+1:]...)
					k--
					f.handle(i, e.ev)
				}
			}
			f.nextDue[i] = math.MaxInt64
			for _, e := range f.due[i] {
				f.nextDue[i] = min(f.nextDue[i], e.at)
			}
		}
	}
}

// startWarming lists n servers that start now, with ids from id on. It returns the number of connections that one of
// them bears within the overload window, averaged over its first seconds, at the default lifetime.
func (f *fleetSimulation) startWarming(id ServerID, n int, capacity float64) (limit float64) {
	for end := id + ServerID(n); id < end; id++ {
		f.list = append(f.list, Server{ID: id, Zone: "a", Started: f.now})
		f.servers[id] = &simulatedFleetServer{capacity: capacity, groups: map[string]int{}}
	}
	f.sendList()
	safety := f.balancers[0].settings.Safety
	perSecond := capacity / defaultLifetime.Seconds()
	return safety.OverloadFactor * safety.OverloadWindow.Seconds() * perSecond * (safety.SlowStartInitialCapacity + 0.28)
}

func (f *fleetSimulation) arrive(group string) {
	f.nextRequest++
	id := RequestID(name("f", f.nextRequest))
	f.groups[id], f.arrivedAt[id] = group, f.now
	f.handle(f.rng.IntN(len(f.balancers)), RequestArrived{ID: id, Key: string(id), Group: group,
		Remaining: 2 * time.Second, Returning: true})
}

// groupPlacements counts the pairs of a group and a server that has connections of it.
func (f *fleetSimulation) groupPlacements() (n int) {
	for _, s := range f.servers {
		n += len(s.groups)
	}
	return n
}

// maxPlacements is the largest number of attempts at a server within any window.
func (f *fleetSimulation) maxPlacements(id ServerID, window time.Duration) int {
	return maxInWindow(f.attempts[id], window)
}

// maxInWindow is the largest number of times within any window.
func maxInWindow(sent []time.Duration, window time.Duration) (most int) {
	for i, at := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later < at+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// busiest returns the server with most connections.
func (f *fleetSimulation) busiest() ServerID {
	most := slices.MaxFunc(f.list, func(x, y Server) int {
		return f.servers[x.ID].connections - f.servers[y.ID].connections
	})
	return most.ID
}

// leastLoadedServer lists one more server, idle and warm. Of a hundred ids it gets the one that most groups prefer.
func (f *fleetSimulation) leastLoadedServer(groups []string) (best ServerID) {
	firsts := map[ServerID]int{}
	for _, g := range groups {
		nearest := slices.MinFunc(f.list, func(x, y Server) int {
			return cmp.Compare(rendezvousDistance(hashString(g), &server{Server: x}),
				rendezvousDistance(hashString(g), &server{Server: y}))
		})
		for id := ServerID(500); id < 600; id++ {
			candidate := &server{Server: Server{ID: id}}
			if rendezvousDistance(hashString(g), candidate) < rendezvousDistance(hashString(g),
				&server{Server: nearest}) {
				firsts[id]++
			}
		}
	}
	for id := ServerID(500); id < 600; id++ {
		if best == 0 || firsts[id] > firsts[best] {
			best = id
		}
	}
	f.list = append(f.list, Server{ID: best, Zone: "a"})
	f.servers[best] = &simulatedFleetServer{capacity: 26, groups: map[string]int{}}
	return best
}

// sendList sends the list to all balancers.
func (f *fleetSimulation) sendList() {
	for i := range f.balancers {
		f.handle(i, ListReceived{Kind: ListSnapshot, Servers: f.list})
	}
}

// drain lets n servers drain, from id on; they close their connections.
func (f *fleetSimulation) drain(id ServerID, n int) {
	for i := range f.list {
		if s := &f.list[i]; s.ID >= id && s.ID < id+ServerID(n) {
			s.State = Draining
		}
	}
	f.sendList()
	for _, r := range slices.Sorted(maps.Keys(f.established)) {
		if at := f.established[r]; at.server >= id && at.server < id+ServerID(n) {
			f.reconnectLater(r)
		}
	}
}

// averageServed lets time pass and returns the mean number of connections at servers that bear them.
func (f *fleetSimulation) averageServed(d time.Duration, perStep float64, groups []string) float64 {
	const look = 100 * time.Millisecond
	sum := 0
	for range d / look {
		f.run(look, perStep, groups)
		for id, s := range f.servers {
			if !f.failing[id] && f.load(id) <= 1 {
				sum += s.connections
			}
		}
	}
	return float64(sum) / float64(d/look)
}
