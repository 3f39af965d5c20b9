package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/sirupsen/logrus"
)

const staleCheckInterval = 250 * time.Millisecond

// Follower fills a hub from the control machines, one at a time.
type Follower struct {
	broadcaster *Broadcaster
	keys        *Keyring
	site        string
	onState     func(replica.State) // called from Run, in the order of the versions
	log         *logrus.Logger

	mu            sync.Mutex
	selector      *replica.ServerSelector
	lastFailure   string // why the last machine was left
	loggedServer  string // the machine that the log told of
	currentServer string
}

// NewFollower returns a follower; those with different seeds spread over the machines. taken hears of each version that is in
// force, and may take as long as it needs.
func NewFollower(hub *Broadcaster, machines []replica.Server, region string, seed uint64, keys *Keyring, site string,
	taken func(replica.State), log *logrus.Logger) *Follower {
	f := &Follower{broadcaster: hub, keys: keys, site: site, onState: taken, log: log,
		selector: replica.NewServerSelector(machines, region, seed, time.Now())}
	hub.leaderAge = f.leaderAge
	return f
}

func (f *Follower) leaderAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.LeaderAge(now)
}

// LeaderStale tells whether nothing has been heard of the writer for replica.Silence.
func (f *Follower) LeaderStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkLeaderStale()
}

// checkLeaderStale says when the silence begins and when it ends.
func (f *Follower) checkLeaderStale() bool {
	silent, turned := f.selector.LeaderStale(time.Now())
	if !turned {
		return silent
	}
	entry := f.log.WithField("version", f.broadcaster.State().Version.String())
	if silent {
		entry.WithField("cause", f.lastFailure).Warnf("control: nothing heard of the writer for %v, serving on with what is there", replica.LeaderTimeout)
	} else {
		entry.WithField("machine", f.currentServer).Info("control: the writer is heard again")
	}
	return silent
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var looking sync.WaitGroup
	defer looking.Wait()
	looking.Go(func() {
		tick := time.NewTicker(staleCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				f.LeaderStale()
			case <-ctx.Done():
				return
			}
		}
	})
	for {
		f.mu.Lock()
		m, pause := f.selector.Next()
		f.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		err := f.follow(ctx, m)
		if ctx.Err() != nil {
			return
		}
		text := m.Address + ": has not heard the writer, or is behind"
		if err != nil {
			text = m.Address + ": " + err.Error()
		}
		f.log.WithField("cause", text).Debug("control: on to the next machine")
		f.mu.Lock()
		f.lastFailure = text
		f.mu.Unlock()
	}
}

// follow takes what one machine sends, until it is lost or left.
func (f *Follower) follow(ctx context.Context, m replica.Server) error {
	dialer := net.Dialer{Timeout: replica.ReplyTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	peer := newSecureConn(conn)
	if err := peer.clientHandshake(f.keys, f.site); err != nil {
		return err
	}
	has := f.broadcaster.State().Version
	if err := peer.send(message{Subscribe: &has}); err != nil {
		return err
	}
	defer f.broadcaster.update(func(r *replica.Replica) (bool, error) { r.DiscardChunks(); return false, nil })
	wait := replica.ReplyTimeout
	for {
		var got message
		if err := peer.receive(&got, wait); err != nil {
			return err
		}
		wait = replica.IdleTimeout
		if got.Heartbeat != nil {
			if !f.handleHeartbeat(m, *got.Heartbeat) {
				return nil
			}
			continue
		}
		state, changed, err := f.broadcaster.update(func(r *replica.Replica) (bool, error) {
			if got.Chunk != nil {
				return r.ApplyChunk(*got.Chunk)
			}
			return r.ApplyChanges(got.Changes)
		})
		if err != nil {
			f.log.WithError(err).WithField("machine", m.Address).Error("control: what a machine sent is not taken over")
			return err
		}
		if changed {
			f.log.WithFields(logrus.Fields{"version": state.Version.String(), "rooms": len(state.Document.Rooms),
				"discovery": state.Document.Discovery}).Info("control: version taken over")
			f.onState(state)
		}
	}
}

func (f *Follower) handleHeartbeat(m replica.Server, b heartbeat) (stays bool) {
	own := f.broadcaster.State().Version
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(min(b.LeaderAgeMillis, uint64(replica.MaxLeaderAge.Milliseconds()))) * time.Millisecond
	if stays = f.selector.HeartbeatReceived(time.Now(), age, b.Version, own); stays {
		f.currentServer = m.Address
		if f.loggedServer != m.Address {
			f.loggedServer = m.Address
			f.log.WithFields(logrus.Fields{"machine": m.Address, "region": m.Region}).Info("control: following")
		}
	}
	f.checkLeaderStale()
	return stays
}
