package quic

import "encoding/binary"

// packetReader reads the fields of a packet, or of the frames in its payload, in order. After a truncated field,
// truncated is set, and the values of this field and all further fields must not be used.
type packetReader struct {
	// data is the datagram that begins with the packet, or the packet's decrypted payload.
	data []byte
	// offset is the position of the next field in data.
	offset int
	// truncated says that data ended within a field.
	truncated bool
}

// done reports whether data has no further fields, or a field was truncated.
func (r *packetReader) done() bool { return r.truncated || r.offset >= len(r.data) }

// bytes reads n bytes. The result shares memory with data; it is nil if fewer than n bytes are left.
func (r *packetReader) bytes(n uint64) []byte {
	if r.truncated || n > uint64(len(r.data)-r.offset) {
		r.truncated = true
		return nil
	}
	start := r.offset
	r.offset += int(n)
	return r.data[start:r.offset]
}

// byte reads one byte.
func (r *packetReader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

// uint32 reads a big-endian 32-bit number.
func (r *packetReader) uint32() uint32 {
	const size = 4
	if b := r.bytes(size); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// varint reads a variable-length integer (RFC 9000, section 16). The upper two bits of its first byte encode its
// length.
func (r *packetReader) varint() uint64 {
	first := r.byte()
	value := uint64(first & 0x3f)
	for range 1<<(first>>6) - 1 {
		value = value<<8 | uint64(r.byte())
	}
	return value
}

// skipVarints reads n variable-length integers and ignores them.
func (r *packetReader) skipVarints(n uint64) {
	for i := uint64(0); i < n && !r.truncated; i++ {
		r.varint()
	}
}

// appendVarint appends a variable-length integer below 2^62.
func appendVarint(b []byte, value uint64) []byte {
	switch {
	case value < 1<<6:
		return append(b, byte(value))
	case value < 1<<14:
		return binary.BigEndian.AppendUint16(b, uint16(value)|1<<14)
	case value < 1<<30:
		return binary.BigEndian.AppendUint32(b, uint32(value)|2<<30)
	}
	return binary.BigEndian.AppendUint64(b, value|3<<62)
}
