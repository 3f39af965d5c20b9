package quic

import (
	"context"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

const (
	// flowLinger is how long the flow of an answered request remains. The client may repeat its Initial packet for
	// so long.
	flowLinger = 3 * time.Second
	// overloadRetryAfter is what clients beyond Config.MaxFlows are told to wait.
	overloadRetryAfter = time.Second
)

// route delivers a datagram to its flow, or begins one. It runs in the router's goroutine, as all functions of this
// file do.
func (f *Frontend) route(ctx context.Context, d datagram) {
	p, err := parsePacket(d.raw, f.cfg.IDs.Len())
	if err != nil {
		return
	}
	if fl := f.flows.byID[string(p.destinationID)]; fl != nil {
		fl.deliver(d, p)
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

// negotiateVersion answers a packet of a version whose Initial packets cannot be decrypted. Version negotiation
// packets, which have version 0, are not answered.
func (f *Frontend) negotiateVersion(d datagram, p packet) {
	if p.version != 0 && len(d.raw) >= minInitialSize {
		f.sendReply(newVersionNegotiation(p), d.from)
	}
}

// beginFlow handles a client's first Initial packet, which is a request. Packets that cannot be decrypted with the keys
// of their own connection ID are dropped, as endpoints do (RFC 9001, section 5.2).
func (f *Frontend) beginFlow(ctx context.Context, d datagram, p packet) {
	if len(d.raw) < minInitialSize || len(p.destinationID) < minOriginalIDLength {
		return
	}
	keys, err := newInitialKeys(p.destinationID, clientInitialLabel)
	if err != nil {
		f.log.WithError(err).Error("quic: cannot derive the keys of an Initial packet")
		return
	}
	payload, err := keys.unprotect(d.raw, p)
	if err != nil {
		return
	}
	if closed, err := findClose(payload); err == nil && closed != nil {
		return // the client has left, and repeats that
	}
	if f.flows.count >= f.cfg.MaxFlows {
		f.rejectWithoutFlow(d, p)
		return
	}
	fl := f.newFlow(ctx, d, p)
	fl.originalID, fl.clientID = clone(p.destinationID), clone(p.sourceID)
	fl.deliver(d, p)
	f.engine.RequestReceived(fl.call, core.Request{
		Class:    f.cfg.Class,
		Key:      d.from.Addr().String(),
		Deadline: time.Now().Add(f.cfg.Timeout),
	})
}

// rejectWithoutFlow rejects a request beyond Config.MaxFlows.
func (f *Frontend) rejectWithoutFlow(d datagram, p packet) {
	reason := retryAfterReason(overloadRetryAfter)
	raw, err := newClosePacket(p.destinationID, p.sourceID, p.destinationID, connectionRefused, reason)
	if err == nil {
		f.sendReply(raw, d.from)
	}
}

// restoreFlow handles a datagram whose connection ID names a room server but no flow: the balancer was restarted, or
// the client has changed to another of the IDs that its room server has issued.
func (f *Frontend) restoreFlow(ctx context.Context, d datagram, p packet, server decide.ServerID) {
	if !p.long {
		// If the address is known, the client has changed its ID only.
		if fl := f.flows.find(server, d.from); fl != nil {
			f.flows.addID(fl, p.destinationID)
			fl.deliver(d, p)
			return
		}
	}
	if f.flows.count >= f.cfg.MaxFlows {
		return // the client repeats the datagram
	}
	fl := f.newFlow(ctx, d, p)
	fl.restored = true
	fl.deliver(d, p)
	request := core.Request{Class: f.cfg.Class, Key: d.from.Addr().String()}
	f.engine.RestoreConnection(fl.call, request, server, 0)
}

// newFlow adds a flow for the packet's connection ID and starts its goroutine.
func (f *Frontend) newFlow(ctx context.Context, d datagram, p packet) *flow {
	fl := newFlow(f, d.from)
	f.flows.add(fl, p.destinationID)
	fl.call = f.engine.Accept(fl, core.ConnTraits{Linger: flowLinger, Idle: f.cfg.Idle, Resumable: true})
	f.actors.Go(func() { fl.run(ctx) })
	return fl
}
