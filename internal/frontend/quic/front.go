// Package quic is the front for QUIC connection ids. It routes UDP datagrams by connection id and does not
// terminate QUIC: a client's first Initial is a request to the core, ids name the room servers that issued
// them, and what no room server can answer any more gets a stateless reset. Packets are read as RFC 8999 and
// RFC 9000 show them to one that is no endpoint; ids have QUIC-LB's form.
package quic

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	backlog       = 256 // datagrams that may wait at the router
	resetsASecond = 100 // stateless resets and version negotiations, so that nobody makes this a source of traffic
	readBuffer    = 1 << 20
	linger        = 3 * time.Second // an answered client may repeat its Initial for so long
)

// Config is what the front starts with.
type Config struct {
	Conn     *net.UDPConn
	IDs      *IDFormat
	ResetKey []byte        // shared with the room servers
	Class    int           // of all requests that come here
	Timeout  time.Duration // a request's deadline
	Idle     time.Duration // a connection without traffic for so long has ended
	MaxFlows int
}

// Frontend routes datagrams. Its router goroutine owns the table of flows.
type Frontend struct {
	watch  core.Watchdog // nil: nobody hears
	cfg    Config
	module *core.Engine
	log    *logrus.Logger
	conn   *net.UDPConn
	limit  *rate.Limiter
	actors sync.WaitGroup

	datagrams chan datagram
	turns     chan func() // what flows ask of the router
	closed    chan struct{}

	// Owned by the router.
	flows map[string]*flow // by each connection id that names them
	count int
}

type datagram struct {
	from netip.AddrPort
	raw  []byte
}

// New returns a front that routes what comes to its socket.
func New(cfg Config, module *core.Engine, log *logrus.Logger) *Frontend {
	conn := cfg.Conn
	if err := conn.SetReadBuffer(readBuffer); err != nil {
		log.WithError(err).Warn("quic front: read buffer")
	}
	return &Frontend{cfg: cfg, module: module, log: log, conn: conn, limit: rate.NewLimiter(resetsASecond, resetsASecond),
		datagrams: make(chan datagram, backlog), turns: make(chan func()), closed: make(chan struct{}),
		flows: map[string]*flow{}}
}

// Addr is the front's address.
func (f *Frontend) Addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Serve routes until ctx ends, then waits for the flows' actors. While pause holds it, it reads no datagram; what its
// room servers send still reaches the clients.
func (f *Frontend) Serve(ctx context.Context, pause *hotrestart.Pauser) {
	defer f.actors.Wait()
	defer close(f.closed)
	// Closed here and not by context.AfterFunc: stopping that one can come before its call, and the reader
	// would never end.
	defer f.conn.Close()
	f.actors.Go(func() { f.read(ctx, pause) })
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-f.datagrams:
			core.RunMonitored(f.watch, func() { f.route(ctx, d) })
		case turn := <-f.turns:
			core.RunMonitored(f.watch, turn)
		}
	}
}

// SetWatchdog lets a watchdog hear of the router's turns; it is called before Serve.
func (f *Frontend) SetWatchdog(turns core.Watchdog) { f.watch = turns }

func (f *Frontend) read(ctx context.Context, pause *hotrestart.Pauser) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			pause.Paused(ctx, err)
			continue // of one datagram; the socket goes on
		}
		select {
		case f.datagrams <- datagram{from, append([]byte(nil), buf[:n]...)}:
		case <-ctx.Done():
			return
		}
	}
}

// turn has the router run something before it looks at the next datagram. The router never waits for a flow.
func (f *Frontend) turn(do func()) {
	select {
	case f.turns <- do:
	case <-f.closed:
	}
}

// route finds the flow of a datagram, or begins one.
func (f *Frontend) route(ctx context.Context, d datagram) {
	p, err := parsePacket(d.raw, f.cfg.IDs.Len())
	if err != nil {
		return
	}
	if fl := f.flows[string(p.dcid)]; fl != nil {
		fl.fromClient(d, p)
		return
	}
	server, err := f.cfg.IDs.Decode(p.dcid)
	issued := err == nil
	if p.long && p.version != version1 {
		// A version whose Initials cannot be read: negotiated, as nothing of it can be refused or retried.
		if p.version != 0 && len(d.raw) >= minInitial && f.limit.Allow() {
			f.send(versionNegotiation(p), d.from)
		}
		return
	}
	switch {
	case p.long && p.kind == typeInitial && !issued:
		f.begin(ctx, d, p)
	case issued:
		f.resume(ctx, d, p, server)
	case !p.long:
		f.reset(p.dcid, len(d.raw), d.from)
	}
}

// begin takes a client's first Initial as a request. One that does not open under the keys of its own id is
// no client's and is dropped, as an endpoint would (RFC 9001, section 5.2).
func (f *Frontend) begin(ctx context.Context, d datagram, p packet) {
	if len(d.raw) < minInitial || len(p.dcid) < minOrigCID {
		return
	}
	k, err := initialKeys(p.dcid, clientSide)
	if err != nil {
		f.log.WithError(err).Error("quic front: initial keys")
		return
	}
	payload, err := k.unprotect(d.raw, p)
	if err != nil {
		return
	}
	if closed, err := findClose(payload); err == nil && closed != nil {
		return // of a client that has gone, and repeats it
	}
	if f.count >= f.cfg.MaxFlows {
		// Guards the table's bound: past it a client is refused without a flow.
		if raw, err := closePacket(p.dcid, p.scid, p.dcid, connectionRefused, retryReason(time.Second)); err == nil &&
			f.limit.Allow() {
			f.send(raw, d.from)
		}
		return
	}
	fl := f.newFlow(ctx, d, p)
	fl.origCID, fl.clientCID = clone(p.dcid), clone(p.scid)
	fl.fromClient(d, p)
	f.module.RequestReceived(fl.call, core.Request{Class: f.cfg.Class, Key: d.from.Addr().String(),
		Deadline: time.Now().Add(f.cfg.Timeout)})
}

// resume takes a datagram whose id names a room server but no flow: after a restart of the balancer, or an id
// that its client has not used before.
func (f *Frontend) resume(ctx context.Context, d datagram, p packet, server decide.ServerID) {
	if !p.long {
		// A new id from a known address is a known connection's: the client changed it, not its place.
		for _, fl := range f.flows {
			if fl.server == server && fl.from == d.from {
				f.name(fl, p.dcid)
				fl.fromClient(d, p)
				return
			}
		}
	}
	if f.count >= f.cfg.MaxFlows {
		return // the client repeats it
	}
	fl := f.newFlow(ctx, d, p)
	fl.resumed = true
	fl.fromClient(d, p)
	f.module.RestoreConnection(fl.call, core.Request{Class: f.cfg.Class, Key: d.from.Addr().String()}, server, 0)
}

func (f *Frontend) newFlow(ctx context.Context, d datagram, p packet) *flow {
	fl := newFlow(f, d.from)
	f.count++
	f.name(fl, p.dcid)
	fl.call = f.module.Accept(fl, core.Traits{Linger: linger, Idle: f.cfg.Idle, Resumable: true})
	f.actors.Go(func() { fl.run(ctx) })
	return fl
}

// maxNames bounds the ids of one flow: a client that invents ids must not fill the table.
const maxNames = 16

// name lets an id lead to a flow.
func (f *Frontend) name(fl *flow, id []byte) {
	if len(id) == 0 || f.flows[string(id)] != nil {
		return
	}
	if len(fl.names) >= maxNames {
		delete(f.flows, fl.names[0])
		fl.names = fl.names[1:]
	}
	fl.names = append(fl.names, string(id))
	f.flows[string(id)] = fl
}

// forget takes a closed flow out of the table.
func (f *Frontend) forget(fl *flow) {
	f.count--
	for _, id := range fl.names {
		delete(f.flows, id)
	}
}

// reset sends a stateless reset, smaller than its cause, so that two that answer each other come to an end.
func (f *Frontend) reset(id []byte, cause int, to netip.AddrPort) {
	size := min(cause-1, maxReset)
	if size < minReset || !f.limit.Allow() {
		return
	}
	raw := make([]byte, size)
	if _, err := rand.Read(raw); err != nil {
		f.log.WithError(err).Error("quic front: random numbers")
		return
	}
	raw[0] = raw[0]&^longForm | fixedBit
	token := resetToken(f.cfg.ResetKey, id)
	copy(raw[size-tokenLen:], token[:])
	f.send(raw, to)
}

// send writes a datagram to a client. UDP promises nothing, and a client repeats what it misses.
func (f *Frontend) send(raw []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.WithError(err).Debug("quic front: send")
	}
}

func clone(b []byte) []byte { return append([]byte(nil), b...) }

func retryReason(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return fmt.Sprintf("retry-after=%dms", after.Milliseconds())
}
