package quic

import (
	"net"
	"net/netip"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// upstream is the socket of one attempt. Each attempt has its own socket, so that late datagrams from the room server
// of an earlier attempt do not reach the client.
type upstream struct {
	// attempt is the number of the attempt.
	attempt int
	// server is the attempt's room server.
	server decide.ServerID
	// conn is connected to the server's address, so that it returns an error if the server's port is closed.
	conn *net.UDPConn
	// sent is the number of datagrams that were written to conn.
	sent int
	// undelivered is how many of them were reported as not delivered.
	undelivered int
	// failed says that the room server's port was reported as closed. Nothing more is sent to it.
	failed bool
}

// failureCode returns the outcome of an attempt whose room server's port is closed, or to which nothing could be
// written. UDP reports the closed port only for a later datagram, so the room server may have received the earlier ones
// and executed the request, unless every one of them was reported as not delivered.
func (up *upstream) failureCode() decide.Code {
	if up.undelivered >= up.sent {
		return decide.ConnectFailed
	}
	return decide.Reset
}

// serverDatagram is a datagram from a room server, or an error of its socket.
type serverDatagram struct {
	// upstream is the socket that has received the datagram. It may belong to an attempt that has ended.
	upstream *upstream
	// raw is the datagram; nil if there is an error.
	raw []byte
	// err is the error of the socket; nil if there is a datagram.
	err error
}

// startAttempt opens a socket to the attempt's room server and sends it the client's retained datagrams.
func (fl *flow) startAttempt(attempt core.Attempt) {
	fl.closeUpstream()
	// Client datagrams that have arrived before this command may still be queued. They are handled first: if one of
	// them closes the connection, there must be no attempt.
	for len(fl.clientDatagrams) > 0 {
		fl.handleClientDatagram(<-fl.clientDatagrams)
	}
	if fl.ended {
		return
	}
	engine := fl.frontend.engine
	conn, err := dialServer(attempt.Upstream.Address)
	if err != nil {
		fl.frontend.log.WithError(err).Warn("quic: cannot open a socket to a room server")
		engine.AttemptEnded(fl.call, attempt.Number, decide.ConnectFailed, decide.NoLoadReport)
		return
	}
	if err := enableErrorQueue(conn); err != nil {
		fl.frontend.log.WithError(err).Warn("quic: cannot read the errors of a socket to a room server one by one")
	}
	up := &upstream{attempt: attempt.Number, server: attempt.Upstream.ID, conn: conn}
	fl.upstream = up
	fl.frontend.goroutines.Go(func() { fl.readServer(up) })
	engine.AttemptSent(fl.call, attempt.Number)
	if fl.restored {
		// The room server already has the connection, so no handshake is pending. establish sends it the client's
		// retained datagrams.
		fl.accepted = true
		engine.AttemptAccepted(fl.call, attempt.Number)
		return
	}
	for _, raw := range fl.retained {
		fl.sendToServer(raw)
	}
}

// dialServer returns a UDP socket that is connected to a room server's address.
func dialServer(address string) (*net.UDPConn, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrPort))
}

// readServer passes a room server's datagrams and the socket's errors to run, until reading fails for another reason
// than an ICMP error, or the socket is closed. It runs in its own goroutine.
func (fl *flow) readServer(up *upstream) {
	buffer := make([]byte, maxDatagramSize+1) // a longer datagram fills it
	for {
		n, err := up.conn.Read(buffer)
		if err == nil && n > maxDatagramSize {
			continue
		}
		d := serverDatagram{upstream: up, err: err}
		if err == nil {
			d.raw = clone(buffer[:n])
		}
		select {
		case fl.serverDatagrams <- d:
		case <-fl.done:
			return
		}
		if err != nil && !isPortClosed(err) && !isPathError(err) {
			return
		}
	}
}

// closeUpstream closes the socket of the current attempt, if there is one, and drops the pending datagrams of its room
// server.
func (fl *flow) closeUpstream() {
	if fl.upstream != nil {
		fl.upstream.conn.Close()
		fl.upstream, fl.pending, fl.accepted = nil, nil, false
	}
}

// sendToServer sends a datagram to the room server of the current attempt, if there is one. If an earlier datagram has
// found the server's port closed, the kernel may report that here in place of readServer, and does not send this one.
// Other errors are ignored: clients repeat their datagrams.
func (fl *flow) sendToServer(raw []byte) {
	up := fl.upstream
	if up == nil || up.failed {
		return
	}
	switch _, err := up.conn.Write(raw); {
	case err == nil:
		up.sent++
	case isPortClosed(err):
		fl.serverPortClosed()
	}
}

// establish marks the connection as established and forwards the room server's pending datagrams to the client. From
// then on the room server's datagrams are forwarded to the client as they arrive.
func (fl *flow) establish(n int) {
	if fl.upstream == nil || fl.upstream.attempt != n {
		return
	}
	up := fl.upstream
	fl.established = true
	server := up.server
	fl.frontend.runInRouter(func() {
		fl.frontend.flows.establish(fl, server)
		fl.frontend.announceFlow(fl)
	})
	if fl.restored {
		for _, raw := range fl.retained {
			fl.sendToServer(raw)
		}
	}
	closed := false
	fl.serverAnswered.Store(len(fl.pending) > 0)
	for _, raw := range fl.pending {
		if p, err := parsePacket(raw, len(fl.clientID)); err == nil {
			fl.addServerSourceID(p)
			closed = closed || fl.decryptClose(serverInitialLabel, raw, p) != nil
		}
		fl.frontend.send(raw, fl.clientAddress)
	}
	fl.retained, fl.pending = nil, nil
	switch {
	case fl.ended: // the datagrams found the port closed
	case closed:
		fl.endConnection(decide.Reset)
	case up.failed:
		fl.serverPortClosed()
	}
}

// cancelAttempt ends attempt n with the code that is passed as why, unless the room server has accepted the attempt. It
// does not end the attempt either if the code is one for attempts that were never executed, and a datagram was sent.
// Such a code would be wrong: UDP has no handshake, so the room server may have executed the attempt. If nothing could
// be sent, the attempt was never executed, whatever the code.
func (fl *flow) cancelAttempt(n int, why decide.Code) {
	up := fl.upstream
	switch {
	case up == nil || up.attempt != n || fl.accepted:
	case up.sent == 0:
		fl.endAttempt(decide.ConnectFailed)
	case !why.NeverExecuted():
		fl.endAttempt(why)
	}
}

// endAttempt closes the current attempt's socket and reports how the attempt ended.
func (fl *flow) endAttempt(code decide.Code) {
	n := fl.upstream.attempt
	fl.closeUpstream()
	fl.frontend.engine.AttemptEnded(fl.call, n, code, decide.NoLoadReport)
}

// endConnection ends the flow and its current attempt, if there is one.
func (fl *flow) endConnection(code decide.Code) {
	if fl.upstream != nil {
		fl.endAttempt(code)
	}
	fl.ended = true
}
