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
	// watchHeartbeatInterval is the time between two reports that the watch is alive.
	watchHeartbeatInterval = 2 * time.Second

	// requestQueueSize is the number of the core's requests that wait for Run.
	requestQueueSize = 8
)

// DiscoverySource provides the endpoint list where the document contains none.
type DiscoverySource interface {
	core.Discovery
	core.Dialer
	Run(context.Context)
}

// Source is a balancer's source of the endpoint list. It forwards the discovery service's list until the
// document contains one, and from then on serves the document's. It also applies the document's discovery
// address.
type Source struct {
	broadcaster *Broadcaster
	follower    *Follower
	persister   *Persister
	log         *logrus.Logger
	watchdog    core.Watchdog // nil: none

	// handler receives the list's updates.
	handler core.UpdateHandler

	// discovery provides the list while the document contains none. It reports to discoveryHandler.
	discovery        DiscoverySource
	discoveryHandler *detachableHandler

	// setDiscoveryAddress tells the core the discovery service's address. The core then calls SetAddress.
	setDiscoveryAddress func(address string)

	requests chan request
	states   chan replica.State // from the follower

	// discoveryContext is the parent of the discovery's watches. stopDiscovery ends it when the document's
	// list replaces the discovery's.
	discoveryContext context.Context
	stopDiscovery    context.CancelFunc

	// The fields below are owned by Run's goroutine.

	servesDocument   bool             // the document contains a list
	entries          []endpoint.Entry // the document's list
	discoveryAddress string           // the last one that the document set
	watch            request          // the latest one with a watch ID
}

// request is a call of the core that waits for Run.
type request struct {
	ctx      context.Context
	watchID  uint64               // 0: no watch, only the current list
	onDialed func(reachable bool) // set if the discovery service is to be dialled
}

// FollowerConfig configures the replication of a balancer.
type FollowerConfig struct {
	Servers []replica.Server
	Region  string
	Site    string
	Seed    uint64 // followers with different seeds spread over the servers
}

// NewSource returns a source that starts with a saved state, which the core uses already. newDiscovery
// creates the discovery's source for a handler. setDiscoveryAddress tells the core the discovery service's
// address.
func NewSource(
	config FollowerConfig, keys *Keyring, store *Store, saved replica.State,
	newDiscovery func(core.UpdateHandler) DiscoverySource, setDiscoveryAddress func(address string),
	handler core.UpdateHandler, log *logrus.Logger,
) *Source {
	servesDocument := len(saved.Document.Endpoints) > 0
	broadcaster := NewBroadcaster(saved, false)
	discoveryHandler := &detachableHandler{handler: handler, detached: servesDocument}
	// onState is set by Run.
	follower := NewFollower(broadcaster, config.Servers, config.Region, config.Seed, keys, config.Site, nil, log)
	discoveryContext, stopDiscovery := context.WithCancel(context.Background())
	return &Source{
		broadcaster:         broadcaster,
		follower:            follower,
		persister:           NewPersister(store),
		log:                 log,
		handler:             handler,
		discovery:           newDiscovery(discoveryHandler),
		discoveryHandler:    discoveryHandler,
		setDiscoveryAddress: setDiscoveryAddress,
		requests:            make(chan request, requestQueueSize),
		states:              make(chan replica.State),
		discoveryContext:    discoveryContext,
		stopDiscovery:       stopDiscovery,
		servesDocument:      servesDocument,
		entries:             saved.Document.Endpoints,
		discoveryAddress:    saved.Document.Discovery,
	}
}

// Endpoints returns a document's endpoint list as the core represents it. It is empty if the discovery
// service provides the list.
func Endpoints(document replica.Document) []core.Endpoint {
	return filesource.Endpoints(endpoint.List{Entries: document.Endpoints})
}

// SetWatchdog sets the watchdog that monitors the iterations of Run. It must be called before Run.
func (s *Source) SetWatchdog(watchdog core.Watchdog) { s.watchdog = watchdog }

// SetAddress sets the discovery service's address.
func (s *Source) SetAddress(address string) { s.discovery.SetAddress(address) }

// Watch requests the current list and all later changes.
func (s *Source) Watch(ctx context.Context, watch uint64) {
	s.enqueue(request{ctx: ctx, watchID: watch})
}

// Fetch requests the current list once.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(request{ctx: ctx}) }

// Dial calls done with whether the discovery service accepts a connection. It always does if the document
// contains a list.
func (s *Source) Dial(ctx context.Context, done func(reachable bool)) {
	s.enqueue(request{ctx: ctx, onDialed: done})
}

// enqueue queues a request for Run. It drops the request if the queue is full: the core's event loop must not
// block, and the core repeats requests that have no answer.
func (s *Source) enqueue(r request) {
	select {
	case s.requests <- r:
	default:
	}
}

// SetFallbackAddress applies the discovery address of a balancer's own configuration after a reload. The
// document's address takes precedence. While the leader is stale, the current address stays, because a newer
// document may set another.
func (s *Source) SetFallbackAddress(address string) {
	switch {
	case s.broadcaster.State().Document.Discovery != "":
		s.log.WithField("discovery", address).
			Info("control: the document sets discovery, the configuration's address is ignored")
	case s.follower.LeaderStale():
		s.log.WithField("discovery", address).
			Warn("control: no contact to the leader, the configuration's discovery address is ignored")
	default:
		s.setDiscoveryAddress(address)
	}
}

// Run serves requests and applies new states until ctx ends.
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
	ticker := time.NewTicker(watchHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.requests:
			core.RunMonitored(s.watchdog, func() { s.handleRequest(r) })
		case state := <-s.states:
			core.RunMonitored(s.watchdog, func() { s.applyState(state) })
		case <-ticker.C:
			if s.servesDocument && s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.RunMonitored(s.watchdog, func() { s.handler.WatchAlive(s.watch.watchID) })
			}
		}
	}
}

// handleRequest answers a request, or passes it on to the discovery's source.
func (s *Source) handleRequest(r request) {
	if r.onDialed != nil {
		s.handleDial(r)
		return
	}
	if r.watchID != 0 {
		s.watch = r
	}
	if !s.servesDocument {
		s.forward(r)
		return
	}
	if r.watchID != 0 {
		s.handler.WatchAlive(r.watchID)
	}
	s.sendSnapshot()
}

func (s *Source) handleDial(r request) {
	if s.servesDocument {
		r.onDialed(true)
		return
	}
	s.discovery.Dial(r.ctx, r.onDialed)
}

// forward passes a request on to the discovery's source. A watch ends early if the document's list replaces the
// discovery's.
func (s *Source) forward(r request) {
	if r.watchID == 0 {
		s.discovery.Fetch(r.ctx)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	release := context.AfterFunc(s.discoveryContext, cancel)
	context.AfterFunc(ctx, func() { release() })
	s.discovery.Watch(ctx, r.watchID)
}

// sendSnapshot sends the document's list to the handler.
func (s *Source) sendSnapshot() {
	endpoints := Endpoints(replica.Document{Endpoints: s.entries})
	s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: endpoints})
}

// applyState applies a new state and has it saved.
func (s *Source) applyState(state replica.State) {
	if address := state.Document.Discovery; address != "" && address != s.discoveryAddress {
		s.setDiscoveryAddress(address)
		s.discoveryAddress = address
	}
	previous := s.entries
	s.entries = state.Document.Endpoints
	switch {
	case len(s.entries) == 0: // the discovery service provides the list
	case s.servesDocument:
		s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: delta(previous, s.entries)})
	default:
		s.replaceDiscovery()
	}
	s.persister.Enqueue(state)
}

// replaceDiscovery ends the discovery's watches and serves the document's list from now on.
func (s *Source) replaceDiscovery() {
	s.servesDocument = true
	s.discoveryHandler.detach()
	s.stopDiscovery()
	if s.watch.ctx != nil {
		s.handler.WatchAlive(s.watch.watchID)
	}
	s.sendSnapshot()
}

// delta returns the endpoints that differ between two lists that are ordered by name. The core is spared a
// snapshot for each change.
func delta(before, after []endpoint.Entry) []core.Endpoint {
	upserted, removed := endpoint.DiffEntries(before, after)
	endpoints := filesource.Endpoints(endpoint.List{Entries: removed})
	for i := range endpoints {
		endpoints[i].State = decide.Removed
	}
	return append(endpoints, filesource.Endpoints(endpoint.List{Entries: upserted})...)
}
