package quic

import (
	"iter"
	"net/netip"

	"cottonplank/decide"
)

// maxFlowIDs is the maximum number of connection IDs of one flow, so that a client that makes up connection IDs cannot
// fill the table.
const maxFlowIDs = 16

// flowTable holds the flows, indexed by their connection IDs. The router's goroutine owns it.
type flowTable struct {
	// byID holds the flow of each connection ID.
	byID map[string]*flow
	// count is the number of flows.
	count int
	// requests is the number of flows of new requests that are not established.
	requests int
}

func newFlowTable() flowTable { return flowTable{byID: map[string]*flow{}} }

// add adds a flow with its first connection ID.
func (t *flowTable) add(fl *flow, id []byte) {
	t.count++
	if fl.isRequest() {
		t.requests++
	}
	t.addID(fl, id)
}

// isRequest reports whether the flow has begun with a request that is not established.
func (fl *flow) isRequest() bool { return fl.restoredAt == 0 && fl.server == 0 }

// establish records the room server with which the flow is established.
func (t *flowTable) establish(fl *flow, server decide.ServerID) {
	if fl.isRequest() && !fl.removed {
		t.requests--
	}
	fl.server = server
}

// addID adds a connection ID to a flow, unless the ID is empty or already in the table. If the flow has maxFlowIDs
// connection IDs, its oldest one is removed and returned. A flow that was removed gets no more connection IDs.
func (t *flowTable) addID(fl *flow, id []byte) (removed string) {
	if len(id) == 0 || t.byID[string(id)] != nil || fl.removed {
		return ""
	}
	if len(fl.ids) >= maxFlowIDs {
		removed = fl.ids[0]
		delete(t.byID, removed)
		fl.ids = fl.ids[1:]
	}
	fl.ids = append(fl.ids, string(id))
	t.byID[string(id)] = fl
	return removed
}

// all yields each flow once.
func (t *flowTable) all() iter.Seq[*flow] {
	return func(yield func(*flow) bool) {
		for id, fl := range t.byID {
			if id == fl.ids[0] && !yield(fl) {
				return
			}
		}
	}
}

// remove removes a flow and its connection IDs, unless that was done before.
func (t *flowTable) remove(fl *flow) {
	if fl.removed {
		return
	}
	fl.removed = true
	t.count--
	if fl.isRequest() {
		t.requests--
	}
	for _, id := range fl.ids {
		delete(t.byID, id)
	}
}

// find returns a flow that is established at a server and whose client has the given address, or nil.
func (t *flowTable) find(server decide.ServerID, address netip.AddrPort) *flow {
	for _, fl := range t.byID {
		if fl.server == server && fl.routedFrom == address {
			return fl
		}
	}
	return nil
}
