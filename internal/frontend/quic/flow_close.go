package quic

import "cottonplank/decide"

// migrate makes the client of an established connection reconnect, so that it is placed again. The flow remains for
// flowLinger. Without the flow, the client's next packet would restore the connection at the previous server.
func (fl *flow) migrate() {
	if fl.established && fl.upstream != nil {
		fl.frontend.runInRouter(func() { fl.reconnecting = true })
		fl.resetClient()
		fl.endAttempt(decide.Cancelled)
		fl.migrated = true
	}
}

// answer sends the final answer to the client's request: a CONNECTION_CLOSE frame with the given error code and
// reason phrase. The flow remains for flowLinger, since the client repeats its Initial packet if the answer is lost.
func (fl *flow) answer(code uint64, reason string) {
	fl.closeUpstream()
	if fl.restored {
		// An established connection can continue only at its own room server, which is not available.
		fl.resetClient()
		fl.ended = true
		return
	}
	raw, err := newClosePacket(fl.originalID, fl.clientID, fl.originalID, code, reason)
	if err != nil {
		fl.frontend.log.WithError(err).Error("quic: cannot make the final answer")
		fl.ended = true
		return
	}
	fl.finalAnswer = raw
	fl.frontend.runInRouter(func() { // Before the client gets the answer, as it may then forget the connection.
		fl.sentAnswer = raw
		fl.frontend.announceFlow(fl)
	})
	fl.frontend.send(raw, fl.clientAddress)
}

// resetClient makes the client end the connection: with a stateless reset if the client uses a connection ID in the
// room servers' format, else with a CONNECTION_CLOSE frame in an Initial packet. It sends nothing for a
// restored flow before the flow's first client datagram.
func (fl *flow) resetClient() {
	if fl.lastDestinationID != nil {
		fl.frontend.sendReset(fl.lastDestinationID, fl.clientDatagramSize, fl.clientAddress)
		return
	}
	if fl.originalID == nil {
		return
	}
	raw, err := newClosePacket(fl.originalID, fl.clientID, fl.originalID, connectionRefused, "")
	if err == nil {
		fl.frontend.send(raw, fl.clientAddress)
	}
}
