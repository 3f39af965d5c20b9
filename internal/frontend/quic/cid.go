package quic

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"cottonplank/decide"
)

const (
	serverIDLen = 4  // the module's name of a room server, big-endian
	minNonce    = 4  // QUIC-LB's least
	maxCID      = 20 // RFC 9000, section 17.2
	tokenLen    = 16 // a stateless reset token
)

// IDFormat is the form of the connection ids that room servers issue, after QUIC-LB: an octet with the config
// id in its first three bits and the length of the rest in the others, then the server id and a nonce, which
// are encrypted where there is a key.
type IDFormat struct {
	config   byte
	nonceLen int
	block    cipher.Block // nil: plaintext
}

// NewIDFormat checks a form. The key is empty for plaintext, else 16 bytes for AES-128.
func NewIDFormat(config, nonceLen int, key []byte) (*IDFormat, error) {
	f := &IDFormat{config: byte(config), nonceLen: nonceLen}
	if config < 0 || config > 6 { // 7 marks ids that name no server
		return nil, fmt.Errorf("config id %d is not within 0 to 6", config)
	}
	if nonceLen < minNonce || f.Len() > maxCID {
		return nil, fmt.Errorf("nonce length %d is not within %d to %d", nonceLen, minNonce, maxCID-1-serverIDLen)
	}
	if len(key) > 0 {
		if len(key) != aes.BlockSize {
			return nil, fmt.Errorf("key has %d bytes, not 16", len(key))
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		f.block = block
	}
	return f, nil
}

// Len is the length of an id.
func (f *IDFormat) Len() int { return 1 + serverIDLen + f.nonceLen }

// Encode makes an id that names a server, as a room server does.
func (f *IDFormat) Encode(server decide.ServerID, nonce []byte) ([]byte, error) {
	if len(nonce) != f.nonceLen {
		return nil, fmt.Errorf("nonce has %d bytes, not %d", len(nonce), f.nonceLen)
	}
	id := make([]byte, 1, f.Len())
	id[0] = f.config<<5 | byte(f.Len()-1)
	id = binary.BigEndian.AppendUint32(id, uint32(server))
	id = append(id, nonce...)
	if f.block != nil {
		seal(f.block, id[1:])
	}
	return id, nil
}

var errForeignID = errors.New("connection id is not in the room servers' form")

// Decode tells which server issued an id.
func (f *IDFormat) Decode(id []byte) (decide.ServerID, error) {
	if len(id) != f.Len() || id[0] != f.config<<5|byte(f.Len()-1) {
		return 0, errForeignID
	}
	plain := append([]byte(nil), id[1:]...)
	if f.block != nil {
		unseal(f.block, plain)
	}
	return decide.ServerID(binary.BigEndian.Uint32(plain)), nil
}

// seal encrypts in place: one block of AES where the text is one, else QUIC-LB's four-pass Feistel network.
func seal(block cipher.Block, text []byte) {
	if len(text) == aes.BlockSize {
		block.Encrypt(text, text)
		return
	}
	feistel(block, text, []byte{1, 2, 3, 4})
}

func unseal(block cipher.Block, text []byte) {
	if len(text) == aes.BlockSize {
		block.Decrypt(text, text)
		return
	}
	feistel(block, text, []byte{4, 3, 2, 1})
}

// feistel runs the passes on the two halves of text. Odd passes change the right half by the left one, even
// ones the left by the right. Of an odd length the halves share the middle octet, four bits each.
func feistel(block cipher.Block, text []byte, passes []byte) {
	n := len(text)
	half := (n + 1) / 2
	left, right := append([]byte(nil), text[:half]...), append([]byte(nil), text[n-half:]...)
	odd := n%2 == 1
	clip := func() {
		if odd {
			left[half-1] &= 0xf0
			right[0] &= 0x0f
		}
	}
	clip()
	var in, out [aes.BlockSize]byte
	for _, pass := range passes {
		from, to := left, right
		if pass%2 == 0 {
			from, to = right, left
		}
		clear(in[:])
		copy(in[:], from)
		in[14], in[15] = byte(n), pass
		block.Encrypt(out[:], in[:])
		for i := range to {
			to[i] ^= out[i]
		}
		clip()
	}
	copy(text, left)
	copy(text[half:], right[half*2-n:])
	if odd {
		text[half-1] = left[half-1] | right[0]
	}
}

// resetToken is the stateless reset token of an id, under the key that balancers and room servers share
// (RFC 9000, section 10.3.2).
func resetToken(key, id []byte) [tokenLen]byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(id)
	return [tokenLen]byte(mac.Sum(nil))
}
