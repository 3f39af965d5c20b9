package emulator

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Outage is a fault that a FaultyListener injects.
type Outage uint8

// The outages.
const (
	// NoOutage serves all calls.
	NoOutage Outage = iota
	// RefuseConnections closes the listener, so that connections are refused.
	RefuseConnections
	// ResetConnections accepts connections and resets them.
	ResetConnections
	// ServiceUnavailable answers calls with the status 503.
	ServiceUnavailable
	// NoResponse accepts connections and sends nothing on them, not even after the end of the outage.
	NoResponse
	// NetworkCut lets the TCP handshake of new connections time out, and sends nothing more on open ones.
	NetworkCut
)

const (
	// faultyListenAddress selects a free port on an IP address that clients do not connect from. If they did, the kernel
	// could choose the port as the source port of a client's connection while the listener is closed.
	faultyListenAddress = "127.77.0.1:0"
	// defaultBacklog is the listener's backlog after a NetworkCut.
	defaultBacklog = 1024
	// maxBacklogConns is the largest number of connections with which cutOff tries to fill a backlog of 0.
	maxBacklogConns = 8
	// backlogTimeout is how long a connection may take to be established before the backlog counts as full.
	backlogTimeout = 200 * time.Millisecond
	// relistenTimeout bounds the time for which listenAgain retries.
	relistenTimeout = 5 * time.Second
	// faultyReadHeaderTimeout bounds the time that a call may take to send its header.
	faultyReadHeaderTimeout = 20 * time.Second
)

// errBacklogNotFull is returned by SetOutage if NetworkCut cannot be injected.
var errBacklogNotFull = errors.New("the listener's backlog cannot be filled")

// FaultyListener serves an HTTP handler for discovery at one address, for any number of balancers, and injects
// outages. All methods but Address have to be called from one goroutine.
type FaultyListener struct {
	// Dials counts the connections that were accepted. After a NetworkCut these include the connections with which
	// cutOff has filled the backlog.
	Dials atomic.Uint64
	// Calls counts the calls that were received.
	Calls atomic.Uint64

	address  string
	handler  http.Handler
	outage   Outage
	listener net.Listener
	// conns are the connections that the latest HTTP server accepted.
	conns *faultyConns
	// cleanups close the connections that stay open and silent until Close.
	cleanups []func()
}

// NewFaultyListener starts serving a handler without an outage.
func NewFaultyListener(handler http.Handler) (*FaultyListener, error) {
	listener, err := net.Listen("tcp", faultyListenAddress)
	if err != nil {
		return nil, fmt.Errorf("faulty listener: %w", err)
	}
	d := &FaultyListener{address: listener.Addr().String(), handler: handler}
	d.serve(listener)
	return d, nil
}

// Address returns the address at which balancers find discovery.
func (d *FaultyListener) Address() string { return d.address }

// Serialized returns a handler that delays calls as a service with limited capacity does: one call at a time is
// delayed by callTime and then passed to the handler. A call that waits for its turn for longer than the timeout is
// answered with the status 503. The calls in the handler itself are not limited, so that open watches do not hold up
// other calls.
func Serialized(handler http.Handler, callTime, timeout time.Duration) http.Handler {
	semaphore := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case semaphore <- struct{}{}:
			time.Sleep(callTime)
			<-semaphore
			handler.ServeHTTP(w, req)
		case <-time.After(timeout):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// unresponsive reports whether open connections stay without any answer, even after the outage has ended.
func (o Outage) unresponsive() bool {
	return o == NoResponse || o == NetworkCut
}

// SetOutage ends the current outage and starts another. NoOutage starts none. Known fault: RefuseConnections and
// NetworkCut have no effect if they directly follow NetworkCut, because the listener is kept and serves again.
func (d *FaultyListener) SetOutage(outage Outage) error {
	silent := d.outage.unresponsive() || outage.unresponsive()
	if silent {
		d.conns.muted.Store(true)
		d.cleanups = append(d.cleanups, d.conns.reset)
	}
	if d.outage == NetworkCut {
		return d.endCutOff(outage)
	}
	if d.listener != nil {
		d.listener.Close()
	}
	if !silent {
		d.conns.reset()
	}
	d.outage, d.listener = outage, nil
	if outage == RefuseConnections {
		return nil
	}
	listener, err := d.listenAgain()
	if err != nil {
		return err
	}
	if outage == NetworkCut {
		return d.cutOff(listener)
	}
	d.serve(listener)
	return nil
}

// listenAgain listens at the address again. It retries while the port is still in use: the previous listener's socket
// is closed only once its Accept has returned.
func (d *FaultyListener) listenAgain() (net.Listener, error) {
	end := time.Now().Add(relistenTimeout)
	for {
		listener, err := net.Listen("tcp", d.address)
		if err == nil {
			return listener, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("faulty listener: %w", err)
		}
		time.Sleep(time.Millisecond)
	}
}

// Close stops serving and closes all connections.
func (d *FaultyListener) Close() {
	if d.listener != nil {
		d.listener.Close()
	}
	d.conns.reset()
	for _, cleanup := range d.cleanups {
		cleanup()
	}
}

// cutOff fills the listener's backlog, so that the kernel drops further SYNs as a network that is cut would.
func (d *FaultyListener) cutOff(listener net.Listener) error {
	d.listener = listener
	if err := setBacklog(listener, 0); err != nil {
		return err
	}
	for range maxBacklogConns {
		conn, err := net.DialTimeout("tcp", d.address, backlogTimeout)
		if err != nil {
			return nil
		}
		d.cleanups = append(d.cleanups, func() { conn.Close() })
	}
	return fmt.Errorf("faulty listener %s: %w", d.address, errBacklogNotFull)
}

// endCutOff restores the backlog and accepts connections again, with the same listener.
func (d *FaultyListener) endCutOff(outage Outage) error {
	d.outage = outage
	if err := setBacklog(d.listener, defaultBacklog); err != nil {
		return err
	}
	d.serve(d.listener)
	return nil
}

// setBacklog changes the backlog of a listener.
func setBacklog(listener net.Listener, backlog int) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("faulty listener: %w", err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	if err := errors.Join(err, listenErr); err != nil {
		return fmt.Errorf("faulty listener: %w", err)
	}
	return nil
}

// serve starts an HTTP server that applies the current outage. It stops accepting when the listener is closed.
func (d *FaultyListener) serve(listener net.Listener) {
	d.listener = listener
	d.conns = &faultyConns{open: map[*faultyConn]struct{}{}}
	handler := d.handler
	if d.outage == ServiceUnavailable {
		handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	counting := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.Calls.Add(1)
		handler.ServeHTTP(w, req)
	})
	server := &http.Server{ReadHeaderTimeout: faultyReadHeaderTimeout, Handler: counting}
	go server.Serve(&outageListener{Listener: listener, dials: &d.Dials, conns: d.conns, outage: d.outage})
}
