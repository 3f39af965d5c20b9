package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

const (
	// discoveryTimeout is when a discovery call without any answer has failed.
	discoveryTimeout = 4 * time.Second
	// watchTimeout is when a watch without heartbeats counts as stale; discovery sends one every 2 s.
	watchTimeout = 3 * time.Second
)

// Discovery is the source of the endpoint list. Its methods must not block. What a call brings goes to an
// UpdateHandler, until ctx ends.
type Discovery interface {
	// SetAddress directs later calls to discovery at another address. The first watch there starts with a
	// snapshot.
	SetAddress(address string)
	// Watch opens a watch for changes of the list. Its heartbeats and its failure carry the given ID.
	Watch(ctx context.Context, watch uint64)
	// Fetch requests one snapshot of the list.
	Fetch(ctx context.Context)
}

// UpdateHandler receives what a Discovery learns. Engine implements it.
type UpdateHandler interface {
	// EndpointsUpdated delivers a snapshot, changed entries, or the failure of a call.
	EndpointsUpdated(EndpointUpdate)
	// WatchAlive reports a heartbeat of a watch.
	WatchAlive(watch uint64)
}

// discoveryCalls are the engine's calls to discovery. The event loop owns them.
type discoveryCalls struct {
	// pendingWatch is the latest watch while it has not been heard of, else nil.
	pendingWatch *discoveryCall
	// lastWatchID is the ID of the latest watch; IDs count from 1.
	lastWatchID uint64
	// watchTimer expires when no watch has sent a heartbeat for watchTimeout.
	watchTimer *timer
	// fetch is the latest request for a snapshot until a snapshot arrives, else nil.
	fetch *discoveryCall
	// listUpdated is when the list last changed or was confirmed.
	listUpdated time.Duration
}

// discoveryCall is a watch or a request for a snapshot.
type discoveryCall struct {
	// watchID is 0 for a request for a snapshot.
	watchID uint64
	started time.Duration
	cancel  context.CancelFunc
	timer   *timer
}

// openWatch opens a watch. A watch that is open already stays until the new one answers, so that no change is
// missed.
func (e *Engine) openWatch() {
	ctx, cancel := context.WithCancel(e.ctx)
	e.discoveryCalls.lastWatchID++
	watch := e.discoveryCalls.lastWatchID
	// An earlier watch that is still pending keeps its own timer: nothing else would end it.
	expiry := e.timers.set(e.now+discoveryTimeout, func() {
		cancel()
		// The Discovery may have dropped the call without any report, so it fails here.
		if e.isPendingWatch(watch) {
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed, WatchID: watch})
		}
	})
	e.discoveryCalls.pendingWatch = &discoveryCall{watchID: watch, started: e.now, cancel: cancel, timer: expiry}
	e.discovery.Watch(ctx, watch)
}

// ensureWatch opens a watch, unless one is pending or the engine is reconnecting to discovery, which ends
// with a watch.
func (e *Engine) ensureWatch() {
	if e.discoveryCalls.pendingWatch == nil && e.reconnect.step == reconnectIdle {
		e.openWatch()
	}
}

// isPendingWatch reports whether a watch is the latest one and has not been heard of.
func (e *Engine) isPendingWatch(watch uint64) bool {
	return e.discoveryCalls.pendingWatch != nil && e.discoveryCalls.pendingWatch.watchID == watch
}

// resolvePendingWatch ends the wait for a pending watch that has shown a heartbeat or has failed.
func (e *Engine) resolvePendingWatch(watch uint64) {
	if e.isPendingWatch(watch) {
		e.timers.stop(e.discoveryCalls.pendingWatch.timer)
		e.discoveryCalls.pendingWatch = nil
	}
}

// requestSnapshot fetches a snapshot, unless the engine is reconnecting: the call that ends the reconnect
// brings all changes. This spares a discovery that is down a further call from each balancer at each
// time-out.
func (e *Engine) requestSnapshot() {
	if e.reconnect.step == reconnectIdle {
		e.fetchSnapshot()
	}
}

// fetchSnapshot requests a snapshot and cancels an earlier request.
func (e *Engine) fetchSnapshot() {
	if e.discoveryCalls.fetch != nil {
		e.timers.stop(e.discoveryCalls.fetch.timer)
		e.discoveryCalls.fetch.cancel()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	expiry := e.timers.set(e.now+discoveryTimeout, func() {
		cancel()
		// The Discovery may have dropped the call without any report, and the reconnect would wait for it
		// forever.
		if e.reconnect.step == reconnectCalling && !e.cfg.Settings.WatchList {
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed})
		}
	})
	e.discoveryCalls.fetch = &discoveryCall{started: e.now, cancel: cancel, timer: expiry}
	e.discovery.Fetch(ctx)
}

// requestList opens a watch or fetches a snapshot, as the settings say, without waiting for the decision
// module's poll.
func (e *Engine) requestList() {
	if e.cfg.Settings.WatchList {
		e.openWatch()
	} else {
		e.fetchSnapshot()
	}
}

// SetDiscoveryAddress switches to discovery at another address and opens a watch there at once. The present
// list stays in force meanwhile, and client connections are not affected.
func (e *Engine) SetDiscoveryAddress(address string) {
	e.post(func() {
		e.discovery.SetAddress(address)
		e.stopReconnect() // it concerned the old address
		e.reconnect.lastStaleWatchID = e.discoveryCalls.lastWatchID
		e.openWatch()
	})
}

// WatchAlive reports a heartbeat of a watch. If no further one arrives within watchTimeout, a new watch is
// opened beside the stale one.
func (e *Engine) WatchAlive(watch uint64) {
	e.post(func() {
		e.resolvePendingWatch(watch)
		e.watchConfirmsDiscovery(watch)
		e.timers.stop(e.discoveryCalls.watchTimer)
		e.discoveryCalls.watchTimer = e.timers.set(e.now+watchTimeout, e.ensureWatch)
	})
}

// discoveryAnswered notes that a list of the given kind has arrived.
func (e *Engine) discoveryAnswered(kind decide.ListKind) {
	if e.discoveryCalls.fetch != nil && kind == decide.ListSnapshot {
		e.timers.stop(e.discoveryCalls.fetch.timer)
		e.discoveryCalls.fetch = nil
	}
	if !e.cfg.Settings.WatchList && kind != decide.ListRestored {
		e.stopReconnect() // without a watch no heartbeat would stop it
	}
	e.discoveryCalls.listUpdated = e.now
}

// discoveryFailed handles a failed call and starts to reconnect. The decision module is notified too, but the
// calls that it asks for are left out until the reconnect has ended.
func (e *Engine) discoveryFailed(update EndpointUpdate) {
	started := e.callStart(update.WatchID)
	e.resolvePendingWatch(update.WatchID)
	isLatest := update.WatchID == 0 || update.WatchID == e.discoveryCalls.lastWatchID
	if e.reconnect.step != reconnectWaiting && isLatest {
		e.startReconnect(started)
	}
	e.handle(decide.ListReceived{Kind: update.Kind})
}

// callStart returns when a failed call was started, or the present time for a watch that had been
// established.
func (e *Engine) callStart(watch uint64) time.Duration {
	switch {
	case e.isPendingWatch(watch):
		return e.discoveryCalls.pendingWatch.started
	case e.discoveryCalls.fetch != nil && watch == 0:
		return e.discoveryCalls.fetch.started
	default:
		return e.now
	}
}
