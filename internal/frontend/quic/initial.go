package quic

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// initialSalt is the salt for the Initial secrets of version 1 (RFC 9001, section 5.2).
var initialSalt = []byte{
	0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17,
	0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc, 0xbb, 0x7f, 0x0a,
}

// The HKDF labels of the secrets for the Initial packets of each side.
const (
	clientInitialLabel = "client in"
	serverInitialLabel = "server in"
)

// Sizes in bytes for AES-128-GCM and header protection (RFC 9001, sections 5.3 and 5.4).
const (
	keyLength = 16
	ivLength  = 12
	// sampleOffset is the distance from the start of the packet number to the sample for header protection.
	sampleOffset = 4
)

// initialKeys protect the Initial packets of one side (RFC 9001, section 5). They are derived from a connection ID
// that is sent unencrypted, so anyone who sees a connection's first packet can derive them.
type initialKeys struct {
	// aead encrypts and decrypts payloads.
	aead cipher.AEAD
	// iv is combined with the packet number to form the AEAD nonce.
	iv []byte
	// headerCipher computes the masks for header protection.
	headerCipher cipher.Block
}

// newInitialKeys derives the keys of one side. originalID is the destination connection ID of the client's first
// Initial packet; label is the HKDF label of the side.
func newInitialKeys(originalID []byte, label string) (*initialKeys, error) {
	initialSecret, err := hkdf.Extract(sha256.New, originalID, initialSalt)
	if err != nil {
		return nil, fmt.Errorf("initial secret: %w", err)
	}
	secret, err := expandLabel(initialSecret, label, sha256.Size)
	if err != nil {
		return nil, err
	}
	key, err := expandLabel(secret, "quic key", keyLength)
	if err != nil {
		return nil, err
	}
	iv, err := expandLabel(secret, "quic iv", ivLength)
	if err != nil {
		return nil, err
	}
	headerKey, err := expandLabel(secret, "quic hp", keyLength)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("initial key: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("initial key: %w", err)
	}
	headerCipher, err := aes.NewCipher(headerKey)
	if err != nil {
		return nil, fmt.Errorf("header protection key: %w", err)
	}
	return &initialKeys{aead: aead, iv: iv, headerCipher: headerCipher}, nil
}

// expandLabel is HKDF-Expand-Label of TLS 1.3 (RFC 8446, section 7.1) with an empty context.
func expandLabel(secret []byte, label string, length int) ([]byte, error) {
	label = "tls13 " + label
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(info, byte(len(label)))
	info = append(info, label...)
	info = append(info, 0) // the length of the context
	out, err := hkdf.Expand(sha256.New, secret, string(info), length)
	if err != nil {
		return nil, fmt.Errorf("expand %q: %w", label, err)
	}
	return out, nil
}

// protect returns a packet with encrypted payload and protected header. header ends with the packet number, which has
// numberLength bytes.
func (k *initialKeys) protect(header []byte, numberLength int, number uint64, payload []byte) []byte {
	raw := k.aead.Seal(clone(header), k.nonce(number), payload, header)
	numberOffset := len(header) - numberLength
	mask := k.headerMask(raw[numberOffset+sampleOffset:])
	raw[0] ^= mask[0] & 0x0f
	for i := range numberLength {
		raw[numberOffset+i] ^= mask[1+i]
	}
	return raw
}

// unprotect returns the decrypted payload of the Initial packet at the start of datagram; p is this packet as parsed.
// It does not change datagram. It returns an error if the packet is too short or was not protected with these keys.
// The packet number is taken from the header as it is, so a packet cannot be decrypted if its header omits upper bits
// of the number (RFC 9000, section 17.1).
func (k *initialKeys) unprotect(datagram []byte, p packet) ([]byte, error) {
	if p.end-p.numberOffset < sampleOffset+aes.BlockSize {
		return nil, errMalformedPacket
	}
	raw := clone(datagram[:p.end])
	mask := k.headerMask(raw[p.numberOffset+sampleOffset:])
	raw[0] ^= mask[0] & 0x0f
	numberLength := int(raw[0]&3) + 1
	number := uint64(0)
	for i := range numberLength {
		raw[p.numberOffset+i] ^= mask[1+i]
		number = number<<8 | uint64(raw[p.numberOffset+i])
	}
	headerLength := p.numberOffset + numberLength
	payload, err := k.aead.Open(nil, k.nonce(number), raw[headerLength:], raw[:headerLength])
	if err != nil {
		return nil, fmt.Errorf("decrypt Initial packet: %w", err)
	}
	return payload, nil
}

// nonce returns the AEAD nonce of a packet number.
func (k *initialKeys) nonce(number uint64) []byte {
	nonce := clone(k.iv)
	for i := range 8 {
		nonce[len(nonce)-1-i] ^= byte(number >> (8 * i))
	}
	return nonce
}

// headerMask returns the mask for header protection. The sample is the first 16 bytes of ciphertext, which begins
// sampleOffset bytes after the start of the packet number.
func (k *initialKeys) headerMask(ciphertext []byte) []byte {
	var mask [aes.BlockSize]byte
	k.headerCipher.Encrypt(mask[:], ciphertext[:aes.BlockSize])
	return mask[:]
}
