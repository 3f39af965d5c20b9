package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/sirupsen/logrus"
)

const lookEvery = 250 * time.Millisecond

// Follower fills a hub from the control machines, one at a time.
type Follower struct {
	hub   *Broadcaster
	keys  *Keyring
	site  string
	taken func(replica.State) // called from Run, in the order of the versions
	log   *logrus.Logger

	mu      sync.Mutex
	seeker  *replica.ServerSelector
	last    string // why the last machine was left
	told    string // the machine that the log told of
	current string
}

// NewFollower returns a follower; those with different seeds spread over the machines. taken hears of each version that is in
// force, and may take as long as it needs.
func NewFollower(hub *Broadcaster, machines []replica.Server, region string, seed uint64, keys *Keyring, site string,
	taken func(replica.State), log *logrus.Logger) *Follower {
	f := &Follower{hub: hub, keys: keys, site: site, taken: taken, log: log,
		seeker: replica.NewServerSelector(machines, region, seed, time.Now())}
	hub.age = f.age
	return f
}

func (f *Follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeker.LeaderAge(now)
}

// LeaderStale tells whether nothing has been heard of the writer for replica.Silence.
func (f *Follower) LeaderStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.look()
}

// look says when the silence begins and when it ends.
func (f *Follower) look() bool {
	silent, turned := f.seeker.LeaderStale(time.Now())
	if !turned {
		return silent
	}
	entry := f.log.WithField("version", f.hub.State().Version.String())
	if silent {
		entry.WithField("cause", f.last).Warnf("control: nothing heard of the writer for %v, serving on with what is there", replica.LeaderTimeout)
	} else {
		entry.WithField("machine", f.current).Info("control: the writer is heard again")
	}
	return silent
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var looking sync.WaitGroup
	defer looking.Wait()
	looking.Go(func() {
		tick := time.NewTicker(lookEvery)
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
		m, pause := f.seeker.Next()
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
		f.last = text
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
	peer := newLink(conn)
	if err := peer.call(f.keys, f.site); err != nil {
		return err
	}
	has := f.hub.State().Version
	if err := peer.send(message{Ask: &has}); err != nil {
		return err
	}
	defer f.hub.take(func(r *replica.Replica) (bool, error) { r.DiscardChunks(); return false, nil })
	wait := replica.ReplyTimeout
	for {
		var got message
		if err := peer.receive(&got, wait); err != nil {
			return err
		}
		wait = replica.IdleTimeout
		if got.Beat != nil {
			if !f.hear(m, *got.Beat) {
				return nil
			}
			continue
		}
		state, changed, err := f.hub.take(func(r *replica.Replica) (bool, error) {
			if got.Piece != nil {
				return r.ApplyChunk(*got.Piece)
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
			f.taken(state)
		}
	}
}

func (f *Follower) hear(m replica.Server, b beat) (stays bool) {
	own := f.hub.State().Version
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(min(b.AgeMS, uint64(replica.MaxLeaderAge.Milliseconds()))) * time.Millisecond
	if stays = f.seeker.HeartbeatReceived(time.Now(), age, b.Version, own); stays {
		f.current = m.Address
		if f.told != m.Address {
			f.told = m.Address
			f.log.WithFields(logrus.Fields{"machine": m.Address, "region": m.Region}).Info("control: following")
		}
	}
	f.look()
	return stays
}
