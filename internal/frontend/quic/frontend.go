// Package quic is the frontend for QUIC clients. It routes UDP datagrams by their connection IDs and does not
// terminate QUIC. A client's first Initial packet is passed to package core as a request. Later packets carry
// connection IDs that room servers have issued in QUIC-LB's format. Each of these IDs encodes its room server. A
// client whose room server is unknown or not available gets a stateless reset.
//
// Only the unencrypted fields of packets are parsed (RFC 8999 and RFC 9000). Initial packets are also decrypted,
// which is possible because their keys are derived from a connection ID.
package quic

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// routerBacklog is the capacity of the queue of client datagrams to the router. While it is full, no further
	// datagrams are read from the socket.
	routerBacklog = 256
	// maxRepliesPerSecond limits the replies of sendReset and sendReply to datagrams whose source address may be
	// spoofed, so that an attacker cannot make the balancer send a large number of datagrams to others. The first final
	// answer of a flow and the CONNECTION_CLOSE of resetClient are not limited.
	maxRepliesPerSecond = 100
	// maxLongHeadersPerSecond limits the datagrams with long headers of one source address. A client sends a few for each
	// handshake, and repeats them at intervals that grow.
	maxLongHeadersPerSecond = 64
	// maxUnknownIDsPerSecond limits the datagrams of one source address whose connection IDs have no flow. Each of them
	// may begin a flow.
	maxUnknownIDsPerSecond = 16
	// readBufferBytes is the size of the receive buffer of the socket for client datagrams.
	readBufferBytes = 1 << 20
)

// Config is the configuration of a frontend.
type Config struct {
	// Conn is the socket for client datagrams. The frontend closes it.
	Conn *net.UDPConn
	// IDs is the format of the connection IDs that room servers issue.
	IDs *IDFormat
	// ResetKey is the key for stateless reset tokens. The room servers use the same key.
	ResetKey []byte
	// Class is the class of all requests of this frontend.
	Class int
	// Timeout is how long a client waits for the answer to its request. A request that no room server accepts in this
	// time is rejected, or fails if a room server may have executed it.
	Timeout time.Duration
	// Idle is the time without traffic in either direction after which the flow of an established connection ends.
	// Nothing is sent to the client or to the room server. Traffic is reported at intervals, so the flow may end up to
	// Idle/trafficReportsPerIdle earlier.
	Idle time.Duration
	// MaxFlows is the maximum number of flows. When it is reached, inactive flows make room (flow_eviction.go).
	// If there are none, further requests are rejected, and datagrams of established connections that have no flow may
	// be dropped.
	MaxFlows int
	// Repeatable says that a request that a room server may have executed may be executed again.
	Repeatable bool
}

// Frontend routes datagrams from clients to room servers, and from room servers to clients. Each client connection is
// a flow with its own goroutine, also while its request waits for a room server.
type Frontend struct {
	cfg    Config
	engine *core.Engine
	log    *logrus.Logger
	conn   *net.UDPConn
	// watchdog monitors the router; it may be nil.
	watchdog core.Watchdog
	// replyLimit enforces maxRepliesPerSecond.
	replyLimit *rate.Limiter
	// longHeaderLimit enforces maxLongHeadersPerSecond. The goroutine of readDatagrams owns it.
	longHeaderLimit *sourceLimiter
	// unknownIDLimit enforces maxUnknownIDsPerSecond. The router's goroutine owns it.
	unknownIDLimit *sourceLimiter
	// goroutines counts the running goroutines: flow.run, flow.readServer, readDatagrams and watchPeer.
	goroutines sync.WaitGroup

	// datagrams passes client datagrams to the router.
	datagrams chan datagram
	// routerTasks passes functions to the router, which runs them in its goroutine.
	routerTasks chan func()
	// routerDone is closed when the router ends.
	routerDone chan struct{}
	// flows is owned by the router's goroutine.
	flows flowTable
	// nextEviction is until when a full flow table is not searched again. The router's goroutine owns it.
	nextEviction time.Time
	// remote holds the flows of peers. The router's goroutine owns it.
	remote remoteFlows
	// peers are the other processes that hold the socket for client datagrams. The router's goroutine owns it.
	peers []*peer
	// reading says whether client datagrams are read from the socket. The router's goroutine owns it.
	reading bool
	// requestsSuspended says that the first packets of clients are dropped. The router's goroutine owns it.
	requestsSuspended bool
	// pauseWaiters are closed when no peer reads client datagrams. The router's goroutine owns it.
	pauseWaiters []chan struct{}
}

// datagram is a UDP datagram and its sender's address.
type datagram struct {
	// from is the sender's address.
	from netip.AddrPort
	// raw is the payload.
	raw []byte
}

// New returns a frontend that passes the requests of clients to engine. Serve runs it.
func New(cfg Config, engine *core.Engine, log *logrus.Logger) *Frontend {
	if err := cfg.Conn.SetReadBuffer(readBufferBytes); err != nil {
		log.WithError(err).Warn("quic: cannot set the size of the read buffer")
	}
	return &Frontend{
		cfg:             cfg,
		engine:          engine,
		log:             log,
		conn:            cfg.Conn,
		replyLimit:      rate.NewLimiter(maxRepliesPerSecond, maxRepliesPerSecond),
		longHeaderLimit: newSourceLimiter(maxLongHeadersPerSecond),
		unknownIDLimit:  newSourceLimiter(maxUnknownIDsPerSecond),
		datagrams:       make(chan datagram, routerBacklog),
		routerTasks:     make(chan func()),
		routerDone:      make(chan struct{}),
		flows:           newFlowTable(),
		remote:          newRemoteFlows(),
		reading:         true,
	}
}

// Addr returns the local address of the frontend's socket.
func (f *Frontend) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetWatchdog sets the watchdog of the router. It must be called before Serve.
func (f *Frontend) SetWatchdog(watchdog core.Watchdog) { f.watchdog = watchdog }

// Serve routes datagrams until ctx ends, then waits for all goroutines of the frontend. While the socket is paused,
// no client datagrams are read, but datagrams from room servers are still forwarded to clients.
func (f *Frontend) Serve(ctx context.Context, pause *hotrestart.Pauser) {
	defer f.goroutines.Wait()
	defer close(f.routerDone)
	// The socket is closed here and not by context.AfterFunc: a deferred call of AfterFunc's stop function could
	// cancel the close before it runs, and readDatagrams would never return.
	defer f.conn.Close()
	f.goroutines.Go(func() { f.readDatagrams(ctx, pause) })
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-f.datagrams:
			core.RunMonitored(f.watchdog, func() { f.route(ctx, d) })
		case task := <-f.routerTasks:
			core.RunMonitored(f.watchdog, task)
		}
	}
}

// readDatagrams reads client datagrams until ctx ends.
func (f *Frontend) readDatagrams(ctx context.Context, pause *hotrestart.Pauser) {
	buffer := make([]byte, maxDatagramSize+1) // a longer datagram fills it
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// Either the socket is paused, or the error concerns only one datagram.
			f.waitWhilePaused(ctx, pause, err)
			continue
		}
		if n > maxDatagramSize {
			continue
		}
		if isLongHeader(buffer[:n]) && !f.longHeaderLimit.allow(from, time.Now()) {
			continue
		}
		select {
		case f.datagrams <- datagram{from, clone(buffer[:n])}:
		case <-ctx.Done():
			return
		}
	}
}

// runInRouter runs task in the router's goroutine and returns when the task has ended. It returns false, without
// running the task, if the router has ended. A flow may call it without a deadlock, because the router never blocks on
// a flow.
func (f *Frontend) runInRouter(task func()) bool {
	ended := make(chan struct{})
	select {
	case f.routerTasks <- func() { task(); close(ended) }:
		<-ended
		return true
	case <-f.routerDone:
		return false
	}
}

// send sends a datagram to a client. Errors are only logged: QUIC endpoints recover from the loss of datagrams.
func (f *Frontend) send(raw []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.WithError(err).Debug("quic: send failed")
	}
}

// sendReply sends a reply to a client. It drops the reply if replyLimit is exceeded.
func (f *Frontend) sendReply(raw []byte, to netip.AddrPort) {
	if f.replyLimit.Allow() {
		f.send(raw, to)
	}
}

// sendReset sends a stateless reset for a connection ID, in response to a datagram of triggerSize bytes. It sends
// nothing if that datagram is too small for a response or replyLimit is exceeded.
func (f *Frontend) sendReset(id []byte, triggerSize int, to netip.AddrPort) {
	size, ok := resetSize(triggerSize)
	if !ok || !f.replyLimit.Allow() {
		return
	}
	raw, err := newStatelessReset(f.cfg.ResetKey, id, size)
	if err != nil {
		f.log.WithError(err).Error("quic: cannot make a stateless reset")
		return
	}
	f.send(raw, to)
}
