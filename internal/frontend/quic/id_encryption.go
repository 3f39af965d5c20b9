package quic

import (
	"crypto/aes"
	"crypto/cipher"
)

// encryptID encrypts the server ID and the nonce of a connection ID in place: with one block of AES if they have that
// size, else with QUIC-LB's four-pass Feistel network.
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

// runFeistel runs passes of the Feistel network on the two halves of text. Odd passes change the right half by means of
// the left one, even passes the left half by means of the right one. If the length is odd, the halves share the octet
// in the middle: four bits belong to each.
func runFeistel(block cipher.Block, text []byte, passes []byte) {
	length := len(text)
	halfLength := (length + 1) / 2
	odd := length%2 == 1
	left, right := clone(text[:halfLength]), clone(text[length-halfLength:])
	clearForeignBits := func() {
		if odd {
			left[halfLength-1] &= 0xf0
			right[0] &= 0x0f
		}
	}
	clearForeignBits()
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
		clearForeignBits()
	}
	copy(text, left)
	copy(text[halfLength:], right[halfLength*2-length:])
	if odd {
		text[halfLength-1] = left[halfLength-1] | right[0]
	}
}
