package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/frontend/quic"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/operations/requestid"
	"cottonplank/internal/operations/sdnotify"
	"cottonplank/internal/operations/snmp"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// daemon is the balancer process: its configuration and its subsystems. One goroutine sets the fields while it builds
// and starts the daemon; they are not assigned afterwards.
type daemon struct {
	// Configuration.
	cfg              *config.Config
	fronts           config.Fronts
	frontsFile       string         // path of the fronts file; empty if there is none
	sessionKeys      *token.Ring    // nil if session resumption is not configured
	initialEndpoints endpoint.List  // contents of the endpoint file at the start; empty without one
	configReplica    *configReplica // nil if no control plane is configured
	log              *logrus.Logger

	// Hot restart.
	restartPath string // path of the Unix socket where a replacement process requests the sockets
	sockets     *hotrestart.Sockets
	previous    *hotrestart.PreviousProcess // nil if no running process has passed its sockets to this one

	// Subsystems.
	monitor            *sdnotify.Monitor
	requestIDs         *requestid.Registry
	engine             *core.Engine
	cluster            *gossip.Cluster // nil if no cluster membership is configured
	clientListener     *net.TCPListener
	clientPauser       *hotrestart.Pauser
	managementListener *net.TCPListener // nil if no management address is configured
	quicFrontend       *quic.Frontend   // nil if QUIC is not configured
	quicPauser         *hotrestart.Pauser
	previousQUIC       *net.UnixConn // link to the QUIC frontend of the previous process; nil if there is none
	previousIDs        *net.UnixConn // link to the request IDs of the previous process; nil if there is none
	inheritedQUIC      bool          // the QUIC socket is that of the previous process, or was opened by a supervisor
	snmpAgent          *snmp.Agent   // nil if SNMP is not configured
	snmpPauser         *hotrestart.Pauser
	notifier           *sdnotify.Notifier
	prober             *platform.Prober
	discovery          endpointSource
	endpointFile       *filesource.Source // nil unless an endpoint file replaces discovery
	frontend           *platform.Frontend
	sessions           *platform.SessionResumer // nil if session resumption is not configured
	restart            *restartCoordinator

	// setDiscoveryAddress applies the discovery address of a reloaded configuration.
	setDiscoveryAddress func(address string)
	// stopFrontend ends the context of frontend, and frontendEnded is closed when it has ended.
	stopFrontend  context.CancelFunc
	frontendEnded chan struct{}
	// running tracks the goroutines that shutdown waits for.
	running sync.WaitGroup
}

// serve runs the balancer until SIGTERM or SIGINT, and then shuts it down gracefully.
func serve(frontsFile string) error {
	// SIGHUP, SIGTERM and SIGINT are caught from here until the process ends, also during a graceful shutdown. By
	// default each of them would end the process with accepted requests unanswered.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	stop, unregister := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer unregister()

	d, err := newDaemon(frontsFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.build(ctx); err != nil {
		return err
	}
	d.start(ctx, hangup)
	<-stop.Done()
	d.shutdown(cancel)
	return nil
}

// newDaemon reads the configuration, receives the sockets of a running process, if there is one, creates the engine
// and the cluster, and opens the sockets that are missing.
func newDaemon(frontsFile string) (*daemon, error) {
	d := &daemon{frontsFile: frontsFile, monitor: &sdnotify.Monitor{}}
	if err := d.loadConfig(); err != nil {
		return nil, err
	}
	d.inheritSockets()
	d.requestIDs = requestid.New(d.log)
	if err := d.newEngine(); err != nil {
		return nil, err
	}
	var err error
	d.cluster, err = newCluster(d.fronts.Membership, d.cfg.Settings, d.engine.SetFleetSize, d.log)
	if err != nil {
		return nil, err
	}
	if err := d.openListeners(); err != nil {
		return nil, err
	}
	return d, nil
}

// build creates the notifier, the prober, the endpoint source and the frontend. The prober keeps ctx for the goroutines
// that it starts later.
func (d *daemon) build(ctx context.Context) error {
	var err error
	d.notifier, err = sdnotify.NewNotifier(d.monitor, func() string { return statusLine(d.engine.Snapshot()) }, d.log)
	if err != nil {
		return err
	}
	d.prober = platform.NewProber(ctx, d.engine, d.cfg.MaxProbeConns)
	d.newDiscovery()
	d.newFrontend()
	return nil
}

// start starts the goroutines of all subsystems, which run until ctx ends, and returns.
func (d *daemon) start(ctx context.Context, hangup <-chan os.Signal) {
	d.running.Go(func() { d.discovery.Run(ctx) })
	d.running.Go(func() { d.engine.Run(ctx, d.prober, d.discovery); d.prober.Wait() })
	if d.previousIDs != nil {
		d.requestIDs.AddPeer(ctx, d.previousIDs)
	}
	d.restart = newRestartCoordinator(d) // pauses the sockets, if there is a previous process, before they are read
	d.startDatagramServers(ctx)
	d.startHotRestart(ctx)
	d.startFrontend(ctx)
	d.startManagement(ctx)
	d.startCluster(ctx)
	d.startReloader(ctx, hangup)
	go d.notifier.Run(ctx) // not in d.running: the supervisor's socket may block, so shutdown limits this wait separately
	d.running.Go(func() { notifyReady(ctx, d.engine, d.notifier, d.previous != nil) })
	d.log.WithFields(logrus.Fields{
		"name":            d.cfg.Name,
		"listen":          d.cfg.Listen,
		"known_endpoints": len(d.cfg.KnownEndpoints),
	}).Info("serving")
}
