package quic

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"cottonplank/internal/operations/hotrestart"
)

// During a hot restart two processes hold the socket for client datagrams, and one of them reads it. Flows stay at the
// process that holds them: the reading process forwards their datagrams. Otherwise a client's repeated first packet,
// whose connection ID names no room server, would begin a second request beside the first.
//
// Each process describes its flows to its peers, so that
//
//   - the reading process knows which datagrams to forward,
//   - after the end of the other process it knows what has become of the request that a first packet repeats.
//
// All functions of this file run in the router's goroutine, except where their comments say otherwise.

// previousPauseTimeout limits the wait until the previous process has stopped reading client datagrams.
const previousPauseTimeout = time.Second

// AddReplacement connects the frontend to a replacement process, which inherits the socket for client datagrams. It
// describes all flows to that process. AddReplacement may be called from any goroutine, but not before Serve.
func (f *Frontend) AddReplacement(ctx context.Context, conn *net.UnixConn) {
	f.addPeer(ctx, conn, false)
}

// AddPrevious connects the frontend to the previous process, from which it has inherited the socket for client
// datagrams. It may be called from any goroutine, but not before Serve.
func (f *Frontend) AddPrevious(ctx context.Context, conn *net.UnixConn) {
	f.addPeer(ctx, conn, true)
}

// addPeer sends a peer what this process knows, and starts to receive the peer's messages. It may be called from any
// goroutine.
func (f *Frontend) addPeer(ctx context.Context, conn *net.UnixConn, reading bool) {
	p, err := newPeer(conn, reading)
	if err != nil {
		f.log.WithError(err).Error("quic: cannot use the connection to another process of the hot restart")
		conn.Close()
		return
	}
	added := f.runInRouter(func() {
		f.peers = append(f.peers, p)
		records := f.remote.records()
		for fl := range f.flows.all() {
			records = append(records, fl.record())
		}
		f.sendToPeer(p, func() error { return p.sendFlows(records) })
		f.sendToPeer(p, func() error { return p.send(peerMessage{Reading: &f.reading}) })
		f.goroutines.Go(func() { f.watchPeer(ctx, p) })
	})
	if !added {
		conn.Close()
	}
}

// watchPeer makes the router receive a peer's messages as they arrive, until the connection or ctx ends. It runs in its
// own goroutine.
func (f *Frontend) watchPeer(ctx context.Context, p *peer) {
	defer p.link.Close()
	defer context.AfterFunc(ctx, func() { p.link.Close() })()
	for ended := false; !ended; {
		waitErr := p.link.WaitReadable()
		received := f.runInRouter(func() {
			f.receiveFrom(ctx, p)
			if waitErr != nil {
				f.endPeer(p, waitErr)
			}
			ended = p.ended
		})
		ended = ended || !received
	}
}

// receiveFrom handles the messages of a peer that have arrived.
func (f *Frontend) receiveFrom(ctx context.Context, p *peer) {
	for !p.ended {
		message, ok, err := p.receive()
		if err != nil {
			f.endPeer(p, err)
		}
		if !ok {
			return
		}
		f.handlePeerMessage(ctx, p, message)
	}
}

func (f *Frontend) handlePeerMessage(ctx context.Context, from *peer, message peerMessage) {
	for _, record := range message.Flows {
		f.remote.update(from, record)
	}
	f.announceExcept(from, message.Flows)
	if message.Reading != nil {
		from.reading = *message.Reading
		f.notifyPauseWaiters()
	}
	if d := message.Datagram; d != nil {
		f.routeForwarded(ctx, datagram{d.From, d.Raw})
	}
}

// endPeer handles the end of the connection to a peer, usually of its process. The peer's orphaned flows are kept while
// a client may repeat a request that was pending then.
func (f *Frontend) endPeer(p *peer, err error) {
	if p.ended {
		return
	}
	p.ended = true
	p.link.Close()
	f.log.WithError(err).Info("quic: the connection to another process of the hot restart has ended")
	f.peers = slices.DeleteFunc(f.peers, func(other *peer) bool { return other == p })
	f.notifyPauseWaiters()
	f.announce(f.remote.orphan(p, f.isServerIssued)...)
	time.AfterFunc(f.cfg.Timeout+flowLinger, func() {
		f.runInRouter(func() { f.announce(f.remote.forget(p)...) })
	})
}

// isServerIssued reports whether a connection ID has the room servers' format.
func (f *Frontend) isServerIssued(id string) bool {
	_, err := f.cfg.IDs.Decode([]byte(id))
	return err == nil
}

// announceFlow describes the present state of a flow to all peers.
func (f *Frontend) announceFlow(fl *flow) {
	if len(f.peers) > 0 && !fl.removed {
		f.announce(fl.record())
	}
}

// announce sends records to all peers.
func (f *Frontend) announce(records ...flowRecord) { f.announceExcept(nil, records) }

// announceExcept sends records to all peers but one.
func (f *Frontend) announceExcept(except *peer, records []flowRecord) {
	for _, p := range slices.Clone(f.peers) {
		if p != except {
			f.sendToPeer(p, func() error { return p.sendFlows(records) })
		}
	}
}

// sendToPeer calls send, unless the connection to the peer has ended. If send fails, it ends the connection.
func (f *Frontend) sendToPeer(p *peer, send func() error) {
	if p.ended {
		return
	}
	if err := send(); err != nil {
		f.endPeer(p, err)
	}
}

// findRemote returns what is known of the flow of another process to which a connection ID belongs, or nil. A process
// describes its flow before it sends the client a connection ID, so the messages that have arrived are handled first.
func (f *Frontend) findRemote(ctx context.Context, id []byte) *remoteFlow {
	for _, p := range slices.Clone(f.peers) {
		f.receiveFrom(ctx, p)
	}
	return f.remote.byID[string(id)]
}

// routeRemote handles a datagram whose connection ID belongs to a flow of another process. It returns false if the
// datagram has to be handled like one whose connection ID is unknown.
func (f *Frontend) routeRemote(ctx context.Context, d datagram, p packet, remote *remoteFlow) bool {
	if !remote.orphaned {
		message := peerMessage{Datagram: &forwardedDatagram{d.from, d.raw}}
		f.sendToPeer(remote.owner, func() error { return remote.owner.send(message) })
		return true
	}
	switch remote.state {
	case flowAnswered:
		f.sendReply(remote.answer, d.from)
		return true
	case flowEstablished:
		f.restoreAt(ctx, d, p, remote.server)
		return true
	}
	if f.cfg.Repeatable {
		return false
	}
	f.failOrphan(d, p, remote)
	return true
}

// failOrphan answers a repeated request whose process has ended before it had a final answer. A room server may have
// executed the request, which must not be executed twice.
func (f *Frontend) failOrphan(d datagram, p packet, remote *remoteFlow) {
	if !f.isRequest(d, p) {
		return
	}
	raw, err := newClosePacket(p.destinationID, p.sourceID, p.destinationID, internalError, "")
	if err != nil {
		f.log.WithError(err).Error("quic: cannot make the final answer")
		return
	}
	remote.state, remote.answer = flowAnswered, raw
	f.announce(remote.record(string(p.destinationID)))
	f.sendReply(raw, d.from)
}

// routeForwarded handles a client datagram that a peer has read from the socket. It drops the datagram if its flow has
// ended in the meantime: the client repeats it if it is important, and the peer knows of the end by then.
func (f *Frontend) routeForwarded(ctx context.Context, d datagram) {
	p, err := parsePacket(d.raw, f.cfg.IDs.Len())
	if err != nil {
		return
	}
	if fl := f.flows.byID[string(p.destinationID)]; fl != nil {
		fl.deliver(d, p)
	} else if remote := f.remote.byID[string(p.destinationID)]; remote != nil {
		f.routeRemote(ctx, d, p, remote)
	}
}

// waitWhilePaused tells the peers that this process reads no client datagrams, and waits for the end of the pause. It
// returns at once if err, with which reading has failed, is not due to a pause. It runs in the goroutine of
// readDatagrams: no datagram is read from the socket during the pause, and those that were read are routed before the
// peers are told.
func (f *Frontend) waitWhilePaused(ctx context.Context, pause *hotrestart.Pauser, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	f.runInRouter(func() {
		for len(f.datagrams) > 0 {
			f.route(ctx, <-f.datagrams)
		}
		f.setReading(false)
	})
	pause.WaitWhilePaused(ctx, err)
	f.runInRouter(func() { f.setReading(true) })
}

func (f *Frontend) setReading(reading bool) {
	f.reading = reading
	for _, p := range slices.Clone(f.peers) {
		f.sendToPeer(p, func() error { return p.send(peerMessage{Reading: &reading}) })
	}
}

// WaitForPreviousPause waits until the previous process reads no client datagrams, so that its description of its flows
// is complete. It gives up after previousPauseTimeout. It may be called from any goroutine, but not before Serve.
func (f *Frontend) WaitForPreviousPause(ctx context.Context) {
	paused := make(chan struct{})
	f.runInRouter(func() {
		f.pauseWaiters = append(f.pauseWaiters, paused)
		f.notifyPauseWaiters()
	})
	select {
	case <-paused:
	case <-ctx.Done():
	case <-time.After(previousPauseTimeout):
		f.log.Warn("quic: the previous process has not described its flows in time")
	}
}

// SuspendRequests drops the first packets of clients until previousExited is closed, but for Config.Timeout at most. It
// is for a previous process of a version that does not describe its flows: any first packet may repeat a request that
// is pending there, which ends within that time. It may be called from any goroutine, but not before Serve.
func (f *Frontend) SuspendRequests(previousExited <-chan struct{}) {
	f.log.Warn("quic: the previous process does not describe its flows, new requests wait for its end")
	f.runInRouter(func() {
		f.requestsSuspended = true
		f.goroutines.Go(func() {
			select {
			case <-previousExited:
			case <-time.After(f.cfg.Timeout):
			case <-f.routerDone:
			}
			f.runInRouter(func() { f.requestsSuspended = false })
		})
	})
}

// notifyPauseWaiters ends the calls of WaitForPreviousPause if no peer reads client datagrams.
func (f *Frontend) notifyPauseWaiters() {
	if slices.ContainsFunc(f.peers, func(p *peer) bool { return p.reading }) {
		return
	}
	for _, waiter := range f.pauseWaiters {
		close(waiter)
	}
	f.pauseWaiters = nil
}
