package hollow

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/testbench/emulator"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	barrierWait = 30 * time.Second      // bounds the wait until a module's actor has taken over a list
	rowsPause   = 20 * time.Millisecond // between looks at whether rows are new
)

// Now is the machine's monotonic clock, the same in all processes.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // no Linux is without it
	}
	return time.Duration(t.Nano())
}

// follower carries a list's changes to one balancer. It tells its sink from one goroutine.
type follower interface {
	core.Discovery
	Run(context.Context)
}

// newFollower returns the mechanism that the balancer itself uses: a watch over HTTP.
func newFollower(address string, version int64, sink core.UpdateHandler, log *logrus.Logger) follower {
	return httpsource.New(address, version, sink, log)
}

// sharedList is the one copy of the list that the followers of a process have: what each room server added to the digest at
// each version.
type sharedList struct {
	mu            sync.Mutex
	history       map[string][]versionedDigest
	initialDigest uint64 // the digest of the known list
}

type versionedDigest struct {
	version int64
	digest  uint64
}

func endpointDigest(in core.Endpoint) uint64 { return Digest(in.Name, in.Address, in.Zone, in.State) }

func endpointVersion(in core.Endpoint) int64 { return in.Started.UnixMilli() - emulator.StartedAt }

func newSharedList(known []core.Endpoint, version int64) *sharedList {
	s := &sharedList{history: make(map[string][]versionedDigest, len(known))}
	for _, in := range known {
		d := endpointDigest(in)
		s.history[in.Name] = []versionedDigest{{version, d}}
		s.initialDigest ^= d
	}
	return s
}

// digestAt is what a room server adds to the digest of the list of a version. mu is held.
func (s *sharedList) digestAt(version int64, name string) (d uint64) {
	for _, x := range s.history[name] {
		if x.version <= version {
			d = x.digest
		}
	}
	return d
}

// record adds a change to the copy.
func (s *sharedList) record(version int64, name string, d uint64) {
	all := s.history[name]
	i := len(all)
	for i > 0 && all[i-1].version >= version {
		i--
	}
	if i == len(all) || all[i].version != version {
		s.history[name] = slices.Insert(all, i, versionedDigest{version, d})
	}
}

// nodeList is a follower's list: that of a version in the shared copy, but for the room servers of which it was told
// something older afterwards.
type nodeList struct {
	version int64
	older   map[string]uint64
	digest  uint64
}

// applyDelta takes a change over.
func (c *nodeList) applyDelta(s *sharedList, in core.Endpoint) {
	v, d := endpointVersion(in), endpointDigest(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, ok := c.older[in.Name]
	if !ok {
		before = s.digestAt(c.version, in.Name)
	}
	s.record(v, in.Name, d)
	c.digest ^= before ^ d
	c.version = max(c.version, v)
	delete(c.older, in.Name)
	if s.digestAt(c.version, in.Name) != d {
		if c.older == nil {
			c.older = map[string]uint64{}
		}
		c.older[in.Name] = d
	}
}

// replace takes the whole list over.
func (c *nodeList) replace(all []core.Endpoint) {
	*c = nodeList{}
	for _, in := range all {
		c.digest ^= endpointDigest(in)
		c.version = max(c.version, endpointVersion(in))
	}
}

// node is a balancer's control code without clients: its follower and its module. One without a module of its own has
// one with an empty list, which orders watches and opens them anew as any, and its list is the process's shared copy.
type node struct {
	id         int
	fullEngine bool // the module has the list
	engine     *core.Engine
	shared     *sharedList
	record     func(Event)

	// Owned by the follower's goroutine.
	version int64 // told last
	list    nodeList

	mu         sync.Mutex // of what final reads
	latest     Event
	watchAlive bool
	cancel     context.CancelFunc
	ended      sync.WaitGroup
}

// noProbes stands where there are no room servers to probe.
type noProbes struct{}

func (noProbes) Probe(context.Context, uint64, core.Upstream) {}
func (noProbes) Remove(decide.ServerID)                       {}

// startNode runs one; known is the list of a version, 0: it has none.
func startNode(ctx context.Context, h *node, cfg core.Config, address string, known []core.Endpoint, version int64) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	cfg.MaxClients, cfg.Log = 1, func(string) {}
	if h.version = version; version > 0 {
		h.list = nodeList{version: version, digest: h.shared.initialDigest}
		if h.fullEngine {
			cfg.Known = known
		}
	}
	h.latest = Event{Kind: FinalState, Node: h.id, Version: h.version, Digest: h.list.digest}
	var err error
	if h.engine, err = core.New(cfg); err != nil {
		return err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	list := newFollower(address, version, h, log)
	h.record(Event{At: Now(), Kind: NodeStarted, Node: h.id, Version: version})
	h.ended.Go(func() { list.Run(ctx) })
	h.ended.Go(func() { h.engine.Run(ctx, noProbes{}, list) })
	return nil
}

// stop ends it as a crash does: nothing is said to anybody.
func (h *node) stop() {
	h.cancel()
	h.ended.Wait()
}

// WatchAlive hears of a watch's sign of life.
func (h *node) WatchAlive(watch uint64) {
	h.mu.Lock()
	h.watchAlive = true
	h.mu.Unlock()
	h.engine.WatchAlive(watch)
}

// EndpointsUpdated takes what the follower brings, and tells of it once it is in force.
func (h *node) EndpointsUpdated(r core.EndpointUpdate) {
	if r.Kind == decide.ListFailed {
		h.engine.EndpointsUpdated(r)
		return
	}
	before := h.version
	if r.Kind == decide.ListSnapshot {
		h.list.replace(r.Endpoints)
		h.version = h.list.version
	} else {
		for _, in := range r.Endpoints {
			h.list.applyDelta(h.shared, in)
			h.version = endpointVersion(in)
		}
	}
	if h.fullEngine {
		h.engine.EndpointsUpdated(r)
		if h.engine.LeaveLameDuck(barrierWait) != nil { // changes nothing at a module that serves; the list is in force before it
			return
		}
	} else {
		h.engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
	}
	if h.version == before && r.Kind != decide.ListSnapshot {
		return
	}
	now := Now()
	h.mu.Lock()
	h.latest.Version, h.latest.Digest = h.version, h.list.digest
	h.mu.Unlock()
	h.record(Event{At: now, Kind: VersionApplied, Node: h.id, Version: h.version, Snapshot: r.Kind == decide.ListSnapshot})
}

// connected tells whether its watch has shown a sign of life.
func (h *node) connected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchAlive
}

// state is what its follower has.
func (h *node) state() Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest
}

// finalState tells what it has at the end; a module's own list counts where it has one.
func (h *node) finalState() Event {
	e := h.state()
	if h.fullEngine {
		e.Digest = 0
		// Rows are shared for a while by all who ask: those of before the last change are not the end's.
		began := time.Now()
		all := h.engine.DetailedSnapshot(barrierWait)
		for all.At.Before(began) && time.Since(began) < barrierWait {
			time.Sleep(rowsPause)
			all = h.engine.DetailedSnapshot(barrierWait)
		}
		for _, s := range all.Upstreams {
			e.Digest ^= Digest(s.Name, s.Address, s.Zone, s.State)
		}
	}
	e.At = Now()
	return e
}
