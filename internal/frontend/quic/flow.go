package quic

import (
	"bytes"
	"context"
	"crypto/hmac"
	"errors"
	"net"
	"net/netip"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

const (
	orderBacklog = 16
	flowBacklog  = 64 // datagrams that may wait at a flow; more are lost, as on any path
	keptMost     = 4  // a request's datagrams that are kept for another attempt
	heldMost     = 16 // a server's first datagrams that wait for the core's word

	// A client's datagram may bring nothing back, an acknowledgement say. Only when it sends on after so long
	// without an answer is one awaited.
	quiet = 300 * time.Millisecond
	// touchEvery is how often a flow tells the core of its traffic, as a part of the idle time.
	touchEvery = 8
)

// flow is the actor of one client's connection. The router owns names, from and server; the actor the rest.
type flow struct {
	front *Frontend
	call  *core.Call

	names  []string        // the ids that lead here
	from   netip.AddrPort  // the client's latest address
	server decide.ServerID // where it stands, as the router was told

	orders  chan func()
	clients chan clientDatagram
	servers chan serverDatagram
	done    chan struct{}

	origCID, clientCID []byte // of the first Initial; none for a resumed flow
	resumed            bool
	client             netip.AddrPort
	lastID             []byte // the latest id issued by a server that the client used
	lastSize           int    // of the client's latest datagram
	learnt             []byte // the id that the server chose for itself
	kept               [][]byte
	held               [][]byte
	up                 *upstream
	isUp, stands       bool
	final              []byte // the final answer, repeated when the client repeats itself
	moved, over        bool
	unanswered         time.Time // when the first datagram came that is not answered
	awaiting           bool
	touched            time.Time
}

// upstream is the socket of one call attempt.
type upstream struct {
	n    int
	id   decide.ServerID
	conn *net.UDPConn
}

type clientDatagram struct {
	datagram
	packet packet
}

type serverDatagram struct {
	up  *upstream
	raw []byte
	err error
}

func newFlow(f *Frontend, from netip.AddrPort) *flow {
	return &flow{front: f, from: from, client: from, orders: make(chan func(), orderBacklog),
		clients: make(chan clientDatagram, flowBacklog), servers: make(chan serverDatagram), done: make(chan struct{})}
}

// fromClient is called by the router. A flow that cannot keep up loses datagrams.
func (fl *flow) fromClient(d datagram, p packet) {
	fl.from = d.from
	select {
	case fl.clients <- clientDatagram{d, p}:
	default:
	}
}

// order puts an order of the core into the mailbox.
func (fl *flow) order(do func()) {
	select {
	case fl.orders <- do:
	case <-fl.done:
	default:
		fl.front.log.Warn("quic front: a flow's mailbox is full")
	}
}

func (fl *flow) StartAttempt(a core.Attempt) { fl.order(func() { fl.attempt(a) }) }
func (fl *flow) CancelAttempt(n int, why decide.Code) {
	fl.order(func() { fl.giveUp(n, why) })
}
func (fl *flow) Establish(n int) { fl.order(func() { fl.stand(n) }) }
func (fl *flow) Migrate()        { fl.order(fl.move) }
func (fl *flow) Abort()          { fl.order(func() { fl.over = true }) }
func (fl *flow) Fail()           { fl.order(func() { fl.answer(internalError, "") }) }
func (fl *flow) Reject(retryAfter time.Duration) {
	fl.order(func() { fl.answer(connectionRefused, retryReason(retryAfter)) })
}

func (fl *flow) run(ctx context.Context) {
	defer fl.front.module.ClientClosed(fl.call)
	defer fl.front.turn(func() { fl.front.forget(fl) })
	defer close(fl.done)
	defer fl.closeUp()
	for !fl.over {
		select {
		case <-ctx.Done():
			return
		case do := <-fl.orders:
			do()
		case d := <-fl.clients:
			fl.clientSent(d)
		case d := <-fl.servers:
			if d.up == fl.up {
				fl.serverSent(d)
			}
		}
	}
}

// attempt opens a socket of its own for the room server, so that a late reply of an attempt that was given up
// finds no way back, and sends what the client has sent so far.
func (fl *flow) attempt(a core.Attempt) {
	fl.closeUp()
	for len(fl.clients) > 0 { // Guards against an attempt for a client whose close is here, and behind this order
		fl.clientSent(<-fl.clients)
	}
	if fl.over {
		return
	}
	addr, err := netip.ParseAddrPort(a.Upstream.Address)
	if err != nil {
		fl.front.module.AttemptEnded(fl.call, a.Number, decide.ConnectFailed, decide.NoLoadReport)
		return
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		fl.front.log.WithError(err).Warn("quic front: socket for a room server")
		fl.front.module.AttemptEnded(fl.call, a.Number, decide.ConnectFailed, decide.NoLoadReport)
		return
	}
	up := &upstream{n: a.Number, id: a.Upstream.ID, conn: conn}
	fl.up = up
	fl.front.actors.Go(func() { fl.readServer(up) })
	fl.front.module.AttemptSent(fl.call, a.Number)
	if fl.resumed {
		// It stands at this server already; what the client sent goes on with the core's word.
		fl.isUp = true
		fl.front.module.AttemptAccepted(fl.call, a.Number)
		return
	}
	for _, raw := range fl.kept {
		fl.toServer(raw)
	}
}

func (fl *flow) readServer(up *upstream) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := up.conn.Read(buf)
		d := serverDatagram{up: up, err: err}
		if err == nil {
			d.raw = clone(buf[:n])
		}
		select {
		case fl.servers <- d:
		case <-fl.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (fl *flow) closeUp() {
	if fl.up != nil {
		fl.up.conn.Close()
		fl.up, fl.held, fl.isUp = nil, nil, false
	}
}

func (fl *flow) toServer(raw []byte) {
	if fl.up != nil {
		fl.up.conn.Write(raw) // a refused datagram shows at the reader
	}
}

// clientSent takes a datagram of the client, from whatever address it comes.
func (fl *flow) clientSent(d clientDatagram) {
	fl.client, fl.lastSize = d.from, len(d.raw)
	if _, err := fl.front.cfg.IDs.Decode(d.packet.dcid); err == nil {
		fl.lastID = d.packet.dcid
	}
	switch {
	case fl.moved:
		fl.resetClient() // the first one may be lost
	case fl.final != nil:
		if fl.front.limit.Allow() {
			fl.front.send(fl.final, fl.client)
		}
	case fl.stands:
		fl.watchSilence()
		fl.touch()
		fl.toServer(d.raw)
	default:
		if fl.closeOf(clientSide, d.raw, d.packet) != nil {
			fl.toServer(d.raw) // the room server of an attempt that is out hears it too
			fl.over = true
			return
		}
		if len(fl.kept) < keptMost {
			fl.kept = append(fl.kept, d.raw)
		}
		fl.toServer(d.raw)
	}
}

// watchSilence asks the core to wait for an answer once the client sends again without one.
func (fl *flow) watchSilence() {
	now := time.Now()
	switch {
	case fl.unanswered.IsZero():
		fl.unanswered = now
	case !fl.awaiting && now.Sub(fl.unanswered) > quiet:
		fl.awaiting = true
		fl.front.module.ResponseAwaited(fl.call)
	}
}

func (fl *flow) touch() {
	if now := time.Now(); now.Sub(fl.touched) > fl.front.cfg.Idle/touchEvery {
		fl.touched = now
		fl.front.module.TrafficSeen(fl.call)
	}
}

// serverSent takes a datagram of the room server, or the end of its socket.
func (fl *flow) serverSent(d serverDatagram) {
	if d.err != nil {
		fl.serverLost(d.err)
		return
	}
	p, err := parsePacket(d.raw, len(fl.clientCID))
	if err != nil {
		return
	}
	closed := fl.closeOf(serverSide, d.raw, p)
	if fl.stands {
		fl.answered()
		fl.learn(p)
		fl.front.send(d.raw, fl.client)
		if closed != nil || fl.isReset(d.raw, p) {
			fl.end(decide.Reset)
		}
		return
	}
	if closed != nil {
		// Refused before it stood: another room server may take it, and the client hears nothing of this one.
		code := decide.ServerError
		if closed.code == connectionRefused {
			code = decide.Rejected
		}
		fl.endAttempt(code)
		return
	}
	if !fl.resumed && (!p.long || p.version != version1 || !bytes.Equal(p.dcid, fl.clientCID)) {
		return // not the answer to this client's Initial
	}
	if len(fl.held) < heldMost {
		fl.held = append(fl.held, d.raw)
	}
	if !fl.isUp {
		fl.isUp = true
		fl.front.module.AttemptAccepted(fl.call, fl.up.n)
	}
}

// serverLost: a port that nobody listens on answers with ICMP, which shows as an error of the socket.
func (fl *flow) serverLost(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	if !fl.stands {
		fl.endAttempt(decide.ConnectFailed)
		return
	}
	fl.resetClient()
	fl.end(decide.Reset)
}

func (fl *flow) endAttempt(code decide.Code) {
	n := fl.up.n
	fl.closeUp()
	fl.front.module.AttemptEnded(fl.call, n, code, decide.NoLoadReport)
}

// end closes a standing connection.
func (fl *flow) end(code decide.Code) {
	if fl.up != nil {
		fl.endAttempt(code)
	}
	fl.over = true
}

// giveUp ends an attempt that has no answer. What was sent when it began cannot be taken back for want of a connection.
func (fl *flow) giveUp(n int, why decide.Code) {
	if fl.up != nil && fl.up.n == n && !fl.isUp && !why.NeverExecuted() {
		fl.endAttempt(why)
	}
}

// stand lets the room server's first answer through, and all that follows.
func (fl *flow) stand(n int) {
	if fl.up == nil || fl.up.n != n {
		return
	}
	fl.stands = true
	server := fl.up.id
	fl.front.turn(func() { fl.server = server })
	if fl.resumed {
		for _, raw := range fl.kept {
			fl.toServer(raw)
		}
	}
	for _, raw := range fl.held {
		if p, err := parsePacket(raw, len(fl.clientCID)); err == nil {
			fl.learn(p)
		}
		fl.front.send(raw, fl.client)
	}
	fl.kept, fl.held = nil, nil
}

// learn lets the id that the server chose for itself lead to this flow, before the client can use it.
func (fl *flow) learn(p packet) {
	if p.long && len(p.scid) > 0 && !bytes.Equal(p.scid, fl.learnt) {
		id := clone(p.scid)
		fl.learnt = id
		fl.front.turn(func() { fl.front.name(fl, id) })
	}
}

// answered notes that the server brings something.
func (fl *flow) answered() {
	fl.unanswered = time.Time{}
	if fl.awaiting {
		fl.awaiting = false
		fl.front.module.ServerResponded(fl.call)
	}
	fl.touch()
}

// closeOf reads a CONNECTION_CLOSE from one side's Initial; later packets cannot be read from outside.
func (fl *flow) closeOf(side string, raw []byte, p packet) *closeFrame {
	if !p.long || p.version != version1 || p.kind != typeInitial || fl.origCID == nil {
		return nil
	}
	k, err := initialKeys(fl.origCID, side)
	if err != nil {
		return nil
	}
	payload, err := k.unprotect(raw, p)
	if err != nil {
		return nil
	}
	c, err := findClose(payload)
	if err != nil {
		return nil
	}
	return c
}

// isReset tells whether a server's datagram is a stateless reset for the id that the client uses.
func (fl *flow) isReset(raw []byte, p packet) bool {
	if p.long || fl.lastID == nil || len(raw) < minReset {
		return false
	}
	token := resetToken(fl.front.cfg.ResetKey, fl.lastID)
	return hmac.Equal(raw[len(raw)-tokenLen:], token[:])
}

// resetClient ends the client's side: a stateless reset where it uses a server's id, else an Initial close.
func (fl *flow) resetClient() {
	if fl.lastID != nil {
		fl.front.reset(fl.lastID, fl.lastSize, fl.client)
		return
	}
	if fl.origCID != nil {
		if raw, err := closePacket(fl.origCID, fl.clientCID, fl.origCID, connectionRefused, ""); err == nil {
			fl.front.send(raw, fl.client)
		}
	}
}

// move sends the client away from its room server. The flow stays a while, or the client's next packet would
// be taken for a connection that stands at that server.
func (fl *flow) move() {
	if fl.stands && fl.up != nil {
		fl.resetClient()
		fl.endAttempt(decide.Cancelled)
		fl.moved = true
	}
}

// answer gives the final answer. The flow stays a while, for the client may repeat its Initial when the
// answer is lost.
func (fl *flow) answer(code uint64, reason string) {
	fl.closeUp()
	if fl.resumed {
		// Its server is gone: nothing can go on with the connection.
		fl.resetClient()
		fl.over = true
		return
	}
	raw, err := closePacket(fl.origCID, fl.clientCID, fl.origCID, code, reason)
	if err != nil {
		fl.front.log.WithError(err).Error("quic front: final answer")
		fl.over = true
		return
	}
	fl.final = raw
	fl.front.send(raw, fl.client)
}
