package quic

import (
	"bytes"
	"errors"
	"net"
	"time"

	"cottonplank/decide"
)

const (
	// responseDelay is how long the room server may leave the client's datagrams unanswered. A further datagram after
	// this time starts the engine's timeout for a response. A single datagram does not, since it may be an
	// acknowledgement, which needs no response.
	responseDelay = 300 * time.Millisecond
	// undeliveredWait is how long an attempt whose room server's port was reported as closed waits for the reports on
	// its other datagrams.
	undeliveredWait = 50 * time.Millisecond
	// trafficReportsPerIdle is the maximum number of reports of traffic to the engine within Config.Idle.
	trafficReportsPerIdle = 8
)

// handleClientDatagram handles a datagram from the client. The client's address may have changed.
func (fl *flow) handleClientDatagram(d clientDatagram) {
	fl.clientAddress, fl.clientDatagramSize = d.from, len(d.raw)
	if _, err := fl.frontend.cfg.IDs.Decode(d.packet.destinationID); err == nil {
		fl.lastDestinationID = d.packet.destinationID
	}
	switch {
	case fl.migrated:
		fl.resetClient() // an earlier reset may have been lost
	case fl.finalAnswer != nil:
		fl.frontend.sendReply(fl.finalAnswer, fl.clientAddress)
	case fl.established:
		fl.expectResponse()
		fl.reportTraffic()
		fl.sendToServer(d.raw)
	case fl.decryptClose(clientInitialLabel, d.raw, d.packet) != nil:
		fl.sendToServer(d.raw) // the room server of the current attempt needs the close too
		fl.ended = true
	default:
		if len(fl.retained) < maxRetainedDatagrams {
			fl.retained = append(fl.retained, d.raw)
		}
		fl.sendToServer(d.raw)
	}
}

// expectResponse starts the engine's timeout for a response if the room server has sent nothing since an earlier client
// datagram that arrived more than responseDelay ago. The engine migrates the client when the timeout expires.
func (fl *flow) expectResponse() {
	now := time.Now()
	if fl.unansweredSince.IsZero() {
		fl.unansweredSince = now
		return
	}
	if !fl.responseAwaited && now.Sub(fl.unansweredSince) > responseDelay {
		fl.responseAwaited = true
		fl.frontend.engine.ResponseAwaited(fl.call)
	}
}

// responseReceived records that the room server has sent a datagram, and stops the engine's timeout for a response.
func (fl *flow) responseReceived() {
	fl.lastTraffic.Store(time.Now().UnixNano())
	fl.serverAnswered.Store(true)
	fl.unansweredSince = time.Time{}
	if fl.responseAwaited {
		fl.responseAwaited = false
		fl.frontend.engine.ServerResponded(fl.call)
	}
	fl.reportTraffic()
}

// reportTraffic reports to the engine that the connection has traffic, which restarts the engine's idle timeout. It
// does so at most trafficReportsPerIdle times within Config.Idle.
func (fl *flow) reportTraffic() {
	now := time.Now()
	if now.Sub(fl.trafficReported) > fl.frontend.cfg.Idle/trafficReportsPerIdle {
		fl.trafficReported = now
		fl.frontend.engine.TrafficSeen(fl.call)
	}
}

// handleServerDatagram handles a datagram from the room server of the current attempt, or an error of its socket.
func (fl *flow) handleServerDatagram(d serverDatagram) {
	if d.err != nil {
		fl.handleServerError(d.err)
		return
	}
	p, err := parsePacket(d.raw, len(fl.clientID))
	if err != nil {
		return
	}
	closed := fl.decryptClose(serverInitialLabel, d.raw, p)
	switch {
	case fl.established:
		fl.forwardToClient(d.raw, p, closed != nil)
	case closed != nil && !fl.accepted:
		fl.serverRejected(closed)
	case !fl.restored && !fl.isResponseToInitial(p):
		return // a packet with a short header, of another version, or with another connection ID
	default:
		fl.serverAccepted(d.raw)
	}
}

// forwardToClient forwards a room server's datagram of an established connection to the client. The connection ends
// if closed is set, which means that the datagram has a CONNECTION_CLOSE frame, or if the datagram is a stateless
// reset.
func (fl *flow) forwardToClient(raw []byte, p packet, closed bool) {
	fl.responseReceived()
	fl.addServerSourceID(p)
	fl.frontend.send(raw, fl.clientAddress)
	if closed || fl.isServerReset(raw, p) {
		fl.endConnection(decide.Reset)
	}
}

// serverRejected ends an attempt that the room server has closed with a CONNECTION_CLOSE frame. The frame is not
// forwarded to the client, since another room server may accept the client.
func (fl *flow) serverRejected(closed *closeFrame) {
	if closed.code == connectionRefused {
		fl.endAttempt(decide.Rejected)
		return
	}
	fl.endAttempt(decide.ServerError)
}

// serverAccepted stores a room server's datagram until the connection is established. The first datagram means that
// the server has accepted the attempt.
func (fl *flow) serverAccepted(raw []byte) {
	if len(fl.pending) < maxPendingDatagrams {
		fl.pending = append(fl.pending, raw)
	}
	if !fl.accepted {
		fl.accepted = true
		fl.frontend.engine.AttemptAccepted(fl.call, fl.upstream.attempt)
	}
}

// isResponseToInitial reports whether a room server's packet has a long header of version 1 and is addressed to the
// client's connection ID.
func (fl *flow) isResponseToInitial(p packet) bool {
	return p.long && p.version == version1 && bytes.Equal(p.destinationID, fl.clientID)
}

// handleServerError handles an error of the socket to a room server, such as ECONNREFUSED after an ICMP message that
// the port is closed.
func (fl *flow) handleServerError(err error) {
	if errors.Is(err, net.ErrClosed) || isPathError(err) {
		return
	}
	fl.serverPortClosed()
}

// serverPortClosed ends an established connection, or an attempt, whose room server's port was reported as closed. If
// a request was sent in several datagrams, the reports on the others may still be on their way: an attempt ends at once
// if all were reported as not delivered, otherwise after undeliveredWait.
func (fl *flow) serverPortClosed() {
	up := fl.upstream
	up.undelivered += countUndelivered(up.conn)
	switch {
	case fl.established:
		fl.resetClient()
		fl.endConnection(decide.Reset)
	case fl.accepted:
		up.failed = true // establish, which follows, ends the connection
	case up.failureCode().NeverExecuted():
		fl.endAttempt(up.failureCode())
	case !up.failed:
		up.failed = true
		time.AfterFunc(undeliveredWait, func() { fl.post(func() { fl.endFailedAttempt(up) }) })
	}
}

// endFailedAttempt ends an attempt undeliveredWait after the room server's port was reported as closed.
func (fl *flow) endFailedAttempt(up *upstream) {
	if fl.upstream == up && !fl.accepted {
		up.undelivered += countUndelivered(up.conn)
		fl.endAttempt(up.failureCode())
	}
}

// addServerSourceID adds the source connection ID of a room server's packet to the flow table. It must be called
// before the packet is sent to the client, since the client then uses the ID as its destination connection ID.
func (fl *flow) addServerSourceID(p packet) {
	if !p.long || len(p.sourceID) == 0 || bytes.Equal(p.sourceID, fl.lastServerSourceID) {
		return
	}
	id := clone(p.sourceID)
	fl.lastServerSourceID = id
	fl.frontend.runInRouter(func() { fl.frontend.addFlowID(fl, id) })
}

// decryptClose returns the CONNECTION_CLOSE frame in an Initial packet, or nil if there is none or the packet cannot be
// decrypted. label is the HKDF label of the sender's keys. Only Initial packets are decrypted: the balancer has no keys
// for other packets.
func (fl *flow) decryptClose(label string, raw []byte, p packet) *closeFrame {
	if !p.isInitial() || fl.originalID == nil {
		return nil
	}
	keys, err := newInitialKeys(fl.originalID, label)
	if err != nil {
		return nil
	}
	payload, err := keys.unprotect(raw, p)
	if err != nil {
		return nil
	}
	closed, err := findClose(payload)
	if err != nil {
		return nil
	}
	return closed
}

// isServerReset reports whether a room server's datagram is a stateless reset for the client's latest destination
// connection ID.
func (fl *flow) isServerReset(raw []byte, p packet) bool {
	return !p.long && fl.lastDestinationID != nil && isStatelessReset(raw, fl.frontend.cfg.ResetKey, fl.lastDestinationID)
}
