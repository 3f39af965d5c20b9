package quic

import (
	"net/netip"

	"cottonplank/decide"

	"github.com/fxamacker/cbor/v2"
)

// flowState is the state of a flow as peers need it after the end of the process that holds the flow.
type flowState uint8

// The states of a flow. The numbers are part of the messages between processes and must not change.
const (
	// flowPending means that the request has no final answer yet.
	flowPending flowState = 1
	// flowEstablished means that the connection is established at a room server.
	flowEstablished flowState = 2
	// flowAnswered means that the request was rejected or has failed.
	flowAnswered flowState = 3
	// flowEnded means that the flow no longer exists.
	flowEnded flowState = 4
)

// flowRecord describes a flow to a peer. A later record of the same connection IDs replaces an earlier one.
type flowRecord struct {
	// IDs are connection IDs whose packets belong to the flow.
	IDs [][]byte `cbor:"1,keyasint"`
	// State is the state of the flow.
	State flowState `cbor:"2,keyasint"`
	// Server is the room server of an established connection, otherwise 0.
	Server decide.ServerID `cbor:"3,keyasint,omitempty"`
	// Answer is the packet that has answered the request in the state flowAnswered.
	Answer []byte `cbor:"4,keyasint,omitempty"`
	// Orphaned says that the process that held the flow has ended.
	Orphaned bool `cbor:"5,keyasint,omitempty"`
}

// size returns the approximate size of the encoded record in bytes.
func (r *flowRecord) size() int { return len(r.IDs)*(maxIDLength+1) + len(r.Answer) }

// forwardedDatagram is a client datagram that the reading process passes to the process that holds its flow.
type forwardedDatagram struct {
	// From is the client's address.
	From netip.AddrPort `cbor:"1,keyasint"`
	// Raw is the payload.
	Raw []byte `cbor:"2,keyasint"`
}

// peerMessage is a message between two processes that hold the same socket for client datagrams. Processes of other
// versions may leave out fields or add further ones, which are ignored.
type peerMessage struct {
	// Flows describes flows of the sender, or flows that the sender knows from another peer.
	Flows []flowRecord `cbor:"1,keyasint,omitempty"`
	// Reading says whether the sender reads client datagrams from the socket; nil leaves that as it was.
	Reading *bool `cbor:"2,keyasint,omitempty"`
	// Datagram is a client datagram of a flow of the receiver.
	Datagram *forwardedDatagram `cbor:"3,keyasint,omitempty"`
}

// decodePeerMessage decodes a message.
func decodePeerMessage(raw []byte) (peerMessage, error) {
	var m peerMessage
	err := cbor.Unmarshal(raw, &m)
	return m, err
}

func (m peerMessage) encode() ([]byte, error) { return cbor.Marshal(m) }
