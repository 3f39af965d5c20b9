package platform

import (
	"context"
	"net"
	"net/textproto"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/textline"
)

// probeRequest asks for one probe.
type probeRequest struct {
	// ctx ends when the engine stops waiting for the result.
	ctx context.Context
	// seq identifies the probe to the engine.
	seq    uint64
	server core.Upstream
}

// probeConn is the actor that probes one room server. It reuses one connection, because each new one costs the server
// a handshake. The goroutine of run owns all fields except lastUsed.
type probeConn struct {
	prober *Prober
	// requests is the mailbox. The actor ends when it is closed.
	requests chan probeRequest
	// lastUsed is the value of Prober.probeCount at the latest probe. The engine's goroutine owns it.
	lastUsed uint64
	// conn is nil while no connection is open.
	conn net.Conn
	// text reads and writes conn line by line.
	text *textproto.Conn
	// address is the address to which conn was dialed.
	address string
}

// run probes until the mailbox is closed or the prober's context ends.
func (p *probeConn) run() {
	defer p.close()
	for {
		select {
		case <-p.prober.ctx.Done():
			return
		case request, ok := <-p.requests:
			if !ok {
				return
			}
			code, report := p.probe(request)
			p.prober.engine.ProbeCompleted(request.seq, code, report)
		}
	}
}

// probe probes the server on the open connection. If that connection fails, it probes once more on a new one.
func (p *probeConn) probe(request probeRequest) (decide.Code, decide.LoadReport) {
	if p.conn != nil && p.address == request.server.Address {
		if line, err := p.requestStats(request.ctx); err == nil {
			return parseProbeResponse(line)
		}
		p.close()
		if request.ctx.Err() != nil {
			return decide.TimedOut, decide.NoLoadReport
		}
	}
	p.close()
	conn, err := p.prober.dialer.DialContext(request.ctx, "tcp", request.server.Address)
	if err != nil {
		return decide.ConnectFailed, decide.NoLoadReport
	}
	p.conn, p.text, p.address = conn, textproto.NewConn(conn), request.server.Address
	line, err := p.requestStats(request.ctx)
	if err != nil {
		p.close()
		return decide.Reset, decide.NoLoadReport
	}
	return parseProbeResponse(line)
}

// requestStats sends a probe and returns the line with which the server answers. It is interrupted when ctx ends.
func (p *probeConn) requestStats(ctx context.Context) (string, error) {
	conn := p.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(expiredDeadline) })
	defer stop()
	if err := p.text.PrintfLine(wordStats); err != nil {
		return "", err
	}
	return textline.Read(p.text.R)
}

// close closes the connection, if there is one.
func (p *probeConn) close() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}
