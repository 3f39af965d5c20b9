// Package httpsource requests the endpoint list from the discovery service over HTTP/1.1 and watches it for
// changes.
package httpsource

import (
	"context"
	"net/http"
	"sync"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

// requestQueueSize is the maximum number of the core's requests that wait for Run, and also that of waiting changes
// of the address.
const requestQueueSize = 8

// Source provides the discovery service's endpoint list to the core. It implements core.Discovery and core.Dialer.
type Source struct {
	client         *http.Client
	handler        core.UpdateHandler
	log            *logrus.Logger
	watchdog       core.Watchdog // nil if Run is not monitored
	requests       chan call
	addressChanges chan string
	events         chan callEvent // from the calls' goroutines to Run
	calls          sync.WaitGroup

	// The fields below are owned by Run's goroutine.

	address string

	// addressEpoch counts the changes of the address. Generations of different addresses cannot be compared.
	addressEpoch int

	// generation is the version of the current list, and generationCall the number of the call that delivered it.
	generation     int64
	generationCall int

	// hasSnapshot says that generation comes from the service at the current address: from a snapshot, or from the
	// list with which the source was created. If it is not set, a watch has to start with a snapshot.
	hasSnapshot bool

	lastCallNumber int

	// activeWatch is the number of the call whose watch is in use, and cancelActiveWatch cancels that call.
	activeWatch       int
	cancelActiveWatch func()
}

// New returns a source of the discovery service at an address. generation is the version of the list that the core
// already has.
func New(address string, generation int64, handler core.UpdateHandler, log *logrus.Logger) *Source {
	return &Source{
		client:            &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		handler:           handler,
		log:               log,
		requests:          make(chan call, requestQueueSize),
		addressChanges:    make(chan string, requestQueueSize),
		events:            make(chan callEvent),
		address:           address,
		generation:        generation,
		hasSnapshot:       true,
		cancelActiveWatch: func() {},
	}
}

// SetAddress sets the discovery service's address for all later requests. The current list stays in use until the
// first of these requests is answered, and the watch at the previous address until the first later watch is answered.
func (s *Source) SetAddress(address string) {
	select {
	case s.addressChanges <- address:
	default:
		s.log.WithField("discovery", address).Warn("discovery: address queue is full, dropping a change")
	}
}

// Watch requests all changes since the current generation and all future ones. After a change of the address, it
// requests a snapshot first.
func (s *Source) Watch(ctx context.Context, watch uint64) {
	s.enqueue(call{ctx: ctx, watch: true, watchID: watch})
}

// Fetch requests a snapshot of the list once.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(call{ctx: ctx}) }

// Dial implements core.Dialer: it calls done with whether the discovery service accepts a TCP connection, without
// making an HTTP call.
func (s *Source) Dial(ctx context.Context, done func(reachable bool)) {
	s.enqueue(call{ctx: ctx, onDialed: done})
}

// enqueue queues a request for Run. It drops the request if the queue is full: the core's event loop must not block,
// and the core repeats requests that are not answered.
func (s *Source) enqueue(c call) {
	select {
	case s.requests <- c:
	default:
		s.log.Warn("discovery: request queue is full, dropping a request")
	}
}

// SetWatchdog sets the watchdog that monitors the iterations of Run. It must be called before Run.
func (s *Source) SetWatchdog(watchdog core.Watchdog) { s.watchdog = watchdog }

// Run serves requests until ctx ends, and returns when all calls have ended.
func (s *Source) Run(ctx context.Context) {
	defer s.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.requests:
			core.RunMonitored(s.watchdog, func() { s.startCall(ctx, c) })
		case event := <-s.events:
			core.RunMonitored(s.watchdog, func() { s.handleEvent(event) })
		}
	}
}

// startCall starts a call or a dial in a goroutine of its own.
func (s *Source) startCall(ctx context.Context, c call) {
	s.applyAddressChanges() // the changes that were requested before this call
	address := s.address
	if c.onDialed != nil {
		s.calls.Go(func() { c.onDialed(canConnect(c.ctx, address)) })
		return
	}
	s.lastCallNumber++
	c.number = s.lastCallNumber
	c.url = listURL(address)
	c.addressEpoch = s.addressEpoch
	c.fromGeneration = s.generation
	c.snapshotFirst = c.watch && !s.hasSnapshot
	c.ctx, c.cancel = context.WithCancel(c.ctx)
	s.calls.Go(func() { s.run(ctx, c) })
}

// applyAddressChanges applies all queued changes of the address.
func (s *Source) applyAddressChanges() {
	for {
		select {
		case address := <-s.addressChanges:
			s.address = address
			s.addressEpoch++
			s.hasSnapshot = false
		default:
			return
		}
	}
}

// handleEvent handles a listing, a heartbeat or the failure of a call. The first answer of a newer watch makes it the
// active one: the previous active watch is cancelled and its later events are ignored.
func (s *Source) handleEvent(event callEvent) {
	c := event.call
	if c.watch && c.number < s.activeWatch {
		return
	}
	if c.addressEpoch != s.addressEpoch && (event.err != nil || c.number != s.activeWatch) {
		// The address has changed since the call was started. Of the previous address's calls, only the active watch
		// is still in use, and its failure is not reported: it does not concern the service at the new address.
		c.cancel()
		return
	}
	if event.err != nil {
		s.log.WithError(event.err).Warn("discovery: call failed")
		s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListFailed, WatchID: c.watchID})
		return
	}
	if c.watch {
		if c.number > s.activeWatch {
			s.cancelActiveWatch()
			s.activeWatch = c.number
			s.cancelActiveWatch = c.cancel
		}
		s.handler.WatchAlive(c.watchID)
	}
	if event.listing != nil {
		s.handleListing(c, *event.listing)
	}
}

// handleListing passes a listing to the handler. If a newer list has already been delivered, it passes an empty delta
// instead.
func (s *Source) handleListing(c call, listing Listing) {
	update := core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: listing.Endpoints}
	if listing.Reset {
		update.Kind = decide.ListSnapshot
	}
	switch {
	case c.addressEpoch != s.addressEpoch:
		// The listing comes from the active watch at the previous address. Its changes are applied, but its
		// generation has no meaning at the current address.
	case s.overtaken(c, listing):
		update = core.EndpointUpdate{Kind: decide.ListDelta}
	default:
		s.generation = listing.Generation
		s.generationCall = c.number
		s.hasSnapshot = s.hasSnapshot || listing.Reset
	}
	s.handler.EndpointsUpdated(update)
}

// overtaken reports whether another call has already delivered a newer list than the given listing. Such a listing
// must not be applied: it would, for example, make a draining endpoint ready again.
//
// A lower generation alone does not show that, because a discovery service that has restarted counts generations from
// the beginning. The service must have restarted if the watch that delivered the current generation now delivers a
// lower one, or if a watch gets a snapshot whose generation is lower than the one from which the watch was requested.
func (s *Source) overtaken(c call, listing Listing) bool {
	if !s.hasSnapshot || listing.Generation >= s.generation {
		return false
	}
	if !c.watch {
		return true
	}
	if c.number == s.generationCall {
		return false
	}
	return !listing.Reset || listing.Generation >= c.fromGeneration
}
