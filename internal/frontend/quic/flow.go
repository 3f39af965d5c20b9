package quic

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

const (
	// commandBacklog is the capacity of a flow's queue of commands from the engine.
	commandBacklog = 16
	// clientBacklog is the capacity of a flow's queue of client datagrams. Further ones are dropped, as on a
	// congested path.
	clientBacklog = 64
	// maxRetainedDatagrams is the maximum number of a client's first datagrams that are retained to be sent again in
	// further attempts.
	maxRetainedDatagrams = 4
	// maxPendingDatagrams is the maximum number of a room server's first datagrams that are held back until the
	// connection is established. Further ones are dropped.
	maxPendingDatagrams = 16
)

// flow is one client connection. It implements core.ClientConn. Its fields are owned by the goroutine of run, except
// where a field's comment names another owner.
type flow struct {
	frontend *Frontend
	call     *core.Call

	// ids holds the connection IDs whose packets are routed to the flow, the oldest first. The router's goroutine
	// owns it.
	ids []string
	// routedFrom is the client address of the latest datagram that the router has delivered to the flow. The router's
	// goroutine owns it.
	routedFrom netip.AddrPort
	// server is the room server of the established connection; 0 until the connection is established. It remains
	// after a migration. The router's goroutine owns it.
	server decide.ServerID
	// restoredAt is the room server of a restored flow, otherwise 0. The router's goroutine owns it.
	restoredAt decide.ServerID
	// reconnecting says that the client was made to reconnect. The router's goroutine owns it.
	reconnecting bool
	// removed says that the flow is no longer in the flow table. The router's goroutine owns it.
	removed bool
	// lastTraffic is when the latest datagram from either side has arrived, in Unix nanoseconds. Any goroutine may use it.
	lastTraffic atomic.Int64
	// serverAnswered says that the room server has sent a datagram in this flow. Any goroutine may use it.
	serverAnswered atomic.Bool
	// sentAnswer is the packet that has rejected or failed the request; nil if there is none. The router's goroutine
	// owns it.
	sentAnswer []byte

	// commands passes the engine's commands to run.
	commands chan func()
	// clientDatagrams passes client datagrams to run.
	clientDatagrams chan clientDatagram
	// serverDatagrams passes datagrams and errors from the sockets of attempts to run.
	serverDatagrams chan serverDatagram
	// evicted is closed by the router when it has evicted the flow.
	evicted chan struct{}
	// done is closed when run ends.
	done chan struct{}

	// originalID is the destination connection ID of the client's first Initial packet; nil if the flow is restored.
	originalID []byte
	// clientID is the source connection ID of the client's first Initial packet; nil if the flow is restored.
	clientID []byte
	// restored says that the client and the room server had established the connection before this flow began.
	restored bool
	// clientAddress is the address of the latest datagram that run has received from the client.
	clientAddress netip.AddrPort
	// clientDatagramSize is the size of that datagram in bytes.
	clientDatagramSize int
	// lastDestinationID is the latest destination connection ID from the client that is in the room servers'
	// format; nil if there is none.
	lastDestinationID []byte
	// lastServerSourceID is the source connection ID in the room server's latest long header; nil if there is none.
	lastServerSourceID []byte
	// retained holds the client's first datagrams until the connection is established. Each attempt sends them to its
	// room server. In a restored flow, establish sends them instead.
	retained [][]byte
	// pending holds the room server's first datagrams until the connection is established.
	pending [][]byte
	// upstream is the socket of the current attempt; nil if there is none.
	upstream *upstream
	// accepted says that the room server of the current attempt has accepted the client.
	accepted bool
	// established says that the engine has established the connection. From then on the room server's datagrams are
	// forwarded to the client.
	established bool
	// finalAnswer is the packet that has rejected or failed the request; nil if there is none.
	finalAnswer []byte
	// migrated says that the client was made to reconnect, so that it is placed again.
	migrated bool
	// ended makes run end.
	ended bool

	// unansweredSince is the arrival time of the first client datagram after the room server's latest datagram; zero
	// if there is none.
	unansweredSince time.Time
	// responseAwaited says that the engine's timeout for a response from the room server runs.
	responseAwaited bool
	// trafficReported is the time of the latest report of traffic to the engine.
	trafficReported time.Time
}

// clientDatagram is a datagram from the client and its first packet, parsed.
type clientDatagram struct {
	datagram
	packet packet
}

// newFlow returns a flow for a client address. The caller sets the field call before it starts run, and originalID,
// clientID and restored before it delivers the first datagram.
func newFlow(frontend *Frontend, from netip.AddrPort) *flow {
	return &flow{
		frontend:        frontend,
		routedFrom:      from,
		clientAddress:   from,
		commands:        make(chan func(), commandBacklog),
		clientDatagrams: make(chan clientDatagram, clientBacklog),
		serverDatagrams: make(chan serverDatagram),
		evicted:         make(chan struct{}),
		done:            make(chan struct{}),
	}
}

// run handles the flow's commands and datagrams until the flow or ctx ends.
func (fl *flow) run(ctx context.Context) {
	defer fl.frontend.engine.ClientClosed(fl.call)
	defer fl.frontend.runInRouter(func() { fl.frontend.removeFlow(ctx, fl) })
	defer close(fl.done)
	defer fl.closeUpstream()
	for !fl.ended {
		select {
		case <-ctx.Done():
			return
		case <-fl.evicted:
			fl.endEvicted()
		case command := <-fl.commands:
			command()
		case d := <-fl.clientDatagrams:
			fl.handleClientDatagram(d)
		case d := <-fl.serverDatagrams:
			if d.upstream == fl.upstream {
				fl.handleServerDatagram(d)
			}
		}
	}
}

// record describes the flow to peers. It runs in the router's goroutine.
func (fl *flow) record() flowRecord {
	record := flowRecord{State: flowPending}
	for _, id := range fl.ids {
		record.IDs = append(record.IDs, []byte(id))
	}
	switch {
	case fl.sentAnswer != nil:
		record.State, record.Answer = flowAnswered, fl.sentAnswer
	case fl.server != 0:
		record.State, record.Server = flowEstablished, fl.server
	case fl.restoredAt != 0:
		record.State, record.Server = flowEstablished, fl.restoredAt
	}
	return record
}

// deliver passes a datagram from the client to run. It drops the datagram if the queue is full, because it is called
// by the router, which must not block.
func (fl *flow) deliver(d datagram, p packet) {
	fl.routedFrom = d.from
	fl.lastTraffic.Store(time.Now().UnixNano())
	select {
	case fl.clientDatagrams <- clientDatagram{d, p}:
	default:
	}
}

// post passes a command of the engine to run. It drops the command if the queue is full, because it is called by the
// engine's event loop, which must not block.
func (fl *flow) post(command func()) {
	select {
	case fl.commands <- command:
	case <-fl.done:
	default:
		fl.frontend.log.Warn("quic: command queue of a flow is full, dropping a command")
	}
}

// StartAttempt implements core.ClientConn.
func (fl *flow) StartAttempt(attempt core.Attempt) { fl.post(func() { fl.startAttempt(attempt) }) }

// CancelAttempt implements core.ClientConn.
func (fl *flow) CancelAttempt(n int, why decide.Code) { fl.post(func() { fl.cancelAttempt(n, why) }) }

// Establish implements core.ClientConn.
func (fl *flow) Establish(n int) { fl.post(func() { fl.establish(n) }) }

// Reject implements core.ClientConn.
func (fl *flow) Reject(retryAfter time.Duration) {
	fl.post(func() { fl.answer(connectionRefused, retryAfterReason(retryAfter)) })
}

// Fail implements core.ClientConn.
func (fl *flow) Fail() { fl.post(func() { fl.answer(internalError, "") }) }

// Migrate implements core.ClientConn.
func (fl *flow) Migrate() { fl.post(fl.migrate) }

// CloseUnused implements core.ClientConn. It does nothing, because a flow begins with its request.
func (fl *flow) CloseUnused() {}

// Abort implements core.ClientConn.
func (fl *flow) Abort() { fl.post(func() { fl.ended = true }) }
