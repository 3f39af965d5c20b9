package controlplane

import (
	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
)

const (
	protocolVersion = 1
	nonceBytes      = 16
)

// clientHello is the first message of a follower.
type clientHello struct {
	ProtocolVersion int    `cbor:"1,keyasint"`
	KeyID           string `cbor:"2,keyasint"`
	Nonce           []byte `cbor:"3,keyasint"`
}

// serverHello is a control-plane server's answer to a clientHello.
type serverHello struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// message is any message after the handshake. Exactly one of its fields is set.
type message struct {
	// Subscribe is sent by a follower after the handshake. It is the follower's current version. The follower sends
	// no further messages.
	Subscribe *replica.Version `cbor:"1,keyasint,omitempty"`

	// Heartbeat is sent by a server once the follower is up to date, and then every replica.HeartbeatInterval.
	Heartbeat *heartbeat `cbor:"2,keyasint,omitempty"`

	// Changes are sent by a server that has retained the changes since the follower's version.
	Changes []replica.Change `cbor:"3,keyasint,omitempty"`

	// Chunk is one chunk of a full snapshot. A server sends a snapshot if it has not retained the changes since the
	// follower's version.
	Chunk *replica.SnapshotChunk `cbor:"4,keyasint,omitempty"`
}

// heartbeat reports a server's version and the time since its last contact to the leader.
type heartbeat struct {
	Version         replica.Version `cbor:"1,keyasint"`
	LeaderAgeMillis uint64          `cbor:"2,keyasint"` // milliseconds since the last contact to the leader
}

// decodeMode rejects CBOR features that this program never uses in its messages: duplicate keys, indefinite lengths,
// tags and unknown fields.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant and valid
	}
	return mode
}
