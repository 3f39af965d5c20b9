package quic

import (
	"bytes"
	"errors"
	"net"
	"time"

	"cottonplank/decide"
)

const (
	// responseDelay is the time after which a further client datagram makes a response expected. A single datagram
	// need not have one: it may be an acknowledgement.
	responseDelay = 300 * time.Millisecond
	// trafficReportsPerIdle is how often traffic is reported to the engine within Config.Idle.
	trafficReportsPerIdle = 8
)

// handleClientDatagram handles a datagram from the client, whatever its address.
func (fl *flow) handleClientDatagram(d clientDatagram) {
	fl.clientAddress, fl.clientDatagramSize = d.from, len(d.raw)
	if _, err := fl.frontend.cfg.IDs.Decode(d.packet.destinationID); err == nil {
		fl.usedServerID = d.packet.destinationID
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
		fl.sendToServer(d.raw) // so that the attempt's room server gets the close
		fl.ended = true
	default:
		if len(fl.retained) < maxRetainedDatagrams {
			fl.retained = append(fl.retained, d.raw)
		}
		fl.sendToServer(d.raw)
	}
}

// expectResponse makes the engine wait for a response if the client goes on sending without one.
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

// responseReceived notes that the room server has sent something.
func (fl *flow) responseReceived() {
	fl.unansweredSince = time.Time{}
	if fl.responseAwaited {
		fl.responseAwaited = false
		fl.frontend.engine.ServerResponded(fl.call)
	}
	fl.reportTraffic()
}

// reportTraffic tells the engine, from time to time, that the connection is in use.
func (fl *flow) reportTraffic() {
	now := time.Now()
	if now.Sub(fl.trafficReported) > fl.frontend.cfg.Idle/trafficReportsPerIdle {
		fl.trafficReported = now
		fl.frontend.engine.TrafficSeen(fl.call)
	}
}

// handleServerDatagram handles a datagram from the attempt's room server, or the failure of its socket.
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
	case closed != nil:
		fl.serverRejected(closed)
	case !fl.restored && !fl.isResponseToInitial(p):
		return // not for this client
	default:
		fl.serverAccepted(d.raw)
	}
}

// forwardToClient forwards a datagram of an established connection, and ends the connection if the datagram does.
func (fl *flow) forwardToClient(raw []byte, p packet, closed bool) {
	fl.responseReceived()
	fl.addChosenServerID(p)
	fl.frontend.send(raw, fl.clientAddress)
	if closed || fl.isServerReset(raw, p) {
		fl.endConnection(decide.Reset)
	}
}

// serverRejected ends an attempt that the room server has rejected. Another server may accept the client, so the client
// does not get this answer.
func (fl *flow) serverRejected(closed *closeFrame) {
	if closed.code == connectionRefused {
		fl.endAttempt(decide.Rejected)
		return
	}
	fl.endAttempt(decide.ServerError)
}

// serverAccepted holds a room server's datagram back until the connection is established.
func (fl *flow) serverAccepted(raw []byte) {
	if len(fl.pending) < maxPendingDatagrams {
		fl.pending = append(fl.pending, raw)
	}
	if !fl.accepted {
		fl.accepted = true
		fl.frontend.engine.AttemptAccepted(fl.call, fl.upstream.attempt)
	}
}

// isResponseToInitial reports whether a room server's packet is for this client.
func (fl *flow) isResponseToInitial(p packet) bool {
	return p.long && p.version == version1 && bytes.Equal(p.destinationID, fl.clientID)
}

// handleServerError handles the failure of a room server's socket, such as the ICMP error for a port that is closed.
func (fl *flow) handleServerError(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	if !fl.established {
		fl.endAttempt(decide.ConnectFailed)
		return
	}
	fl.resetClient()
	fl.endConnection(decide.Reset)
}

// addChosenServerID makes the connection ID that the room server has chosen for itself lead to this flow. It has to be
// called before the client can learn the ID.
func (fl *flow) addChosenServerID(p packet) {
	if !p.long || len(p.sourceID) == 0 || bytes.Equal(p.sourceID, fl.chosenServerID) {
		return
	}
	id := clone(p.sourceID)
	fl.chosenServerID = id
	fl.frontend.runInRouter(func() { fl.frontend.flows.addID(fl, id) })
}

// decryptClose returns the CONNECTION_CLOSE frame in an Initial packet of the side with the given label, or nil. Later
// packets are encrypted with keys that the balancer does not have.
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

// isServerReset reports whether a room server's datagram is a stateless reset for the connection ID that the client
// uses.
func (fl *flow) isServerReset(raw []byte, p packet) bool {
	return !p.long && fl.usedServerID != nil && isStatelessReset(raw, fl.frontend.cfg.ResetKey, fl.usedServerID)
}
