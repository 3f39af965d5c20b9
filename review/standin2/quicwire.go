package main

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash/fnv"
)

// The parts of QUIC version 1 (RFC 9000, RFC 9001) that a balancer can see: Initial packets with their real
// protection, short headers, and stateless resets. In place of protected frames short packets hold a text.

const (
	longInitial = 0xc0
	shortHeader = 0x40
	frameCrypto = 0x06
	frameClose  = 0x1c
	version1    = 1
	// resetTokenLength is the length of a stateless reset token.
	resetTokenLength = 16
	// clientInitialSize is the size of a client's datagram with an Initial packet.
	clientInitialSize = 1200
)

var errPacket = errors.New("not a packet of the expected form")

// initialSalt is the salt of version 1 (RFC 9001, section 5.2).
var initialSalt = []byte{
	0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17,
	0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc, 0xbb, 0x7f, 0x0a,
}

// sealer protects the Initial packets of one side.
type sealer struct {
	aead   cipher.AEAD
	iv     []byte
	header cipher.Block
}

// newSealer derives the keys of a side, "client in" or "server in", from the client's first destination id.
func newSealer(firstID []byte, side string) (*sealer, error) {
	initial, err := hkdf.Extract(sha256.New, firstID, initialSalt)
	if err != nil {
		return nil, err
	}
	secret, err := expandLabel(initial, side, 32)
	if err != nil {
		return nil, err
	}
	var parts [3][]byte
	for i, label := range []string{"quic key", "quic iv", "quic hp"} {
		if parts[i], err = expandLabel(secret, label, []int{16, 12, 16}[i]); err != nil {
			return nil, err
		}
	}
	block, err := aes.NewCipher(parts[0])
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, err
	}
	header, err := aes.NewCipher(parts[2])
	if err != nil {
		return nil, err
	}
	return &sealer{aead, parts[1], header}, nil
}

func expandLabel(secret []byte, label string, length int) ([]byte, error) {
	label = "tls13 " + label
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(info, byte(len(label)))
	info = append(info, label...)
	return hkdf.Expand(sha256.New, secret, string(append(info, 0)), length)
}

// seal returns an Initial packet with packet number 0 and the given frames.
func (k *sealer) seal(destinationID, sourceID, frames []byte) []byte {
	header := binary.BigEndian.AppendUint32([]byte{longInitial}, version1)
	header = append(append(header, byte(len(destinationID))), destinationID...)
	header = append(append(header, byte(len(sourceID))), sourceID...)
	header = append(header, 0) // no token
	header = binary.BigEndian.AppendUint16(header, 1<<14|uint16(1+len(frames)+k.aead.Overhead()))
	header = append(header, 0) // the packet number
	raw := k.aead.Seal(append([]byte{}, header...), k.iv, frames, header)
	number := len(header) - 1
	mask := k.mask(raw[number+4:])
	raw[0] ^= mask[0] & 0x0f
	raw[number] ^= mask[1]
	return raw
}

func (k *sealer) mask(sample []byte) []byte {
	mask := make([]byte, aes.BlockSize)
	k.header.Encrypt(mask, sample[:aes.BlockSize])
	return mask
}

// initialPacket is an Initial packet whose header was read.
type initialPacket struct {
	destinationID, sourceID []byte
	number, end             int // offsets of the packet number and of the packet's end
}

// readInitial reads the header of an Initial packet of version 1 without a token and with a length of two bytes.
func readInitial(raw []byte) (p initialPacket, err error) {
	if len(raw) < 7 || raw[0]&0xf0 != longInitial || binary.BigEndian.Uint32(raw[1:]) != version1 {
		return p, errPacket
	}
	offset := 5
	for _, id := range []*[]byte{&p.destinationID, &p.sourceID} {
		if offset >= len(raw) || offset+1+int(raw[offset]) > len(raw) {
			return p, errPacket
		}
		*id = append([]byte{}, raw[offset+1:offset+1+int(raw[offset])]...)
		offset += 1 + len(*id)
	}
	if offset >= len(raw) || raw[offset] != 0 {
		return p, errPacket
	}
	length, size, ok := readVarint(raw[offset+1:])
	p.number = offset + 1 + size
	p.end = p.number + int(length)
	if !ok || length < 20 || p.end > len(raw) {
		return p, errPacket
	}
	return p, nil
}

// readVarint reads a variable-length integer.
func readVarint(raw []byte) (value uint64, size int, ok bool) {
	if len(raw) == 0 {
		return 0, 0, false
	}
	size = 1 << (raw[0] >> 6)
	if len(raw) < size {
		return 0, 0, false
	}
	value = uint64(raw[0] & 0x3f)
	for _, b := range raw[1:size] {
		value = value<<8 | uint64(b)
	}
	return value, size, true
}

// open returns the frames of an Initial packet.
func (k *sealer) open(datagram []byte, p initialPacket) ([]byte, error) {
	raw := append([]byte{}, datagram[:p.end]...)
	mask := k.mask(raw[p.number+4:])
	raw[0] ^= mask[0] & 0x0f
	length := int(raw[0]&3) + 1
	nonce := append([]byte{}, k.iv...)
	for i := range length {
		raw[p.number+i] ^= mask[1+i]
		nonce[len(nonce)-length+i] ^= raw[p.number+i]
	}
	header := raw[:p.number+length]
	return k.aead.Open(nil, nonce, raw[p.number+length:], header)
}

// cryptoFrames returns a CRYPTO frame with a text, padded to a size.
func cryptoFrames(text string, size int) []byte {
	frames := append([]byte{frameCrypto, 0, byte(len(text))}, text...)
	return append(frames, make([]byte, max(size-len(frames), 0))...)
}

// closeCode returns the error code of a CONNECTION_CLOSE frame at the start of the frames of a packet.
func closeCode(frames []byte) (code uint64, ok bool) {
	if len(frames) == 0 || frames[0] != frameClose {
		return 0, false
	}
	code, _, ok = readVarint(frames[1:])
	return code, ok
}

// serverID returns the number of a room server in ids: the 32-bit FNV-1a hash of its name.
func serverID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// issuedID returns a connection id of a room server in QUIC-LB's form, in plaintext.
func issuedID(name string, nonce []byte) []byte {
	id := []byte{idStart}
	id = binary.BigEndian.AppendUint32(id, serverID(name))
	return append(id, nonce...)
}

// resetToken returns the stateless reset token of a connection id, which room servers and balancers derive alike.
func resetToken(id []byte) []byte {
	key, _ := hex.DecodeString(resetKeyText)
	mac := hmac.New(sha256.New, key)
	mac.Write(id)
	return mac.Sum(nil)[:resetTokenLength]
}
