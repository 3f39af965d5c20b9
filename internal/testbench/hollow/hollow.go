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

// shared is the one copy of the list that the followers of a process have: what each room server added to the digest at
// each version.
type shared struct {
	mu    sync.Mutex
	of    map[string][]stamped
	first uint64 // the digest of the known list
}

type stamped struct {
	version int64
	digest  uint64
}

func digestOf(in core.Endpoint) uint64 { return Digest(in.Name, in.Address, in.Zone, in.State) }

func versionOf(in core.Endpoint) int64 { return in.Started.UnixMilli() - emulator.StartedAt }

func newShared(known []core.Endpoint, version int64) *shared {
	s := &shared{of: make(map[string][]stamped, len(known))}
	for _, in := range known {
		d := digestOf(in)
		s.of[in.Name] = []stamped{{version, d}}
		s.first ^= d
	}
	return s
}

// at is what a room server adds to the digest of the list of a version. mu is held.
func (s *shared) at(version int64, name string) (d uint64) {
	for _, x := range s.of[name] {
		if x.version <= version {
			d = x.digest
		}
	}
	return d
}

// learn adds a change to the copy.
func (s *shared) learn(version int64, name string, d uint64) {
	all := s.of[name]
	i := len(all)
	for i > 0 && all[i-1].version >= version {
		i--
	}
	if i == len(all) || all[i].version != version {
		s.of[name] = slices.Insert(all, i, stamped{version, d})
	}
}

// copied is a follower's list: that of a version in the shared copy, but for the room servers of which it was told
// something older afterwards.
type copied struct {
	version int64
	older   map[string]uint64
	digest  uint64
}

// change takes a change over.
func (c *copied) change(s *shared, in core.Endpoint) {
	v, d := versionOf(in), digestOf(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, ok := c.older[in.Name]
	if !ok {
		before = s.at(c.version, in.Name)
	}
	s.learn(v, in.Name, d)
	c.digest ^= before ^ d
	c.version = max(c.version, v)
	delete(c.older, in.Name)
	if s.at(c.version, in.Name) != d {
		if c.older == nil {
			c.older = map[string]uint64{}
		}
		c.older[in.Name] = d
	}
}

// whole takes the whole list over.
func (c *copied) whole(all []core.Endpoint) {
	*c = copied{}
	for _, in := range all {
		c.digest ^= digestOf(in)
		c.version = max(c.version, versionOf(in))
	}
}

// hollow is a balancer's control code without clients: its follower and its module. One without a module of its own has
// one with an empty list, which orders watches and opens them anew as any, and its list is the process's shared copy.
type hollow struct {
	id     int
	full   bool // the module has the list
	module *core.Engine
	shared *shared
	tell   func(Event)

	// Owned by the follower's goroutine.
	version int64 // told last
	list    copied

	mu     sync.Mutex // of what final reads
	shown  Event
	heard  bool
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// noProbes stands where there are no room servers to probe.
type noProbes struct{}

func (noProbes) Probe(context.Context, uint64, core.Upstream) {}
func (noProbes) Remove(decide.ServerID)                       {}

// startHollow runs one; known is the list of a version, 0: it has none.
func startHollow(ctx context.Context, h *hollow, cfg core.Config, address string, known []core.Endpoint, version int64) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	cfg.MaxClients, cfg.Log = 1, func(string) {}
	if h.version = version; version > 0 {
		h.list = copied{version: version, digest: h.shared.first}
		if h.full {
			cfg.Known = known
		}
	}
	h.shown = Event{Kind: Final, Balancer: h.id, Version: h.version, Digest: h.list.digest}
	var err error
	if h.module, err = core.New(cfg); err != nil {
		return err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	list := newFollower(address, version, h, log)
	h.tell(Event{At: Now(), Kind: Fresh, Balancer: h.id, Version: version})
	h.ended.Go(func() { list.Run(ctx) })
	h.ended.Go(func() { h.module.Run(ctx, noProbes{}, list) })
	return nil
}

// stop ends it as a crash does: nothing is said to anybody.
func (h *hollow) stop() {
	h.cancel()
	h.ended.Wait()
}

// WatchAlive hears of a watch's sign of life.
func (h *hollow) WatchAlive(watch uint64) {
	h.mu.Lock()
	h.heard = true
	h.mu.Unlock()
	h.module.WatchAlive(watch)
}

// EndpointsUpdated takes what the follower brings, and tells of it once it is in force.
func (h *hollow) EndpointsUpdated(r core.EndpointUpdate) {
	if r.Kind == decide.ListFailed {
		h.module.EndpointsUpdated(r)
		return
	}
	before := h.version
	if r.Kind == decide.ListSnapshot {
		h.list.whole(r.Endpoints)
		h.version = h.list.version
	} else {
		for _, in := range r.Endpoints {
			h.list.change(h.shared, in)
			h.version = versionOf(in)
		}
	}
	if h.full {
		h.module.EndpointsUpdated(r)
		if h.module.LeaveLameDuck(barrierWait) != nil { // changes nothing at a module that serves; the list is in force before it
			return
		}
	} else {
		h.module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta})
	}
	if h.version == before && r.Kind != decide.ListSnapshot {
		return
	}
	now := Now()
	h.mu.Lock()
	h.shown.Version, h.shown.Digest = h.version, h.list.digest
	h.mu.Unlock()
	h.tell(Event{At: now, Kind: InForce, Balancer: h.id, Version: h.version, Whole: r.Kind == decide.ListSnapshot})
}

// begun tells whether its watch has shown a sign of life.
func (h *hollow) begun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard
}

// now is what its follower has.
func (h *hollow) now() Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shown
}

// final tells what it has at the end; a module's own list counts where it has one.
func (h *hollow) final() Event {
	e := h.now()
	if h.full {
		e.Digest = 0
		// Rows are shared for a while by all who ask: those of before the last change are not the end's.
		began := time.Now()
		all := h.module.DetailedSnapshot(barrierWait)
		for all.At.Before(began) && time.Since(began) < barrierWait {
			time.Sleep(rowsPause)
			all = h.module.DetailedSnapshot(barrierWait)
		}
		for _, s := range all.Upstreams {
			e.Digest ^= Digest(s.Name, s.Address, s.Zone, s.State)
		}
	}
	e.At = Now()
	return e
}
