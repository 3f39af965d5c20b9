package quic

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Transport error codes (RFC 9000, section 20.1).
const (
	internalError     = 0x1
	connectionRefused = 0x2
)

const (
	framePadding = 0x00
	framePing    = 0x01
	frameAck     = 0x02
	frameAckECN  = 0x03
	frameCrypto  = 0x06
	frameClose   = 0x1c
	frameAppEnd  = 0x1d
)

// initialSalt is that of version 1 (RFC 9001, section 5.2).
var initialSalt = []byte{0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17,
	0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc, 0xbb, 0x7f, 0x0a}

// keys protect the Initial packets of one side.
type keys struct {
	aead cipher.AEAD
	iv   []byte
	hp   cipher.Block
}

// The labels of the two sides.
const (
	clientSide = "client in"
	serverSide = "server in"
)

// initialKeys derives one side's keys from the id that the client chose for its first Initial.
func initialKeys(origCID []byte, side string) (keys, error) {
	secret, err := hkdf.Extract(sha256.New, origCID, initialSalt)
	if err != nil {
		return keys{}, fmt.Errorf("initial secret: %w", err)
	}
	var k keys
	own, err := expandLabel(secret, side, sha256.Size)
	if err != nil {
		return k, err
	}
	key, err := expandLabel(own, "quic key", 16)
	if err != nil {
		return k, err
	}
	if k.iv, err = expandLabel(own, "quic iv", 12); err != nil {
		return k, err
	}
	hp, err := expandLabel(own, "quic hp", 16)
	if err != nil {
		return k, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return k, fmt.Errorf("initial key: %w", err)
	}
	if k.aead, err = cipher.NewGCM(block); err != nil {
		return k, fmt.Errorf("initial key: %w", err)
	}
	if k.hp, err = aes.NewCipher(hp); err != nil {
		return k, fmt.Errorf("header protection key: %w", err)
	}
	return k, nil
}

// expandLabel is TLS 1.3's HKDF-Expand-Label with an empty context.
func expandLabel(secret []byte, label string, n int) ([]byte, error) {
	label = "tls13 " + label
	info := binary.BigEndian.AppendUint16(nil, uint16(n))
	info = append(append(info, byte(len(label))), label...)
	out, err := hkdf.Expand(sha256.New, secret, string(append(info, 0)), n)
	if err != nil {
		return nil, fmt.Errorf("expand %q: %w", label, err)
	}
	return out, nil
}

func (k keys) nonce(number uint64) []byte {
	n := append([]byte(nil), k.iv...)
	for i := range 8 {
		n[len(n)-1-i] ^= byte(number >> (8 * i))
	}
	return n
}

// protect seals a payload behind an unprotected header that ends with the packet number, of pnLen bytes.
func (k keys) protect(header []byte, pnLen int, number uint64, payload []byte) []byte {
	out := k.aead.Seal(append([]byte(nil), header...), k.nonce(number), payload, header)
	pn := len(header) - pnLen
	mask := k.mask(out[pn+4:])
	out[0] ^= mask[0] & 0x0f
	for i := range pnLen {
		out[pn+i] ^= mask[1+i]
	}
	return out
}

// unprotect opens an Initial packet and returns its payload; b is left as it is.
func (k keys) unprotect(b []byte, p packet) ([]byte, error) {
	if p.end-p.pnOffset < 4+aes.BlockSize {
		return nil, errPacket
	}
	raw := append([]byte(nil), b[:p.end]...)
	mask := k.mask(raw[p.pnOffset+4:])
	raw[0] ^= mask[0] & 0x0f
	pnLen := int(raw[0]&3) + 1
	number := uint64(0)
	for i := range pnLen {
		raw[p.pnOffset+i] ^= mask[1+i]
		number = number<<8 | uint64(raw[p.pnOffset+i])
	}
	head := p.pnOffset + pnLen
	payload, err := k.aead.Open(nil, k.nonce(number), raw[head:], raw[:head])
	if err != nil {
		return nil, fmt.Errorf("initial packet: %w", err)
	}
	return payload, nil
}

func (k keys) mask(sample []byte) []byte {
	var m [aes.BlockSize]byte
	k.hp.Encrypt(m[:], sample[:aes.BlockSize])
	return m[:]
}

// closePacket is a server's Initial that refuses or ends a connection: CONNECTION_CLOSE with a code and a
// reason. client and server are the ids that the client knows the two sides by.
func closePacket(origCID, client, server []byte, code uint64, reason string) ([]byte, error) {
	k, err := initialKeys(origCID, serverSide)
	if err != nil {
		return nil, err
	}
	frame := appendVarint([]byte{frameClose}, code)
	frame = appendVarint(frame, framePadding) // the frame that caused it: none
	frame = append(appendVarint(frame, uint64(len(reason))), reason...)
	for len(frame) < 4 { // header protection needs a sample
		frame = append(frame, framePadding)
	}
	const pnLen = 1
	header := appendLong(nil, longForm|fixedBit|typeInitial<<4|(pnLen-1), version1, client, server)
	header = append(header, 0) // no token
	header = appendVarint(header, uint64(pnLen+len(frame)+k.aead.Overhead()))
	return k.protect(append(header, 0), pnLen, 0, frame), nil
}

// closeFrame is what a CONNECTION_CLOSE says.
type closeFrame struct {
	code   uint64
	reason string
}

// findClose looks for CONNECTION_CLOSE in an Initial's payload; errPacket tells of frames that are not allowed
// there or cut short.
func findClose(payload []byte) (*closeFrame, error) {
	r := reader{b: payload}
	for r.at < len(r.b) && !r.bad {
		switch kind := r.varint(); kind {
		case framePadding, framePing:
		case frameAck, frameAckECN:
			r.varint() // largest
			r.varint() // delay
			ranges := r.varint()
			r.varint() // first range
			for i := uint64(0); i < 2*ranges && !r.bad; i++ {
				r.varint()
			}
			if kind == frameAckECN {
				r.varint()
				r.varint()
				r.varint()
			}
		case frameCrypto:
			r.varint() // offset
			r.bytes(r.varint())
		case frameClose, frameAppEnd:
			c := closeFrame{code: r.varint()}
			if kind == frameClose {
				r.varint()
			}
			c.reason = string(r.bytes(r.varint()))
			if r.bad {
				return nil, errPacket
			}
			return &c, nil
		default:
			return nil, errPacket
		}
	}
	if r.bad {
		return nil, errPacket
	}
	return nil, nil
}
