package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/sirupsen/logrus"
)

// staleCheckInterval is the time between two checks of whether the leader is stale.
const staleCheckInterval = 250 * time.Millisecond

// errServerLagging means that the selector has decided to leave a server because of its heartbeat.
var errServerLagging = errors.New("the server has no contact to the leader or an older version than this follower")

// Follower replicates the document from one control-plane server at a time into a broadcaster.
type Follower struct {
	broadcaster *Broadcaster
	keys        *Keyring
	site        string
	log         *logrus.Logger

	// onState is called from Run for each new state, in ascending order of the versions.
	onState func(replica.State)

	mu            sync.Mutex // guards the fields below
	selector      *replica.ServerSelector
	lastFailure   string // address of the last server that was left or not reached, and the error
	loggedServer  string // address of the server in the last "replicating" log line
	currentServer string // address of the last server that the selector decided to stay connected to
}

// NewFollower returns a follower that calls onState for each new state. onState may block, which delays replication.
// Different seeds spread the followers over the servers.
func NewFollower(
	broadcaster *Broadcaster, servers []replica.Server, region string, seed uint64, keys *Keyring, site string,
	onState func(replica.State), log *logrus.Logger,
) *Follower {
	follower := &Follower{
		broadcaster: broadcaster,
		keys:        keys,
		site:        site,
		log:         log,
		onState:     onState,
		selector:    replica.NewServerSelector(servers, region, seed, time.Now()),
	}
	broadcaster.setLeaderAge(follower.leaderAge)
	return follower
}

// leaderAge returns the time since the last contact to the leader.
func (f *Follower) leaderAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.LeaderAge(now)
}

// LeaderStale reports whether there has been no contact to the leader for replica.LeaderTimeout.
func (f *Follower) LeaderStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkLeaderStale()
}

// checkLeaderStale reports whether the leader is stale, and logs each transition between stale and not stale. The
// caller holds mu.
func (f *Follower) checkLeaderStale() bool {
	stale, changed := f.selector.LeaderStale(time.Now())
	if !changed {
		return stale
	}
	entry := f.log.WithField("version", f.broadcaster.State().Version.String())
	if stale {
		entry.WithField("cause", f.lastFailure).
			Warnf("control: no contact to the leader for %v, continuing with the current version", replica.LeaderTimeout)
	} else {
		entry.WithField("server", f.currentServer).Info("control: contact to the leader restored")
	}
	return stale
}

// Run replicates until ctx ends. When a connection fails or its server is left, it connects to the next server.
func (f *Follower) Run(ctx context.Context) {
	var monitor sync.WaitGroup
	defer monitor.Wait()
	monitor.Go(func() { f.monitorLeader(ctx) })
	for {
		server, backoff := f.nextServer()
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return
		}
		err := f.replicateFrom(ctx, server)
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(fmt.Sprintf("%s: %v", server.Address, err))
	}
}

// monitorLeader checks periodically whether the leader is stale, until ctx ends. Without it, nothing would be logged
// while no heartbeat arrives.
func (f *Follower) monitorLeader(ctx context.Context) {
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.LeaderStale()
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) nextServer() (replica.Server, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.Next()
}

// recordFailure records why a server was left or not reached. The next log line about a stale leader contains it.
func (f *Follower) recordFailure(failure string) {
	f.log.WithField("cause", failure).Debug("control: trying the next server")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = failure
}

// replicateFrom connects to a server and applies the messages that the server sends. It returns the error that ended
// the connection.
func (f *Follower) replicateFrom(ctx context.Context, server replica.Server) error {
	dialer := net.Dialer{Timeout: replica.ReplyTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	peer := newSecureConn(conn)
	if err := peer.clientHandshake(f.keys, f.site); err != nil {
		return err
	}
	version := f.broadcaster.State().Version
	if err := peer.send(message{Subscribe: &version}); err != nil {
		return err
	}
	defer f.broadcaster.discardChunks()
	timeout := replica.ReplyTimeout
	for {
		var received message
		if err := peer.receive(&received, timeout); err != nil {
			return err
		}
		timeout = replica.IdleTimeout
		if err := f.handleMessage(server, received); err != nil {
			return err
		}
	}
}

// handleMessage applies a message of a server. It returns an error if the message is rejected, and errServerLagging
// if the follower has to leave the server.
func (f *Follower) handleMessage(server replica.Server, received message) error {
	if received.Heartbeat != nil {
		return f.handleHeartbeat(server, *received.Heartbeat)
	}
	var state replica.State
	var changed bool
	var err error
	if received.Chunk != nil {
		state, changed, err = f.broadcaster.applyChunk(*received.Chunk)
	} else {
		state, changed, err = f.broadcaster.applyChanges(received.Changes)
	}
	if err != nil {
		f.log.WithError(err).WithField("server", server.Address).Error("control: update from a server rejected")
		return err
	}
	if changed {
		f.log.WithFields(logrus.Fields{
			"version":   state.Version.String(),
			"endpoints": len(state.Document.Endpoints),
			"discovery": state.Document.Discovery,
		}).Info("control: version applied")
		f.onState(state)
	}
	return nil
}

// handleHeartbeat records a heartbeat of a server. It returns errServerLagging if the follower has to leave the
// server.
func (f *Follower) handleHeartbeat(server replica.Server, received heartbeat) error {
	own := f.broadcaster.State().Version
	ageMillis := min(received.LeaderAgeMillis, uint64(replica.MaxLeaderAge.Milliseconds()))
	leaderAge := time.Duration(ageMillis) * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	stays := f.selector.HeartbeatReceived(time.Now(), leaderAge, received.Version, own)
	if stays {
		f.currentServer = server.Address
		if f.loggedServer != server.Address {
			f.loggedServer = server.Address
			f.log.WithFields(logrus.Fields{"server": server.Address, "region": server.Region}).Info("control: replicating")
		}
	}
	f.checkLeaderStale()
	if !stays {
		return errServerLagging
	}
	return nil
}
