// Package filesource provides the endpoint list from an operator's file in place of the discovery service. It
// reads the file again when it changes, and answers the core's requests with the current list. Package
// endpoint decides which changes of the file are applied.
package filesource

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
)

const (
	maxFileBytes = 1 << 25

	// settleDelay is how long after the latest event of the watched directory the file is read. The delay keeps a
	// file from being read while it is being written.
	settleDelay = 100 * time.Millisecond

	// maxSettleDelay limits the time from the first event after a read to the next read, if events keep arriving.
	maxSettleDelay = time.Second

	// pollInterval is the time between two checks whether the file has changed without an event. That happens, for
	// example, if the path is a symbolic link: the directory of the link's target is not watched.
	pollInterval = 2 * time.Second

	// watchHeartbeatInterval is the time between two reports that the watch is alive.
	watchHeartbeatInterval = 2 * time.Second

	// requestQueueSize is the maximum number of the core's requests that wait for Run.
	requestQueueSize = 8
)

// Source provides the endpoint list of a file to the core. It implements core.Discovery.
type Source struct {
	path      string
	handler   core.UpdateHandler
	log       *logrus.Logger
	watchdog  core.Watchdog // nil if Run is not monitored
	requests  chan request
	proposals chan endpoint.List

	// The fields below are owned by Run's goroutine.

	guard       *endpoint.ChangeGuard
	file        *FileTracker
	watch       request // the latest request that opened a watch; its ctx is nil if there was none
	lastFailure string  // the failure that was logged last; empty after a success
}

// request is a call of Watch or Fetch that waits for Run.
type request struct {
	ctx     context.Context
	watchID uint64 // 0 for Fetch
}

// Read reads and validates the list in a file. Errors name the file and the fault in it.
func Read(path string) (endpoint.List, error) {
	raw, err := ReadLimited(path, maxFileBytes)
	if err != nil {
		return endpoint.List{}, fmt.Errorf("rooms: %w", err)
	}
	if len(raw) > maxFileBytes {
		return endpoint.List{}, fmt.Errorf("rooms: %s: the file is longer than %d bytes", path, maxFileBytes)
	}
	list, err := endpoint.Parse(raw)
	if err != nil {
		return list, fmt.Errorf("rooms: %s: %w", path, err)
	}
	return list, nil
}

// Endpoints returns a list's entries as the core represents them.
func Endpoints(list endpoint.List) []core.Endpoint {
	var endpoints []core.Endpoint
	for _, entry := range list.Entries {
		state := decide.Ready
		if entry.Drain {
			state = decide.Draining
		}
		endpoints = append(endpoints, core.Endpoint{
			Name:    entry.Name,
			Address: entry.Address,
			Server: decide.Server{
				ID:     core.ServerID(entry.Name),
				Zone:   entry.Zone,
				State:  state,
				Weight: entry.Weight,
			},
		})
	}
	return endpoints
}

// New returns a source of the file at a path. first is the list that the caller has already read from the file.
func New(path string, first endpoint.List, handler core.UpdateHandler, log *logrus.Logger) *Source {
	return &Source{
		path:      path,
		handler:   handler,
		log:       log,
		guard:     endpoint.NewChangeGuard(first),
		file:      NewFileTracker(path, pollInterval),
		requests:  make(chan request, requestQueueSize),
		proposals: make(chan endpoint.List),
	}
}

// SetWatchdog sets the watchdog that monitors the iterations of Run. It must be called before Run.
func (s *Source) SetWatchdog(watchdog core.Watchdog) { s.watchdog = watchdog }

// SetAddress implements core.Discovery. It does nothing, because a file has no address.
func (s *Source) SetAddress(string) {}

// Watch implements core.Discovery: it requests the current list and heartbeats of the watch. Later changes of the
// list are delivered whether there is a watch or not.
func (s *Source) Watch(ctx context.Context, watch uint64) { s.enqueue(request{ctx, watch}) }

// Fetch implements core.Discovery: it requests the current list once.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(request{ctx, 0}) }

// enqueue queues a request for Run. It drops the request if the queue is full: the core's event loop must not block,
// and the core repeats requests that are not answered.
func (s *Source) enqueue(r request) {
	select {
	case s.requests <- r:
	default:
	}
}

// Propose passes to Run a list that was read because the operator requested a reload by a signal. It returns when Run
// has received the list or ctx has ended.
func (s *Source) Propose(ctx context.Context, list endpoint.List) {
	select {
	case s.proposals <- list:
	case <-ctx.Done():
	}
}

// Run serves requests and applies changes of the file until ctx ends.
func (s *Source) Run(ctx context.Context) {
	events, watchErrors, stopWatching := s.watchDirectory()
	defer stopWatching()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	watchHeartbeat := time.NewTicker(watchHeartbeatInterval)
	defer watchHeartbeat.Stop()
	settled := time.NewTimer(0)
	settled.Stop()
	var firstEvent time.Time // when the first event after the last read arrived; zero if there was none
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.requests:
			core.RunMonitored(s.watchdog, func() { s.handleRequest(r) })
		case list := <-s.proposals:
			core.RunMonitored(s.watchdog, func() { s.propose(list, true) })
		case <-events:
			if firstEvent.IsZero() {
				firstEvent = time.Now()
			}
			settled.Reset(min(settleDelay, max(maxSettleDelay-time.Since(firstEvent), 0)))
		case err := <-watchErrors:
			s.log.WithError(err).Warn("rooms: the file watch reported an error")
			settled.Reset(settleDelay)
		case <-settled.C:
			firstEvent = time.Time{}
			core.RunMonitored(s.watchdog, s.reload)
		case <-poll.C:
			core.RunMonitored(s.watchdog, s.reloadIfChanged)
		case <-watchHeartbeat.C:
			if s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.RunMonitored(s.watchdog, func() { s.handler.WatchAlive(s.watch.watchID) })
			}
		}
	}
}

// watchDirectory watches the file's directory rather than the file itself: a watch of the file would end when another
// file is renamed over it. If no watcher can be created, the channels are nil.
func (s *Source) watchDirectory() (events <-chan fsnotify.Event, watchErrors <-chan error, stop func()) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		s.log.WithError(err).Warnf("rooms: no file watch, polling the file every %v", pollInterval)
		return nil, nil, func() {}
	}
	if err := watcher.Add(filepath.Dir(s.path)); err != nil {
		s.log.WithError(err).Warnf("rooms: the directory cannot be watched, polling the file every %v", pollInterval)
	}
	return watcher.Events, watcher.Errors, func() { watcher.Close() }
}

// handleRequest answers a request with the current list.
func (s *Source) handleRequest(r request) {
	if r.watchID != 0 {
		s.watch = r
		s.handler.WatchAlive(r.watchID)
	}
	s.sendSnapshot()
}

// sendSnapshot sends the current list to the handler.
func (s *Source) sendSnapshot() {
	endpoints := Endpoints(s.guard.Current())
	s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: endpoints})
}

func (s *Source) reloadIfChanged() {
	if !s.file.Unchanged() {
		s.reload()
	}
}

// reload reads the file and proposes its list. An invalid file changes nothing, and an error that repeats is logged
// only once.
func (s *Source) reload() {
	s.file.BeginRead()
	list, err := Read(s.path)
	if err != nil {
		s.file.Invalidate()
		if err.Error() != s.lastFailure {
			s.log.WithError(err).Error("rooms: invalid list rejected, keeping the current one")
		}
		s.lastFailure = err.Error()
		return
	}
	s.propose(list, false)
}

// propose proposes a list to the guard and executes the guard's decision. requested says that the operator requested
// the reload.
func (s *Source) propose(list endpoint.List, requested bool) {
	decision, change := s.guard.Propose(list, requested)
	switch decision {
	case endpoint.Unchanged:
		s.lastFailure = ""
	case endpoint.NeedsConfirmation:
		failure := "rooms: pending: " + change.String()
		if failure != s.lastFailure || requested {
			s.log.WithField("change", change.String()).
				Error("rooms: list pending: removes or drains over half of the active endpoints; send SIGHUP to confirm")
		}
		s.lastFailure = failure
	case endpoint.Applied:
		s.lastFailure = ""
		s.log.WithField("change", change.String()).Info("rooms: list applied")
		s.sendSnapshot()
	}
}
