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
	// maxConfigID is the greatest usable config ID. QUIC-LB reserves 7 for IDs that name no server.
	maxConfigID = 6
)

// errForeignID means that a connection ID does not have the form of those that room servers issue.
var errForeignID = errors.New("connection id is not in the room servers' form")

// IDFormat is the format of the connection IDs that room servers issue, according to QUIC-LB
// (draft-ietf-quic-load-balancers). The first octet has the config ID in its upper three bits and the length of the
// rest in the others. The server ID and a nonce follow, encrypted if there is a key.
type IDFormat struct {
	// configID distinguishes formats, from 0 to maxConfigID.
	configID byte
	// nonceLength is the length of the nonce in bytes.
	nonceLength int
	// block encrypts the server ID and the nonce; nil for plaintext.
	block cipher.Block
}

// NewIDFormat returns the format with a config ID from 0 to 6, the length of the nonce in bytes and a key. The key has
// 16 bytes, for AES-128, or is empty for plaintext.
func NewIDFormat(configID, nonceLength int, key []byte) (*IDFormat, error) {
	f := &IDFormat{configID: byte(configID), nonceLength: nonceLength}
	if configID < 0 || configID > maxConfigID {
		return nil, fmt.Errorf("config id %d is not within 0 to %d", configID, maxConfigID)
	}
	if nonceLength < minNonceLength || f.Len() > maxIDLength {
		maxNonceLength := maxIDLength - 1 - serverIDLength
		return nil, fmt.Errorf("nonce length %d is not within %d to %d", nonceLength, minNonceLength, maxNonceLength)
	}
	if len(key) == 0 {
		return f, nil
	}
	if len(key) != aes.BlockSize {
		return nil, fmt.Errorf("key has %d bytes, not %d", len(key), aes.BlockSize)
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

// Encode returns the connection ID that a room server issues with the nonce. It returns an error if the nonce has
// another length than the format's.
func (f *IDFormat) Encode(server decide.ServerID, nonce []byte) ([]byte, error) {
	if len(nonce) != f.nonceLength {
		return nil, fmt.Errorf("nonce has %d bytes, not %d", len(nonce), f.nonceLength)
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

// Decode returns the server that has issued a connection ID. It returns errForeignID if the ID has another format.
func (f *IDFormat) Decode(id []byte) (decide.ServerID, error) {
	if len(id) != f.Len() || id[0] != f.firstOctet() {
		return 0, errForeignID
	}
	plaintext := clone(id[1:])
	if f.block != nil {
		decryptID(f.block, plaintext)
	}
	return decide.ServerID(binary.BigEndian.Uint32(plaintext)), nil
}
