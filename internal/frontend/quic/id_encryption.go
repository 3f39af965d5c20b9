package quic

import (
	"crypto/aes"
	"crypto/cipher"
)

// encryptID encrypts text, the server ID and the nonce of a connection ID, in place. If text has the size of an AES
// block, it is encrypted as a single block, else with QUIC-LB's four-pass Feistel network.
func encryptID(block cipher.Block, text []byte) {
	if len(text) == aes.BlockSize {
		block.Encrypt(text, text)
		return
	}
	runFeistel(block, text, []byte{1, 2, 3, 4})
}

// decryptID reverses encryptID.
func decryptID(block cipher.Block, text []byte) {
	if len(text) == aes.BlockSize {
		block.Decrypt(text, text)
		return
	}
	runFeistel(block, text, []byte{4, 3, 2, 1})
}

// runFeistel runs the given passes of the Feistel network on the two halves of text. An odd pass encrypts the left
// half and XORs the result into the right half, an even pass encrypts the right half and XORs the result into the
// left half. The block that a pass encrypts begins with the half, and its last two octets are the length of text and
// the number of the pass. If the length is odd, the upper four bits of the octet in the middle belong to the left
// half, and the lower four bits to the right half.
func runFeistel(block cipher.Block, text []byte, passes []byte) {
	length := len(text)
	halfLength := (length + 1) / 2
	odd := length%2 == 1
	left, right := clone(text[:halfLength]), clone(text[length-halfLength:])
	clearUnusedBits := func() {
		if odd {
			left[halfLength-1] &= 0xf0
			right[0] &= 0x0f
		}
	}
	clearUnusedBits()
	var input, output [aes.BlockSize]byte
	for _, pass := range passes {
		source, target := left, right
		if pass%2 == 0 {
			source, target = right, left
		}
		clear(input[:])
		copy(input[:], source)
		input[14], input[15] = byte(length), pass
		block.Encrypt(output[:], input[:])
		for i := range target {
			target[i] ^= output[i]
		}
		clearUnusedBits()
	}
	copy(text, left)
	copy(text[halfLength:], right[halfLength*2-length:])
	if odd {
		text[halfLength-1] = left[halfLength-1] | right[0]
	}
}
