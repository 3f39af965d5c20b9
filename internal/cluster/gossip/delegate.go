package gossip

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"cottonplank/internal/cluster/membership"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// departFanout is how many members are told of a planned stop directly; the rest hear of it by gossip.
const departFanout = 32

// delegate takes the library's callbacks, most of them under the library's lock: it only queues events.
type delegate struct {
	session    *session
	broadcasts *memberlist.TransmitLimitedQueue
	mu         sync.Mutex
	departed   map[departure]struct{} // passed on already
}

func newDelegate(s *session) *delegate {
	d := &delegate{session: s, departed: map[departure]struct{}{}}
	d.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult,
		NumNodes: func() int { return max(1, s.alive()) }}
	return d
}

// alive is how many members the latest view has alive.
func (s *session) alive() int {
	if v := s.cluster.view.Load(); v != nil {
		return v.Alive
	}
	return 1
}

// NodeMeta describes this instance.
func (d *delegate) NodeMeta(limit int) []byte {
	raw, err := d.session.self.Load().encode()
	if err != nil || len(raw) > limit {
		return nil
	}
	return raw
}

// NotifyMsg takes a member's word that it leaves, and passes it on once.
func (d *delegate) NotifyMsg(raw []byte) {
	left, err := decodeDeparture(raw)
	if err != nil {
		d.session.cluster.counts.refused.Add(1)
		return
	}
	if left.Name == d.session.cluster.cfg.Settings.Name {
		d.session.refuteDeparture(left.Incarnation)
		return
	}
	if d.pass(left) {
		d.session.events.put(membership.MemberLeft{Name: left.Name, Incarnation: left.Incarnation})
		d.broadcasts.QueueBroadcast(message(append([]byte(nil), raw...)))
	}
}

// mostDepartures bounds the memory of what was passed on.
const mostDepartures = 4096

// pass tells whether a departure was not passed on before.
func (d *delegate) pass(left departure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, seen := d.departed[left]; seen {
		return false
	}
	if len(d.departed) >= mostDepartures {
		clear(d.departed)
	}
	d.departed[left] = struct{}{}
	return true
}

// depart announces this instance's planned stop.
func (d *delegate) depart() {
	raw, err := cbor.Marshal(departure{d.session.cluster.cfg.Settings.Name, d.session.self.Load().Incarnation})
	if err != nil {
		return
	}
	members := d.session.list.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(departFanout, len(members))] {
		d.session.list.SendBestEffort(m, raw)
	}
	d.broadcasts.QueueBroadcast(message(raw))
}

// GetBroadcasts hands over what is to be passed on.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState adds nothing to the library's own state.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing beside the library's own state.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// AckPayload adds nothing to an answer.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete notes that a member answered.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.session.events.put(membership.ProbeSucceeded{Name: n.Name})
}

// NotifyJoin takes a member that was found, new or again.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.found(n) }

// NotifyUpdate takes a member's new description.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.found(n) }

func (d *delegate) found(n *memberlist.Node) {
	described, err := decodeDescription(n.Meta)
	if err != nil {
		d.session.cluster.counts.refused.Add(1)
		return
	}
	address := netip.AddrPortFrom(addressOf(n.Addr), n.Port).String()
	d.session.events.put(membership.MemberAlive{Member: described.member(n.Name, address)})
}

// NotifyLeave takes a member that the detector gave up.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	described, err := decodeDescription(n.Meta)
	if err != nil {
		return
	}
	d.session.events.put(membership.FailureReported{Name: n.Name, Incarnation: described.Incarnation})
}

// NotifyConflict takes two addresses of one name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name == d.session.cluster.cfg.Settings.Name {
		d.session.conflicting(other)
	}
}

// addressOf is the address in its shortest form.
func addressOf(ip net.IP) netip.Addr {
	a, _ := netip.AddrFromSlice(ip)
	return a.Unmap()
}

// message is a broadcast that no other replaces.
type message []byte

// Invalidates tells that none is replaced.
func (m message) Invalidates(memberlist.Broadcast) bool { return false }

// Message is what is sent.
func (m message) Message() []byte { return m }

// Finished has nothing to do.
func (m message) Finished() {}
