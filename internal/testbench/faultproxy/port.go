package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Port is a listener whose connections are proxied over a link.
type Port struct {
	// Balancer is the number of the balancer for which the port was opened. The link's target function may use it.
	Balancer int
	// Address is the address at which the port accepts connections.
	Address string

	link     *Link
	listener net.Listener
	// goroutines are the goroutines that Close waits for.
	goroutines sync.WaitGroup
	bytes      atomic.Uint64
	accepted   atomic.Uint64
}

// Port opens a port for a balancer on a free loopback port.
func (l *Link) Port(balancer int) (*Port, error) {
	return l.PortAt(balancer, "127.0.0.1:0")
}

// PortAt opens a port for a balancer at the given address.
func (l *Link) PortAt(balancer int, address string) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	p := &Port{Balancer: balancer, Address: listener.Addr().String(), link: l, listener: listener}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Counts returns how many bytes were proxied, in both directions together, and how many connections were accepted.
func (p *Port) Counts() (bytes, accepted uint64) {
	return p.bytes.Load(), p.accepted.Load()
}

// Close closes the port and its connections.
func (p *Port) Close() {
	p.listener.Close()
	p.link.closePort(p)
	p.goroutines.Wait()
}

// accept accepts connections until the listener is closed.
func (p *Port) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.proxy(conn) })
	}
}

// proxy connects a client to the link's target and copies both directions until one of them ends. It closes the
// client's connection without copying if the forward path loses the connection, the link is disconnected, the link has
// no target, or the connection to the target fails.
func (p *Port) proxy(client net.Conn) {
	defer client.Close()
	p.accepted.Add(1)
	conditions, _, _ := p.link.forward.current()
	if p.link.forward.chance(conditions.Loss) || !p.link.add(client, p) {
		return
	}
	defer p.link.remove(client)
	address := p.link.target(p)
	if address == "" {
		return
	}
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer server.Close()
	if !p.link.add(server, p) {
		return
	}
	defer p.link.remove(server)
	ctx, cancel := context.WithCancel(context.Background())
	// Half-closed connections are not proxied: links carry connections to discovery and between members, which are not
	// used any more when one direction has ended.
	end := func() {
		cancel()
		client.Close()
		server.Close()
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(ctx, server, client, p.link.forward, end) })
	directions.Go(func() { p.copy(ctx, client, server, p.link.back, end) })
	directions.Wait()
}
