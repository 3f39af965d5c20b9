package main

import (
	"net"
	"os"
	"slices"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/operations/management"
	"cottonplank/internal/operations/sdnotify"
	"cottonplank/internal/operations/snmp"
)

// Names of the sockets that a service supervisor, or a process during a hot restart, passes to this process.
const (
	clientSocket = "clients"
	quicSocket   = "quic"
	snmpSocket   = "snmp"
)

// quicFlowsLink is the name of the link between the QUIC frontends of two processes during a hot restart.
const quicFlowsLink = "quic-flows"

// requestIDsLink is the name of the link over which two processes tell each other the IDs of requests.
const requestIDsLink = "request-ids"

// inheritSockets requests the sockets of a running process and adds the sockets that a service supervisor has passed.
// Of two sockets with the same name, it keeps the running process's socket. It also applies the memory limit: while
// two processes run, each gets half of it.
func (d *daemon) inheritSockets() {
	d.restartPath = hotrestart.SocketPath(os.TempDir(), d.cfg.Listen)
	d.sockets, d.previous = hotrestart.ReceiveSockets(d.restartPath, d.log)
	d.sockets.AddInherited(sdnotify.InheritedSockets())
	d.cfg.ProcessLimits(d.previous != nil).ApplyMemory()
}

// openListeners opens the sockets of the frontends, the management server and the SNMP agent. It uses an inherited
// socket where the name and the address match. The management socket is never inherited, so a replacement process
// fails to start if it has the management address of the previous process.
func (d *daemon) openListeners() error {
	listener, err := d.sockets.ListenTCP(clientSocket, d.cfg.Listen)
	if err != nil {
		return err
	}
	d.clientListener = listener
	d.clientPauser = hotrestart.NewPauser(listener.SetDeadline)
	if d.cfg.Management != "" {
		if d.managementListener, err = management.Listen(d.cfg.Management); err != nil {
			return err
		}
	}
	if d.previousIDs, err = d.sockets.AcceptLink(requestIDsLink); err != nil {
		return err
	}
	if err := d.openQUIC(); err != nil {
		return err
	}
	if err := d.openSNMP(); err != nil {
		return err
	}
	for _, name := range d.sockets.Unused() {
		d.log.WithField("socket", name).Warn("inherited socket is not used: no listener has this name and address")
	}
	return nil
}

func (d *daemon) openQUIC() error {
	settings := d.fronts.QUIC
	if settings.Listen == "" {
		return nil
	}
	d.inheritedQUIC = slices.Contains(d.sockets.Unused(), quicSocket)
	conn, err := d.sockets.ListenUDP(quicSocket, settings.Listen)
	if err != nil {
		return err
	}
	if d.quicFrontend, err = newQUICFrontend(d.cfg, settings, conn, d.engine, d.log); err != nil {
		return err
	}
	d.quicFrontend.SetWatchdog(d.monitor.AddTask(quicTask))
	d.quicPauser = newDatagramPauser(conn)
	d.previousQUIC, err = d.sockets.AcceptLink(quicFlowsLink)
	return err
}

func (d *daemon) openSNMP() error {
	settings := d.fronts.SNMP
	if settings.Listen == "" {
		return nil
	}
	conn, err := d.sockets.ListenUDP(snmpSocket, settings.Listen)
	if err != nil {
		return err
	}
	detailed := func() *core.Snapshot { return d.engine.DetailedSnapshot(detailedSnapshotTimeout) }
	d.snmpAgent = snmp.New(conn, settings.Community, d.cfg.Name, classNames(d.cfg), d.engine.Snapshot, detailed, d.log)
	d.snmpPauser = newDatagramPauser(conn)
	return nil
}

func newDatagramPauser(conn *net.UDPConn) *hotrestart.Pauser {
	return hotrestart.NewPauser(conn.SetReadDeadline)
}

// datagramPausers returns the pausers of the UDP sockets of QUIC and SNMP that are open.
func (d *daemon) datagramPausers() []*hotrestart.Pauser {
	var pausers []*hotrestart.Pauser
	if d.quicPauser != nil {
		pausers = append(pausers, d.quicPauser)
	}
	if d.snmpPauser != nil {
		pausers = append(pausers, d.snmpPauser)
	}
	return pausers
}
