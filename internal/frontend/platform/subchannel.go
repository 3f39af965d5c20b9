package platform

import (
	"context"
	"math"
	"net"
	"net/textproto"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/textline"
)

// probeBacklog is how many probes may wait at one room server; more are lost and time out.
const probeBacklog = 4

// Prober keeps an actor for each room server that is probed. The module's actor alone calls it.
type Prober struct {
	ctx         context.Context
	module      *core.Engine
	dialer      net.Dialer
	subchannels map[decide.ServerID]*subchannel
	most        int
	turn        uint64
	actors      sync.WaitGroup
}

// NewProber returns a prober whose actors end with ctx. Each keeps a connection; there are most of them at most.
func NewProber(ctx context.Context, module *core.Engine, most int) *Prober {
	return &Prober{ctx: ctx, module: module, dialer: net.Dialer{KeepAlive: -1}, most: most,
		subchannels: map[decide.ServerID]*subchannel{}}
}

// Wait waits until the actors have ended.
func (p *Prober) Wait() { p.actors.Wait() }

// Probe puts a probe into the mailbox of the room server's actor.
func (p *Prober) Probe(ctx context.Context, seq uint64, server core.Upstream) {
	s := p.subchannels[server.ID]
	if s == nil {
		if len(p.subchannels) >= p.most {
			p.Remove(p.oldest())
		}
		s = &subchannel{prober: p, probes: make(chan probeOrder, probeBacklog)}
		p.subchannels[server.ID] = s
		p.actors.Go(s.run)
	}
	p.turn++
	s.used = p.turn
	select {
	case s.probes <- probeOrder{ctx, seq, server}:
	default:
	}
}

// oldest is the room server whose latest probe is longest ago. Guards the descriptors of a small limit against a long list:
// the connection that is used least goes, and its server costs a handshake when it is probed again.
func (p *Prober) oldest() (id decide.ServerID) {
	least := uint64(math.MaxUint64)
	for server, s := range p.subchannels {
		if s.used < least {
			id, least = server, s.used
		}
	}
	return id
}

// Remove ends the actor of a room server that is gone.
func (p *Prober) Remove(server decide.ServerID) {
	if s := p.subchannels[server]; s != nil {
		close(s.probes)
		delete(p.subchannels, server)
	}
}

type probeOrder struct {
	ctx    context.Context // ends when the core stops waiting
	seq    uint64
	server core.Upstream
}

// subchannel is the actor of one room server's probes. It keeps one connection for them, as a new one costs
// the room server a handshake.
type subchannel struct {
	prober  *Prober
	probes  chan probeOrder
	used    uint64 // the prober's turn at its latest probe; the prober's
	conn    net.Conn
	text    *textproto.Conn
	address string
}

func (s *subchannel) run() {
	defer s.close()
	for {
		select {
		case <-s.prober.ctx.Done():
			return
		case o, ok := <-s.probes:
			if !ok {
				return
			}
			code, report := s.probe(o)
			s.prober.module.ProbeCompleted(o.seq, code, report)
		}
	}
}

// probe asks once, and once more on a new connection where the kept one turns out to be closed.
func (s *subchannel) probe(o probeOrder) (decide.Code, decide.LoadReport) {
	if s.conn != nil && s.address == o.server.Address {
		if line, err := s.ask(o.ctx); err == nil {
			return parseProbe(line)
		}
		s.close()
		if o.ctx.Err() != nil {
			return decide.TimedOut, decide.NoLoadReport
		}
	}
	s.close()
	conn, err := s.prober.dialer.DialContext(o.ctx, "tcp", o.server.Address)
	if err != nil {
		return decide.ConnectFailed, decide.NoLoadReport
	}
	s.conn, s.text, s.address = conn, textproto.NewConn(conn), o.server.Address
	line, err := s.ask(o.ctx)
	if err != nil {
		s.close()
		return decide.Reset, decide.NoLoadReport
	}
	return parseProbe(line)
}

func (s *subchannel) ask(ctx context.Context) (string, error) {
	conn := s.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.text.PrintfLine("STATS"); err != nil {
		return "", err
	}
	return textline.Read(s.text.R)
}

func (s *subchannel) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
