package gossip

import (
	"time"

	"cottonplank/internal/cluster/membership"

	"github.com/hashicorp/memberlist"
)

// delegate implements the library's callbacks. The library calls most of them under a lock of its own, so they do not
// block: they push events into the session's queue.
type delegate struct {
	session *session
	leaves  *leaveBroadcaster
}

func newDelegate(s *session) *delegate {
	return &delegate{session: s, leaves: newLeaveBroadcaster(s.cluster.aliveCount)}
}

// NodeMeta implements memberlist.Delegate. It returns the encoded metadata of this instance, or nil if that is longer
// than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	raw, err := d.session.metadata.Load().encode()
	if err != nil || len(raw) > limit {
		return nil
	}
	return raw
}

// NotifyMsg implements memberlist.Delegate. The only messages are those of members that leave.
func (d *delegate) NotifyMsg(raw []byte) {
	message, err := decodeLeave(raw)
	if err != nil {
		d.session.cluster.counters.rejected.Add(1)
		return
	}
	if message.Name == d.session.cluster.cfg.Settings.Name {
		d.session.refuteLeave(message.Incarnation)
		return
	}
	if d.leaves.forward(message, raw) {
		d.session.events.push(membership.MemberLeft{Name: message.Name, Incarnation: message.Incarnation})
	}
}

// announceLeave announces a planned stop of this instance.
func (d *delegate) announceLeave() {
	message := leaveMessage{
		Name:        d.session.cluster.cfg.Settings.Name,
		Incarnation: d.session.metadata.Load().Incarnation,
	}
	d.leaves.announce(message, d.session.list)
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.leaves.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. There is no state beside the library's own.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate. There is no state beside the library's own.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// AckPayload implements memberlist.PingDelegate. Nothing is added to an answer.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete implements memberlist.PingDelegate: a member has answered.
func (d *delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	d.session.events.push(membership.ProbeSucceeded{Name: node.Name})
}

// NotifyJoin implements memberlist.EventDelegate: a member was found, for the first time or again.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.pushAlive(node) }

// NotifyUpdate implements memberlist.EventDelegate: a member has new metadata.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.pushAlive(node) }

func (d *delegate) pushAlive(node *memberlist.Node) {
	metadata, err := decodeMetadata(node.Meta)
	if err != nil {
		d.session.cluster.counters.rejected.Add(1)
		return
	}
	d.session.events.push(membership.MemberAlive{Member: metadata.member(node.Name, nodeAddress(node))})
}

// NotifyLeave implements memberlist.EventDelegate: the failure detector takes a member for failed.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	metadata, err := decodeMetadata(node.Meta)
	if err != nil {
		return
	}
	d.session.events.push(membership.FailureReported{Name: node.Name, Incarnation: metadata.Incarnation})
}

// NotifyConflict implements memberlist.ConflictDelegate: one name is used at two addresses.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name == d.session.cluster.cfg.Settings.Name {
		d.session.resolveNameConflict(other)
	}
}
