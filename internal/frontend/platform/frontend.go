// Package platform implements the frontend for the platform's line protocol, in which clients and room servers
// exchange lines of text over TCP. It parses request lines, relays data, and reports its observations to package core,
// which makes all decisions and measures all timeouts except lineRemainderTimeout and migrateWriteTimeout (relay.go).
package platform

import (
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

const (
	// acceptRetryInterval is the delay before the next accept after a failed one.
	acceptRetryInterval = 5 * time.Millisecond
	// acceptWarningInterval is the minimum interval between two logged warnings about failed accepts.
	acceptWarningInterval = time.Second
)

// Frontend accepts client connections and runs a clientConn for each. Its methods may be called concurrently, except
// the methods that must be called before Serve.
type Frontend struct {
	engine *core.Engine
	// sessions is nil if the resumption of sessions is disabled.
	sessions *SessionResumer
	names    AllowedNames
	dialer   net.Dialer
	log      *logrus.Logger

	budget DescriptorBudget
	// descriptors is a counting semaphore: it holds one element for each descriptor in use, including those reserved
	// for another process (runReserve).
	descriptors chan struct{}
	// descriptorReleased wakes the accept loop when a descriptor is released.
	descriptorReleased chan struct{}
	// acceptLimit is the number of descriptors in use at which the accept loop stops accepting clients.
	acceptLimit atomic.Int64
	// reserveTarget sends runReserve the number of descriptors to reserve for another process.
	reserveTarget chan int
	// reserveEnded is closed when runReserve returns.
	reserveEnded chan struct{}

	// watchdog monitors the accept loop; it may be nil.
	watchdog core.Watchdog
	// replaced reports whether another process accepts clients at the same address. See SetReplaced.
	replaced atomic.Bool
	// actors waits for the goroutines of runReserve and of each clientConn.run.
	actors sync.WaitGroup
	// readers waits for the goroutines that read, dial or write for a clientConn.
	readers sync.WaitGroup
}

// New returns a frontend that reports to engine. It accepts only the classes and tenants in names, and uses at most
// the file descriptors in budget.
func New(engine *core.Engine, names AllowedNames, budget DescriptorBudget, log *logrus.Logger) *Frontend {
	f := &Frontend{
		engine:             engine,
		names:              names,
		dialer:             net.Dialer{KeepAlive: -1},
		log:                log,
		budget:             budget,
		descriptors:        make(chan struct{}, budget.Total),
		descriptorReleased: make(chan struct{}, 1),
		reserveTarget:      make(chan int),
		reserveEnded:       make(chan struct{}),
	}
	f.acceptLimit.Store(int64(budget.Total - budget.DialReserve))
	return f
}

// SetWatchdog sets the watchdog that monitors the accept loop. It must be called before Serve.
func (f *Frontend) SetWatchdog(watchdog core.Watchdog) { f.watchdog = watchdog }

// EnableSessions enables the resumption of sessions. It must be called before Serve.
func (f *Frontend) EnableSessions(sessions *SessionResumer) { f.sessions = sessions }

// SetReplaced sets whether another process accepts clients at the same address. While it does, ClientsWaiting returns
// false, and health checks are answered with PONG even if this process is stopping, because new clients reach the
// other process.
func (f *Frontend) SetReplaced(replaced bool) { f.replaced.Store(replaced) }

// ClientsWaiting reports whether the listener's backlog holds clients that only this process can accept. It returns
// false if the backlog cannot be polled.
func (f *Frontend) ClientsWaiting(listener *net.TCPListener) bool {
	raw, err := listener.SyscallConn()
	if err != nil || f.replaced.Load() {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		// A failed poll counts as an empty backlog.
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// pingResponse returns the answer to a health check: PONG if new clients may connect, BUSY if they have to use
// another balancer.
func (f *Frontend) pingResponse() string {
	state := f.engine.ServiceState()
	if state == core.LameDuck || f.engine.AwaitingFirstList() || state == core.Stopping && !f.replaced.Load() {
		return wordBusy
	}
	return wordPong
}

// Serve accepts clients until ctx ends or the listener is closed, then waits until all goroutines of the frontend have
// ended. When ctx ends, requests that have arrived get their final answers, within finishTimeout, so the engine has to
// run until Serve returns. While pause is active, no client is accepted; connections that were accepted before are
// still served.
func (f *Frontend) Serve(ctx context.Context, listener *net.TCPListener, pause *hotrestart.Pauser) {
	f.actors.Go(func() { f.runReserve(ctx) })
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer f.readers.Wait()
	defer f.actors.Wait()
	var warned time.Time
	for f.acquireForAccept(ctx) {
		conn, err := listener.AcceptTCP()
		if err == nil {
			core.RunMonitored(f.watchdog, func() { f.accept(ctx, conn) })
			continue
		}
		f.releaseDescriptor()
		if pause.WaitWhilePaused(ctx, err) {
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors, such as a shortage of file descriptors, are temporary and must not end the process.
		if time.Since(warned) > acceptWarningInterval {
			warned = time.Now()
			f.log.WithError(err).Warn("accept failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(acceptRetryInterval):
		}
	}
}

// accept registers an accepted connection with the engine and starts its actor.
func (f *Frontend) accept(ctx context.Context, conn *net.TCPConn) {
	c := f.newClientConn(conn)
	c.call = f.engine.Accept(c, core.ConnTraits{Descriptor: true})
	f.actors.Go(func() { c.run(ctx) })
}

// newClientConn returns the actor of an accepted connection. The caller sets its call field and starts run.
func (f *Frontend) newClientConn(conn *net.TCPConn) *clientConn {
	return &clientConn{
		frontend:        f,
		conn:            conn,
		text:            textproto.NewConn(conn),
		commands:        make(chan command, mailboxSize),
		events:          make(chan event),
		done:            make(chan struct{}),
		relayTo:         make(chan *upstreamConn, 1),
		finalAnswerSent: make(chan struct{}),
	}
}

// closeServerConn closes a connection to a room server and releases its descriptor. It does nothing if conn is nil.
func (f *Frontend) closeServerConn(conn net.Conn) {
	if conn != nil {
		conn.Close()
		f.releaseDescriptor()
	}
}
