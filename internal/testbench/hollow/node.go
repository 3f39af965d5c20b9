// Package hollow runs hollow nodes, as kubemark does: balancers without clients, many in one process, which consist
// of an engine and a discovery client alone. A node watches the endpoint list as a real balancer does and reports
// which versions it has applied. Check evaluates these reports. RunWorker is the main function of the worker
// processes in which an experiment runs nodes.
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
	// engineTimeout bounds the wait until a node's engine has applied an update or returned an up-to-date snapshot.
	engineTimeout = 30 * time.Second
	// snapshotPollInterval is the time between two requests for an engine's detailed snapshot.
	snapshotPollInterval = 20 * time.Millisecond
)

// Now returns the time of the machine's monotonic clock, which all processes share.
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

// newFollower returns the discovery client that real balancers use too, which watches the list over HTTP.
func newFollower(address string, version int64, handler core.UpdateHandler, log *logrus.Logger) follower {
	return httpsource.New(address, version, handler, log)
}

// node is one hollow node: a follower of the endpoint list and an engine. Without fullEngine, the engine has an empty
// list, but it starts and renews watches as a full one does. The node keeps its list as a nodeList, which needs
// little memory.
type node struct {
	id int
	// fullEngine says that the engine has the endpoint list.
	fullEngine bool
	engine     *core.Engine
	shared     *sharedList
	// record is called with the node's events, from several goroutines.
	record func(Event)

	// version is the version that the node received last. The follower's goroutine owns it.
	version int64
	// list is the node's list. The follower's goroutine owns it.
	list nodeList

	// mu guards latest and watchAlive.
	mu sync.Mutex
	// latest is a FinalState event with the version and the digest that were applied last.
	latest Event
	// watchAlive says that a watch has ever received a message or a heartbeat.
	watchAlive bool
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// nodeConfig is the configuration of a node.
type nodeConfig struct {
	engine core.Config
	// address is the address of discovery.
	address string
	// known is the list with which the engine starts. It is used only with a full engine, and only if version is not 0.
	known []core.Endpoint
	// version is the version of known; 0 if the node starts without a list.
	version int64
}

// startNode starts a node, which runs until ctx ends or stop is called. The caller has set the node's id, fullEngine,
// shared and record.
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

// WatchAlive is called when the watch has received a message or a heartbeat. It passes the call to the engine.
func (n *node) WatchAlive(watch uint64) {
	n.mu.Lock()
	n.watchAlive = true
	n.mu.Unlock()
	n.engine.WatchAlive(watch)
}

// EndpointsUpdated applies an update of the endpoint list and records the new version. With a full engine it records
// the version once the engine has applied the update. If the engine does not apply it within engineTimeout, nothing is
// recorded. A snapshot is recorded even if its version is the current one.
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

// updateEngine passes an update to the engine, or an empty delta if the engine has no list. With a full engine it waits
// for at most engineTimeout and reports whether the engine has applied the update.
func (n *node) updateEngine(update core.EndpointUpdate) bool {
	if !n.fullEngine {
		n.engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
		return true
	}
	n.engine.EndpointsUpdated(update)
	// LeaveLameDuck is used to wait: it has no effect on an engine that is serving, and returns after the event loop
	// has handled the update.
	return n.engine.LeaveLameDuck(engineTimeout) == nil
}

// connected reports whether a watch of the node has ever received a message or a heartbeat.
func (n *node) connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watchAlive
}

// state returns a FinalState event with the version and the digest that were applied last, without a time.
func (n *node) state() Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latest
}

// finalState returns the FinalState event of the node. With a full engine, the digest is that of the engine's own
// list.
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
	// The engine caches its detailed snapshot. A snapshot from before this call may lack the last update, so that the
	// loop waits for a newer one.
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
