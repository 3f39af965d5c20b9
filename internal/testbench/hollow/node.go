// Package hollow runs hollow nodes, as kubemark does: balancers without clients, many to a process, which consist of
// the control code alone. A node watches the endpoint list as a real balancer does and reports which versions it has
// applied; Check evaluates these reports. RunWorker is the process that an experiment starts to run nodes.
package hollow

import (
	"context"
	"io"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/testbench/stub"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// engineTimeout is the longest wait for a node's engine to apply a list or to return a snapshot.
	engineTimeout = 30 * time.Second
	// snapshotPollInterval is the time between two requests for an engine's snapshot.
	snapshotPollInterval = 20 * time.Millisecond
)

// Now returns the time of the machine's monotonic clock, which is the same in all processes.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return time.Duration(t.Nano())
}

// follower watches the endpoint list for one node. It calls its update handler from one goroutine.
type follower interface {
	core.Discovery
	Run(context.Context)
}

// newFollower returns the follower that a real balancer uses too: a watch over HTTP.
func newFollower(address string, version int64, handler core.UpdateHandler, log *logrus.Logger) follower {
	return httpsource.New(address, version, handler, log)
}

// node is one hollow node: a follower of the endpoint list and an engine. The engine of a node without fullEngine
// has an empty list; it still starts and renews watches as any other, and the node's list is kept in the shared one.
type node struct {
	id int
	// fullEngine says that the engine has the endpoint list.
	fullEngine bool
	engine     *core.Engine
	shared     *sharedList
	// record receives the node's events. It is called from several goroutines.
	record func(Event)

	// version is the version that was received last. The follower's goroutine owns it.
	version int64
	// list is the node's list. The follower's goroutine owns it.
	list nodeList

	// mu guards latest and watchAlive.
	mu sync.Mutex
	// latest is the version and the digest that were applied last.
	latest Event
	// watchAlive says that the watch has received a heartbeat.
	watchAlive bool
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// nodeConfig is how a node is started.
type nodeConfig struct {
	engine core.Config
	// address is where the node finds discovery.
	address string
	// known is the list that the node starts with.
	known []core.Endpoint
	// version is the version of known; 0 if the node starts without a list.
	version int64
}

// startNode runs a node until ctx ends or it is stopped. The caller has set the node's id, fullEngine, shared and
// record.
func startNode(ctx context.Context, n *node, cfg nodeConfig) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	engineConfig := cfg.engine
	engineConfig.MaxClients = 1
	engineConfig.Log = func(string) {}
	n.version = cfg.version
	if cfg.version > 0 {
		n.list = nodeList{version: cfg.version, digest: n.shared.initialDigest}
		if n.fullEngine {
			engineConfig.Known = cfg.known
		}
	}
	n.latest = Event{Kind: FinalState, Node: n.id, Version: n.version, Digest: n.list.digest}
	var err error
	if n.engine, err = core.New(engineConfig); err != nil {
		return err
	}
	ctx, n.cancel = context.WithCancel(ctx)
	discovery := newFollower(cfg.address, cfg.version, n, log)
	n.record(Event{At: Now(), Kind: NodeStarted, Node: n.id, Version: cfg.version})
	n.running.Go(func() { discovery.Run(ctx) })
	n.running.Go(func() { n.engine.Run(ctx, stub.Prober{}, discovery) })
	return nil
}

// stop ends the node without a graceful shutdown, as a crash would.
func (n *node) stop() {
	n.cancel()
	n.running.Wait()
}

// WatchAlive receives a heartbeat of the watch.
func (n *node) WatchAlive(watch uint64) {
	n.mu.Lock()
	n.watchAlive = true
	n.mu.Unlock()
	n.engine.WatchAlive(watch)
}

// EndpointsUpdated receives an update of the endpoint list, and records its version once the engine has applied it.
func (n *node) EndpointsUpdated(update core.EndpointUpdate) {
	if update.Kind == decide.ListFailed {
		n.engine.EndpointsUpdated(update)
		return
	}
	before := n.version
	n.updateList(update)
	if !n.updateEngine(update) {
		return
	}
	snapshot := update.Kind == decide.ListSnapshot
	if n.version == before && !snapshot {
		return
	}
	now := Now()
	n.mu.Lock()
	n.latest.Version, n.latest.Digest = n.version, n.list.digest
	n.mu.Unlock()
	n.record(Event{At: now, Kind: VersionApplied, Node: n.id, Version: n.version, Snapshot: snapshot})
}

// updateList applies an update to the node's list.
func (n *node) updateList(update core.EndpointUpdate) {
	if update.Kind == decide.ListSnapshot {
		n.list.replace(update.Endpoints)
		n.version = n.list.version
		return
	}
	for _, e := range update.Endpoints {
		n.list.applyDelta(n.shared, e)
		n.version = endpointVersion(e)
	}
}

// updateEngine passes an update to the engine. With a full engine it waits until the update is applied; it reports
// whether it was in time.
func (n *node) updateEngine(update core.EndpointUpdate) bool {
	if !n.fullEngine {
		n.engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
		return true
	}
	n.engine.EndpointsUpdated(update)
	// Leaving lame duck changes nothing for an engine that is serving, and returns after the update was applied.
	return n.engine.LeaveLameDuck(engineTimeout) == nil
}

// connected reports whether the node's watch has received a heartbeat.
func (n *node) connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watchAlive
}

// state returns the version and the digest that were applied last.
func (n *node) state() Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latest
}

// finalState returns the node's list at the end of the run, for a full engine as the engine has it.
func (n *node) finalState() Event {
	e := n.state()
	if n.fullEngine {
		e.Digest = n.engineDigest()
	}
	e.At = Now()
	return e
}

// engineDigest returns the digest of the engine's list.
func (n *node) engineDigest() (digest uint64) {
	// The engine caches its detailed snapshot for a while: one from before the last update does not count.
	start := time.Now()
	snapshot := n.engine.DetailedSnapshot(engineTimeout)
	for snapshot.At.Before(start) && time.Since(start) < engineTimeout {
		time.Sleep(snapshotPollInterval)
		snapshot = n.engine.DetailedSnapshot(engineTimeout)
	}
	for _, u := range snapshot.Upstreams {
		digest ^= Digest(u.Name, u.Address, u.Zone, u.State)
	}
	return digest
}
