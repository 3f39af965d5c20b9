package quic

import (
	"fmt"
	"time"
)

// Transport error codes (RFC 9000, section 20.1).
const (
	internalError     = 0x1
	connectionRefused = 0x2
)

// Types of the frames that Initial packets may contain (RFC 9000, section 12.4). frameApplicationClose is not allowed
// there, but some implementations send it in Initial packets.
const (
	framePadding          = 0x00
	framePing             = 0x01
	frameACK              = 0x02
	frameACKWithECN       = 0x03
	frameCrypto           = 0x06
	frameConnectionClose  = 0x1c
	frameApplicationClose = 0x1d
)

// closeFrame holds the fields of a CONNECTION_CLOSE frame.
type closeFrame struct {
	// code is the error code.
	code uint64
	// reason is the reason phrase.
	reason string
}

// newClosePacket returns a server's Initial packet with a CONNECTION_CLOSE frame, which rejects or ends a connection.
// originalID is the destination connection ID of the client's first Initial packet. clientID and serverID are the
// destination and the source connection ID of the new packet.
func newClosePacket(originalID, clientID, serverID []byte, code uint64, reason string) ([]byte, error) {
	keys, err := newInitialKeys(originalID, serverInitialLabel)
	if err != nil {
		return nil, err
	}
	frame := appendVarint([]byte{frameConnectionClose}, code)
	frame = appendVarint(frame, framePadding) // the type of the frame that caused the error; the value 0 means unknown
	frame = appendVarint(frame, uint64(len(reason)))
	frame = append(frame, reason...)
	for len(frame) < sampleOffset { // with the AEAD tag this is long enough for the sample for header protection
		frame = append(frame, framePadding)
	}
	const numberLength = 1
	const firstOctet = longHeader | fixedBit | packetTypeInitial<<4 | (numberLength - 1)
	header := appendLongHeader(nil, firstOctet, version1, clientID, serverID)
	header = append(header, 0) // the length of the token
	header = appendVarint(header, uint64(numberLength+len(frame)+keys.aead.Overhead()))
	header = append(header, 0) // the packet number
	return keys.protect(header, numberLength, 0, frame), nil
}

// retryAfterReason returns the reason phrase that contains the time after which a rejected client may retry. It is
// empty if retryAfter is not above 0.
func retryAfterReason(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf("retry-after=%dms", retryAfter.Milliseconds())
}

// findClose returns the first CONNECTION_CLOSE frame in the payload of an Initial packet, or nil if there is none. It
// returns errMalformedPacket if it finds a truncated frame or a frame type that has no constant in this file. Frames
// after the first CONNECTION_CLOSE frame are not read.
func findClose(payload []byte) (*closeFrame, error) {
	r := packetReader{data: payload}
	for !r.done() {
		switch frameType := r.varint(); frameType {
		case framePadding, framePing:
		case frameACK, frameACKWithECN:
			skipACK(&r, frameType)
		case frameCrypto:
			r.varint() // offset
			r.bytes(r.varint())
		case frameConnectionClose, frameApplicationClose:
			return readClose(&r, frameType)
		default:
			return nil, errMalformedPacket
		}
	}
	if r.truncated {
		return nil, errMalformedPacket
	}
	return nil, nil
}

// readClose reads the fields of a CONNECTION_CLOSE frame that follow its type.
func readClose(r *packetReader, frameType uint64) (*closeFrame, error) {
	var closed closeFrame
	closed.code = r.varint()
	if frameType == frameConnectionClose {
		r.varint() // the type of the frame that caused the error
	}
	closed.reason = string(r.bytes(r.varint()))
	if r.truncated {
		return nil, errMalformedPacket
	}
	return &closed, nil
}

// skipACK skips the fields of an ACK frame that follow its type.
func skipACK(r *packetReader, frameType uint64) {
	r.varint() // the largest acknowledged packet number
	r.varint() // the delay
	ranges := r.varint()
	r.varint()                // the first range
	r.skipVarints(2 * ranges) // each further range is a gap and a length
	if frameType == frameACKWithECN {
		const ecnCounts = 3
		r.skipVarints(ecnCounts)
	}
}
