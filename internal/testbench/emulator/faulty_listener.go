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

// Outage is a fault of a FaultyListener.
type Outage uint8

// The outages.
const (
	// NoOutage is no outage.
	NoOutage Outage = iota
	// RefuseConnections refuses connections: nobody listens.
	RefuseConnections
	// ResetConnections accepts connections and resets them.
	ResetConnections
	// ServiceUnavailable answers calls with the status 503.
	ServiceUnavailable
	// NoResponse accepts connections and never answers on them, also after the end of the outage.
	NoResponse
	// NetworkCut completes no connections, and open ones are silent from then on.
	NetworkCut
)

const (
	// faultyListenAddress has a free port of an IP address that clients' connections do not use.
	faultyListenAddress = "127.77.0.1:0"
	// defaultBacklog is the backlog of a listener outside of CutOff.
	defaultBacklog = 1024
	// maxBacklogConns is the number of connections that fill a backlog of 0 at the latest.
	maxBacklogConns = 8
	// backlogTimeout is how long a connection takes that does not fit into the backlog any more.
	backlogTimeout = 200 * time.Millisecond
	// relistenTimeout bounds the time until the address can be listened at again.
	relistenTimeout = 5 * time.Second
	// faultyReadHeaderTimeout bounds the time that a call may take to send its header.
	faultyReadHeaderTimeout = 20 * time.Second
)

// errBacklogNotFull is returned when CutOff fails.
var errBacklogNotFull = errors.New("the listener's backlog does not fill")

// FaultyListener is an address of discovery, for any number of balancers, that can have outages. All methods but
// Address have to be called from one goroutine.
type FaultyListener struct {
	// Dials counts the connections that were accepted.
	Dials atomic.Uint64
	// Calls counts the calls that were received.
	Calls atomic.Uint64

	address  string
	handler  http.Handler
	outage   Outage
	listener net.Listener
	// conns are the connections since the latest change of the outage.
	conns *faultyConns
	// cleanups close what has to stay silent until Close.
	cleanups []func()
}

// NewFaultyListener starts to serve a handler without an outage.
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

// Serialized returns a handler that executes calls one at a time: each takes the given time, and one that has waited
// for longer than the timeout is answered with the status 503.
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

// unresponsive reports whether connections are not answered during the outage, nor after its end.
func (o Outage) unresponsive() bool {
	return o == NoResponse || o == NetworkCut
}

// SetOutage ends the current outage and starts another; Open starts none.
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

// listenAgain listens at the address. It retries while the previous listener is being closed, which ends when its
// Accept has returned.
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

// cutOff fills the listener's backlog, so that SYNs are lost as in a network that is cut.
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

// endCutOff accepts connections again, at the same listener.
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

// serve starts an HTTP server for the current outage; it ends when the listener is closed.
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
