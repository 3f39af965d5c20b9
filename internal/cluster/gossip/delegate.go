package gossip

import (
	"time"

	"cottonplank/internal/cluster/membership"

	"github.com/hashicorp/memberlist"
)

// delegate implements the library's callbacks. The library holds a lock during most of them, so they must not block.
// They push events into the session's queue, copy live nodes, queue messages for the gossip and start goroutines for
// longer operations.
type delegate struct {
	session *session
	leaves  *leaveBroadcaster
	nodes   *liveNodes
}

func newDelegate(s *session) *delegate {
	return &delegate{session: s, leaves: newLeaveBroadcaster(s.cluster.aliveCount), nodes: newLiveNodes()}
}

// NodeMeta implements memberlist.Delegate. It returns the encoded metadata of this instance, or nil if the encoding
// is longer than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	raw, err := d.session.metadata.Load().encode()
	if err != nil || len(raw) > limit {
		return nil
	}
	return raw
}

// NotifyMsg implements memberlist.Delegate. The only message of this package is the leave message.
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
	d.leaves.announce(message, d.nodes.all(), d.session.list)
}

// GetBroadcasts implements memberlist.Delegate. It returns the leave messages to gossip next.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.leaves.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. This package adds no state to the library's push/pull exchange, in which
// two members exchange all that they know about the cluster over a stream.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate. The push/pull exchange carries no state of this package.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// AckPayload implements memberlist.PingDelegate. This package adds no payload to an ack.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete implements memberlist.PingDelegate: a member has answered a probe of the library.
func (d *delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	d.session.events.push(membership.ProbeSucceeded{Name: node.Name})
}

// NotifyJoin implements memberlist.EventDelegate: a member was discovered, or is alive again after a failure or a
// planned stop.
func (d *delegate) NotifyJoin(node *memberlist.Node) {
	d.nodes.set(node)
	d.pushAlive(node)
}

// NotifyUpdate implements memberlist.EventDelegate: a member has new metadata.
func (d *delegate) NotifyUpdate(node *memberlist.Node) {
	d.nodes.set(node)
	d.pushAlive(node)
}

func (d *delegate) pushAlive(node *memberlist.Node) {
	metadata, err := decodeMetadata(node.Meta)
	if err != nil {
		d.session.cluster.counters.rejected.Add(1)
		return
	}
	d.session.events.push(membership.MemberAlive{Member: metadata.member(node.Name, nodeAddress(node))})
}

// NotifyLeave implements memberlist.EventDelegate: the failure detector considers a member failed. The library also
// calls it for a planned stop. The state machine ignores the failure report if the leave message arrived first, and the
// leave message ends the suspicion if it arrives later.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	d.nodes.remove(node.Name)
	metadata, err := decodeMetadata(node.Meta)
	if err != nil {
		return
	}
	d.session.events.push(membership.FailureReported{Name: node.Name, Incarnation: metadata.Incarnation})
}

// NotifyConflict implements memberlist.ConflictDelegate: two addresses use the same name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name == d.session.cluster.cfg.Settings.Name {
		d.session.resolveNameConflict(other)
	}
}
