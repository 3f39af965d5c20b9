// Package platform is the platform's front: clients and room servers over TCP, in lines of text. It is thin: it
// parses, relays and passes on what it sees; the core decides and holds every deadline.
package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

var bufferFull = bufio.ErrBufferFull

const (
	acceptPause = 5 * time.Millisecond // the wait for a descriptor to come free, before it is looked at again
	warnEvery   = time.Second          // guards the log against a warning for each accept that fails
)

// DescriptorBudget is what the front may hold of the process's descriptors.
type DescriptorBudget struct {
	Total       int // for channels and their dials together
	DialReserve int // of these, what channels leave to dials
}

// Frontend accepts the clients' channels.
type Frontend struct {
	module   *core.Engine
	resuming *SessionResumer // nil: sessions are not resumed
	names    Names
	dialer   net.Dialer
	log      *logrus.Logger
	budget   DescriptorBudget
	held     chan struct{} // one for each descriptor that a channel or a dial holds
	freed    chan struct{} // tells the accepting side that one came free
	most     atomic.Int64  // that may be held when a channel is accepted
	reserve  chan int
	ended    chan struct{}

	turns     core.Watchdog // of the accepting side; nil: nobody hears
	succeeded atomic.Bool
	actors    sync.WaitGroup
	readers   sync.WaitGroup // the channels' readers and dials
}

// New returns a front for a module.
func New(module *core.Engine, names Names, budget DescriptorBudget, log *logrus.Logger) *Frontend {
	f := &Frontend{module: module, names: names, log: log, dialer: net.Dialer{KeepAlive: -1}, budget: budget,
		held: make(chan struct{}, budget.Total), freed: make(chan struct{}, 1), reserve: make(chan int),
		ended: make(chan struct{})}
	f.most.Store(int64(budget.Total - budget.DialReserve))
	return f
}

// SetWatchdog lets a watchdog hear of the accepting side's turns; it is called before Serve.
func (f *Frontend) SetWatchdog(turns core.Watchdog) { f.turns = turns }

// EnableSessions lets sessions go on with a token; it is called before Serve.
func (f *Frontend) EnableSessions(r *SessionResumer) { f.resuming = r }

// roomToAccept waits until a channel may be accepted. While there is no room, the core sheds what has been silent
// longest; clients wait in the listener's backlog meanwhile.
func (f *Frontend) roomToAccept(ctx context.Context) bool {
	for len(f.held) >= int(f.most.Load()) {
		f.module.ShedIdle()
		select {
		case <-ctx.Done():
			return false
		case <-f.freed:
		case <-time.After(acceptPause):
		}
	}
	f.held <- struct{}{} // there is room: dials are bounded by the channels that make them
	return true
}

// roomToDial waits for a descriptor; channels leave enough for that to be short.
func (f *Frontend) roomToDial(ctx context.Context) error {
	select {
	case f.held <- struct{}{}:
		return nil
	default:
	}
	f.module.ShedIdle()
	select {
	case f.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ClientsWaiting tells whether clients wait to be accepted, where they wait for this process alone.
func (f *Frontend) ClientsWaiting(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil || f.succeeded.Load() {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // an error is nobody
	})
	return err == nil && n > 0
}

// SetReplaced tells whether another process serves at the clients' address.
func (f *Frontend) SetReplaced(yes bool) { f.succeeded.Store(yes) }

// pong answers the front layer's PING. Once clients are to go elsewhere the answer is any other than PONG.
func (f *Frontend) pong() string {
	if s := f.module.ServiceState(); s == core.LameDuck || f.module.AwaitsList() || s == core.Stopping && !f.succeeded.Load() {
		return "BUSY"
	}
	return "PONG"
}

// free gives a descriptor back.
func (f *Frontend) free() {
	<-f.held
	select {
	case f.freed <- struct{}{}:
	default:
	}
}

// SetReserve leaves so many descriptors to another process, as they come free; it may be called again.
func (f *Frontend) SetReserve(n int) {
	all := f.budget.Total
	f.most.Store(int64(all - f.budget.DialReserve*(all-n)/all))
	select {
	case f.reserve <- n:
	case <-f.ended:
	}
}

// keep is the actor that holds the descriptors which are left to another process.
func (f *Frontend) keep(ctx context.Context) {
	defer close(f.ended)
	for reserved, target := 0, 0; ; {
		for ; reserved > target; reserved-- {
			f.free()
		}
		var held chan<- struct{}
		if reserved < target {
			held = f.held
		}
		select {
		case <-ctx.Done():
			return
		case target = <-f.reserve:
		case held <- struct{}{}:
			reserved++
		}
	}
}

// Serve accepts until ctx ends, then waits for the channels' actors. While pause holds it, it serves what it has
// accepted and accepts nothing more.
func (f *Frontend) Serve(ctx context.Context, l *net.TCPListener, pause *hotrestart.Pauser) {
	f.actors.Go(func() { f.keep(ctx) })
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer f.readers.Wait()
	defer f.actors.Wait()
	var warned time.Time
	for f.roomToAccept(ctx) {
		conn, err := l.AcceptTCP()
		if err == nil {
			core.RunMonitored(f.turns, func() { f.accept(ctx, conn) })
			continue
		}
		f.free()
		if pause.Paused(ctx, err) {
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		// Guards against the end of the process by an accept that fails, for want of descriptors say.
		if time.Since(warned) > warnEvery {
			warned = time.Now()
			f.log.WithError(err).Warn("accept failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(acceptPause):
		}
	}
}

func (f *Frontend) accept(ctx context.Context, conn *net.TCPConn) {
	c := f.channel(conn)
	c.call = f.module.Accept(c, core.Traits{Descriptor: true})
	f.actors.Go(func() { c.run(ctx) })
}

// channel makes the actor of a client's connection.
func (f *Frontend) channel(conn *net.TCPConn) *channel {
	return &channel{
		front: f, client: conn, text: textproto.NewConn(conn),
		commands: make(chan command, mailboxSize), news: make(chan any), done: make(chan struct{}),
		relay: make(chan *upstream, 1), answered: make(chan struct{}),
	}
}

// close ends a dial's connection, if there is one, and gives its descriptor back.
func (f *Frontend) close(conn net.Conn) {
	if conn != nil {
		conn.Close()
		f.free()
	}
}
