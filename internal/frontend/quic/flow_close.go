package quic

import "cottonplank/decide"

// migrate makes the client of an established connection reconnect, so that it gets another room server. The flow
// remains for a while: else the client's next packet would restore the connection at the old server.
func (fl *flow) migrate() {
	if fl.established && fl.upstream != nil {
		fl.resetClient()
		fl.endAttempt(decide.Cancelled)
		fl.migrated = true
	}
}

// answer sends the final answer to the client's request. The flow remains for a while, since the client repeats its
// Initial packet if the answer is lost.
func (fl *flow) answer(code uint64, reason string) {
	fl.closeUpstream()
	if fl.restored {
		// Only the room server that is not available could continue the connection.
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
	fl.frontend.send(raw, fl.clientAddress)
}

// resetClient ends the connection at the client: with a stateless reset if the client uses a connection ID that a room
// server has issued, else with an Initial packet.
func (fl *flow) resetClient() {
	if fl.usedServerID != nil {
		fl.frontend.sendReset(fl.usedServerID, fl.clientDatagramSize, fl.clientAddress)
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
