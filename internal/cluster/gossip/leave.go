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
	// leaveFanout is how many members are told of a planned stop directly; the others learn of it by gossip.
	leaveFanout = 32
	// maxForwardedLeaves bounds the memory of the messages that were forwarded.
	maxForwardedLeaves = 4096
	// maxClockSkew is by how much the clock of another member may be ahead.
	maxClockSkew = time.Minute
)

var errLeaveWithoutName = errors.New("leave message without a name")

// leaveMessage announces a planned stop. It is needed because the library's callbacks do not tell a planned stop from
// a failure.
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

// newLeaveBroadcaster returns a broadcaster to a cluster whose size clusterSize returns.
func newLeaveBroadcaster(clusterSize func() int) *leaveBroadcaster {
	return &leaveBroadcaster{
		queue: &memberlist.TransmitLimitedQueue{
			RetransmitMult: memberlist.DefaultLANConfig().RetransmitMult,
			NumNodes:       func() int { return max(1, clusterSize()) },
		},
		forwarded: map[leaveMessage]struct{}{},
	}
}

// forward gossips a message unless it did so before, and reports whether it did. raw is the encoded message.
func (b *leaveBroadcaster) forward(message leaveMessage, raw []byte) bool {
	if !b.markForwarded(message) {
		return false
	}
	b.queue.QueueBroadcast(broadcast(slices.Clone(raw)))
	return true
}

// markForwarded reports whether a message was not forwarded before.
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

// announce sends a message of this instance to some members directly, and gossips it.
func (b *leaveBroadcaster) announce(message leaveMessage, list *memberlist.Memberlist) {
	raw, err := message.encode()
	if err != nil {
		return
	}
	members := list.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members[:min(leaveFanout, len(members))] {
		list.SendBestEffort(member, raw)
	}
	b.queue.QueueBroadcast(broadcast(raw))
}

// refuteLeave refutes a false leave message about this instance by raising its incarnation. It ignores one of an
// earlier incarnation, and one that is too far in the future for the others to accept. It may be called from any
// goroutine.
func (s *session) refuteLeave(incarnation uint64) {
	metadata := *s.metadata.Load()
	latest := time.Duration(time.Now().Add(maxClockSkew).UnixNano())
	if incarnation < metadata.Incarnation || time.Duration(incarnation)*time.Millisecond > latest {
		return
	}
	metadata.Incarnation = max(incarnation+1, uint64(time.Now().UnixMilli()))
	s.announce(metadata)
}

// broadcast is a gossiped message that no other message replaces.
type broadcast []byte

// Invalidates implements memberlist.Broadcast.
func (b broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
