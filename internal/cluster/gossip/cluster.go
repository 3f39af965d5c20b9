// Package gossip carries package membership over the network: hashicorp/memberlist finds members and detects failures
// (SWIM with Lifeguard), and this package feeds what it reports to the pure machine, which decides what may be
// concluded. It is thin: one goroutine owns the machine; the library's callbacks only put events into its queue.
package gossip

import (
	"context"
	"fmt"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/config"
	"cottonplank/internal/session/token"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Times of the carrier.
const (
	probeEvery   = time.Second
	updateWait   = 200 * time.Millisecond // for a new description to be sent once
	LeaveWait    = 400 * time.Millisecond // for a planned stop to be told
	startRetry   = time.Second            // after the address could not be bound: the process before this one may hold it still
	detectExtra  = 14 * time.Second       // over the longest suspicion: probes, gossip, and the machine's own hold
	conflictAsks = 3                      // questions to the other live process of the same name
)

// Counts of the carrier.
const (
	suspectsProbed  = 4  // at once,
	aliveProbed     = 4  // and beside them so many that are alive
	turnsAtOnce     = 20 // instances of the whole cluster that probe a failed member, or join one that is back, in a second
	addressesAtOnce = 4  // of an attempt to join
)

// Config is what a Cluster starts with.
type Config struct {
	Settings       config.Membership
	Ring           *token.Ring
	ConfiguredSize decide.FleetSize // the instances that the settings name
	Version        string           // of the program
	Log            *logrus.Logger
	// OnView is called with each new view, and with nil when the instance is no member any more, from the cluster's
	// goroutine; nil: nobody is told.
	OnView func(*membership.View)
}

// Stats count frames since the start.
type Stats struct {
	BytesSent, FramesSent, TooLong, Replayed, Rejected uint64
}

// Cluster is this instance's part of the cluster, as an actor.
type Cluster struct {
	cfg    Config
	counts counters
	view   atomic.Pointer[membership.View]
	active atomic.Bool // it should be a member,
	member atomic.Bool // and it is
	silent atomic.Bool // it ends without announcing a stop: a successor goes on under its name
	wake   chan struct{}
	ring   atomic.Pointer[token.Ring]
	ended  chan struct{}

	// Owned by Run's goroutine.
	session   *session
	retryAt   time.Time
	lastError string
	refused   bool
}

// New returns a cluster that Run joins.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	c.ring.Store(cfg.Ring)
	c.active.Store(true)
	return c
}

// View is the latest view; nil while the instance is no member.
func (c *Cluster) View() *membership.View { return c.view.Load() }

// Stats tells the counts.
func (c *Cluster) Stats() Stats {
	return Stats{BytesSent: c.counts.sent.Load(), FramesSent: c.counts.frames.Load(), TooLong: c.counts.tooLong.Load(),
		Replayed: c.counts.replayed.Load(),
		Rejected: c.counts.refused.Load()}
}

// SetKeys takes over new keys.
func (c *Cluster) SetKeys(ring *token.Ring) { c.ring.Store(ring) }

// SetMember joins the cluster, or leaves it and tells the others so.
func (c *Cluster) SetMember(join bool) { c.set(join, false) }

// AbandonMembership ends the membership without a word: the next process of this instance goes on with it.
func (c *Cluster) AbandonMembership() { c.set(false, true) }

func (c *Cluster) set(active, silent bool) {
	c.silent.Store(silent)
	c.active.Store(active)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Leave tells the others of a planned stop and waits until it is sent, but no longer than LeaveWait.
func (c *Cluster) Leave() {
	if c.silent.Load() {
		return
	}
	c.SetMember(false)
	deadline := time.Now().Add(LeaveWait)
	for c.member.Load() && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

// Run is the actor, until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	defer close(c.ended)
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		c.reconcile()
		var events <-chan struct{}
		if c.session != nil {
			events = c.session.events.ready
		}
		select {
		case <-ctx.Done():
			c.end()
			return
		case <-c.wake:
		case <-events:
			c.session.handleEvents()
		case <-ticker.C:
			if c.session != nil {
				c.session.tick(time.Now())
			}
		}
		c.follow()
	}
}

// reconcile starts or ends the session as it should be.
func (c *Cluster) reconcile() {
	active := c.active.Load() && !c.refused
	switch {
	case active && c.session == nil && time.Now().After(c.retryAt):
		s, err := newSession(c)
		if err != nil {
			c.retryAt = time.Now().Add(startRetry)
			if err.Error() != c.lastError { // once, not each second
				c.lastError = err.Error()
				c.cfg.Log.WithError(err).Warn("membership: not joined yet, trying again")
			}
			return
		}
		c.session, c.lastError = s, ""
		c.member.Store(true)
		c.cfg.Log.WithFields(logrus.Fields{"name": c.cfg.Settings.Name,
			"listen": c.cfg.Settings.Listen.String()}).Info("membership: joined")
	case !active && c.session != nil:
		c.end()
	}
}

func (c *Cluster) end() {
	if c.session == nil {
		return
	}
	c.publish(nil)
	if c.silent.Load() {
		c.session.close()
	} else {
		c.session.leave()
	}
	c.session = nil
	c.member.Store(false)
}

// follow publishes a changed view, and logs what has changed.
func (c *Cluster) follow() {
	if c.session == nil {
		return
	}
	if c.session.conflict.Load() {
		c.cfg.Log.WithField("name", c.cfg.Settings.Name).Error(
			"membership: refused: another live process has this name, choose another; going on without a view")
		c.refused = true
		c.silent.Store(true)
		c.end()
		return
	}
	before, now := c.view.Load(), c.session.machine.View()
	if before == now {
		return
	}
	c.publish(now)
	logChanges(c.cfg.Log, before, now)
	c.session.describe(now.Divisors)
}

func (c *Cluster) publish(view *membership.View) {
	c.view.Store(view)
	if c.cfg.OnView != nil {
		c.cfg.OnView(view)
	}
}

// session is one stay in the cluster.
type session struct {
	cluster   *Cluster
	list      *memberlist.Memberlist
	transport *transport
	keyring   *memberlist.Keyring
	delegate  *delegate
	machine   *membership.StateMachine
	events    *queue
	began     time.Time
	self      atomic.Pointer[description]
	conflict  atomic.Bool
	probing   atomic.Bool
	joining   atomic.Bool
	nextProbe time.Time
	attempts  backoff
	warned    bool
}

func newSession(c *Cluster) (*session, error) {
	set := c.cfg.Settings
	now := time.Now()
	keyring, err := newKeyring(c.ring.Load(), now)
	if err != nil {
		return nil, err
	}
	logger := log.New(&libraryLog{log: c.cfg.Log, counts: &c.counts}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{set.Listen.Addr().String()},
		BindPort: int(set.Listen.Port()), Logger: logger})
	if err != nil {
		return nil, err
	}
	s := &session{cluster: c, keyring: keyring, began: now, events: newQueue(), transport: newTransport(inner, set.Via, &c.counts)}
	s.self.Store(&description{Zone: set.Zone, Region: set.Region, Version: c.cfg.Version, Incarnation: uint64(now.UnixMilli())})
	lib := memberlist.DefaultLANConfig()
	lib.Name, lib.Transport, lib.Keyring, lib.Logger = set.Name, s.transport, keyring, logger
	lib.BindAddr, lib.BindPort = set.Listen.Addr().String(), int(set.Listen.Port())
	lib.AdvertiseAddr, lib.AdvertisePort = lib.BindAddr, lib.BindPort
	lib.DeadNodeReclaimTime = time.Second // a process may come back at another address
	s.delegate = newDelegate(s)
	lib.Delegate, lib.Events, lib.Ping, lib.Conflict = s.delegate, s.delegate, s.delegate, s.delegate
	self := s.self.Load().member(set.Name, set.Listen.String())
	s.machine, err = membership.New(membership.Config{Self: self, FleetSize: c.cfg.ConfiguredSize.Fleet, ZoneSize: c.cfg.ConfiguredSize.Zone, Standalone: s.alone(),
		WallClock: time.Duration(now.UnixNano()), MaxPartitionDuration: set.PartitionHold, DetectionTime: detectionTime(lib, c.cfg.ConfiguredSize.Fleet)})
	if err == nil {
		s.list, err = memberlist.Create(lib)
	}
	if err != nil {
		s.transport.Shutdown()
		return nil, fmt.Errorf("membership: %w", err)
	}
	return s, nil
}

// alone tells whether no seed but the instance itself is configured.
func (s *session) alone() bool {
	for _, seed := range s.cluster.cfg.Settings.Seeds {
		if seed != s.cluster.cfg.Settings.Listen {
			return false
		}
	}
	return true
}

// detectionTime is within what the library reports a failure among so many members: the longest suspicion, as nobody
// confirms it, and what comes before and after it.
func detectionTime(lib *memberlist.Config, members int) time.Duration {
	scale := max(1, math.Log10(max(1, float64(members))))
	longest := float64(lib.SuspicionMult*lib.SuspicionMaxTimeoutMult) * scale * float64(lib.ProbeInterval)
	return time.Duration(longest) + detectExtra
}

// now is the machine's time.
func (s *session) now() time.Duration { return time.Since(s.began) }

func (s *session) handleEvents() {
	for _, event := range s.events.take() {
		s.machine.Handle(s.now(), event)
		if _, lost := event.(membership.FailureReported); lost {
			s.nextProbe = time.Time{} // with the next tick: what the probes bring decides
		}
	}
}

// tick does what is due: the machine's tick, a round of probes, an attempt to find the lost, new keys.
func (s *session) tick(now time.Time) {
	s.handleEvents()
	s.machine.Handle(s.now(), membership.Tick{})
	if now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = now.Add(probeEvery)
	s.probe()
	s.reconnect(now)
	if err := useKeys(s.keyring, s.cluster.ring.Load(), now); err != nil {
		if !s.warned {
			s.cluster.cfg.Log.WithError(err).Warn("membership: the keys in use stay")
		}
		s.warned = true
	} else {
		s.warned = false
	}
}

// probe asks a member that is alive, or some while there are suspects, some that are suspect and one that has failed,
// whether both directions work.
func (s *session) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	view, self := s.machine.View(), s.cluster.cfg.Settings.Name
	members, most := view.Members, 1
	if view.Suspect > 0 {
		most = aliveProbed // a failure is confirmed only once others have answered
	}
	targets := pick(members, self, membership.Alive, most)
	targets = append(targets, pick(members, self, membership.Suspect, suspectsProbed)...)
	if s.isTurn() {
		targets = append(targets, pick(members, self, membership.Failed, 1)...)
	}
	go func() {
		defer s.probing.Store(false)
		var all sync.WaitGroup
		for _, m := range targets {
			all.Go(func() { s.probeOne(m) })
		}
		all.Wait()
	}()
}

// probeOne probes a member. A lost one that answers is joined, so that it hears what is said of it and refutes that.
func (s *session) probeOne(m membership.Member) {
	answered := s.ask(m.Name, m.Address)
	switch {
	case !answered:
		s.events.put(membership.ProbeFailed{Name: m.Name})
	case m.State != membership.Alive && s.isTurn():
		s.join([]string{m.Address})
	}
}

// isTurn draws the instances that do something of which a few in the whole cluster are enough.
func (s *session) isTurn() bool { return rand.IntN(max(1, s.alive())) < turnsAtOnce }

// join merges states with whoever is at these addresses, unless another join is under way.
func (s *session) join(addresses []string) {
	if s.joining.CompareAndSwap(false, true) {
		defer s.joining.Store(false)
		s.list.Join(addresses) // a failure is tried again
	}
}

// ask probes a member and tells whether it answered.
func (s *session) ask(name, address string) bool {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	if _, err = s.list.Ping(name, to); err != nil {
		return false
	}
	s.events.put(membership.ProbeSucceeded{Name: name})
	return true
}

// reconnect tries to join seeds and lost members, as long as one is missing.
func (s *session) reconnect(now time.Time) {
	missing := s.missing()
	if len(missing) == 0 {
		s.attempts.reset()
		return
	}
	if s.attempts.next(now, time.Duration(s.alive())*attemptEach) {
		go s.join(missing)
	}
}

// missing picks some of the addresses at which a member should be and none is alive.
func (s *session) missing() []string {
	view := s.machine.View()
	alive, candidates := map[string]bool{}, []string{}
	for _, m := range view.Members {
		if m.State == membership.Alive {
			alive[m.Address] = true
		}
	}
	for _, m := range view.Members {
		if (m.State == membership.Suspect || m.State == membership.Failed) && !alive[m.Address] {
			candidates = append(candidates, m.Address)
		}
	}
	for _, seed := range s.cluster.cfg.Settings.Seeds {
		if !alive[seed.String()] {
			candidates = append(candidates, seed.String())
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(addressesAtOnce, len(candidates))]
}

// describe tells the others a changed divisor.
func (s *session) describe(sharing membership.BudgetDivisors) {
	d := *s.self.Load()
	d.Divisor = 0
	if sharing.Converged {
		d.Divisor = sharing.Zone
	}
	if d != *s.self.Load() {
		s.self.Store(&d)
		go s.list.UpdateNode(updateWait)
	}
}

// refuteDeparture answers a false word that this instance has left.
func (s *session) refuteDeparture(said uint64) {
	d := *s.self.Load()
	if said < d.Incarnation || time.Duration(said)*time.Millisecond > time.Duration(time.Now().Add(time.Minute).UnixNano()) {
		return
	}
	d.Incarnation = max(said+1, uint64(time.Now().UnixMilli()))
	s.self.Store(&d)
	go s.list.UpdateNode(updateWait)
}

// leave tells the others of a planned stop, and closes.
func (s *session) leave() {
	s.delegate.depart()
	s.list.Leave(LeaveWait)
	s.close()
}

func (s *session) close() { s.list.Shutdown() }

// conflicting is called where another process has this instance's name at another address. The one that started first
// stays; the second ends if the first one answers.
func (s *session) conflicting(other *memberlist.Node) {
	d, err := decodeDescription(other.Meta)
	if err != nil || d.Incarnation > s.self.Load().Incarnation {
		return
	}
	address := netip.AddrPortFrom(addressOf(other.Addr), other.Port).String()
	go func() {
		for range conflictAsks {
			if s.ask(other.Name, address) {
				s.conflict.Store(true)
				return
			}
		}
	}()
}
