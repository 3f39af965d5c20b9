package gossip

import (
	"fmt"
	"log"
	"math"
	"sync/atomic"
	"time"

	"cottonplank/internal/cluster/membership"

	"github.com/hashicorp/memberlist"
)

const (
	// updateTimeout is the longest wait for the first transmission of new metadata of this instance.
	updateTimeout = 200 * time.Millisecond
	// detectionOverhead is the time that the detection of a failure takes in addition to the library's longest
	// suspicion: for probes, gossip and the suspicion of the state machine.
	detectionOverhead = 14 * time.Second
	// addressReclaimTime is how long the library binds a failed member's name to its address. It is short, because a
	// process may restart at another address.
	addressReclaimTime = time.Second
)

// session is one period of membership in the cluster, from the join to the leave. Only Run's goroutine may call its
// methods unless their comments say otherwise. The session starts goroutines that call the library. Each of them ends
// within the library's timeouts. The session does not wait for them, because a planned stop must not be delayed by a
// peer that does not answer.
type session struct {
	cluster   *Cluster
	list      *memberlist.Memberlist
	transport *transport
	keyring   *memberlist.Keyring
	delegate  *delegate
	machine   *membership.StateMachine
	events    *eventQueue
	startedAt time.Time
	// metadata is the description that this instance announces of itself.
	metadata atomic.Pointer[nodeMetadata]
	// nameConflict reports that an older process with this instance's name answers at another address.
	nameConflict atomic.Bool
	// probing reports that a round of probes is under way.
	probing atomic.Bool
	// joining reports that an attempt to join is under way.
	joining atomic.Bool
	// nextProbe is the earliest time of the next round of probes. The attempts to join and the updates of the keys follow
	// it as well.
	nextProbe time.Time
	// rejoin schedules the attempts to join missing members.
	rejoin backoff
	// keysWarned reports that the latest update of the keys failed. The failure was logged.
	keysWarned bool
}

func newSession(c *Cluster) (*session, error) {
	settings := c.cfg.Settings
	now := time.Now()
	keyring, err := newKeyring(c.ring.Load(), now)
	if err != nil {
		return nil, err
	}
	logger := log.New(&libraryLog{log: c.cfg.Log, counters: &c.counters}, "", 0)
	libraryTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{settings.Listen.Addr().String()},
		BindPort:  int(settings.Listen.Port()),
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	s := &session{
		cluster:   c,
		keyring:   keyring,
		startedAt: now,
		events:    newEventQueue(),
		transport: newTransport(libraryTransport, settings.DialAddresses, &c.counters),
	}
	s.metadata.Store(&nodeMetadata{
		Zone:        settings.Zone,
		Region:      settings.Region,
		Version:     c.cfg.Version,
		Incarnation: uint64(now.UnixMilli()),
	})
	s.delegate = newDelegate(s)
	if err := s.start(s.libraryConfig(logger)); err != nil {
		s.transport.Shutdown()
		return nil, fmt.Errorf("membership: %w", err)
	}
	return s, nil
}

// libraryConfig returns the library's default configuration for a LAN with this session's transport, keys and
// callbacks.
func (s *session) libraryConfig(logger *log.Logger) *memberlist.Config {
	settings := s.cluster.cfg.Settings
	cfg := memberlist.DefaultLANConfig()
	cfg.Name = settings.Name
	cfg.Transport = s.transport
	cfg.Keyring = s.keyring
	cfg.Logger = logger
	cfg.BindAddr = settings.Listen.Addr().String()
	cfg.BindPort = int(settings.Listen.Port())
	cfg.AdvertiseAddr = cfg.BindAddr
	cfg.AdvertisePort = cfg.BindPort
	cfg.DeadNodeReclaimTime = addressReclaimTime
	cfg.Delegate = s.delegate
	cfg.Events = s.delegate
	cfg.Ping = s.delegate
	cfg.Conflict = s.delegate
	return cfg
}

// start creates the state machine and starts the library.
func (s *session) start(libraryConfig *memberlist.Config) error {
	settings, size := s.cluster.cfg.Settings, s.cluster.cfg.ConfiguredSize
	machine, err := membership.New(membership.Config{
		Self:                 s.metadata.Load().member(settings.Name, settings.Listen.String()),
		FleetSize:            size.Fleet,
		ZoneSize:             size.Zone,
		Standalone:           s.isStandalone(),
		WallClock:            time.Duration(s.startedAt.UnixNano()),
		MaxPartitionDuration: settings.MaxPartitionDuration,
		DetectionTime:        detectionTime(libraryConfig, size.Fleet),
	})
	if err != nil {
		return err
	}
	s.machine = machine
	s.list, err = memberlist.Create(libraryConfig)
	return err
}

// isStandalone reports whether no seed other than the instance itself is configured.
func (s *session) isStandalone() bool {
	settings := s.cluster.cfg.Settings
	for _, seed := range settings.Seeds {
		if seed != settings.Listen {
			return false
		}
	}
	return true
}

// detectionTime returns the time within which a failure is detected in a cluster with the given number of members.
// That is the library's longest suspicion, which applies if no other member confirms the failure, and
// detectionOverhead.
func detectionTime(cfg *memberlist.Config, members int) time.Duration {
	scale := max(1, math.Log10(max(1, float64(members))))
	longestSuspicion := float64(cfg.SuspicionMult*cfg.SuspicionMaxTimeoutMult) * scale * float64(cfg.ProbeInterval)
	return time.Duration(longestSuspicion) + detectionOverhead
}

// elapsed returns the time since the start of the session, which is the state machine's time.
func (s *session) elapsed() time.Duration { return time.Since(s.startedAt) }

// handleEvents feeds the queued events to the state machine.
func (s *session) handleEvents() {
	for _, event := range s.events.drain() {
		s.machine.Handle(s.elapsed(), event)
		if _, failed := event.(membership.FailureReported); failed {
			s.nextProbe = time.Time{} // probe the suspect on the next tick
		}
	}
}

// tick forwards the tick to the state machine. Once per probeInterval, or earlier after a failure report, it also
// starts a round of probes, tries to join missing members and updates the keys.
func (s *session) tick(now time.Time) {
	s.handleEvents()
	s.machine.Handle(s.elapsed(), membership.Tick{})
	if now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = now.Add(probeInterval)
	s.probe()
	s.rejoinMissing(now)
	s.updateKeys(now)
}

// updateKeys updates the library's keys. If updates fail repeatedly, it logs only the first failure.
func (s *session) updateKeys(now time.Time) {
	err := updateKeyring(s.keyring, s.cluster.ring.Load(), now)
	if err != nil && !s.keysWarned {
		s.cluster.cfg.Log.WithError(err).Warn("membership: keys not updated, keeping those in use")
	}
	s.keysWarned = err != nil
}

// announceDivisor announces the divisor of the zone's budget to the other members if it has changed. It announces 0
// while the view has not converged.
func (s *session) announceDivisor(divisors membership.BudgetDivisors) {
	metadata := *s.metadata.Load()
	metadata.Divisor = 0
	if divisors.Converged {
		metadata.Divisor = divisors.Zone
	}
	if metadata != *s.metadata.Load() {
		s.announce(metadata)
	}
}

// announce replaces the metadata of this instance and gossips it. It may be called from any goroutine.
//
// Known data race in the library: UpdateNode reads the address of this instance's node without the lock under which it
// writes the same address back. Two updates at the same time, for example of announceDivisor and refuteLeave, race.
func (s *session) announce(metadata nodeMetadata) {
	s.metadata.Store(&metadata)
	go s.list.UpdateNode(updateTimeout) // the timeout ends only the wait for the first transmission, not the gossip
}

// leave announces a planned stop to the other members and closes the session.
func (s *session) leave() {
	s.delegate.announceLeave()
	s.list.Leave(LeaveTimeout)
	s.close()
}

func (s *session) close() { s.list.Shutdown() }
