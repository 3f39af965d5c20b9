package core

import (
	"time"

	"cottonplank/decide"
)

// upstreamState holds the state of one server.
type upstreamState struct {
	Upstream
	zone    string
	started time.Time
	state   decide.State
	// drainNotifiedAt is when this process received the list update that made the server draining or removed. It is 0
	// for a ready server, and for a server that was draining or removed in the list restored at the start.
	drainNotifiedAt time.Duration
	// connections counts the established connections.
	connections int
	// attempts counts the attempts since the server was added to the table.
	attempts uint64
	// load is the load in the latest probe result that has one, as a fraction of the capacity; below 0 if there was none.
	load float64
}

// upstreamTable holds the servers. The event loop owns it.
type upstreamTable struct {
	// byID holds the servers of the endpoint list, and removed ones that still have connections.
	byID map[decide.ServerID]*upstreamState
	// ejected holds the servers that the decision module has ejected. It may also hold servers whose ejection has
	// ended, until countEjected deletes them.
	ejected map[decide.ServerID]struct{}
	// departed holds the removed servers that rememberDeparted keeps, by name.
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

// add adds a server that is new in the endpoint list. The server is in state Ready until setUpstreamState is called.
func (t *upstreamTable) add(endpoint Endpoint) *upstreamState {
	u := &upstreamState{load: -1, Upstream: Upstream{Address: endpoint.Address}, started: endpoint.Started}
	t.byID[endpoint.ID] = u
	t.listed++
	return u
}

// count adds n, which may be negative, to the counters for servers in the given state. With these counters, taking a
// snapshot does not have to visit all servers.
func (t *upstreamTable) count(state decide.State, n int) {
	if state != decide.Removed {
		t.listed += n
	}
	if state == decide.Draining {
		t.draining += n
	}
}

// deleteUnused deletes a removed server that has no connections, so that the table does not grow with each deployment
// of servers. If another entry has replaced u in the meantime because the server was listed again, that entry stays.
func (t *upstreamTable) deleteUnused(u *upstreamState) {
	if u.state == decide.Removed && u.connections == 0 && t.byID[u.ID] == u {
		delete(t.byID, u.ID)
	}
}

// EndpointsUpdated delivers the result of a discovery call: a snapshot, changed entries, or a failure.
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

// removeUnlisted removes the servers that a snapshot does not contain and adds them to unavailable.
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

// applyEndpoint applies one entry of the endpoint list. It adds the server to unavailable if the server accepts no
// new requests, or if another process has taken its place: the address or the start time has changed.
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

// setUpstreamState sets a server's state. When a ready server becomes draining or removed, it records the current
// time in drainNotifiedAt, except for the list restored at the start.
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

// removeUpstream handles the removal of a server from the endpoint list.
func (e *Engine) removeUpstream(u *upstreamState) {
	e.setUpstreamState(u, decide.Removed, decide.ListDelta)
	e.rememberDeparted(u.Upstream)
	e.prober.Remove(u.ID)
	e.upstreams.deleteUnused(u)
}

// cancelUnsentAttempts cancels the attempts at the given servers whose request was not sent yet. Otherwise an attempt
// that connects late would send its request to a server after the server's drain grace.
func (e *Engine) cancelUnsentAttempts(unavailable map[*upstreamState]bool) {
	if len(unavailable) == 0 {
		return
	}
	for c := range e.calls.attempting {
		if c.attempt.active && c.phase == phasePending && unavailable[c.attempt.upstream] {
			// With NotSent, the decision module does not count the attempt as a failure of the server.
			c.conn.CancelAttempt(c.attempt.number, decide.NotSent)
		}
	}
}

// drainGraceEnd returns when the drain grace of a server ends. It reports false if the server has none: it is ready,
// or this process does not know when the drain began.
func (e *Engine) drainGraceEnd(u *upstreamState) (time.Duration, bool) {
	return u.drainNotifiedAt + e.cfg.Settings.Safety.DrainGrace, u.drainNotifiedAt > 0
}

// closedToAttempts reports whether no request may be sent to a server: it was removed, or its drain grace is over.
func (e *Engine) closedToAttempts(u *upstreamState) bool {
	graceEnd, draining := e.drainGraceEnd(u)
	return u.state == decide.Removed || draining && e.now >= graceEnd
}

// hostTime converts wall-clock time to host-clock time. The zero time, which means long ago, becomes 0; the result is
// at least 1 for all other times.
func (e *Engine) hostTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(clockStart+t.Sub(e.epoch), 1)
}

// wallTime converts host-clock time to wall-clock time.
func (e *Engine) wallTime(at time.Duration) time.Time { return e.epoch.Add(at - clockStart) }
