package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

const (
	// leaveFanout is the number of members to which a leave message is sent directly. The other members receive it by
	// gossip.
	leaveFanout = 32
	// maxForwardedLeaves is the maximum number of forwarded messages that are remembered. It bounds the memory.
	maxForwardedLeaves = 4096
	// maxClockSkew is how far the clock of another member may be ahead of this instance's clock. The state machine of
	// package membership ignores an incarnation that is further in the future.
	maxClockSkew = time.Minute
)

var errLeaveWithoutName = errors.New("leave message without a name")

// leaveMessage announces a planned stop. It is needed because the library's callbacks do not distinguish a planned
// stop from a failure.
type leaveMessage struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

func (m leaveMessage) encode() ([]byte, error) { return cbor.Marshal(m) }

func decodeLeave(raw []byte) (leaveMessage, error) {
	var message leaveMessage
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return message, fmt.Errorf("leave message: %w", err)
	}
	if message.Name == "" {
		return message, errLeaveWithoutName
	}
	return message, nil
}

// leaveBroadcaster sends and forwards leave messages. It is safe for concurrent use.
type leaveBroadcaster struct {
	queue *memberlist.TransmitLimitedQueue

	mu        sync.Mutex
	forwarded map[leaveMessage]struct{}
}

// newLeaveBroadcaster returns a broadcaster. clusterSize returns the current number of members, from which the library
// derives how often a message is sent. Known fault: when this instance leaves, its view has ended, so that clusterSize
// returns 1 and its own message is sent less often in a large cluster.
func newLeaveBroadcaster(clusterSize func() int) *leaveBroadcaster {
	return &leaveBroadcaster{
		queue: &memberlist.TransmitLimitedQueue{
			RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult,
			NumNodes:       func() int { return max(1, clusterSize()) },
		},
		forwarded: map[leaveMessage]struct{}{},
	}
}

// forward gossips a message unless it has forwarded the same message before. It reports whether it gossips the
// message. raw is the encoded message.
func (b *leaveBroadcaster) forward(message leaveMessage, raw []byte) bool {
	if !b.markForwarded(message) {
		return false
	}
	b.queue.QueueBroadcast(broadcast(slices.Clone(raw)))
	return true
}

// markForwarded records a message as forwarded and reports whether it is new. When maxForwardedLeaves messages are
// recorded, it discards all of them first.
func (b *leaveBroadcaster) markForwarded(message leaveMessage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.forwarded[message]; known {
		return false
	}
	if len(b.forwarded) >= maxForwardedLeaves {
		clear(b.forwarded)
	}
	b.forwarded[message] = struct{}{}
	return true
}

// announce sends a message of this instance to leaveFanout random members directly, and gossips it. members holds
// copies of the live nodes, because SendBestEffort reads a node without the library's lock. announce reorders members.
//
// Known fault: the instance may receive its own message, because members includes it and because peers gossip the
// message. It then refutes the message, and other members may take the planned stop for a failure.
func (b *leaveBroadcaster) announce(message leaveMessage, members []*memberlist.Node, list *memberlist.Memberlist) {
	raw, err := message.encode()
	if err != nil {
		return
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members[:min(leaveFanout, len(members))] {
		list.SendBestEffort(member, raw)
	}
	b.queue.QueueBroadcast(broadcast(raw))
}

// refuteLeave refutes a false leave message about this instance by raising the instance's incarnation. It ignores a
// message about an earlier incarnation. It also ignores an incarnation so far in the future that the other members
// would not accept a higher incarnation. It may be called from any goroutine.
func (s *session) refuteLeave(incarnation uint64) {
	metadata := *s.metadata.Load()
	latest := time.Duration(time.Now().Add(maxClockSkew).UnixNano())
	if incarnation < metadata.Incarnation || time.Duration(incarnation)*time.Millisecond > latest {
		return
	}
	metadata.Incarnation = max(incarnation+1, uint64(time.Now().UnixMilli()))
	s.announce(metadata)
}

// broadcast is an encoded message in the gossip queue. No later message replaces it.
type broadcast []byte

// Invalidates implements memberlist.Broadcast. A message never replaces another one in the queue.
func (b broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast. It returns the encoded message.
func (b broadcast) Message() []byte { return b }

// Finished implements memberlist.Broadcast. No action is needed when the library stops sending a message.
func (b broadcast) Finished() {}
