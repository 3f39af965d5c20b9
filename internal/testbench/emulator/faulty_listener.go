package emulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Outage is how a Door treats those that come.
type Outage uint8

// The outages.
const (
	Open        Outage = iota // none
	Refuses                   // nobody listens
	Resets                    // connections come up and are reset
	Unavailable               // calls are answered 503
	Hangs                     // connections come up and are never answered, also after its end
	CutOff                    // nothing comes up, and what is open falls silent for good
)

// FaultyListener is an address of discovery that can go down and come back, for all balancers that share it.
type FaultyListener struct {
	address string
	handler http.Handler
	down    Outage
	l       net.Listener
	conns   *doorConns
	kept    []func() // ends what is to stay silent until the end
	Dials   atomic.Uint64
	Calls   atomic.Uint64
}

// NewFaultyListener opens an address for a handler. Its IP address is one that no client's socket takes its port from.
func NewFaultyListener(handler http.Handler) (*FaultyListener, error) {
	l, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("door: %w", err)
	}
	d := &FaultyListener{address: l.Addr().String(), handler: handler}
	d.serve(l)
	return d, nil
}

// Address is where balancers find it.
func (d *FaultyListener) Address() string { return d.address }

// InTurn lets a handler work through calls in turn: each takes so long, and one that has waited for too long gets 503.
func InTurn(handler http.Handler, each, patience time.Duration) http.Handler {
	turn := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case turn <- struct{}{}:
			time.Sleep(each)
			<-turn
			handler.ServeHTTP(w, req)
		case <-time.After(patience):
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// SetOutage changes to an outage, or to none. It is called from one goroutine.
func (d *FaultyListener) SetOutage(to Outage) error {
	silent := d.down == Hangs || d.down == CutOff || to == Hangs || to == CutOff
	conns := d.conns
	if silent {
		conns.mute.Store(true)
		d.kept = append(d.kept, conns.end)
	}
	if d.down == CutOff { // the same listener goes on, which takes now what comes
		d.down = to
		if err := listen(d.l, 1024); err != nil {
			return err
		}
		d.serve(d.l)
		return nil
	}
	if d.l != nil {
		d.l.Close()
	}
	if !silent {
		conns.end()
	}
	d.down, d.l = to, nil
	if to == Refuses {
		return nil
	}
	l, err := net.Listen("tcp", d.address)
	for end := time.Now().Add(5 * time.Second); err != nil; l, err = net.Listen("tcp", d.address) {
		if time.Now().After(end) {
			return fmt.Errorf("door: %w", err)
		}
		time.Sleep(time.Millisecond) // the one before is closed once its accept has returned
	}
	if to == CutOff {
		return d.cutOff(l)
	}
	d.serve(l)
	return nil
}

// Close ends it.
func (d *FaultyListener) Close() {
	if d.l != nil {
		d.l.Close()
	}
	d.conns.end()
	for _, end := range d.kept {
		end()
	}
}

// cutOff leaves no room in the listener's backlog, so that SYNs are lost as on a wire that is cut.
func (d *FaultyListener) cutOff(l net.Listener) error {
	d.l = l
	if err := listen(l, 0); err != nil {
		return err
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp", d.address, 200*time.Millisecond)
		if err != nil {
			return nil
		}
		d.kept = append(d.kept, func() { conn.Close() })
	}
	return fmt.Errorf("door: the backlog of %s does not fill", d.address)
}

func listen(l net.Listener, backlog int) (err error) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("door: %w", err)
	}
	if controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), backlog) }); controlErr != nil {
		return fmt.Errorf("door: %w", controlErr)
	}
	return err
}

func (d *FaultyListener) serve(l net.Listener) {
	d.l, d.conns = l, &doorConns{open: map[*doorConn]struct{}{}}
	down, conns := d.down, d.conns
	handler := d.handler
	if down == Unavailable {
		handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	server := &http.Server{ReadHeaderTimeout: 20 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			d.Calls.Add(1)
			handler.ServeHTTP(w, req)
		})}
	go server.Serve(&doorListener{l, d, conns, down})
}

// doorListener counts who comes, and treats them as the outage does.
type doorListener struct {
	net.Listener
	door  *FaultyListener
	conns *doorConns
	down  Outage
}

func (l *doorListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.door.Dials.Add(1)
		c := &doorConn{conn.(*net.TCPConn), l.conns}
		switch l.conns.add(c); l.down {
		case Resets:
			c.reset()
		case Hangs:
		default:
			return c, nil
		}
	}
}

// doorConns are the connections since the latest turn.
type doorConns struct {
	mute  atomic.Bool // what they would write is lost
	mu    sync.Mutex
	ended bool
	open  map[*doorConn]struct{}
}

func (s *doorConns) add(c *doorConn) {
	s.mu.Lock()
	s.open[c] = struct{}{}
	ended := s.ended
	s.mu.Unlock()
	if ended {
		c.reset()
	}
}

func (s *doorConns) end() {
	s.mu.Lock()
	open := s.open
	s.open, s.ended = map[*doorConn]struct{}{}, true
	s.mu.Unlock()
	for c := range open {
		c.reset()
	}
}

type doorConn struct {
	*net.TCPConn
	conns *doorConns
}

func (c *doorConn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
}

func (c *doorConn) Write(p []byte) (int, error) {
	if c.conns.mute.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

func (c *doorConn) Close() error {
	if c.conns.mute.Load() {
		return nil // it is left open until the end
	}
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.TCPConn.Close()
}

// Tell puts a room server of that name into a lifecycle, at an address at which nobody has to be.
func (d *Discovery) Tell(name, address, zone, lifecycle string) {
	d.Put(Entry{Instance: name, Address: address, Zone: zone, Lifecycle: lifecycle, Weight: 1})
}

// Handler serves one balancer's calls at any address.
func (d *Discovery) Handler(balancer string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) { d.serve(balancer, w, req) })
	return mux
}
