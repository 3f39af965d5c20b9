package controlplane

import (
	"context"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"

	"github.com/sirupsen/logrus"
)

const (
	aliveEvery = 2 * time.Second
	orderSize  = 8
)

// DiscoverySource is the list's actor where the document lists no room servers.
type DiscoverySource interface {
	core.Discovery
	core.Dialer
	Run(context.Context)
}

// gate lets what discovery tells pass until the document's list takes its place.
type gate struct {
	mu     sync.Mutex
	closed bool
	sink   core.UpdateHandler
}

func (g *gate) EndpointsUpdated(r core.EndpointUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.sink.EndpointsUpdated(r)
	}
}

func (g *gate) WatchAlive(watch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.sink.WatchAlive(watch)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Source is a balancer's list's actor: discovery, until the document lists room servers; these from then on. It also turns the
// balancer to the document's discovery.
type Source struct {
	hub      *Broadcaster
	follower *Follower
	saver    *Persister
	inner    DiscoverySource
	gate     *gate
	sink     core.UpdateHandler
	turn     func(discovery string)
	turns    core.Watchdog // nil: nobody hears
	log      *logrus.Logger
	orders   chan order
	states   chan replica.State

	// Owned by Run's goroutine.
	listed    bool             // the document lists room servers,
	rooms     []endpoint.Entry // these
	discovery string           // the document's, that the balancer was turned to
	watch     order            // the latest
	inside    context.Context  // of the inner actor's watches: it ends when the document's list takes over
	stopInner context.CancelFunc
}

// order is a call of the core's.
type order struct {
	ctx    context.Context
	watch  uint64     // its number; 0: the list alone is asked for
	dialed func(bool) // discovery is to be dialled; nil: it is not
}

// FollowerConfig says whom a balancer follows.
type FollowerConfig struct {
	Machines []replica.Server
	Region   string
	Site     string
	Seed     uint64
}

// NewSource returns the actor. inner makes the actor of discovery for a sink; turn turns the module to another discovery. saved
// is the state that the balancer starts with, which is in force already.
func NewSource(f FollowerConfig, keys *Keyring, store *Store, saved replica.State, inner func(core.UpdateHandler) DiscoverySource, turn func(discovery string),
	sink core.UpdateHandler, log *logrus.Logger) *Source {
	s := &Source{hub: NewBroadcaster(saved, false), saver: NewPersister(store), sink: sink, gate: &gate{sink: sink}, turn: turn, log: log,
		orders: make(chan order, orderSize), states: make(chan replica.State), listed: len(saved.Document.Rooms) > 0,
		discovery: saved.Document.Discovery, rooms: saved.Document.Rooms}
	s.inside, s.stopInner = context.WithCancel(context.Background())
	s.gate.closed = s.listed
	s.inner = inner(s.gate)
	s.follower = NewFollower(s.hub, f.Machines, f.Region, f.Seed, keys, f.Site, nil, log)
	return s
}

// Endpoints are a document's room servers as the core has them; none: discovery lists them.
func Endpoints(d replica.Document) []core.Endpoint {
	return filesource.Endpoints(endpoint.List{Entries: d.Rooms})
}

// SetWatchdog lets a watchdog hear of the actor's turns; it is called before Run.
func (s *Source) SetWatchdog(turns core.Watchdog) { s.turns = turns }

// SetAddress turns to discovery at another address.
func (s *Source) SetAddress(address string) { s.inner.SetAddress(address) }

// Watch answers with the list in force, and from then on with its changes.
func (s *Source) Watch(ctx context.Context, watch uint64) { s.order(order{ctx: ctx, watch: watch}) }

// Fetch answers with the list in force.
func (s *Source) Fetch(ctx context.Context) { s.order(order{ctx: ctx}) }

// Dial finds out whether discovery takes a connection. The document's list takes no call.
func (s *Source) Dial(ctx context.Context, done func(there bool)) {
	s.order(order{ctx: ctx, dialed: done})
}

func (s *Source) order(o order) {
	select {
	case s.orders <- o:
	default: // the module's actor never waits, and asks again
	}
}

// SetFallbackAddress is a reload's turn to the discovery of the balancer's own file. The document's comes before that; and in silence
// a newer version may name another, so that the one in force stays.
func (s *Source) SetFallbackAddress(address string) {
	switch {
	case s.hub.State().Document.Discovery != "":
		s.log.WithField("discovery", address).Info("control: the document names discovery, the file's is not taken over")
	case s.follower.LeaderStale():
		s.log.WithField("discovery", address).Warn("control: nothing is heard of the writer, the file's discovery is not taken over")
	default:
		s.turn(address)
	}
}

// Run is the actor; it ends with ctx.
func (s *Source) Run(ctx context.Context) {
	s.follower.taken = func(state replica.State) {
		select {
		case s.states <- state:
		case <-ctx.Done():
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.follower.Run(ctx) })
	running.Go(func() { s.saver.Run(ctx) })
	running.Go(func() { s.inner.Run(ctx) })
	defer s.stopInner()
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.orders:
			core.RunMonitored(s.turns, func() { s.answer(o) })
		case state := <-s.states:
			core.RunMonitored(s.turns, func() { s.enforce(state) })
		case <-alive.C:
			if s.listed && s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.RunMonitored(s.turns, func() { s.sink.WatchAlive(s.watch.watch) })
			}
		}
	}
}

func (s *Source) answer(o order) {
	if o.dialed != nil {
		if s.listed {
			o.dialed(true)
		} else {
			s.inner.Dial(o.ctx, o.dialed)
		}
		return
	}
	if o.watch != 0 {
		s.watch = o
	}
	if !s.listed {
		if o.watch == 0 {
			s.inner.Fetch(o.ctx)
			return
		}
		ctx, cancel := context.WithCancel(o.ctx)
		release := context.AfterFunc(s.inside, cancel)
		context.AfterFunc(ctx, func() { release() })
		s.inner.Watch(ctx, o.watch)
		return
	}
	if o.watch != 0 {
		s.sink.WatchAlive(o.watch)
	}
	s.sink.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(replica.Document{Rooms: s.rooms})})
}

// enforce puts a version into force, and has it saved then.
func (s *Source) enforce(state replica.State) {
	if d := state.Document.Discovery; d != "" && d != s.discovery {
		s.turn(d)
		s.discovery = d
	}
	before := s.rooms
	if s.rooms = state.Document.Rooms; len(s.rooms) > 0 {
		result := core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: changed(before, s.rooms)}
		if !s.listed {
			result = core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(state.Document)}
			s.listed = true
			s.gate.close()
			s.stopInner()
			if s.watch.ctx != nil {
				s.sink.WatchAlive(s.watch.watch)
			}
		}
		s.sink.EndpointsUpdated(result)
	}
	s.saver.Enqueue(state)
}

// changed is what differs from one list to the next, both by name. Guards the module against a whole list for each change.
func changed(before, after []endpoint.Entry) (all []core.Endpoint) {
	var put, gone []endpoint.Entry
	i := 0
	for _, r := range after {
		for ; i < len(before) && before[i].Name < r.Name; i++ {
			gone = append(gone, before[i])
		}
		if i < len(before) && before[i].Name == r.Name {
			if i++; before[i-1] == r {
				continue
			}
		}
		put = append(put, r)
	}
	gone = append(gone, before[i:]...)
	all = filesource.Endpoints(endpoint.List{Entries: gone})
	for i := range all {
		all[i].State = decide.Removed
	}
	return append(all, filesource.Endpoints(endpoint.List{Entries: put})...)
}
