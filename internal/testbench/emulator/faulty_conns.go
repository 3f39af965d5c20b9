package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// outageListener applies an outage to the connections that it accepts.
type outageListener struct {
	net.Listener
	dials  *atomic.Uint64
	conns  *faultyConns
	outage Outage
}

// Accept returns the next connection to serve. With ResetConnections it resets all connections, and with NoResponse
// it leaves them open without serving them.
func (l *outageListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.dials.Add(1)
		c := &faultyConn{TCPConn: conn.(*net.TCPConn), conns: l.conns}
		l.conns.add(c)
		switch l.outage {
		case ResetConnections:
			c.reset()
		case NoResponse:
		default:
			return c, nil
		}
	}
}

// faultyConns are the connections that were accepted by one server of a FaultyListener.
type faultyConns struct {
	// muted says that writes to the connections are discarded, and that the connections stay open until reset is
	// called.
	muted atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// ended says that reset was called. Connections that are added afterwards are reset too.
	ended bool
	open  map[*faultyConn]struct{}
}

// add registers a new connection.
func (s *faultyConns) add(c *faultyConn) {
	s.mu.Lock()
	s.open[c] = struct{}{}
	ended := s.ended
	s.mu.Unlock()
	if ended {
		c.reset()
	}
}

// remove removes a closed connection.
func (s *faultyConns) remove(c *faultyConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// reset resets all connections.
func (s *faultyConns) reset() {
	s.mu.Lock()
	open := s.open
	s.open, s.ended = map[*faultyConn]struct{}{}, true
	s.mu.Unlock()
	for c := range open {
		c.reset()
	}
}

// faultyConn is a connection that is silent while its faultyConns are muted.
type faultyConn struct {
	*net.TCPConn
	conns *faultyConns
}

// reset closes the connection with a TCP reset.
func (c *faultyConn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
}

// Write writes p, or drops it while the connection is muted.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.conns.muted.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection, or leaves it open while it is muted.
func (c *faultyConn) Close() error {
	if c.conns.muted.Load() {
		return nil
	}
	c.conns.remove(c)
	return c.TCPConn.Close()
}
