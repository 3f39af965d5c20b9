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
	watchHeartbeatInterval = 2 * time.Second
	requestQueueSize       = 8
)

// DiscoverySource is the list's actor where the document lists no room servers.
type DiscoverySource interface {
	core.Discovery
	core.Dialer
	Run(context.Context)
}

// detachableHandler lets what discovery tells pass until the document's list takes its place.
type detachableHandler struct {
	mu       sync.Mutex
	detached bool
	handler  core.UpdateHandler
}

func (g *detachableHandler) EndpointsUpdated(r core.EndpointUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.detached {
		g.handler.EndpointsUpdated(r)
	}
}

func (g *detachableHandler) WatchAlive(watch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.detached {
		g.handler.WatchAlive(watch)
	}
}

func (g *detachableHandler) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detached = true
}

// Source is a balancer's list's actor: discovery, until the document lists room servers; these from then on. It also turns the
// balancer to the document's discovery.
type Source struct {
	broadcaster         *Broadcaster
	follower            *Follower
	persister           *Persister
	discovery           DiscoverySource
	discoveryHandler    *detachableHandler
	handler             core.UpdateHandler
	setDiscoveryAddress func(discovery string)
	watchdog            core.Watchdog // nil: nobody hears
	log                 *logrus.Logger
	requests            chan request
	states              chan replica.State

	// Owned by Run's goroutine.
	servesDocument   bool             // the document lists room servers,
	entries          []endpoint.Entry // these
	discoveryAddress string           // the document's, that the balancer was turned to
	watch            request          // the latest
	discoveryContext context.Context  // of the inner actor's watches: it ends when the document's list takes over
	stopDiscovery    context.CancelFunc
}

// request is a call of the core's.
type request struct {
	ctx      context.Context
	watchID  uint64     // its number; 0: the list alone is asked for
	onDialed func(bool) // discovery is to be dialled; nil: it is not
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
	s := &Source{broadcaster: NewBroadcaster(saved, false), persister: NewPersister(store), handler: sink, discoveryHandler: &detachableHandler{handler: sink}, setDiscoveryAddress: turn, log: log,
		requests: make(chan request, requestQueueSize), states: make(chan replica.State), servesDocument: len(saved.Document.Rooms) > 0,
		discoveryAddress: saved.Document.Discovery, entries: saved.Document.Rooms}
	s.discoveryContext, s.stopDiscovery = context.WithCancel(context.Background())
	s.discoveryHandler.detached = s.servesDocument
	s.discovery = inner(s.discoveryHandler)
	s.follower = NewFollower(s.broadcaster, f.Machines, f.Region, f.Seed, keys, f.Site, nil, log)
	return s
}

// Endpoints are a document's room servers as the core has them; none: discovery lists them.
func Endpoints(d replica.Document) []core.Endpoint {
	return filesource.Endpoints(endpoint.List{Entries: d.Rooms})
}

// SetWatchdog lets a watchdog hear of the actor's turns; it is called before Run.
func (s *Source) SetWatchdog(turns core.Watchdog) { s.watchdog = turns }

// SetAddress turns to discovery at another address.
func (s *Source) SetAddress(address string) { s.discovery.SetAddress(address) }

// Watch answers with the list in force, and from then on with its changes.
func (s *Source) Watch(ctx context.Context, watch uint64) {
	s.enqueue(request{ctx: ctx, watchID: watch})
}

// Fetch answers with the list in force.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(request{ctx: ctx}) }

// Dial finds out whether discovery takes a connection. The document's list takes no call.
func (s *Source) Dial(ctx context.Context, done func(there bool)) {
	s.enqueue(request{ctx: ctx, onDialed: done})
}

func (s *Source) enqueue(o request) {
	select {
	case s.requests <- o:
	default: // the module's actor never waits, and asks again
	}
}

// SetFallbackAddress is a reload's turn to the discovery of the balancer's own file. The document's comes before that; and in silence
// a newer version may name another, so that the one in force stays.
func (s *Source) SetFallbackAddress(address string) {
	switch {
	case s.broadcaster.State().Document.Discovery != "":
		s.log.WithField("discovery", address).Info("control: the document names discovery, the file's is not taken over")
	case s.follower.LeaderStale():
		s.log.WithField("discovery", address).Warn("control: nothing is heard of the writer, the file's discovery is not taken over")
	default:
		s.setDiscoveryAddress(address)
	}
}

// Run is the actor; it ends with ctx.
func (s *Source) Run(ctx context.Context) {
	s.follower.onState = func(state replica.State) {
		select {
		case s.states <- state:
		case <-ctx.Done():
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.follower.Run(ctx) })
	running.Go(func() { s.persister.Run(ctx) })
	running.Go(func() { s.discovery.Run(ctx) })
	defer s.stopDiscovery()
	alive := time.NewTicker(watchHeartbeatInterval)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.requests:
			core.RunMonitored(s.watchdog, func() { s.handleRequest(o) })
		case state := <-s.states:
			core.RunMonitored(s.watchdog, func() { s.applyState(state) })
		case <-alive.C:
			if s.servesDocument && s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.RunMonitored(s.watchdog, func() { s.handler.WatchAlive(s.watch.watchID) })
			}
		}
	}
}

func (s *Source) handleRequest(o request) {
	if o.onDialed != nil {
		if s.servesDocument {
			o.onDialed(true)
		} else {
			s.discovery.Dial(o.ctx, o.onDialed)
		}
		return
	}
	if o.watchID != 0 {
		s.watch = o
	}
	if !s.servesDocument {
		if o.watchID == 0 {
			s.discovery.Fetch(o.ctx)
			return
		}
		ctx, cancel := context.WithCancel(o.ctx)
		release := context.AfterFunc(s.discoveryContext, cancel)
		context.AfterFunc(ctx, func() { release() })
		s.discovery.Watch(ctx, o.watchID)
		return
	}
	if o.watchID != 0 {
		s.handler.WatchAlive(o.watchID)
	}
	s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(replica.Document{Rooms: s.entries})})
}

// applyState puts a version into force, and has it saved then.
func (s *Source) applyState(state replica.State) {
	if d := state.Document.Discovery; d != "" && d != s.discoveryAddress {
		s.setDiscoveryAddress(d)
		s.discoveryAddress = d
	}
	before := s.entries
	if s.entries = state.Document.Rooms; len(s.entries) > 0 {
		result := core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: changed(before, s.entries)}
		if !s.servesDocument {
			result = core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(state.Document)}
			s.servesDocument = true
			s.discoveryHandler.detach()
			s.stopDiscovery()
			if s.watch.ctx != nil {
				s.handler.WatchAlive(s.watch.watchID)
			}
		}
		s.handler.EndpointsUpdated(result)
	}
	s.persister.Enqueue(state)
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
