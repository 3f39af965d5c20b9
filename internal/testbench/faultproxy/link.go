package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Link emulates a network link that the TCP connections of any number of ports share. It is safe for concurrent use.
type Link struct {
	// forward carries the bytes from the dialing side to the target.
	forward *Path
	// back carries the bytes from the target to the dialing side.
	back *Path
	// target returns the address to dial for a port's next connection; empty if the connection is to be closed.
	target func(*Port) string

	// mu guards the fields below.
	mu           sync.Mutex
	disconnected bool
	// conns holds the port of each open connection: those of the clients and those to the targets.
	conns map[net.Conn]*Port
}

// NewLink returns a link without faults. The target function is called for each new connection of a port and returns
// the address to dial. If it returns an empty string, the connection is closed. Both directions share one path.
func NewLink(target func(*Port) string) *Link {
	both := NewPath(0)
	return NewLinkWithPaths(both, both, target)
}

// NewLinkWithPaths returns a link with a path for each direction. The target function is used as in NewLink.
func NewLinkWithPaths(forward, back *Path, target func(*Port) string) *Link {
	return &Link{forward: forward, back: back, target: target, conns: map[net.Conn]*Port{}}
}

// Throttle delays both directions and limits the bandwidth, in bytes per second, of each path. A value of 0 removes the
// delay or the limit. If both directions share one path, the limit applies to the sum of their bytes. All other
// conditions of the paths are removed.
func (l *Link) Throttle(delay time.Duration, bytesPerSecond float64) {
	for _, p := range []*Path{l.forward, l.back} {
		p.Set(Conditions{Delay: delay})
		p.Limit(bytesPerSecond)
	}
}

// Disconnect closes all connections. Until Reconnect, the ports close each new connection as soon as it is accepted.
func (l *Link) Disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = true
	for c := range l.conns {
		c.Close()
	}
}

// Reconnect ends the effect of Disconnect on new connections.
func (l *Link) Reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = false
}

// add registers a connection of a port. It reports false if the link is disconnected.
func (l *Link) add(c net.Conn, p *Port) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.disconnected {
		l.conns[c] = p
	}
	return !l.disconnected
}

// remove removes a connection that has ended.
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
