package faultproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferSize       = 4096
	maxQueuedPackets = 64 // of one connection in one direction; past that its sender waits
)

// Link carries connections between two places: as far away, as fast, or not at all.
type Link struct {
	mu            sync.Mutex
	down          bool
	forward, back *Path // of the bytes of whoever dials, and of the answers
	target        func(*Port) string
	conns         map[net.Conn]*Port
}

// NewLink returns a link to where target says, empty: nowhere, asked anew for each connection. Both directions are one path.
func NewLink(target func(*Port) string) *Link {
	both := NewPath(0)
	return NewLinkOver(both, both, target)
}

// NewLinkOver returns a link whose directions are disturbed by themselves.
func NewLinkOver(forward, back *Path, target func(*Port) string) *Link {
	return &Link{forward: forward, back: back, target: target, conns: map[net.Conn]*Port{}}
}

// Throttle delays all that begins to cross the link from now on, each way, and bounds its bytes a second; 0, 0 ends that.
func (l *Link) Throttle(delay time.Duration, bytes float64) {
	for _, p := range []*Path{l.forward, l.back} {
		p.Set(Conditions{Delay: delay})
		p.Limit(bytes)
	}
}

// Disconnect breaks all connections and takes none until Up.
func (l *Link) Disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for c := range l.conns {
		c.Close()
	}
}

// Reconnect takes connections again.
func (l *Link) Reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *Link) add(c net.Conn, p *Port) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down {
		l.conns[c] = p
	}
	return !l.down
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Port is where one balancer finds discovery, behind a link. It counts the bytes of both directions.
type Port struct {
	Balancer   int
	Address    string
	link       *Link
	listener   net.Listener
	goroutines sync.WaitGroup
	bytes      atomic.Uint64
	accepted   atomic.Uint64
}

// Port opens one.
func (l *Link) Port(balancer int) (*Port, error) { return l.PortAt(balancer, "127.0.0.1:0") }

// PortAt opens one at an address.
func (l *Link) PortAt(balancer int, address string) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	p := &Port{Balancer: balancer, Address: listener.Addr().String(), link: l, listener: listener}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Counts tells the bytes carried and the connections taken so far.
func (p *Port) Counts() (bytes, calls uint64) { return p.bytes.Load(), p.accepted.Load() }

// Close ends the port and its connections.
func (p *Port) Close() {
	p.listener.Close()
	p.link.mu.Lock()
	for c, owner := range p.link.conns {
		if owner == p {
			c.Close()
		}
	}
	p.link.mu.Unlock()
	p.goroutines.Wait()
}

func (p *Port) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.proxy(c) })
	}
}

func (p *Port) proxy(near net.Conn) {
	defer near.Close()
	p.accepted.Add(1)
	now, _, _ := p.link.forward.state()
	if p.link.forward.chance(now.Loss) || !p.link.add(near, p) {
		return
	}
	defer p.link.remove(near)
	address := p.link.target(p)
	if address == "" {
		return
	}
	far, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer far.Close()
	if !p.link.add(far, p) {
		return
	}
	defer p.link.remove(far)
	ctx, cancel := context.WithCancel(context.Background())
	end := func() { // a watch has ended where one of its directions has
		cancel()
		near.Close()
		far.Close()
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(ctx, far, near, p.link.forward, end) })
	both.Go(func() { p.copy(ctx, near, far, p.link.back, end) })
	both.Wait()
}

// waitWhileCut waits for the end of a cut; false: ctx ended first.
func (p *Path) waitWhileCut(ctx context.Context) bool {
	for {
		now, _, changed := p.state()
		if !now.Cut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

type packet struct {
	data []byte
	due  time.Time // zero: at once
}

// copy carries one direction.
func (p *Port) copy(ctx context.Context, to io.Writer, from io.Reader, path *Path, end func()) {
	packets := make(chan packet, maxQueuedPackets)
	var reading sync.WaitGroup
	defer reading.Wait()
	defer end()
	reading.Go(func() {
		defer close(packets)
		buffer := make([]byte, bufferSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				now, _, _ := path.state()
				pk := packet{data: append([]byte(nil), buffer[:n]...)}
				if now.Delay > 0 {
					pk.due = time.Now().Add(now.Delay)
				}
				select {
				case packets <- pk:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
	for pk := range packets {
		if !pk.due.IsZero() {
			select {
			case <-time.After(time.Until(pk.due)):
			case <-ctx.Done():
				return
			}
		}
		if !path.waitWhileCut(ctx) {
			return
		}
		if _, limit, _ := path.state(); limit != nil && limit.WaitN(ctx, len(pk.data)) != nil {
			return
		}
		p.bytes.Add(uint64(len(pk.data)))
		if _, err := to.Write(pk.data); err != nil {
			return
		}
	}
}
