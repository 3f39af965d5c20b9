// Package snmp is a read-only SNMPv2c agent. It answers from the snapshots that the core publishes, so that
// asking costs the balancer's own work nothing; only those that look at room servers have their rows made, now and then.
package snmp

import (
	"context"
	"errors"
	"net"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/gosnmp/gosnmp"
	"github.com/sirupsen/logrus"
)

const (
	maxRequest  = 4096
	maxResponse = 1400 // stays within one packet of most paths
	maxBindings = 64   // of one answer to GETBULK
)

// Agent answers one community.
type Agent struct {
	community string
	name      string
	classes   []string
	snapshot  func() *core.Snapshot
	detailed  func() *core.Snapshot // with rows
	conn      *net.UDPConn
	codec     *gosnmp.GoSNMP
	log       *logrus.Logger
}

// New returns an agent that answers at a socket for a balancer whose classes have these names.
func New(conn *net.UDPConn, community, name string, classes []string, snapshot, detailed func() *core.Snapshot, log *logrus.Logger) *Agent {
	return &Agent{community: community, name: name, classes: classes, snapshot: snapshot, detailed: detailed, conn: conn, log: log,
		codec: &gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: community}}
}

// Addr is the agent's address.
func (a *Agent) Addr() *net.UDPAddr { return a.conn.LocalAddr().(*net.UDPAddr) }

// Serve answers until ctx ends, but not while pause holds it.
func (a *Agent) Serve(ctx context.Context, pause *hotrestart.Pauser) {
	defer a.conn.Close()
	defer context.AfterFunc(ctx, func() { a.conn.Close() })()
	buf := make([]byte, maxRequest)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			pause.Paused(ctx, err)
			continue // of one datagram; the socket goes on
		}
		if raw := a.respond(buf[:n]); raw != nil {
			if _, err := a.conn.WriteToUDPAddrPort(raw, from); err != nil {
				a.log.WithError(err).Debug("snmp agent: send")
			}
		}
	}
}

// respond answers one message, or says nothing to what is malformed or not of the community.
func (a *Agent) respond(raw []byte) []byte {
	request := a.decode(raw)
	if request == nil || request.Version != gosnmp.Version2c || request.Community != a.community {
		return nil
	}
	response := &gosnmp.SnmpPacket{Version: gosnmp.Version2c, Community: a.community,
		PDUType: gosnmp.GetResponse, RequestID: request.RequestID}
	t := newTree(a.name, a.classes, a.snapshot(), a.detailed)
	switch request.PDUType {
	case gosnmp.GetRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, t.get(v.Name))
		}
	case gosnmp.GetNextRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, t.next(v.Name))
		}
	case gosnmp.GetBulkRequest:
		return a.bulk(t, request, response)
	case gosnmp.SetRequest:
		response.Variables, response.Error, response.ErrorIndex = request.Variables, gosnmp.NotWritable, 1
	default:
		return nil
	}
	out := a.encode(response)
	if len(out) > maxResponse {
		response.Variables, response.Error, response.ErrorIndex = nil, gosnmp.TooBig, 0
		out = a.encode(response)
	}
	return out
}

// bulk answers GETBULK with as many repetitions as fit (RFC 3416, section 4.2.3).
func (a *Agent) bulk(t *tree, request, response *gosnmp.SnmpPacket) []byte {
	single := min(int(request.NonRepeaters), len(request.Variables))
	for _, v := range request.Variables[:single] {
		response.Variables = append(response.Variables, t.next(v.Name))
	}
	var row []string
	for _, v := range request.Variables[single:] {
		row = append(row, v.Name)
	}
	out := a.encode(response)
	for i := uint32(0); i < request.MaxRepetitions && len(row) > 0; i++ {
		ended := true
		for k := range row {
			v := t.next(row[k])
			row[k] = v.Name
			ended = ended && v.Type == gosnmp.EndOfMibView
			response.Variables = append(response.Variables, v)
		}
		more := a.encode(response)
		if len(more) > maxResponse || len(response.Variables) > maxBindings {
			return out
		}
		if out = more; ended {
			break
		}
	}
	return out
}

// decode reads a message; nil is one that cannot be read. The codec's faults on odd input end here.
func (a *Agent) decode(raw []byte) (p *gosnmp.SnmpPacket) {
	defer func() {
		if r := recover(); r != nil {
			p = nil
		}
	}()
	p, err := a.codec.SnmpDecodePacket(raw)
	if err != nil {
		return nil
	}
	return p
}

func (a *Agent) encode(p *gosnmp.SnmpPacket) []byte {
	raw, err := p.MarshalMsg()
	if err != nil {
		a.log.WithError(err).Error("snmp agent: encode")
		return nil
	}
	return raw
}
