package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Link is a connection between two places that several ports share. It is safe for concurrent use.
type Link struct {
	// forward carries the bytes of those who dial.
	forward *Path
	// back carries the bytes of those who are dialed.
	back *Path
	// target returns the address that a port's next connection leads to; empty if the connection is refused.
	target func(*Port) string

	// mu guards the fields below.
	mu           sync.Mutex
	disconnected bool
	// conns holds both ends of all open connections.
	conns map[net.Conn]*Port
}

// NewLink returns a link without faults. The target function is called for each new connection of a port and returns
// the address to dial; if it returns an empty string the connection is closed. Both directions share one path.
func NewLink(target func(*Port) string) *Link {
	both := NewPath(0)
	return NewLinkWithPaths(both, both, target)
}

// NewLinkWithPaths returns a link whose directions have paths of their own.
func NewLinkWithPaths(forward, back *Path, target func(*Port) string) *Link {
	return &Link{forward: forward, back: back, target: target, conns: map[net.Conn]*Port{}}
}

// Throttle delays both directions, and bounds the bandwidth of each in bytes a second; 0 and 0 remove both.
func (l *Link) Throttle(delay time.Duration, bytesPerSecond float64) {
	for _, p := range []*Path{l.forward, l.back} {
		p.Set(Conditions{Delay: delay})
		p.Limit(bytesPerSecond)
	}
}

// Disconnect breaks all connections and refuses new ones until Reconnect.
func (l *Link) Disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = true
	for c := range l.conns {
		c.Close()
	}
}

// Reconnect ends the effect of Disconnect. Broken connections stay broken.
func (l *Link) Reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = false
}

// add registers a connection of a port and reports whether the link accepts it.
func (l *Link) add(c net.Conn, p *Port) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.disconnected {
		l.conns[c] = p
	}
	return !l.disconnected
}

// remove removes a connection that is closed.
func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closePort closes the connections of a port.
func (l *Link) closePort(p *Port) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, owner := range l.conns {
		if owner == p {
			c.Close()
		}
	}
}
