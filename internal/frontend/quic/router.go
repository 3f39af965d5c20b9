package quic

import (
	"context"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

const (
	// flowLinger is how long a flow remains after the final answer to its request, or after its client was made to
	// migrate. Packets that the client sends in this time are answered in the same way and start no new flow. A restored
	// flow ends with its final answer, a stateless reset.
	flowLinger = 3 * time.Second
	// overloadRetryAfter is the time after which a client that is rejected because of Config.MaxFlows may retry. It is
	// sent to the client.
	overloadRetryAfter = time.Second
)

// route delivers a datagram to its flow, or begins a flow for it. Other datagrams get a reply or are dropped. It runs
// in the router's goroutine, as do all functions of this file.
func (f *Frontend) route(ctx context.Context, d datagram) {
	p, err := parsePacket(d.raw, f.cfg.IDs.Len())
	if err != nil {
		return
	}
	if fl := f.flows.byID[string(p.destinationID)]; fl != nil {
		fl.deliver(d, p)
		return
	}
	if remote := f.findRemote(ctx, p.destinationID); remote != nil && f.routeRemote(ctx, d, p, remote) {
		return
	}
	if !f.unknownIDLimit.allow(d.from, time.Now()) {
		return
	}
	if p.long && p.version != version1 {
		f.negotiateVersion(d, p)
		return
	}
	server, err := f.cfg.IDs.Decode(p.destinationID)
	issuedByServer := err == nil
	switch {
	case issuedByServer:
		f.restoreFlow(ctx, d, p, server)
	case p.isInitial():
		f.beginFlow(ctx, d, p)
	case !p.long:
		f.sendReset(p.destinationID, len(d.raw), d.from)
	}
}

// negotiateVersion answers a packet of a version other than version1 with a Version Negotiation packet. Datagrams
// below minInitialSize and Version Negotiation packets, which have version 0, are not answered.
func (f *Frontend) negotiateVersion(d datagram, p packet) {
	if p.version != 0 && len(d.raw) >= minInitialSize {
		f.sendReply(newVersionNegotiation(p), d.from)
	}
}

// isRequest reports whether a packet is a client's first Initial packet. Packets that cannot be decrypted with the keys
// that are derived from their own destination connection ID are not, as for endpoints (RFC 9001, section 5.2), nor is
// the repeated close from a client whose flow has ended.
func (f *Frontend) isRequest(d datagram, p packet) bool {
	if !p.isInitial() || len(d.raw) < minInitialSize || len(p.destinationID) < minOriginalIDLength {
		return false
	}
	keys, err := newInitialKeys(p.destinationID, clientInitialLabel)
	if err != nil {
		f.log.WithError(err).Error("quic: cannot derive the keys of an Initial packet")
		return false
	}
	payload, err := keys.unprotect(d.raw, p)
	if err != nil {
		return false
	}
	closed, err := findClose(payload)
	return err != nil || closed == nil
}

// beginFlow handles a client's first Initial packet, which is a request. It drops other packets, and requests while
// they are suspended.
func (f *Frontend) beginFlow(ctx context.Context, d datagram, p packet) {
	if f.requestsSuspended || !f.isRequest(d, p) {
		return
	}
	if !f.roomForRequest(ctx) {
		f.rejectWithoutFlow(d, p)
		return
	}
	fl := f.startFlow(ctx, d, p, 0)
	fl.originalID, fl.clientID = clone(p.destinationID), clone(p.sourceID)
	fl.deliver(d, p)
	f.engine.RequestReceived(fl.call, core.Request{
		Class:    f.cfg.Class,
		Key:      d.from.Addr().String(), // by which the decision module recognizes the client
		Deadline: time.Now().Add(f.cfg.Timeout),
	})
}

// rejectWithoutFlow rejects a request because Config.MaxFlows is reached.
func (f *Frontend) rejectWithoutFlow(d datagram, p packet) {
	if !f.replyLimit.Allow() {
		return
	}
	reason := retryAfterReason(overloadRetryAfter)
	raw, err := newClosePacket(p.destinationID, p.sourceID, p.destinationID, connectionRefused, reason)
	if err == nil {
		f.send(raw, d.from)
	}
}

// restoreFlow handles a datagram whose connection ID encodes a room server but has no flow. Either the client uses
// another of the connection IDs that its room server has issued, or its flow no longer exists: the balancer was
// restarted, or the flow ended, for example after Config.Idle. If the room server is not available, the connection is
// not restored, and flow.answer sends a stateless reset.
func (f *Frontend) restoreFlow(ctx context.Context, d datagram, p packet, server decide.ServerID) {
	if !p.long {
		// If a flow has the same server and client address, only the connection ID has changed.
		if fl := f.flows.find(server, d.from); fl != nil {
			f.addFlowID(fl, p.destinationID)
			fl.deliver(d, p)
			return
		}
	}
	f.restoreAt(ctx, d, p, server)
}

// restoreAt begins a flow that restores a connection at its room server.
func (f *Frontend) restoreAt(ctx context.Context, d datagram, p packet, server decide.ServerID) {
	if !f.roomForRestore(ctx) {
		return // the client's loss recovery sends the data again
	}
	fl := f.startFlow(ctx, d, p, server)
	fl.restored = true
	fl.deliver(d, p)
	request := core.Request{Class: f.cfg.Class, Key: d.from.Addr().String()}
	f.engine.RestoreConnection(fl.call, request, server, 0) // 0: without waiting for an unavailable room server
}

// startFlow adds a flow for the packet's destination connection ID and starts the flow's goroutine. restoredAt is the
// room server at which the connection is restored, or 0.
func (f *Frontend) startFlow(ctx context.Context, d datagram, p packet, restoredAt decide.ServerID) *flow {
	fl := newFlow(f, d.from)
	fl.restoredAt = restoredAt
	delete(f.remote.byID, string(p.destinationID))
	f.flows.add(fl, p.destinationID)
	f.announceFlow(fl) // Before an attempt, of which another process must know.
	fl.call = f.engine.Accept(fl, core.ConnTraits{Linger: flowLinger, Idle: f.cfg.Idle, Resumable: true})
	f.goroutines.Go(func() { fl.run(ctx) })
	return fl
}

// addFlowID adds a connection ID to a flow.
func (f *Frontend) addFlowID(fl *flow, id []byte) {
	if removed := f.flows.addID(fl, id); removed != "" {
		f.announce(flowRecord{IDs: [][]byte{[]byte(removed)}, State: flowEnded})
	}
	f.announceFlow(fl)
}

// removeFlow removes a flow that has ended. If it has ended because ctx has, which is the end of the process, the
// peers keep what they know of it.
func (f *Frontend) removeFlow(ctx context.Context, fl *flow) {
	if ctx.Err() == nil && !fl.removed {
		record := fl.record()
		record.State = flowEnded
		f.announce(record)
	}
	f.flows.remove(fl)
}
