// Package gossip connects package membership to the network. The library hashicorp/memberlist discovers members and
// detects failures (the protocol SWIM with the extensions of Lifeguard). This package feeds the library's reports to
// the state machine of package membership, which decides what to conclude from them. One goroutine owns the state
// machine; the library's callbacks do not call it but push events into a queue that this goroutine reads.
package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/config"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

const (
	// LeaveTimeout is the maximum duration of Leave.
	LeaveTimeout = 400 * time.Millisecond
	// leavePollInterval is the interval at which Leave checks whether the membership has ended.
	leavePollInterval = 10 * time.Millisecond
	// startRetryInterval is the time between two attempts to start a session. An attempt fails, for example, while the
	// previous process of this instance still has the gossip address bound.
	startRetryInterval = time.Second
)

// Config configures a Cluster.
type Config struct {
	// Settings is the section "membership" of the operator's file.
	Settings config.Membership
	// Ring holds the keys that encrypt the gossip.
	Ring *token.Ring
	// ConfiguredSize is the number of instances according to the settings.
	ConfiguredSize decide.FleetSize
	// Version is the version of the program.
	Version string
	// Log receives the changes of the view and the errors.
	Log *logrus.Logger
	// OnView is called from Run's goroutine with each new view, and with nil when the membership ends. OnView may be
	// nil.
	OnView func(*membership.View)
}

// Cluster is this instance's membership in the cluster. Run joins and leaves the cluster. The other methods read
// Run's results or request a change; they may be called concurrently.
type Cluster struct {
	cfg      Config
	counters counters
	ring     atomic.Pointer[token.Ring]
	view     atomic.Pointer[membership.View]
	// wantMember reports whether the instance should be a member.
	wantMember atomic.Bool
	// isMember reports whether the instance is a member.
	isMember atomic.Bool
	// leaveSilently makes the membership end without an announcement, because a replacement process continues it or
	// another process has this instance's name.
	leaveSilently atomic.Bool
	// wake makes Run start or end the session after wantMember has changed.
	wake chan struct{}

	// Only Run's goroutine uses the fields below.

	// session is nil while the instance is not a member.
	session *session
	// nextAttempt is the earliest time of the next attempt to start a session.
	nextAttempt time.Time
	// lastError is the text of the latest error on starting a session; empty after a success.
	lastError string
	// nameConflict reports that another live process has this instance's name. This process then does not join again.
	nameConflict bool
}

// New returns a Cluster that joins the cluster when Run is called.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, wake: make(chan struct{}, 1)}
	c.ring.Store(cfg.Ring)
	c.wantMember.Store(true)
	return c
}

// View returns the latest view, or nil while the instance is not a member.
func (c *Cluster) View() *membership.View { return c.view.Load() }

// Stats returns the counts of gossip frames since the start of the process.
func (c *Cluster) Stats() Stats { return c.counters.stats() }

// SetKeys replaces the keys that encrypt the gossip. Run applies them with its next round of probes.
func (c *Cluster) SetKeys(ring *token.Ring) { c.ring.Store(ring) }

// SetMember makes the instance join the cluster, or announce a planned stop and leave the cluster. It returns before
// Run has done so.
func (c *Cluster) SetMember(join bool) { c.setMember(join, false) }

// AbandonMembership ends the membership without an announcement, because a replacement process of this instance
// continues it. It returns before Run has done so.
func (c *Cluster) AbandonMembership() { c.setMember(false, true) }

func (c *Cluster) setMember(join, silently bool) {
	c.leaveSilently.Store(silently)
	c.wantMember.Store(join)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Leave announces a planned stop to the other members and waits for the end of the membership, for at most
// LeaveTimeout. After AbandonMembership, or if another process has this instance's name, it does nothing.
func (c *Cluster) Leave() {
	if c.leaveSilently.Load() {
		return
	}
	c.SetMember(false)
	deadline := time.Now().Add(LeaveTimeout)
	for c.isMember.Load() && time.Now().Before(deadline) {
		time.Sleep(leavePollInterval)
	}
}

// Run joins the cluster and maintains the membership until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
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
			c.endSession()
			return
		case <-c.wake:
		case <-events:
			c.session.handleEvents()
		case <-ticker.C:
			if c.session != nil {
				c.session.tick(time.Now())
			}
		}
		c.publishChanges()
	}
}

// reconcile starts a session if the instance should be a member and is not, and ends the session if it should not be
// a member.
func (c *Cluster) reconcile() {
	wanted := c.wantMember.Load() && !c.nameConflict
	switch {
	case wanted && c.session == nil && time.Now().After(c.nextAttempt):
		c.startSession()
	case !wanted && c.session != nil:
		c.endSession()
	}
}

// startSession starts a session, which then tries to reach the seeds. The log line "joined" means that the instance
// takes part in the gossip, not that another member has answered.
func (c *Cluster) startSession() {
	session, err := newSession(c)
	if err != nil {
		c.nextAttempt = time.Now().Add(startRetryInterval)
		if err.Error() != c.lastError { // log an error once, not on each attempt
			c.lastError = err.Error()
			c.cfg.Log.WithError(err).Warn("membership: not joined yet, trying again")
		}
		return
	}
	c.session = session
	c.lastError = ""
	c.isMember.Store(true)
	fields := logrus.Fields{"name": c.cfg.Settings.Name, "listen": c.cfg.Settings.Listen.String()}
	c.cfg.Log.WithFields(fields).Info("membership: joined")
}

func (c *Cluster) endSession() {
	if c.session == nil {
		return
	}
	c.publish(nil)
	if c.leaveSilently.Load() {
		c.session.close()
	} else {
		c.session.leave()
	}
	c.session = nil
	c.isMember.Store(false)
}

// publishChanges publishes and logs the view if it has changed. It ends the session if another live process has this
// instance's name.
func (c *Cluster) publishChanges() {
	if c.session == nil {
		return
	}
	if c.session.nameConflict.Load() {
		c.cfg.Log.WithField("name", c.cfg.Settings.Name).Error(
			"membership: rejected: another live process has this name, configure a unique name; continuing without a view")
		c.nameConflict = true
		c.leaveSilently.Store(true)
		c.endSession()
		return
	}
	before, now := c.view.Load(), c.session.machine.View()
	if before == now {
		return
	}
	c.publish(now)
	logViewChange(c.cfg.Log, before, now)
	c.session.announceDivisor(now.Divisors)
}

func (c *Cluster) publish(view *membership.View) {
	c.view.Store(view)
	if c.cfg.OnView != nil {
		c.cfg.OnView(view)
	}
}

// aliveCount returns the number of live members in the latest view, including this instance, or 1 without a view.
func (c *Cluster) aliveCount() int {
	if view := c.view.Load(); view != nil {
		return view.Alive
	}
	return 1
}
