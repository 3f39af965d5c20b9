package main

import (
	"context"
	"errors"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
)

// succession is the actor that owns what this process leaves to the one before it, or to the one after it: who
// accepts, who reads datagrams, and how much of the limits each works on.
type succession struct {
	cfg       *config.Config
	module    *core.Engine
	front     *platform.Frontend
	cluster   *gossip.Cluster // nil: this instance is no member
	clients   *hotrestart.Pauser
	datagrams []*hotrestart.Pauser
	turns     chan func()
	done      chan struct{}

	// Owned by run's goroutine.
	before   bool // a predecessor lives
	waiting  bool // it serves while this process gets ready
	after    hotrestart.Replacements
	stopping bool
	accepts  bool
	reads    bool
	yielded  bool // the membership is a successor's
}

// newSuccession returns the actor of a process that accepts nothing yet where it has a predecessor.
func newSuccession(cfg *config.Config, module *core.Engine, front *platform.Frontend, cluster *gossip.Cluster, clients *hotrestart.Pauser,
	datagrams []*hotrestart.Pauser, predecessor *hotrestart.PreviousProcess) *succession {
	s := &succession{cfg: cfg, module: module, front: front, cluster: cluster, clients: clients, datagrams: datagrams,
		turns: make(chan func()), done: make(chan struct{}), accepts: true, reads: true}
	if predecessor != nil {
		s.before, s.waiting, s.accepts, s.reads = true, true, false, false
		for _, p := range append(datagrams, clients) {
			p.Pause()
		}
	}
	return s
}

// run is the actor.
func (s *succession) run(ctx context.Context) {
	defer close(s.done)
	if s.before {
		s.apply()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case turn := <-s.turns:
			turn()
			s.apply()
		}
	}
}

func (s *succession) turn(do func()) {
	select {
	case s.turns <- do:
	case <-s.done:
	}
}

// begin waits until this process serves, and then offers its sockets in its turn.
func (s *succession) begin(ctx context.Context, predecessor *hotrestart.PreviousProcess, offer func()) {
	if predecessor == nil {
		offer()
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-predecessor.Exited:
		s.module.SkipListWait() // nobody else serves: at once, with the list as last known
	case <-s.module.Ready():
	}
	s.turn(func() { s.waiting = false })
	predecessor.NotifyServing()
	go func() { // ends with the predecessor, or with the process
		<-predecessor.Exited
		s.turn(func() { s.before = false })
	}()
	offer()
}

// learnedWait is how long the core may take to tell what it has learned.
const learnedWait = 400 * time.Millisecond

// learned reads what a predecessor has learned of the room servers. A line that cannot be read is left out.
func learned(predecessor *hotrestart.PreviousProcess, customer string, log *logrus.Logger) (all []decide.LearnedState) {
	if predecessor == nil {
		return nil
	}
	for _, line := range predecessor.Learned {
		l, err := core.DecodeLearned(line, customer)
		if errors.Is(err, core.ErrOtherDeployment) {
			log.Warn("hand-over: what the process before has learned is left out: it has other settings, or an earlier version")
			return nil
		}
		if err != nil {
			log.WithError(err).Warn("hand-over: a line is left out")
			continue
		}
		all = append(all, l)
	}
	return all
}

// successors tells who has taken the sockets.
func (s *succession) successors(n hotrestart.Replacements) { s.turn(func() { s.after = n }) }

// stop begins a planned stop: where another process accepts from the same queue, this one accepts nothing more.
func (s *succession) stop() { s.turn(func() { s.stopping = true }) }

// apply brings about what the state asks for.
func (s *succession) apply() {
	share := s.cfg.Share(s.before || s.after.Connected > 0)
	share.Apply()
	s.front.SetReserve(share.Reserved)
	s.module.SetMaxClients(share.MaxClients)
	s.front.SetReplaced(s.after.Serving > 0)
	s.applyMembership()
	if accepts := !s.waiting && !(s.stopping && s.after.Serving > 0); accepts != s.accepts {
		s.accepts = accepts
		set(accepts, s.clients)
	}
	// Guards QUIC's connections: datagrams that two processes read are strewn over both.
	if reads := !s.waiting && s.after.Serving == 0; reads != s.reads {
		s.reads = reads
		set(reads, s.datagrams...)
	}
}

// applyMembership leaves the place in the cluster to a successor, and takes it back from one that has ended.
func (s *succession) applyMembership() {
	yields := s.after.Serving > 0
	if s.cluster == nil || yields == s.yielded {
		return
	}
	s.yielded = yields
	if yields {
		s.cluster.AbandonMembership()
	} else if !s.stopping {
		s.cluster.SetMember(true)
	}
}

func set(on bool, pauses ...*hotrestart.Pauser) {
	for _, p := range pauses {
		if on {
			p.Resume()
		} else {
			p.Pause()
		}
	}
}
