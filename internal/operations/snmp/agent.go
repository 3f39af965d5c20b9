// Package snmp implements a read-only SNMPv2c agent for the objects of mibs/COTTONPLANK-MIB.txt and for some objects
// of the system group. It answers most requests from the snapshots that package core publishes, which puts no load on
// the balancer's event loop. Only a request that may read the table of room servers needs a detailed snapshot, which
// the event loop takes on demand.
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

// maxRequestBytes is the maximum size of a request. Longer requests are truncated, so they cannot be decoded and get no
// response.
const maxRequestBytes = 4096

// Agent answers SNMP requests of one community at one UDP socket.
type Agent struct {
	conn *net.UDPConn
	// community is the only community whose requests are answered.
	community string
	// name is the balancer's name, which is the value of sysName.
	name string
	// classes holds the names of the classes, in the order of core.Snapshot.Classes.
	classes []string
	// snapshot returns the latest snapshot.
	snapshot func() *core.Snapshot
	// detailed returns a snapshot with the room servers, sorted by ID.
	detailed func() *core.Snapshot
	codec    *gosnmp.GoSNMP
	log      *logrus.Logger
}

// New returns an agent for a balancer with the given name and classes. snapshot returns the latest snapshot; detailed
// returns one with the room servers, sorted by ID.
func New(conn *net.UDPConn, community, name string, classes []string, snapshot, detailed func() *core.Snapshot,
	log *logrus.Logger) *Agent {
	return &Agent{
		conn:      conn,
		community: community,
		name:      name,
		classes:   classes,
		snapshot:  snapshot,
		detailed:  detailed,
		codec:     &gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: community},
		log:       log,
	}
}

// Addr returns the local address of the agent's socket.
func (a *Agent) Addr() *net.UDPAddr { return a.conn.LocalAddr().(*net.UDPAddr) }

// Serve answers requests until ctx ends, and then closes the socket. It reads no requests while pause pauses it.
func (a *Agent) Serve(ctx context.Context, pause *hotrestart.Pauser) {
	defer a.conn.Close()
	stop := context.AfterFunc(ctx, func() { a.conn.Close() })
	defer stop()
	buffer := make([]byte, maxRequestBytes)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// Either a pause, or an error that concerns only one datagram and is ignored.
			pause.WaitWhilePaused(ctx, err)
			continue
		}
		response := a.respond(buffer[:n])
		if response == nil {
			continue
		}
		if _, err := a.conn.WriteToUDPAddrPort(response, from); err != nil {
			a.log.WithError(err).Debug("snmp: send failed")
		}
	}
}
