package platform

import (
	"context"
	"math"
	"net"
	"sync"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// probeBacklog is the maximum number of probes that wait for one room server. Further probes are dropped and time out
// in the engine.
const probeBacklog = 4

// Prober implements core.Prober. For each room server that is probed it keeps an actor with one connection. Only the
// engine's goroutine may call Probe and Remove; it owns all fields.
type Prober struct {
	// ctx ends all actors.
	ctx    context.Context
	engine *core.Engine
	dialer net.Dialer
	conns  map[decide.ServerID]*probeConn
	// maxConns is the maximum number of conns, each of which uses a descriptor.
	maxConns int
	// probeCount is the number of probes so far. It orders the connections by their latest use.
	probeCount uint64
	// goroutines counts the running goroutines, all of which execute probeConn.run.
	goroutines sync.WaitGroup
}

// NewProber returns a prober that keeps at most maxConns connections and whose goroutines end with ctx.
func NewProber(ctx context.Context, engine *core.Engine, maxConns int) *Prober {
	return &Prober{
		ctx:      ctx,
		engine:   engine,
		dialer:   net.Dialer{KeepAlive: -1},
		conns:    map[decide.ServerID]*probeConn{},
		maxConns: maxConns,
	}
}

// Wait waits until all goroutines of the prober have ended.
func (p *Prober) Wait() { p.goroutines.Wait() }

// Probe sends a probe to a room server. The result is reported to Engine.ProbeCompleted with seq. If ctx ends first,
// the probe is interrupted, and the engine ignores its result. Nothing is reported if the probe is dropped
// (probeBacklog) or if the prober's context has ended.
func (p *Prober) Probe(ctx context.Context, seq uint64, server core.Upstream) {
	conn := p.conns[server.ID]
	if conn == nil {
		if len(p.conns) >= p.maxConns {
			p.Remove(p.leastRecentlyUsed())
		}
		conn = &probeConn{prober: p, requests: make(chan probeRequest, probeBacklog)}
		p.conns[server.ID] = conn
		p.goroutines.Go(conn.run)
	}
	p.probeCount++
	conn.lastUsed = p.probeCount
	select {
	case conn.requests <- probeRequest{ctx, seq, server}:
	default:
	}
}

// leastRecentlyUsed returns the room server with the least recent probe. Its connection is closed to make room for
// another one when the list of servers is longer than maxConns.
func (p *Prober) leastRecentlyUsed() (id decide.ServerID) {
	earliest := uint64(math.MaxUint64)
	for server, conn := range p.conns {
		if conn.lastUsed < earliest {
			id, earliest = server, conn.lastUsed
		}
	}
	return id
}

// Remove ends the actor of a room server, if there is one, and closes its connection.
func (p *Prober) Remove(server decide.ServerID) {
	if conn := p.conns[server]; conn != nil {
		close(conn.requests)
		delete(p.conns, server)
	}
}
