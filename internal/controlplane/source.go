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
	// watchHeartbeatInterval is the time between two reports to the core that its watch is alive.
	watchHeartbeatInterval = 2 * time.Second

	// requestQueueSize is the maximum number of the core's requests that wait for Run.
	requestQueueSize = 8
)

// DiscoverySource provides the endpoint list of the discovery service, while the document contains none.
type DiscoverySource interface {
	core.Discovery
	core.Dialer
	Run(context.Context)
}

// Source is a balancer's source of the endpoint list. It implements core.Discovery and core.Dialer. It forwards the
// discovery service's list until the document contains a list. From then on it serves the document's list. It also
// passes the document's discovery address to the core.
type Source struct {
	broadcaster *Broadcaster
	follower    *Follower
	persister   *Persister
	log         *logrus.Logger
	watchdog    core.Watchdog // nil: none

	// handler receives the updates of the endpoint list. In a balancer, it is the core's engine.
	handler core.UpdateHandler

	// discovery provides the list while the document contains none. It sends its updates to discoveryHandler.
	discovery        DiscoverySource
	discoveryHandler *detachableHandler

	// setDiscoveryAddress sets the discovery service's address in the core. The core then calls Source.SetAddress.
	setDiscoveryAddress func(address string)

	requests chan request
	states   chan replica.State // from the follower

	// discoveryContext ends the watches that were forwarded to discovery. stopDiscovery cancels it when the
	// document's list replaces the discovery service's, and when Run returns.
	discoveryContext context.Context
	stopDiscovery    context.CancelFunc

	// The fields below are owned by Run's goroutine.

	servesDocument   bool             // the document contains a list
	entries          []endpoint.Entry // the document's list
	discoveryAddress string           // the last discovery address that the document set
	watch            request          // the latest request with a watch ID; its ctx is nil if there was none
}

// request is a call of the core that is queued for Run.
type request struct {
	ctx      context.Context
	watchID  uint64               // 0 for a Fetch or a Dial
	onDialed func(reachable bool) // callback of a Dial; nil for other requests
}

// FollowerConfig configures the replication of a balancer.
type FollowerConfig struct {
	Servers []replica.Server
	Region  string
	Site    string
	Seed    uint64 // different seeds spread the followers over the servers
}

// NewSource returns a source that starts with a saved state. The core must already use that state's document.
// newDiscovery returns a DiscoverySource that sends its updates to the given handler. setDiscoveryAddress sets the
// discovery service's address in the core.
func NewSource(
	config FollowerConfig, keys *Keyring, store *Store, saved replica.State,
	newDiscovery func(core.UpdateHandler) DiscoverySource, setDiscoveryAddress func(address string),
	handler core.UpdateHandler, log *logrus.Logger,
) *Source {
	servesDocument := len(saved.Document.Endpoints) > 0
	broadcaster := NewBroadcaster(saved, false)
	discoveryHandler := &detachableHandler{handler: handler, detached: servesDocument}
	// Run sets the follower's onState.
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

// Endpoints converts a document's endpoint list to the core's type. The result is empty if the document contains no
// list.
func Endpoints(document replica.Document) []core.Endpoint {
	return filesource.Endpoints(endpoint.List{Entries: document.Endpoints})
}

// SetWatchdog sets the watchdog that monitors the iterations of Run. It must be called before Run.
func (s *Source) SetWatchdog(watchdog core.Watchdog) { s.watchdog = watchdog }

// SetAddress implements core.Discovery. It sets the discovery service's address.
func (s *Source) SetAddress(address string) { s.discovery.SetAddress(address) }

// Watch implements core.Discovery. It requests the current list and all later changes.
func (s *Source) Watch(ctx context.Context, watch uint64) {
	s.enqueue(request{ctx: ctx, watchID: watch})
}

// Fetch implements core.Discovery. It requests the current list once.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(request{ctx: ctx}) }

// Dial implements core.Dialer. While the document contains no list, it dials the discovery service. Afterwards it
// calls done with true, because the list no longer depends on the discovery service.
func (s *Source) Dial(ctx context.Context, done func(reachable bool)) {
	s.enqueue(request{ctx: ctx, onDialed: done})
}

// enqueue queues a request for Run. It drops the request if the queue is full, because the core's event loop must
// not block. The core repeats requests that are not answered.
func (s *Source) enqueue(r request) {
	select {
	case s.requests <- r:
	default:
	}
}

// SetFallbackAddress applies the discovery address of the balancer's own configuration after a reload. It ignores the
// address if the document sets one. It also ignores the address while the leader is stale, because a newer document
// that this follower has not received may set another address.
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

// Run replicates the document, answers the core's requests and applies new states until ctx ends.
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

// handleRequest answers a request with the document's list. While the document contains none, it forwards the request
// to s.discovery.
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

// forward forwards a Watch or Fetch to s.discovery. A watch also ends when the document's list replaces the discovery
// service's.
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

// applyState passes a new state's discovery address and list to the core, and enqueues the state to be saved.
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

// replaceDiscovery ends the watches of the discovery service and starts to serve the document's list.
func (s *Source) replaceDiscovery() {
	s.servesDocument = true
	s.discoveryHandler.detach()
	s.stopDiscovery()
	if s.watch.ctx != nil {
		s.handler.WatchAlive(s.watch.watchID)
	}
	s.sendSnapshot()
}

// delta returns the endpoints that differ between two lists, both ordered by name. Endpoints that are missing from
// the second list have the state decide.Removed. With a delta, the core need not process the whole list at each
// change.
func delta(before, after []endpoint.Entry) []core.Endpoint {
	upserted, removed := endpoint.DiffEntries(before, after)
	endpoints := filesource.Endpoints(endpoint.List{Entries: removed})
	for i := range endpoints {
		endpoints[i].State = decide.Removed
	}
	return append(endpoints, filesource.Endpoints(endpoint.List{Entries: upserted})...)
}
