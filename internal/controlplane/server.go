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
	maxFollowers = 4096 // at one machine
	logInterval  = 10 * time.Second
)

// Broadcaster holds a copy of the document for those that follow it here, and for the one that fills it.
type Broadcaster struct {
	mu        sync.Mutex
	replica   *replica.Replica
	changed   chan struct{}                     // closed when another version is in force
	leaderAge func(now time.Time) time.Duration // since the writer was there
}

// NewBroadcaster returns a hub with a state. keeps: it is served from here.
func NewBroadcaster(state replica.State, keeps bool) *Broadcaster {
	return &Broadcaster{replica: replica.New(state, keeps), changed: make(chan struct{}), leaderAge: func(time.Time) time.Duration { return 0 }}
}

// State is the state in force.
func (h *Broadcaster) State() replica.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.State()
}

// update lets do change the copy, and tells who follows.
func (h *Broadcaster) update(do func(*replica.Replica) (bool, error)) (state replica.State, changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changed, err = do(h.replica); changed && err == nil {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return h.replica.State(), changed && err == nil, err
}

// changesSince is what a follower with a version is sent now, and what tells of the next change.
func (h *Broadcaster) changesSince(v replica.Version) (state replica.State, changes []replica.Change, whole bool, next <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes, whole = h.replica.ChangesSince(v)
	return h.replica.State(), changes, whole, h.changed
}

// Server serves a hub's document.
type Server struct {
	broadcaster *Broadcaster
	keys        *Keyring
	site        string
	log         *logrus.Logger

	newerFollowerLog, rejectionLog rate.Sometimes
}

// NewServer returns a server of a hub.
func NewServer(hub *Broadcaster, keys *Keyring, site string, log *logrus.Logger) *Server {
	return &Server{broadcaster: hub, keys: keys, site: site, log: log, newerFollowerLog: rate.Sometimes{First: 1, Interval: logInterval},
		rejectionLog: rate.Sometimes{First: 1, Interval: logInterval}}
}

// Serve takes followers in until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var all sync.WaitGroup
	defer all.Wait()
	seats := make(chan struct{}, maxFollowers)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("control: a connection could not be accepted")
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond): // descriptors may have run out
			}
			continue
		}
		select {
		case seats <- struct{}{}:
		default:
			conn.Close() // the follower asks another machine
			continue
		}
		all.Go(func() {
			defer func() { <-seats }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			peer := newSecureConn(conn)
			if err := peer.serverHandshake(s.keys, s.site); err != nil {
				s.rejectionLog.Do(func() {
					s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("control: a follower was refused")
				})
				return
			}
			if err := s.serveFollower(ctx, peer); err != nil {
				s.log.WithError(err).WithField("peer", conn.RemoteAddr().String()).Debug("control: a follower is gone")
			}
		})
	}
}

// serveFollower sends a follower all that it does not have, from now on.
func (s *Server) serveFollower(ctx context.Context, peer *secureConn) error {
	var m message
	if err := peer.receive(&m, replica.ReplyTimeout); err != nil {
		return err
	}
	if m.Subscribe == nil {
		return errProtocol
	}
	has := *m.Subscribe
	s.broadcaster.mu.Lock()
	ahead := s.broadcaster.replica.ObserveFollower(has)
	s.broadcaster.mu.Unlock()
	if ahead {
		s.newerFollowerLog.Do(func() {
			s.log.WithFields(logrus.Fields{"theirs": has.String(), "ours": s.broadcaster.State().Version.String()}).
				Warn("control: a follower has a newer version than this machine; if this one writes, its state was lost: raise its term")
		})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer.conn.SetReadDeadline(time.Time{})
	go func() { // a follower says nothing more: what can be read is its end
		peer.reader.ReadByte()
		cancel()
	}()
	beats := time.NewTicker(replica.HeartbeatInterval)
	defer beats.Stop()
	due := true
	for {
		state, changes, whole, next := s.broadcaster.changesSince(has)
		switch {
		case whole:
			for _, p := range state.Chunks() {
				if err := peer.send(message{Chunk: &p}); err != nil {
					return err
				}
			}
			has = state.Version
			continue
		case len(changes) > 0:
			if err := peer.send(message{Changes: changes}); err != nil {
				return err
			}
			has = changes[len(changes)-1].To
			continue
		case due:
			if err := peer.send(message{Heartbeat: &heartbeat{state.Version, uint64(s.broadcaster.leaderAge(time.Now()).Milliseconds())}}); err != nil {
				return err
			}
			due = false
		}
		select {
		case <-next:
		case <-beats.C:
			due = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
