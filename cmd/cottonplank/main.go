// Command cottonplank is the balancer: it places live connections on room servers.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/frontend/quic"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/operations/management"
	"cottonplank/internal/operations/sdnotify"
	"cottonplank/internal/operations/snmp"

	"github.com/sirupsen/logrus"
)

const (
	exitWait = 150 * time.Millisecond // the actors may take so long to end once all is answered
	rowsWait = 200 * time.Millisecond // and the core to tell of each room server, before the agent shows older figures
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func version(out io.Writer) error {
	_, err := fmt.Fprintln(out, "cottonplank", programVersion())
	return err
}

// load reads the configuration and the fronts file.
func load(frontsFile string) (*config.Config, config.Fronts, error) {
	cfg, err := config.Load()
	if err != nil {
		return nil, config.Fronts{}, err
	}
	fronts, err := config.LoadFronts(frontsFile, cfg.Settings.Classes)
	if err == nil {
		err = cfg.Reserve(fronts)
	}
	return cfg, fronts, err
}

func check(out io.Writer, frontsFile, machineFile string) error {
	if machineFile != "" {
		return checkMachine(out, machineFile)
	}
	cfg, fronts, err := load(frontsFile)
	if err != nil {
		return err
	}
	if ring, err := fronts.Resume.Ring(); err != nil {
		return fmt.Errorf("fronts: resume.%w", err)
	} else if ring != nil {
		fmt.Fprintf(out, "resumption: site %q, key %s seals, %d keys\n", fronts.Resume.Site, ring.Sealing(time.Now()), len(ring.Keys()))
	}
	if fronts.Rooms != "" {
		rooms, err := filesource.Read(fronts.Rooms)
		if err != nil {
			return fmt.Errorf("fronts: %w", err)
		}
		fmt.Fprintf(out, "rooms: %d room servers from %s, in place of discovery\n", len(rooms.Entries), fronts.Rooms)
	}
	if len(fronts.Control.Machines) > 0 {
		if err := checkFollowing(out, fronts.Control); err != nil {
			return fmt.Errorf("fronts: control.%w", err)
		}
	}
	if err := checkMembership(out, fronts.Membership); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, `%s: %d classes, %d known room servers, management %q, quic %q, snmp %q
descriptors: %d for channels and dials, %d of them for dials alone; %d requests and connections at once; %d for probes
SIGHUP takes over: discovery, from the file before PROXY_DISCOVERY, the keys of tokens and of the membership and the list of room servers; every other key takes a restart
`, cfg.Name, len(cfg.Settings.Classes), len(cfg.Known), cfg.Management, fronts.QUIC.Listen, fronts.SNMP.Listen,
		cfg.Descriptors, cfg.DialReserve, cfg.MaxClients, cfg.Probes)
	return err
}

func serve(_ io.Writer, frontsFile string) error {
	// Caught from the first moment until the process ends, also in a planned stop: uncaught, either would end it with
	// what it has accepted unanswered.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	stop, unregister := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer unregister()
	cfg, fronts, err := load(frontsFile)
	if err != nil {
		return err
	}
	ring, err := fronts.Resume.Ring()
	if err != nil {
		return fmt.Errorf("fronts: resume.%w", err)
	}
	var first endpoint.List
	if fronts.Rooms != "" {
		if first, err = filesource.Read(fronts.Rooms); err != nil {
			return fmt.Errorf("fronts: %w", err)
		}
		cfg.Known = filesource.Endpoints(first)
	}
	cfg.Apply()
	log := logrus.New()
	log.SetOutput(os.Stderr)
	following, err := follows(cfg, fronts.Control, log)
	if err != nil {
		return fmt.Errorf("fronts: control.%w", err)
	}
	path := hotrestart.SocketPath(os.TempDir(), cfg.Listen)
	sockets, predecessor := hotrestart.TakeOver(path, log)
	sockets.AddInherited(sdnotify.InheritedSockets())
	marks := &sdnotify.Monitor{}
	cfg.Share(predecessor != nil).Apply()
	module, err := core.New(core.Config{Settings: cfg.Settings, Known: cfg.Known, MaxClients: cfg.MaxClients,
		AwaitList: predecessor != nil, ListPushed: cfg.ListPushed, StateTimeout: stateWait(fronts.Resume), Watchdog: marks.AddTask("module"), Learned: learned(predecessor, core.DeploymentID(cfg.Settings), log), Log: func(text string) { log.Info(text) }})
	if err != nil {
		return err
	}
	cluster, err := newCluster(fronts.Membership, cfg.Settings, module.SetFleetSize, log)
	if err != nil {
		return err
	}
	listener, err := sockets.ListenTCP("clients", cfg.Listen)
	if err != nil {
		return err
	}
	clients := hotrestart.NewPauser(listener.SetDeadline)
	var datagrams []*hotrestart.Pauser
	pauseUDP := func(conn *net.UDPConn) *hotrestart.Pauser {
		p := hotrestart.NewPauser(conn.SetReadDeadline)
		datagrams = append(datagrams, p)
		return p
	}
	var managementListener *net.TCPListener
	if cfg.Management != "" {
		if managementListener, err = management.Listen(cfg.Management); err != nil {
			return err
		}
	}

	var connectionIDs *quic.Frontend
	var connectionIDsPause, agentPause *hotrestart.Pauser
	if fronts.QUIC.Listen != "" {
		conn, err := sockets.ListenUDP("quic", fronts.QUIC.Listen)
		if err != nil {
			return err
		}
		if connectionIDs, err = quicFront(cfg, fronts.QUIC, conn, module, log); err != nil {
			return err
		}
		connectionIDs.SetWatchdog(marks.AddTask("quic front"))
		connectionIDsPause = pauseUDP(conn)
	}
	var agent *snmp.Agent
	if fronts.SNMP.Listen != "" {
		conn, err := sockets.ListenUDP("snmp", fronts.SNMP.Listen)
		if err != nil {
			return err
		}
		detailed := func() *core.Snapshot { return module.DetailedSnapshot(rowsWait) }
		agent = snmp.New(conn, fronts.SNMP.Community, cfg.Name, classNames(cfg), module.Snapshot, detailed, log)
		agentPause = pauseUDP(conn)
	}

	for _, name := range sockets.Unused() {
		log.WithField("socket", name).Warn("a socket that was passed on has no use here: no front of that name, or another address")
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	supervisor, err := sdnotify.NewNotifier(marks, func() string { return status(module.Snapshot()) }, log)
	if err != nil {
		return err
	}
	prober := platform.NewProber(ctx, module, cfg.Probes)
	var list source
	var rooms *filesource.Source
	rediscover := module.SetDiscoveryAddress
	switch {
	case following != nil:
		controlled := following.source(module)
		rediscover, list = controlled.SetFallbackAddress, controlled
	case fronts.Rooms != "":
		rooms = filesource.New(fronts.Rooms, first, module, log)
		list = rooms
	default:
		list = httpsource.New(cfg.Discovery, cfg.Generation, module, log)
	}
	list.SetWatchdog(marks.AddTask("list"))
	front := platform.New(module, names(cfg), platform.DescriptorBudget{Total: cfg.Descriptors, DialReserve: cfg.DialReserve}, log)
	front.SetWatchdog(marks.AddTask("clients' front"))
	var resuming *platform.SessionResumer
	if ring != nil {
		r := fronts.Resume
		resuming = platform.NewSessionResumer(platform.SessionLimits{Site: r.Site, TokenLifetime: r.Life, MaxState: r.MaxState, MaxBytes: r.MaxBytes,
			MaxMigrations: r.MaxMoves}, ring)
		front.EnableSessions(resuming)
	}
	var running sync.WaitGroup
	running.Go(func() { list.Run(ctx) })
	running.Go(func() { module.Run(ctx, prober, list); prober.Wait() })
	next := newSuccession(cfg, module, front, cluster, clients, datagrams, predecessor)
	tell := func() []string { return module.ExportLearned(learnedWait) }
	offer := hotrestart.NewServer(path, sockets, tell, next.successors, log)
	running.Go(func() { next.run(ctx) })
	running.Go(func() { next.begin(ctx, predecessor, func() { offer.Serve(ctx) }) })
	running.Go(func() { front.Serve(ctx, listener, clients) })
	if managementListener != nil {
		server := management.New(module, classNames(cfg), cfg.Callers, log)
		if cluster != nil {
			server.AddMetrics(func() []management.Metric { return clusterFigures(cluster) })
		}
		running.Go(func() { server.Serve(ctx, managementListener) })
	}
	if cluster != nil {
		running.Go(func() { cluster.Run(ctx) })
		running.Go(func() { followService(ctx, cluster, module.ServiceState) })
	}
	reload := &reloader{fronts: fronts, cluster: cluster, rediscover: rediscover, resuming: resuming, rooms: rooms,
		generation: func(uint64) {}, supervisor: supervisor, log: log}
	if frontsFile != "" { // INFO is as the platform knows it where there is none
		reload.generation = module.SetConfigGeneration
	}
	running.Go(func() { reload.run(ctx, hangup) })
	go supervisor.Run(ctx) // not waited for below: a supervisor's socket may hang
	running.Go(func() { announce(ctx, module, supervisor, predecessor != nil) })
	if connectionIDs != nil {
		running.Go(func() { connectionIDs.Serve(ctx, connectionIDsPause) })
	}
	if agent != nil {
		running.Go(func() { agent.Serve(ctx, agentPause) })
	}
	log.WithFields(logrus.Fields{"name": cfg.Name, "listen": cfg.Listen, "known": len(cfg.Known)}).Info("serving")

	<-stop.Done()
	log.Info("stopping: answering what is here and moving what stands")
	supervisor.Stopping(cfg.StopBudget + exitWait)
	next.stop()
	left := make(chan struct{})
	go func() { // within gossip.LeaveWait, beside the drain
		defer close(left)
		if cluster != nil {
			cluster.Leave()
		}
	}()
	<-module.Drain(cfg.StopBudget, func() bool { return front.ClientsWaiting(listener) })
	s := module.Snapshot()
	log.WithFields(logrus.Fields{"served": s.Served, "refused": s.Rejected, "failed": s.Failed, "left": s.ClientsLeft,
		"moves": s.Migrations, "silent": s.Unresponsive, "probes": s.Probes, "attempts": s.Attempts}).Info("stopped")
	<-left
	cancel()
	ended := make(chan struct{})
	go func() { // ends with the process at the latest
		running.Wait()
		close(ended)
	}()
	supervisor.Wait(exitWait / 3)
	select {
	case <-ended:
	case <-time.After(exitWait): // everything is answered: SIGKILL must not come first
		log.Warn("stopped with actors that have not ended")
	}
	return nil
}

// source is where the list of room servers comes from, as an actor.
type source interface {
	core.Discovery
	SetWatchdog(core.Watchdog)
	Run(context.Context)
}

// announce tells the supervisor when this process serves. One that takes over from another is the service's main process
// from then on: the other one is about to be stopped.
func announce(ctx context.Context, module *core.Engine, supervisor *sdnotify.Notifier, takesOver bool) {
	select {
	case <-module.Ready():
		if takesOver {
			supervisor.SetMainPID(os.Getpid())
		}
		supervisor.Ready()
	case <-ctx.Done():
	}
}

// status is the line that a supervisor shows.
func status(s *core.Snapshot) string {
	return fmt.Sprintf("%s: %d connections stand, %d requests wait, %d room servers listed, %d of them left out", s.Service,
		s.Established, s.Waiting, s.Listed, s.Ejected)
}

// stateWait is 0 where sessions are not resumed.
func stateWait(r config.Resume) time.Duration {
	if r.KeysFile == "" {
		return 0
	}
	return r.StateWait
}

func quicFront(cfg *config.Config, q config.QUIC, conn *net.UDPConn, module *core.Engine, log *logrus.Logger) (*quic.Frontend, error) {
	ids, err := quic.NewIDFormat(q.ConfigID, q.NonceLen, q.IDKey)
	if err != nil {
		return nil, fmt.Errorf("quic front: %w", err)
	}
	return quic.New(quic.Config{Conn: conn, IDs: ids, ResetKey: q.ResetKey, Class: q.Class,
		Timeout: cfg.Settings.Classes[q.Class].ClientTimeout, Idle: q.Idle, MaxFlows: q.MaxFlows}, module, log), nil
}

func classNames(cfg *config.Config) (all []string) {
	for _, c := range cfg.Settings.Classes {
		all = append(all, c.Name)
	}
	return all
}

func names(cfg *config.Config) platform.Names {
	n := platform.Names{Classes: map[string]int{}, Tenants: map[string]bool{}}
	for i, c := range cfg.Settings.Classes {
		n.Classes[c.Name] = i
	}
	for _, t := range cfg.Tenants {
		n.Tenants[t] = true
	}
	return n
}
