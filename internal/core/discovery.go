package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

const (
	// discoveryTimeout is how long a discovery call may take until its first answer before it counts as failed.
	discoveryTimeout = 4 * time.Second
	// watchTimeout is the time without a heartbeat after which a watch counts as stale. Discovery sends one every 2 s.
	watchTimeout = 3 * time.Second
)

// Discovery is the source of the endpoint list. Its methods must not block. It passes the results of a call to an
// UpdateHandler until the call's ctx ends, and may report that end as a failure of the call.
type Discovery interface {
	// SetAddress makes later calls use discovery at another address. The first watch there starts with a snapshot.
	SetAddress(address string)
	// Watch opens a watch for changes of the list. Its heartbeats and its failure carry the given ID. It replaces an
	// earlier watch once discovery has answered it; until then, the earlier watch stays open.
	Watch(ctx context.Context, watch uint64)
	// Fetch requests one snapshot of the list.
	Fetch(ctx context.Context)
}

// UpdateHandler receives the results of a Discovery's calls. Engine implements it.
type UpdateHandler interface {
	// EndpointsUpdated delivers a snapshot, changed entries, or the failure of a call.
	EndpointsUpdated(EndpointUpdate)
	// WatchAlive reports a heartbeat of a watch. A list that a watch delivers counts as a heartbeat, too.
	WatchAlive(watch uint64)
}

// discoveryCalls are the engine's calls to discovery. The event loop owns them.
type discoveryCalls struct {
	// pendingWatch is the latest watch, until it sends a heartbeat or fails; otherwise nil.
	pendingWatch *discoveryCall
	// lastWatchID is the ID of the latest watch; IDs count from 1.
	lastWatchID uint64
	// watchTimer expires when no watch has sent a heartbeat for watchTimeout.
	watchTimer *timer
	// fetch is the latest request for a snapshot, until a snapshot arrives; otherwise nil.
	fetch *discoveryCall
	// listUpdated is when the last snapshot or delta arrived; initially the start. A delta without entries counts, too:
	// it confirms the list.
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

// openWatch opens a watch. The Discovery keeps an earlier watch open until the new one is answered, so that no change
// is missed.
func (e *Engine) openWatch() {
	ctx, cancel := context.WithCancel(e.ctx)
	e.discoveryCalls.lastWatchID++
	watch := e.discoveryCalls.lastWatchID
	// An earlier watch that is still pending keeps its own timer, because only that timer cancels it.
	expiry := e.timers.set(e.now+discoveryTimeout, func() {
		cancel()
		// The Discovery may have dropped the call without a report, so the engine reports the failure itself.
		if e.isPendingWatch(watch) {
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed, WatchID: watch})
		}
	})
	e.discoveryCalls.pendingWatch = &discoveryCall{watchID: watch, started: e.now, cancel: cancel, timer: expiry}
	e.discovery.Watch(ctx, watch)
}

// ensureWatch opens a watch, unless one is pending. During a reconnect to discovery it opens none either, because a
// watch is opened at the end of the reconnect.
func (e *Engine) ensureWatch() {
	if e.discoveryCalls.pendingWatch == nil && e.reconnect.step == reconnectIdle {
		e.openWatch()
	}
}

// isPendingWatch reports whether a watch is the latest one and has neither sent a heartbeat nor failed.
func (e *Engine) isPendingWatch(watch uint64) bool {
	return e.discoveryCalls.pendingWatch != nil && e.discoveryCalls.pendingWatch.watchID == watch
}

// resolvePendingWatch stops the timeout of a pending watch that has sent a heartbeat or has failed.
func (e *Engine) resolvePendingWatch(watch uint64) {
	if e.isPendingWatch(watch) {
		e.timers.stop(e.discoveryCalls.pendingWatch.timer)
		e.discoveryCalls.pendingWatch = nil
	}
}

// fetchUnlessReconnecting fetches a snapshot, unless a reconnect is in progress: the call at its end delivers all
// changes. Without this exception, each balancer would call discovery at every poll of the decision module while
// discovery is down, in addition to its reconnects.
func (e *Engine) fetchUnlessReconnecting() {
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
		// The Discovery may have dropped the call without a report, and the reconnect would wait for it forever.
		if e.reconnect.step == reconnectCalling && !e.cfg.Settings.WatchList {
			e.discoveryFailed(EndpointUpdate{Kind: decide.ListFailed})
		}
	})
	e.discoveryCalls.fetch = &discoveryCall{started: e.now, cancel: cancel, timer: expiry}
	e.discovery.Fetch(ctx)
}

// requestList opens a watch or fetches a snapshot, depending on the settings, without waiting for the decision
// module's next poll.
func (e *Engine) requestList() {
	if e.cfg.Settings.WatchList {
		e.openWatch()
	} else {
		e.fetchSnapshot()
	}
}

// SetDiscoveryAddress switches to discovery at another address and opens a watch there immediately. The current list
// stays in force until the new watch answers, and client connections are not affected.
func (e *Engine) SetDiscoveryAddress(address string) {
	e.post(func() {
		e.discovery.SetAddress(address)
		e.stopReconnect() // a reconnect in progress was for the previous address
		e.reconnect.lastPreviousWatchID = e.discoveryCalls.lastWatchID
		e.openWatch()
	})
}

// WatchAlive reports a heartbeat of a watch. If no further one arrives within watchTimeout, a new watch is
// opened beside the stale one.
func (e *Engine) WatchAlive(watch uint64) {
	e.post(func() {
		e.resolvePendingWatch(watch)
		e.stopReconnectOnHeartbeat(watch)
		e.timers.stop(e.discoveryCalls.watchTimer)
		e.discoveryCalls.watchTimer = e.timers.set(e.now+watchTimeout, e.ensureWatch)
	})
}

// discoveryAnswered updates the state of the discovery calls after a list of the given kind has arrived.
func (e *Engine) discoveryAnswered(kind decide.ListKind) {
	if e.discoveryCalls.fetch != nil && kind == decide.ListSnapshot {
		e.timers.stop(e.discoveryCalls.fetch.timer)
		e.discoveryCalls.fetch = nil
	}
	if !e.cfg.Settings.WatchList && kind != decide.ListRestored {
		e.stopReconnect() // without a watch, no heartbeat would stop it
	}
	e.discoveryCalls.listUpdated = e.now
}

// discoveryFailed handles a failed call. It starts a reconnect, except in two cases: a reconnect is already waiting for
// its next step, or the failed call is a watch that is no longer the latest one. It also notifies the decision module,
// whose calls to discovery are suppressed during the reconnect.
func (e *Engine) discoveryFailed(update EndpointUpdate) {
	started := e.callStart(update.WatchID)
	e.resolvePendingWatch(update.WatchID)
	isLatest := update.WatchID == 0 || update.WatchID == e.discoveryCalls.lastWatchID
	if e.reconnect.step != reconnectWaiting && isLatest {
		e.startReconnect(started)
	}
	e.handle(decide.ListReceived{Kind: update.Kind})
}

// callStart returns the start time of a failed call that was pending. For other calls, such as a watch that had
// answered, it returns the current time.
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
