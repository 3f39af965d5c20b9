package quic

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cottonplank/decide"
)

// A client that changes its address and its connection ID in one step gets a second flow: nothing in the packet links
// it to the first one, whose end cannot be seen either. Such flows stay inactive until Config.Idle. They must not keep
// connections that stand, or new requests, out of the table.

const (
	// minInactivity is how long a flow has had no datagram from either side when it may be evicted. Clients of standing
	// connections say something every 2 s.
	minInactivity = 3 * time.Second
	// evictionBatchDivisor is the divisor of the fraction of Config.MaxFlows that is evicted at once at most, so that a
	// full table is not searched for each datagram.
	evictionBatchDivisor = 8
	// evictionRetryInterval is the minimum time between two searches of which the first has found no flow.
	evictionRetryInterval = 10 * time.Millisecond
	// restoreReserveDivisor is the divisor of the fraction of Config.MaxFlows that requests without an established
	// connection leave free for connections to be restored.
	restoreReserveDivisor = 4
)

// roomForRequest reports whether a flow may begin for a new request. It evicts inactive flows if the table is full.
// While the requests that are not established have used up their part of the table, it returns false.
func (f *Frontend) roomForRequest(ctx context.Context) bool {
	if f.flows.requests >= f.cfg.MaxFlows-f.cfg.MaxFlows/restoreReserveDivisor {
		return false
	}
	return f.evictIfFull(ctx, false)
}

// roomForRestore reports whether a flow may begin for a connection to be restored. If the table is full, it evicts
// inactive flows or, if there are none, restored flows whose room server has not answered yet, the oldest first. These
// may be made up: anybody can send a datagram whose connection ID names a room server.
func (f *Frontend) roomForRestore(ctx context.Context) bool { return f.evictIfFull(ctx, true) }

// evictIfFull evicts flows if the table is full, and reports whether it has room.
func (f *Frontend) evictIfFull(ctx context.Context, unanswered bool) bool {
	if f.flows.count < f.cfg.MaxFlows {
		return true
	}
	now := time.Now()
	if now.Before(f.nextEviction) {
		return false
	}
	victims := f.flows.inactiveSince(now.Add(-minInactivity))
	if len(victims) == 0 && unanswered {
		victims = f.flows.unanswered()
	}
	if len(victims) == 0 {
		f.nextEviction = now.Add(evictionRetryInterval)
		return false
	}
	for _, fl := range victims[:min(len(victims), max(1, f.cfg.MaxFlows/evictionBatchDivisor))] {
		f.evict(ctx, fl)
	}
	return true
}

// evict removes a flow from the table and ends it. Neither the client nor the room server is told: if the client is
// still there, its next datagram restores the connection.
func (f *Frontend) evict(ctx context.Context, fl *flow) {
	f.removeFlow(ctx, fl)
	close(fl.evicted)
}

// endEvicted ends an evicted flow. If it is established, its connection has probably ended, or goes on in another flow.
func (fl *flow) endEvicted() {
	fl.frontend.log.WithField("client", fl.clientAddress).Debug("quic: a flow is evicted because the flow table is full")
	if fl.established && fl.serverAnswered.Load() {
		fl.endConnection(decide.OK)
	} else {
		fl.endConnection(decide.Cancelled) // says nothing about the room server
	}
}

// inactiveSince returns the established flows that have had no datagram from either side since a time, the longest
// inactive first. Flows of clients that were made to reconnect are left out: they keep their client from its previous
// server.
func (t *flowTable) inactiveSince(since time.Time) []*flow {
	return t.oldest(func(fl *flow) bool { return fl.server != 0 && fl.lastTraffic.Load() < since.UnixNano() })
}

// unanswered returns the restored flows in which the room server has sent nothing, the longest inactive first.
func (t *flowTable) unanswered() []*flow {
	return t.oldest(func(fl *flow) bool { return fl.restoredAt != 0 && !fl.serverAnswered.Load() })
}

// oldest returns the flows for which accept returns true and that were not made to reconnect, the longest inactive
// first.
func (t *flowTable) oldest(accept func(*flow) bool) []*flow {
	type candidate struct {
		flow        *flow
		lastTraffic int64
	}
	var found []candidate
	for fl := range t.all() {
		if !fl.reconnecting && accept(fl) {
			found = append(found, candidate{fl, fl.lastTraffic.Load()})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.lastTraffic, b.lastTraffic) })
	flows := make([]*flow, 0, len(found))
	for _, c := range found {
		flows = append(flows, c.flow)
	}
	return flows
}
