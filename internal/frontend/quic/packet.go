package quic

import (
	"encoding/binary"
	"errors"
)

const (
	version1     = 1
	minInitial   = 1200 // the smallest datagram that may carry a client's first Initial
	minOrigCID   = 8    // the shortest id that a client may choose (RFC 9000, section 7.2)
	longForm     = 0x80
	fixedBit     = 0x40
	minReset     = 21 // the smallest stateless reset
	maxReset     = 42 // a larger one looks no more like a packet
	maxDatagram  = 65535
	typeInitial  = 0
	typeZeroRTT  = 1
	typeRetry    = 3
	versionBytes = 4
)

var errPacket = errors.New("packet is cut short or not well-formed")

// packet is what the invariants of RFC 8999 show of a datagram's first packet, and for version 1 its type.
type packet struct {
	long       bool
	version    uint32
	kind       byte // of a long header of version 1
	dcid, scid []byte
	token      []byte // of an Initial
	pnOffset   int    // of an Initial: where its protected part begins
	end        int    // of an Initial: where it ends
}

// parsePacket reads a datagram's first packet; a short header's id has the length idLen.
func parsePacket(b []byte, idLen int) (p packet, err error) {
	if len(b) == 0 {
		return p, errPacket
	}
	if b[0]&longForm == 0 {
		if len(b) < 1+idLen || b[0]&fixedBit == 0 {
			return p, errPacket
		}
		p.dcid = b[1 : 1+idLen]
		return p, nil
	}
	p.long = true
	r := reader{b: b, at: 1}
	p.version = r.uint32()
	p.dcid = r.bytes(uint64(r.byte()))
	p.scid = r.bytes(uint64(r.byte()))
	if r.bad {
		return p, errPacket
	}
	if p.version != version1 {
		return p, nil
	}
	if len(p.dcid) > maxCID || len(p.scid) > maxCID || b[0]&fixedBit == 0 {
		return p, errPacket
	}
	p.kind = b[0] >> 4 & 3
	if p.kind != typeInitial {
		return p, nil
	}
	p.token = r.bytes(r.varint())
	length := r.varint()
	p.pnOffset = r.at
	r.bytes(length)
	p.end = r.at
	if r.bad {
		return p, errPacket
	}
	return p, nil
}

// reader takes fields off a packet; after a field that is cut short it is bad.
type reader struct {
	b   []byte
	at  int
	bad bool
}

func (r *reader) bytes(n uint64) []byte {
	if r.bad || n > uint64(len(r.b)-r.at) {
		r.bad = true
		return nil
	}
	r.at += int(n)
	return r.b[r.at-int(n) : r.at]
}

func (r *reader) byte() byte {
	if x := r.bytes(1); x != nil {
		return x[0]
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if x := r.bytes(versionBytes); x != nil {
		return binary.BigEndian.Uint32(x)
	}
	return 0
}

// varint reads a variable-length integer (RFC 9000, section 16).
func (r *reader) varint() uint64 {
	first := r.byte()
	v := uint64(first & 0x3f)
	for range 1<<(first>>6) - 1 {
		v = v<<8 | uint64(r.byte())
	}
	return v
}

func appendVarint(b []byte, v uint64) []byte {
	switch {
	case v < 1<<6:
		return append(b, byte(v))
	case v < 1<<14:
		return binary.BigEndian.AppendUint16(b, uint16(v)|1<<14)
	case v < 1<<30:
		return binary.BigEndian.AppendUint32(b, uint32(v)|2<<30)
	}
	return binary.BigEndian.AppendUint64(b, v|3<<62)
}

// appendLong begins a long header.
func appendLong(b []byte, first byte, version uint32, dcid, scid []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, first), version)
	b = append(append(b, byte(len(dcid))), dcid...)
	return append(append(b, byte(len(scid))), scid...)
}

// versionNegotiation answers a packet of an unknown version (RFC 9000, section 17.2.1).
func versionNegotiation(p packet) []byte {
	b := appendLong(nil, longForm|fixedBit, 0, p.scid, p.dcid)
	return binary.BigEndian.AppendUint32(b, version1)
}
