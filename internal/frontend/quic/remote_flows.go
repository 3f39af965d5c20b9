package quic

import "cottonplank/decide"

// remoteFlow is what is known of a flow that another process holds or has held.
type remoteFlow struct {
	// owner is the peer that has described the flow.
	owner *peer
	// orphaned says that the process that held the flow has ended.
	orphaned bool
	state    flowState
	// server is the room server of an established connection.
	server decide.ServerID
	// answer is the packet that has answered the request in the state flowAnswered.
	answer []byte
}

// remoteFlows holds the flows of other processes by their connection IDs. The router's goroutine owns it.
type remoteFlows struct {
	byID map[string]*remoteFlow
}

func newRemoteFlows() remoteFlows { return remoteFlows{byID: map[string]*remoteFlow{}} }

// update applies a record from a peer.
func (t *remoteFlows) update(from *peer, record flowRecord) {
	for _, id := range record.IDs {
		if record.State != flowEnded {
			t.byID[string(id)] = &remoteFlow{from, record.Orphaned, record.State, record.Server, record.Answer}
		} else if known := t.byID[string(id)]; known != nil && known.owner == from {
			delete(t.byID, string(id))
		}
	}
}

// orphan marks the flows of a peer whose connection has ended as orphaned. It forgets those of the connection IDs that
// issuedByServer accepts: such an ID names its room server, so the connection can be restored without the record. It
// returns records of all changes.
func (t *remoteFlows) orphan(owner *peer, issuedByServer func(id string) bool) []flowRecord {
	var changes []flowRecord
	for id, flow := range t.byID {
		if flow.owner != owner {
			continue
		}
		flow.orphaned = true
		if issuedByServer(id) {
			flow.state = flowEnded
			delete(t.byID, id)
		}
		changes = append(changes, flow.record(id))
	}
	return changes
}

// forget removes the flows of a peer and returns records of their end.
func (t *remoteFlows) forget(owner *peer) []flowRecord {
	var ended []flowRecord
	for id, flow := range t.byID {
		if flow.owner == owner {
			delete(t.byID, id)
			ended = append(ended, flowRecord{IDs: [][]byte{[]byte(id)}, State: flowEnded})
		}
	}
	return ended
}

// records returns a record of each flow.
func (t *remoteFlows) records() []flowRecord {
	var records []flowRecord
	for id, flow := range t.byID {
		records = append(records, flow.record(id))
	}
	return records
}

// record returns a record of the flow for one of its connection IDs.
func (f *remoteFlow) record(id string) flowRecord {
	return flowRecord{
		IDs:      [][]byte{[]byte(id)},
		State:    f.state,
		Server:   f.server,
		Answer:   f.answer,
		Orphaned: f.orphaned,
	}
}
