// Package quic is the frontend for QUIC clients. It routes UDP datagrams by their connection IDs and does not terminate
// QUIC. A client's first Initial packet is a request to package core. Later packets carry connection IDs that room
// servers have issued in QUIC-LB's format, so that each names its room server. A datagram that no room server can
// answer gets a stateless reset.
//
// Packets are parsed as far as they are not encrypted (RFC 8999 and RFC 9000). Initial packets are decrypted too, since
// their keys are derived from a connection ID.
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
	// routerBacklog is the number of datagrams that may wait for the router.
	routerBacklog = 256
	// maxRepliesPerSecond limits stateless resets and other replies to datagrams whose sender may be forged, so that
	// the balancer cannot be abused to amplify traffic.
	maxRepliesPerSecond = 100
	// readBufferBytes is the size of the socket's read buffer.
	readBufferBytes = 1 << 20
)

// Config is the configuration of a frontend.
type Config struct {
	// Conn is the socket for client datagrams. The frontend closes it.
	Conn *net.UDPConn
	// IDs is the format of the connection IDs that room servers issue.
	IDs *IDFormat
	// ResetKey is the key for stateless reset tokens, which the room servers share.
	ResetKey []byte
	// Class is the class of all requests of this frontend.
	Class int
	// Timeout is the client timeout of a request.
	Timeout time.Duration
	// Idle is the time without traffic after which an established connection is closed.
	Idle time.Duration
	// MaxFlows is the maximum number of flows. Requests beyond it are rejected.
	MaxFlows int
}

// Frontend routes the datagrams of clients. Each client connection is a flow with a goroutine of its own.
type Frontend struct {
	cfg    Config
	engine *core.Engine
	log    *logrus.Logger
	conn   *net.UDPConn
	// watchdog monitors the router; it may be nil.
	watchdog core.Watchdog
	// replyLimit limits replies to maxRepliesPerSecond.
	replyLimit *rate.Limiter
	// actors counts the goroutines of flows, of their sockets, and of readDatagrams.
	actors sync.WaitGroup

	// datagrams holds datagrams that wait for the router.
	datagrams chan datagram
	// routerTasks passes functions to the router's goroutine.
	routerTasks chan func()
	// routerDone is closed when the router ends.
	routerDone chan struct{}
	// flows is owned by the router's goroutine.
	flows flowTable
}

// datagram is a UDP datagram and its sender.
type datagram struct {
	// from is the sender's address.
	from netip.AddrPort
	// raw is the payload.
	raw []byte
}

// New returns a frontend that reports to engine.
func New(cfg Config, engine *core.Engine, log *logrus.Logger) *Frontend {
	if err := cfg.Conn.SetReadBuffer(readBufferBytes); err != nil {
		log.WithError(err).Warn("quic: cannot set the size of the read buffer")
	}
	return &Frontend{
		cfg:         cfg,
		engine:      engine,
		log:         log,
		conn:        cfg.Conn,
		replyLimit:  rate.NewLimiter(maxRepliesPerSecond, maxRepliesPerSecond),
		datagrams:   make(chan datagram, routerBacklog),
		routerTasks: make(chan func()),
		routerDone:  make(chan struct{}),
		flows:       newFlowTable(),
	}
}

// Addr returns the local address of the frontend's socket.
func (f *Frontend) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetWatchdog sets the watchdog of the router. It must be called before Serve.
func (f *Frontend) SetWatchdog(watchdog core.Watchdog) { f.watchdog = watchdog }

// Serve routes datagrams until ctx ends, then waits for all goroutines of the frontend. While pause holds the socket,
// no datagrams are read, but what room servers send is still forwarded to clients.
func (f *Frontend) Serve(ctx context.Context, pause *hotrestart.Pauser) {
	defer f.actors.Wait()
	defer close(f.routerDone)
	// The socket is not closed by context.AfterFunc: a deferred stop of that could cancel the close before it runs,
	// and the reader would never end.
	defer f.conn.Close()
	f.actors.Go(func() { f.readDatagrams(ctx, pause) })
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
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// A pause, or an error that concerns one datagram only.
			pause.WaitWhilePaused(ctx, err)
			continue
		}
		select {
		case f.datagrams <- datagram{from, clone(buffer[:n])}:
		case <-ctx.Done():
			return
		}
	}
}

// runInRouter runs task in the router's goroutine, unless the router has ended. It returns when the router has received
// the task. The router never waits for a flow, so flows may wait for it.
func (f *Frontend) runInRouter(task func()) {
	select {
	case f.routerTasks <- task:
	case <-f.routerDone:
	}
}

// send sends a datagram to a client. Errors are only logged: UDP is unreliable, and clients repeat what is lost.
func (f *Frontend) send(raw []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.WithError(err).Debug("quic: send failed")
	}
}

// sendReply sends a reply that counts against the limit, or drops it.
func (f *Frontend) sendReply(raw []byte, to netip.AddrPort) {
	if f.replyLimit.Allow() {
		f.send(raw, to)
	}
}

// sendReset sends a stateless reset for a connection ID, in response to a datagram of triggerSize bytes.
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
