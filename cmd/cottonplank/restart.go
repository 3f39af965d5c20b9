package main

import (
	"context"
	"net"
	"time"

	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/frontend/quic"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/operations/requestid"
)

// exportLearnedTimeout bounds the wait for the engine to export its learned state for a replacement process. After the
// timeout the replacement process receives none. The replacement process itself waits up to 1 s for the response.
const exportLearnedTimeout = 400 * time.Millisecond

// requestIDsTimeout bounds the wait for the request IDs of the previous process, before this process accepts clients.
const requestIDsTimeout = time.Second

// restartCoordinator decides, during a hot restart, whether this process accepts connections from the shared listener
// and reads datagrams from the shared UDP sockets, which fraction of the limits it may use, and whether it stays a
// member of the cluster. The goroutine of run owns all state.
type restartCoordinator struct {
	cfg       *config.Config
	engine    *core.Engine
	frontend  *platform.Frontend
	cluster   *gossip.Cluster // nil if no cluster membership is configured
	quic      *quic.Frontend  // nil if QUIC is not configured
	ids       *requestid.Registry
	unlinked  bool // the previous process may hold QUIC flows that it does not describe
	clients   *hotrestart.Pauser
	datagrams []*hotrestart.Pauser
	updates   chan func()   // functions that change the state below; run calls them
	done      chan struct{} // closed when run returns

	previousAlive     bool // a previous process is running
	awaitingReadiness bool // this process is not ready yet; the previous process serves
	awaitingFlows     bool // the previous process has not described its QUIC flows yet, and may read datagrams
	replacements      hotrestart.Replacements
	stopping          bool // graceful shutdown has begun
	accepting         bool // this process accepts connections
	reading           bool // this process reads datagrams
	abandonedCluster  bool // a replacement process has taken over this instance's cluster membership
}

// newRestartCoordinator returns the coordinator of d. If there is a previous process, it pauses the sockets until this
// process is ready or the previous one has exited.
func newRestartCoordinator(d *daemon) *restartCoordinator {
	c := &restartCoordinator{
		cfg:       d.cfg,
		engine:    d.engine,
		frontend:  d.frontend,
		cluster:   d.cluster,
		quic:      d.quicFrontend,
		ids:       d.requestIDs,
		unlinked:  d.previous != nil && d.inheritedQUIC && d.previousQUIC == nil,
		clients:   d.clientPauser,
		datagrams: d.datagramPausers(),
		updates:   make(chan func()),
		done:      make(chan struct{}),
		accepting: true,
		reading:   true,
	}
	if d.previous == nil {
		return c
	}
	c.previousAlive = true
	c.awaitingReadiness = true
	c.awaitingFlows = true
	c.accepting = false
	c.reading = false
	setRunning(false, c.datagrams...)
	setRunning(false, c.clients)
	return c
}

// startHotRestart starts d.restart. On request, this process passes its sockets to replacement processes: from
// now on if there is no previous process, otherwise once it accepts connections.
func (d *daemon) startHotRestart(ctx context.Context) {
	exportLearned := func() []string { return d.engine.ExportLearned(exportLearnedTimeout) }
	server := hotrestart.NewServer(d.restartPath, d.sockets, exportLearned, d.restart.setReplacements, d.log)
	server.OfferLink(requestIDsLink, func(conn *net.UnixConn) { d.requestIDs.AddPeer(ctx, conn) })
	if d.quicFrontend != nil {
		server.OfferLink(quicFlowsLink, func(conn *net.UnixConn) { d.quicFrontend.AddReplacement(ctx, conn) })
	}
	d.running.Go(func() { d.restart.run(ctx) })
	d.running.Go(func() {
		if d.previous == nil || d.restart.replacePrevious(ctx, d.previous) {
			server.Serve(ctx)
		}
	})
}

// run executes each update and applies the resulting state, until ctx ends.
func (c *restartCoordinator) run(ctx context.Context) {
	defer close(c.done)
	if c.previousAlive {
		c.apply() // shares the limits with the previous process from the start
	}
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-c.updates:
			update()
			c.apply()
		}
	}
}

// post sends an update to run, and drops it if run has returned.
func (c *restartCoordinator) post(update func()) {
	select {
	case c.updates <- update:
	case <-c.done:
	}
}

// replacePrevious waits until this process is ready or the previous one has exited. Then this process starts to accept
// connections and notifies the previous one. It reports false if ctx ended first.
func (c *restartCoordinator) replacePrevious(ctx context.Context, previous *hotrestart.PreviousProcess) bool {
	select {
	case <-ctx.Done():
		return false
	case <-previous.Exited:
		c.engine.SkipListWait() // no process serves: serve at once, with the list known at the start
	case <-c.engine.Ready():
	}
	c.ids.WaitForPeers(ctx, requestIDsTimeout)
	c.post(func() { c.awaitingReadiness = false })
	previous.NotifyServing()
	go c.awaitExit(previous)
	c.awaitFlowHandover(ctx, previous)
	c.post(func() { c.awaitingFlows = false })
	return true
}

// awaitFlowHandover returns when this process may read the datagrams of QUIC clients.
func (c *restartCoordinator) awaitFlowHandover(ctx context.Context, previous *hotrestart.PreviousProcess) {
	switch {
	case c.quic == nil:
	case c.unlinked:
		c.quic.SuspendRequests(previous.Exited)
	default:
		c.quic.WaitForPreviousPause(ctx)
	}
}

// awaitExit waits for the exit of the previous process and records it. It returns early if run returns.
func (c *restartCoordinator) awaitExit(previous *hotrestart.PreviousProcess) {
	select {
	case <-previous.Exited:
		c.post(func() { c.previousAlive = false })
	case <-c.done:
	}
}

// setReplacements records how many replacement processes have received the sockets and how many of them serve.
func (c *restartCoordinator) setReplacements(n hotrestart.Replacements) {
	c.post(func() { c.replacements = n })
}

// beginShutdown records that a graceful shutdown has begun. From then on, this process accepts connections only while
// no replacement process serves.
func (c *restartCoordinator) beginShutdown() {
	c.post(func() { c.stopping = true })
}

// apply applies the state: it sets the limits, pauses or resumes the sockets, and updates the cluster membership.
func (c *restartCoordinator) apply() {
	replaced := c.replacements.Serving > 0
	limits := c.cfg.ProcessLimits(c.previousAlive || c.replacements.Connected > 0)
	limits.ApplyMemory()
	c.frontend.SetDescriptorReserve(limits.ReservedDescriptors)
	c.engine.SetMaxClients(limits.MaxClients)
	c.frontend.SetReplaced(replaced)
	c.applyMembership(replaced)
	if accepting := !c.awaitingReadiness && !(c.stopping && replaced); accepting != c.accepting {
		c.accepting = accepting
		setRunning(accepting, c.clients)
	}
	// Only one process reads datagrams: the reader knows which QUIC flows the other process holds, and forwards their
	// datagrams. Both read only for a moment, where the previous process is of a version that does not describe its
	// flows or does so too late.
	if reading := !c.awaitingReadiness && !c.awaitingFlows && !replaced; reading != c.reading {
		c.reading = reading
		setRunning(reading, c.datagrams...)
	}
}

// applyMembership abandons the cluster membership to a serving replacement process, and rejoins the cluster when no
// replacement process serves, unless this process is stopping.
func (c *restartCoordinator) applyMembership(replaced bool) {
	if c.cluster == nil || replaced == c.abandonedCluster {
		return
	}
	c.abandonedCluster = replaced
	if replaced {
		c.cluster.AbandonMembership()
	} else if !c.stopping {
		c.cluster.SetMember(true)
	}
}

// setRunning resumes the sockets of pausers if running is true, otherwise pauses them.
func setRunning(running bool, pausers ...*hotrestart.Pauser) {
	for _, pauser := range pausers {
		if running {
			pauser.Resume()
		} else {
			pauser.Pause()
		}
	}
}
