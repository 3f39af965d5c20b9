package quic

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"

	"cottonplank/decide"
)

const (
	// serverIDLength is the length of the server ID in a connection ID: a big-endian decide.ServerID.
	serverIDLength = 4
	// minNonceLength is the minimum length of the nonce according to QUIC-LB.
	minNonceLength = 4
	// maxIDLength is the maximum length of a connection ID of version 1 (RFC 9000, section 17.2).
	maxIDLength = 20
	// maxConfigID is the greatest config ID. QUIC-LB reserves 7 for connection IDs that encode no server ID.
	maxConfigID = 6
)

// errOtherFormat means that a connection ID is not in the room servers' format (IDFormat).
var errOtherFormat = errors.New("connection ID is not in the room servers' format")

// IDFormat is the format of the connection IDs that room servers issue, according to QUIC-LB
// (draft-ietf-quic-load-balancers). The upper three bits of the first octet are the config ID. Its lower five bits are
// the number of octets that follow it. These are the server ID and a nonce, encrypted if there is a key.
type IDFormat struct {
	// configID identifies the format: 0 to maxConfigID.
	configID byte
	// nonceLength is the length of the nonce in bytes.
	nonceLength int
	// block encrypts the server ID and the nonce; nil for plaintext.
	block cipher.Block
}

// NewIDFormat returns a format with a config ID from 0 to 6, a nonce length in bytes and a key. The key has 16 bytes,
// for AES-128, or is empty for plaintext.
func NewIDFormat(configID, nonceLength int, key []byte) (*IDFormat, error) {
	f := &IDFormat{configID: byte(configID), nonceLength: nonceLength}
	if configID < 0 || configID > maxConfigID {
		return nil, fmt.Errorf("invalid config ID %d: expected 0 to %d", configID, maxConfigID)
	}
	if nonceLength < minNonceLength || f.Len() > maxIDLength {
		maxNonceLength := maxIDLength - 1 - serverIDLength
		return nil, fmt.Errorf("invalid nonce length %d: expected %d to %d", nonceLength, minNonceLength, maxNonceLength)
	}
	if len(key) == 0 {
		return f, nil
	}
	if len(key) != aes.BlockSize {
		return nil, fmt.Errorf("invalid key of %d bytes: expected %d bytes, or 0 for plaintext", len(key), aes.BlockSize)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("key: %w", err)
	}
	f.block = block
	return f, nil
}

// Len returns the length of a connection ID in bytes.
func (f *IDFormat) Len() int { return 1 + serverIDLength + f.nonceLength }

// firstOctet returns the first octet of all connection IDs in this format.
func (f *IDFormat) firstOctet() byte { return f.configID<<5 | byte(f.Len()-1) }

// Encode returns the connection ID that encodes a room server and a nonce. It returns an error if the nonce does not
// have the format's nonce length.
func (f *IDFormat) Encode(server decide.ServerID, nonce []byte) ([]byte, error) {
	if len(nonce) != f.nonceLength {
		return nil, fmt.Errorf("invalid nonce of %d bytes: expected %d bytes", len(nonce), f.nonceLength)
	}
	id := make([]byte, 0, f.Len())
	id = append(id, f.firstOctet())
	id = binary.BigEndian.AppendUint32(id, uint32(server))
	id = append(id, nonce...)
	if f.block != nil {
		encryptID(f.block, id[1:])
	}
	return id, nil
}

// Decode returns the room server that a connection ID encodes. It returns errOtherFormat if the length or the first
// octet is not the format's. Other contents are not checked, so the ID may encode a server that does not exist.
func (f *IDFormat) Decode(id []byte) (decide.ServerID, error) {
	if len(id) != f.Len() || id[0] != f.firstOctet() {
		return 0, errOtherFormat
	}
	plaintext := clone(id[1:])
	if f.block != nil {
		decryptID(f.block, plaintext)
	}
	return decide.ServerID(binary.BigEndian.Uint32(plaintext)), nil
}
