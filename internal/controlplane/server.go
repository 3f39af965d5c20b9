package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxFollowers limits the open connections of one control-plane server. It closes further ones at once.
	maxFollowers = 4096

	// acceptBackoff is the wait after a failed call of Accept. Without it the loop would spin while the process has
	// no free file descriptors.
	acceptBackoff = 100 * time.Millisecond

	// logInterval is the minimum time between two warnings of the same kind that a remote peer can cause.
	logInterval = 10 * time.Second
)

// Server accepts the connections of followers and sends them a broadcaster's document. Each control-plane server
// process runs one.
type Server struct {
	broadcaster *Broadcaster
	keys        *Keyring
	site        string
	log         *logrus.Logger

	newerFollowerLog rate.Sometimes
	rejectionLog     rate.Sometimes
}

// NewServer returns a server that sends a broadcaster's document. It accepts followers of the same site that have a
// key of the keyring.
func NewServer(broadcaster *Broadcaster, keys *Keyring, site string, log *logrus.Logger) *Server {
	return &Server{
		broadcaster:      broadcaster,
		keys:             keys,
		site:             site,
		log:              log,
		newerFollowerLog: rate.Sometimes{First: 1, Interval: logInterval},
		rejectionLog:     rate.Sometimes{First: 1, Interval: logInterval},
	}
}

// Serve accepts followers until ctx ends. It then closes the listener and all connections, and returns when the
// last connection has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxFollowers)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("control: a connection could not be accepted")
			select {
			case <-ctx.Done():
			case <-time.After(acceptBackoff):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close() // the follower will try another server
			continue
		}
		connections.Go(func() {
			defer func() { <-slots }()
			s.serveConnection(ctx, conn)
		})
	}
}

// serveConnection serves one follower until its connection or ctx ends.
func (s *Server) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	peer := newSecureConn(conn)
	if err := peer.serverHandshake(s.keys, s.site); err != nil {
		s.rejectionLog.Do(func() {
			s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("control: follower rejected")
		})
		return
	}
	if err := s.serveFollower(ctx, peer); err != nil {
		s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Debug("control: follower disconnected")
	}
}

// serveFollower sends a follower the changes or the snapshot that bring it up to date, and then each new change. It
// sends a heartbeat at the start, once the follower is up to date, and then every replica.HeartbeatInterval.
func (s *Server) serveFollower(ctx context.Context, peer *secureConn) error {
	sentVersion, err := s.receiveSubscription(peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var monitor sync.WaitGroup
	monitor.Go(func() {
		waitForDisconnect(peer)
		cancel()
	})
	defer monitor.Wait()
	defer peer.conn.Close() // makes waitForDisconnect return

	ticker := time.NewTicker(replica.HeartbeatInterval)
	defer ticker.Stop()
	heartbeatDue := true
	for {
		update := s.broadcaster.updateSince(sentVersion)
		if update.needsSnapshot || len(update.changes) > 0 {
			if sentVersion, err = sendUpdate(peer, update); err != nil {
				return err
			}
			continue
		}
		if heartbeatDue {
			if err := s.sendHeartbeat(peer, update.state.Version); err != nil {
				return err
			}
			heartbeatDue = false
		}
		select {
		case <-update.nextChange:
		case <-ticker.C:
			heartbeatDue = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveSubscription receives a follower's Subscribe message and returns the follower's version. It logs a warning
// if that version is newer than the server's.
func (s *Server) receiveSubscription(peer *secureConn) (replica.Version, error) {
	var received message
	if err := peer.receive(&received, replica.ReplyTimeout); err != nil {
		return replica.Version{}, err
	}
	if received.Subscribe == nil {
		return replica.Version{}, errProtocol
	}
	version := *received.Subscribe
	if s.broadcaster.observeFollower(version) {
		s.newerFollowerLog.Do(func() {
			s.log.WithFields(logrus.Fields{
				"follower_version": version.String(),
				"version":          s.broadcaster.State().Version.String(),
			}).Warn("control: a follower has a newer version than this server; " +
				"if this server is the leader, its state was lost: raise its term")
		})
	}
	return version, nil
}

// waitForDisconnect returns when the connection ends, or when the follower sends a byte. A follower sends nothing
// after its subscription, so the connection is closed in both cases.
func waitForDisconnect(peer *secureConn) {
	peer.conn.SetReadDeadline(time.Time{})
	peer.reader.ReadByte()
}

// sendUpdate sends changes or a snapshot. It returns the version that the follower has once it has applied them.
func sendUpdate(peer *secureConn, update pendingUpdate) (replica.Version, error) {
	if !update.needsSnapshot {
		err := peer.send(message{Changes: update.changes})
		return update.changes[len(update.changes)-1].To, err
	}
	for _, chunk := range update.state.Chunks() {
		if err := peer.send(message{Chunk: &chunk}); err != nil {
			return replica.Version{}, err
		}
	}
	return update.state.Version, nil
}

func (s *Server) sendHeartbeat(peer *secureConn, version replica.Version) error {
	leaderAge := s.broadcaster.currentLeaderAge()
	return peer.send(message{Heartbeat: &heartbeat{
		Version:         version,
		LeaderAgeMillis: uint64(leaderAge.Milliseconds()),
	}})
}
