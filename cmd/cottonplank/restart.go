package main

import (
	"context"
	"time"

	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/operations/hotrestart"
)

// exportLearnedTimeout is how long the engine may take to export its learned state for a replacement process.
const exportLearnedTimeout = 400 * time.Millisecond

// restartCoordinator decides, during a hot restart, which of the processes that share the sockets accepts connections
// and reads datagrams, and which part of the limits this one may use. All state is owned by the goroutine of run.
type restartCoordinator struct {
	cfg       *config.Config
	engine    *core.Engine
	frontend  *platform.Frontend
	cluster   *gossip.Cluster // nil if the instance is not a member of a cluster
	clients   *hotrestart.Pauser
	datagrams []*hotrestart.Pauser
	updates   chan func()   // changes of the state below
	done      chan struct{} // closed when run returns

	previousAlive     bool // the previous process has not exited
	awaitingReadiness bool // the previous process serves until this one is ready
	replacements      hotrestart.Replacements
	stopping          bool // graceful shutdown has begun
	accepting         bool // this process accepts connections
	reading           bool // this process reads datagrams
	abandonedCluster  bool // a replacement process has this instance's place in the cluster
}

// newRestartCoordinator returns the coordinator of d. With a previous process, the sockets are paused from here on
// until this process is ready.
func newRestartCoordinator(d *daemon) *restartCoordinator {
	c := &restartCoordinator{
		cfg:       d.cfg,
		engine:    d.engine,
		frontend:  d.frontend,
		cluster:   d.cluster,
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
	c.accepting = false
	c.reading = false
	setRunning(false, c.datagrams...)
	setRunning(false, c.clients)
	return c
}

// startHotRestart runs the coordinator and offers the sockets to replacement processes once this process serves.
func (d *daemon) startHotRestart(ctx context.Context) {
	d.restart = newRestartCoordinator(d)
	exportLearned := func() []string { return d.engine.ExportLearned(exportLearnedTimeout) }
	server := hotrestart.NewServer(d.restartPath, d.sockets, exportLearned, d.restart.setReplacements, d.log)
	d.running.Go(func() { d.restart.run(ctx) })
	d.running.Go(func() {
		if d.previous == nil || d.restart.replacePrevious(ctx, d.previous) {
			server.Serve(ctx)
		}
	})
}

// run applies updates one after the other until ctx ends.
func (c *restartCoordinator) run(ctx context.Context) {
	defer close(c.done)
	if c.previousAlive {
		c.apply()
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

// post hands an update to run; it is dropped once run has returned.
func (c *restartCoordinator) post(update func()) {
	select {
	case c.updates <- update:
	case <-c.done:
	}
}

// replacePrevious waits until this process can serve in place of the previous one and tells it so. It reports false
// if ctx ended first.
func (c *restartCoordinator) replacePrevious(ctx context.Context, previous *hotrestart.PreviousProcess) bool {
	select {
	case <-ctx.Done():
		return false
	case <-previous.Exited:
		c.engine.SkipListWait() // nobody else serves: serve at once, with the last known list
	case <-c.engine.Ready():
	}
	c.post(func() { c.awaitingReadiness = false })
	previous.NotifyServing()
	go c.awaitExit(previous)
	return true
}

// awaitExit ends with the previous process or with run.
func (c *restartCoordinator) awaitExit(previous *hotrestart.PreviousProcess) {
	select {
	case <-previous.Exited:
		c.post(func() { c.previousAlive = false })
	case <-c.done:
	}
}

// setReplacements records how many processes have taken the sockets.
func (c *restartCoordinator) setReplacements(n hotrestart.Replacements) {
	c.post(func() { c.replacements = n })
}

// beginShutdown begins a graceful shutdown: if a replacement accepts from the same listener, this process stops
// accepting.
func (c *restartCoordinator) beginShutdown() {
	c.post(func() { c.stopping = true })
}

// apply brings limits, sockets and cluster membership in line with the state.
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
	// Only one process reads datagrams: the packets of a QUIC connection would otherwise be spread over both.
	if reading := !c.awaitingReadiness && !replaced; reading != c.reading {
		c.reading = reading
		setRunning(reading, c.datagrams...)
	}
}

// applyMembership leaves the place in the cluster to a replacement that serves, and rejoins when that one has exited.
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

// setRunning resumes or pauses the sockets of pausers.
func setRunning(running bool, pausers ...*hotrestart.Pauser) {
	for _, pauser := range pausers {
		if running {
			pauser.Resume()
		} else {
			pauser.Pause()
		}
	}
}
