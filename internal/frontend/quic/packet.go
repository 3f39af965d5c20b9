package quic

import (
	"encoding/binary"
	"errors"
)

const (
	// version1 is the QUIC version of RFC 9000.
	version1 = 1
	// minInitialSize is the minimum size of a datagram with a client's Initial packet (RFC 9000, section 14.1).
	minInitialSize = 1200
	// minOriginalIDLength is the minimum length of the destination connection ID in a client's first Initial packet
	// (RFC 9000, section 7.2).
	minOriginalIDLength = 8
	// maxDatagramSize is the maximum size of a datagram that is forwarded. It is above what common networks carry.
	// Endpoints probe for larger sizes before they use them, and go on without where a probe is lost (RFC 9000, section
	// 14.3). The limit bounds the memory of the datagrams that wait in queues.
	maxDatagramSize = 2048
)

// Bits of a packet's first octet.
const (
	longHeader = 0x80
	fixedBit   = 0x40
)

// packetTypeInitial is the type of Initial packets in long headers of version 1.
const packetTypeInitial = 0

var errMalformedPacket = errors.New("packet is truncated or malformed")

// packet holds the unencrypted fields of the first packet of a datagram. All packets have the version-independent
// fields (RFC 8999). Long headers of version 1 also have the packet type, and Initial packets the fields up to the
// packet number.
type packet struct {
	// long says that the packet has a long header.
	long bool
	// version is the QUIC version of a long header.
	version uint32
	// packetType is the packet type in a long header of version 1.
	packetType byte
	// destinationID is the destination connection ID.
	destinationID []byte
	// sourceID is the source connection ID of a long header.
	sourceID []byte
	// token is the address validation token of an Initial packet (RFC 9000, section 8.1). The balancer does not use
	// it.
	token []byte
	// numberOffset is the offset of an Initial packet's packet number in the datagram.
	numberOffset int
	// end is the offset of an Initial packet's end in the datagram. Further packets may follow.
	end int
}

// isLongHeader reports whether a datagram begins with a long header.
func isLongHeader(raw []byte) bool { return len(raw) > 0 && raw[0]&longHeader != 0 }

// isInitial reports whether the packet is an Initial packet of version 1.
func (p *packet) isInitial() bool {
	return p.long && p.version == version1 && p.packetType == packetTypeInitial
}

// parsePacket parses the first packet of a datagram. idLength is the length of the connection ID in short headers. It
// returns errMalformedPacket if the packet is truncated, if the fixed bit of a short header or of a version 1 header is
// not set, or if a version 1 connection ID is longer than maxIDLength.
func parsePacket(raw []byte, idLength int) (packet, error) {
	if len(raw) == 0 {
		return packet{}, errMalformedPacket
	}
	if raw[0]&longHeader == 0 {
		return parseShortHeader(raw, idLength)
	}
	p := packet{long: true}
	r := packetReader{data: raw, offset: 1}
	p.version = r.uint32()
	p.destinationID = r.bytes(uint64(r.byte()))
	p.sourceID = r.bytes(uint64(r.byte()))
	if r.truncated {
		return p, errMalformedPacket
	}
	if p.version != version1 {
		return p, nil
	}
	if len(p.destinationID) > maxIDLength || len(p.sourceID) > maxIDLength || raw[0]&fixedBit == 0 {
		return p, errMalformedPacket
	}
	p.packetType = raw[0] >> 4 & 3
	if p.packetType != packetTypeInitial {
		return p, nil
	}
	p.token = r.bytes(r.varint())
	length := r.varint()
	p.numberOffset = r.offset
	r.bytes(length)
	p.end = r.offset
	if r.truncated {
		return p, errMalformedPacket
	}
	return p, nil
}

// parseShortHeader parses a packet with a short header.
func parseShortHeader(raw []byte, idLength int) (packet, error) {
	if len(raw) < 1+idLength || raw[0]&fixedBit == 0 {
		return packet{}, errMalformedPacket
	}
	return packet{destinationID: raw[1 : 1+idLength]}, nil
}

// appendLongHeader appends the first octet and the version-independent fields of a long header.
func appendLongHeader(b []byte, firstOctet byte, version uint32, destinationID, sourceID []byte) []byte {
	b = append(b, firstOctet)
	b = binary.BigEndian.AppendUint32(b, version)
	b = append(b, byte(len(destinationID)))
	b = append(b, destinationID...)
	b = append(b, byte(len(sourceID)))
	return append(b, sourceID...)
}

// newVersionNegotiation returns the Version Negotiation packet that answers p, whose version is not supported (RFC
// 9000, section 17.2.1).
func newVersionNegotiation(p packet) []byte {
	b := appendLongHeader(nil, longHeader|fixedBit, 0, p.sourceID, p.destinationID)
	return binary.BigEndian.AppendUint32(b, version1)
}

// clone returns a copy of b. The copy of an empty slice is nil.
func clone(b []byte) []byte { return append([]byte(nil), b...) }
