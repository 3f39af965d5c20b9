package core

import (
	"time"

	"cottonplank/decide"
)

// upstreamState is what the engine knows of one server.
type upstreamState struct {
	Upstream
	zone    string
	started time.Time
	state   decide.State
	// drainNotifiedAt is when this process learned that the server is draining or was removed; 0 if it is
	// ready, or was not ready already in the list that was restored at the start.
	drainNotifiedAt time.Duration
	// connections counts the established connections.
	connections int
	// attempts counts the attempts since the start.
	attempts uint64
	// load is the latest reported load over capacity; below 0 if there was no report.
	load float64
}

// upstreamTable holds the servers. The event loop owns it.
type upstreamTable struct {
	// byID holds the servers of the endpoint list, and removed ones that still have connections.
	byID map[decide.ServerID]*upstreamState
	// ejected holds servers that the decision module has ejected; it may also hold some whose ejection has
	// ended.
	ejected map[decide.ServerID]struct{}
	// departed holds servers that were removed lately, by name.
	departed map[string]departedUpstream
	// listed counts the servers of byID that are not removed.
	listed int
	// draining counts the servers of byID that are draining.
	draining int
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		byID:     map[decide.ServerID]*upstreamState{},
		ejected:  map[decide.ServerID]struct{}{},
		departed: map[string]departedUpstream{},
	}
}

// add adds a server that is new in the endpoint list. It counts as ready until its state is set.
func (t *upstreamTable) add(endpoint Endpoint) *upstreamState {
	u := &upstreamState{load: -1, Upstream: Upstream{Address: endpoint.Address}, started: endpoint.Started}
	t.byID[endpoint.ID] = u
	t.listed++
	return u
}

// count adds n servers in the given state to the counters, so that a snapshot need not visit all servers.
func (t *upstreamTable) count(state decide.State, n int) {
	if state != decide.Removed {
		t.listed += n
	}
	if state == decide.Draining {
		t.draining += n
	}
}

// deleteUnused deletes a removed server once it has no connections, so that the table does not grow with each
// deployment. If the server was listed again meanwhile, its new entry stays.
func (t *upstreamTable) deleteUnused(u *upstreamState) {
	if u.state == decide.Removed && u.connections == 0 && t.byID[u.ID] == u {
		delete(t.byID, u.ID)
	}
}

// EndpointsUpdated delivers what a discovery call brought: a snapshot, changed entries, or a failure.
func (e *Engine) EndpointsUpdated(update EndpointUpdate) {
	e.post(func() { e.applyUpdate(update) })
}

func (e *Engine) applyUpdate(update EndpointUpdate) {
	if update.Kind == decide.ListFailed {
		e.discoveryFailed(update)
		return
	}
	e.discoveryAnswered(update.Kind)
	unavailable := map[*upstreamState]bool{}
	if update.Kind == decide.ListSnapshot {
		e.statistics.counters.ListSnapshots++
		e.removeUnlisted(update.Endpoints, unavailable)
	}
	servers := make([]decide.Server, 0, len(update.Endpoints))
	for _, endpoint := range update.Endpoints {
		e.applyEndpoint(endpoint, update.Kind, unavailable)
		server := endpoint.Server
		server.Started = e.hostTime(endpoint.Started)
		servers = append(servers, server)
	}
	e.handle(decide.ListReceived{Kind: update.Kind, Servers: servers})
	e.cancelUnsentAttempts(unavailable)
	if update.Kind != decide.ListRestored {
		e.finishStarting()
	}
}

// removeUnlisted removes the servers that a snapshot does not name and adds them to unavailable.
func (e *Engine) removeUnlisted(endpoints []Endpoint, unavailable map[*upstreamState]bool) {
	listed := make(map[decide.ServerID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
	}
	for id, u := range e.upstreams.byID {
		if !listed[id] {
			e.removeUpstream(u)
			unavailable[u] = true
		}
	}
}

// applyEndpoint applies one entry of the endpoint list. It adds the server to unavailable if that accepts no
// new requests from now on, or is another process than before.
func (e *Engine) applyEndpoint(endpoint Endpoint, kind decide.ListKind, unavailable map[*upstreamState]bool) {
	u := e.upstreams.byID[endpoint.ID]
	if u == nil {
		u = e.upstreams.add(endpoint)
	}
	if endpoint.State != decide.Ready || u.Address != endpoint.Address || !u.started.Equal(endpoint.Started) {
		unavailable[u] = true
	}
	u.Upstream = Upstream{ID: endpoint.ID, Name: endpoint.Name, Address: endpoint.Address}
	u.zone, u.started = endpoint.Zone, endpoint.Started
	e.setUpstreamState(u, endpoint.State, kind)
	delete(e.upstreams.departed, endpoint.Name)
	if endpoint.State == decide.Removed {
		e.removeUpstream(u)
	}
}

// setUpstreamState sets a server's state and notes when this process learned that it accepts no new requests.
func (e *Engine) setUpstreamState(u *upstreamState, state decide.State, kind decide.ListKind) {
	switch {
	case state == decide.Ready:
		u.drainNotifiedAt = 0
	case u.state == decide.Ready && kind != decide.ListRestored:
		u.drainNotifiedAt = e.now
	}
	e.upstreams.count(u.state, -1)
	u.state = state
	e.upstreams.count(u.state, 1)
}

// removeUpstream handles a server that has left the endpoint list.
func (e *Engine) removeUpstream(u *upstreamState) {
	e.setUpstreamState(u, decide.Removed, decide.ListDelta)
	e.rememberDeparted(u.Upstream)
	e.prober.Remove(u.ID)
	e.upstreams.deleteUnused(u)
}

// cancelUnsentAttempts cancels the attempts at the given servers whose request was not sent yet. A connection
// that comes up late would otherwise send a new request to a server after its drain grace.
func (e *Engine) cancelUnsentAttempts(unavailable map[*upstreamState]bool) {
	if len(unavailable) == 0 {
		return
	}
	for c := range e.calls.attempting {
		if c.attempt.active && c.phase == phasePending && unavailable[c.attempt.upstream] {
			c.conn.CancelAttempt(c.attempt.number, decide.NotSent) // no fault of the server
		}
	}
}

// drainGraceEnd returns when the drain grace of a server ends; it reports false if the server is not in one.
func (e *Engine) drainGraceEnd(u *upstreamState) (time.Duration, bool) {
	return u.drainNotifiedAt + e.cfg.Settings.Safety.DrainGrace, u.drainNotifiedAt > 0
}

// closedToAttempts reports whether nothing may be sent to a server any more: it was removed, or its drain
// grace is over.
func (e *Engine) closedToAttempts(u *upstreamState) bool {
	graceEnd, draining := e.drainGraceEnd(u)
	return u.state == decide.Removed || draining && e.now >= graceEnd
}

// hostTime converts wall time to host-clock time, above 0. The zero time, which means long ago, stays 0.
func (e *Engine) hostTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(clockStart+t.Sub(e.epoch), 1)
}

// wallTime converts host-clock time to wall time.
func (e *Engine) wallTime(at time.Duration) time.Time { return e.epoch.Add(at - clockStart) }
