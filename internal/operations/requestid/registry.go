// Package requestid keeps the IDs of requests, so that no second request with the same ID reaches a room server while
// the first one may be executed. During a hot restart two processes accept clients; they tell each other the IDs that
// they claim, over a link (package hotrestart).
package requestid

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

// releaseBatch is the number of released IDs that are told to peers in one message.
const releaseBatch = 64

// Registry holds the IDs that are claimed by this process and its peers. It implements core.RequestIDs. Its methods may
// be called concurrently.
type Registry struct {
	log *logrus.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// own holds the IDs that this process has claimed.
	own map[string]struct{}
	// remote holds the IDs that peers have claimed, by the peer that has told them.
	remote map[string]*peer
	// released holds the IDs that were released and not told to the peers yet.
	released []string
	peers    []*peer
}

// New returns an empty registry.
func New(log *logrus.Logger) *Registry {
	return &Registry{log: log, own: map[string]struct{}{}, remote: map[string]*peer{}}
}

// Claim claims an ID. It returns false if the ID is claimed already, here or at a peer. If two processes claim one ID
// at the same time, at least one of them gets false: each tells the other before it looks for the other's claim.
func (r *Registry) Claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiveAll()
	if r.isClaimed(id) {
		return false
	}
	r.own[id] = struct{}{}
	r.tell(message{kind: kindClaimed, ids: []string{id}})
	r.receiveAll()
	return r.remote[id] == nil
}

// Release releases an ID that this process has claimed.
func (r *Registry) Release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, id)
	if len(r.peers) == 0 {
		return
	}
	if r.released = append(r.released, id); len(r.released) >= releaseBatch {
		r.tell(message{kind: kindReleased, ids: r.released})
		r.released = nil
	}
}

// AddPeer connects the registry to another process, of which conn is the link. It tells that process all IDs that are
// claimed, and receives its claims until ctx ends or the link does.
func (r *Registry) AddPeer(ctx context.Context, conn *net.UnixConn) {
	p, err := newPeer(conn)
	if err != nil {
		r.log.WithError(err).Error("request ids: cannot use the link to another process of the hot restart")
		conn.Close()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = append(r.peers, p)
	for ids := range slices.Chunk(r.claimed(), idsPerMessage) {
		r.send(p, message{kind: kindClaimed, ids: ids})
	}
	r.send(p, message{kind: kindComplete})
	go r.watch(ctx, p)
}

// WaitForPeers waits until all peers have told the IDs that they had claimed when they were connected, or until the
// timeout. Claims of before could otherwise be missed.
func (r *Registry) WaitForPeers(ctx context.Context, timeout time.Duration) {
	r.mu.Lock()
	peers := slices.Clone(r.peers)
	r.mu.Unlock()
	deadline := time.After(timeout)
	for _, p := range peers {
		select {
		case <-p.complete:
		case <-p.ended:
		case <-ctx.Done():
		case <-deadline:
			r.log.Warn("request ids: the other process of the hot restart has not told its ids in time")
			return
		}
	}
}

// isClaimed reports whether an ID is claimed here or at a peer.
func (r *Registry) isClaimed(id string) bool {
	_, own := r.own[id]
	return own || r.remote[id] != nil
}

// claimed returns all IDs that are claimed here or at a peer.
func (r *Registry) claimed() []string {
	ids := make([]string, 0, len(r.own)+len(r.remote))
	for id := range r.own {
		ids = append(ids, id)
	}
	for id := range r.remote {
		ids = append(ids, id)
	}
	return ids
}

// tell sends a message to all peers.
func (r *Registry) tell(m message) {
	for _, p := range slices.Clone(r.peers) {
		r.send(p, m)
	}
}

// send sends a message to a peer, and ends the link if that fails: the peer hangs or has ended.
func (r *Registry) send(p *peer, m message) {
	if err := p.send(m); err != nil {
		r.end(p, err)
	}
}

// receiveAll handles the messages of all peers that have arrived.
func (r *Registry) receiveAll() {
	for _, p := range slices.Clone(r.peers) {
		r.receive(p)
	}
}

// receive handles the messages of a peer that have arrived.
func (r *Registry) receive(p *peer) {
	for !p.isEnded() {
		m, ok, err := p.receive()
		if err != nil {
			r.end(p, err)
		}
		if !ok {
			return
		}
		r.apply(p, m)
	}
}

// apply applies a message of a peer.
func (r *Registry) apply(from *peer, m message) {
	switch m.kind {
	case kindClaimed:
		for _, id := range m.ids {
			r.remote[id] = from
		}
	case kindReleased:
		r.forget(from, m.ids)
	case kindComplete:
		from.setComplete()
	}
}

// forget removes IDs that a peer has claimed.
func (r *Registry) forget(from *peer, ids []string) {
	for _, id := range ids {
		if r.remote[id] == from {
			delete(r.remote, id)
		}
	}
}

// end ends the link to a peer. The IDs of the peer stay claimed for core.RequestIDRetention.
func (r *Registry) end(p *peer, err error) {
	if p.isEnded() {
		return
	}
	p.close()
	r.log.WithError(err).Info("request ids: the link to another process of the hot restart has ended")
	r.peers = slices.DeleteFunc(r.peers, func(other *peer) bool { return other == p })
	time.AfterFunc(core.RequestIDRetention, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for id, from := range r.remote {
			if from == p {
				delete(r.remote, id)
			}
		}
	})
}

// watch receives a peer's messages as they arrive, until the link or ctx ends. It runs in its own goroutine.
func (r *Registry) watch(ctx context.Context, p *peer) {
	defer context.AfterFunc(ctx, func() { p.link.Close() })()
	for !p.isEnded() {
		waitErr := p.link.WaitReadable()
		r.mu.Lock()
		r.receive(p)
		if waitErr != nil {
			r.end(p, waitErr)
		}
		r.mu.Unlock()
	}
}
