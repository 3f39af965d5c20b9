package quic

import (
	"context"
	"net/netip"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

const (
	// commandBacklog is the number of the engine's commands that may wait for a flow.
	commandBacklog = 16
	// clientBacklog is the number of client datagrams that may wait for a flow. Further ones are dropped, as on any
	// path that is congested.
	clientBacklog = 64
	// maxRetainedDatagrams is the number of a client's first datagrams that are retained for further attempts.
	maxRetainedDatagrams = 4
	// maxPendingDatagrams is the number of a server's first datagrams that are held back until the connection is
	// established.
	maxPendingDatagrams = 16
)

// flow is one client connection. It implements core.ClientConn. The goroutine of run owns its fields, unless stated
// otherwise.
type flow struct {
	frontend *Frontend
	call     *core.Call

	// ids holds the connection IDs that lead to the flow, the oldest first. The router's goroutine owns it.
	ids []string
	// routedFrom is the address of the latest datagram from the client. The router's goroutine owns it.
	routedFrom netip.AddrPort
	// server is the room server of the established connection; 0 if there is none. The router's goroutine owns it.
	server decide.ServerID

	// commands passes the engine's commands to run.
	commands chan func()
	// clientDatagrams passes client datagrams to run.
	clientDatagrams chan clientDatagram
	// serverDatagrams passes datagrams and errors of room servers' sockets to run.
	serverDatagrams chan serverDatagram
	// done is closed when run ends.
	done chan struct{}

	// originalID is the destination connection ID of the client's first Initial packet; nil if the flow is restored.
	originalID []byte
	// clientID is the connection ID that the client has chosen for itself; nil if the flow is restored.
	clientID []byte
	// restored says that the connection was established before the flow began.
	restored bool
	// clientAddress is the address of the latest datagram that run has received from the client.
	clientAddress netip.AddrPort
	// clientDatagramSize is the size of that datagram in bytes.
	clientDatagramSize int
	// usedServerID is the latest connection ID in use by the client that a room server has issued; nil if none.
	usedServerID []byte
	// chosenServerID is the connection ID that the room server has chosen for itself in its latest long header.
	chosenServerID []byte
	// retained holds the client's datagrams until the connection is established, for further attempts.
	retained [][]byte
	// pending holds the room server's datagrams until the connection is established.
	pending [][]byte
	// upstream is the socket of the current attempt; nil if there is none.
	upstream *upstream
	// accepted says that the room server of the current attempt has accepted the client.
	accepted bool
	// established says that datagrams are forwarded in both directions.
	established bool
	// finalAnswer is the packet that has rejected the request; nil if there is none.
	finalAnswer []byte
	// migrated says that the client was asked to reconnect elsewhere.
	migrated bool
	// ended makes run end.
	ended bool

	// unansweredSince is when the client sent the oldest datagram after the latest one of the room server; zero if
	// there is none.
	unansweredSince time.Time
	// responseAwaited says that the engine was told to wait for the room server's response.
	responseAwaited bool
	// trafficReported is when the engine was last told of traffic.
	trafficReported time.Time
}

// clientDatagram is a datagram from the client and its parsed packet.
type clientDatagram struct {
	datagram
	packet packet
}

// newFlow returns a flow for a client address. Its call has to be set before run, and what is known of its connection
// IDs before the first datagram is delivered.
func newFlow(frontend *Frontend, from netip.AddrPort) *flow {
	return &flow{
		frontend:        frontend,
		routedFrom:      from,
		clientAddress:   from,
		commands:        make(chan func(), commandBacklog),
		clientDatagrams: make(chan clientDatagram, clientBacklog),
		serverDatagrams: make(chan serverDatagram),
		done:            make(chan struct{}),
	}
}

// run handles the flow's commands and datagrams until the flow or ctx ends.
func (fl *flow) run(ctx context.Context) {
	defer fl.frontend.engine.ClientClosed(fl.call)
	defer fl.frontend.runInRouter(func() { fl.frontend.flows.remove(fl) })
	defer close(fl.done)
	defer fl.closeUpstream()
	for !fl.ended {
		select {
		case <-ctx.Done():
			return
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

// deliver passes a datagram from the client to run. The router calls it and must not wait, so a datagram that finds the
// backlog full is dropped.
func (fl *flow) deliver(d datagram, p packet) {
	fl.routedFrom = d.from
	select {
	case fl.clientDatagrams <- clientDatagram{d, p}:
	default:
	}
}

// post passes a command of the engine to run. The engine must not wait.
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

// Abort implements core.ClientConn.
func (fl *flow) Abort() { fl.post(func() { fl.ended = true }) }
