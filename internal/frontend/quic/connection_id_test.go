package quic

import (
	"bytes"
	"crypto/aes"
	"encoding/hex"
	"testing"

	"cottonplank/internal/core"
)

// unhex decodes hexadecimal digits.
func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The test vectors are from the QUIC-LB draft. Each plaintext is a server ID followed by a nonce. The plaintext of 16
// octets is encrypted as a single AES block, the other plaintexts with the Feistel network.
func TestFeistelVectors(t *testing.T) {
	block, err := aes.NewCipher(unhex(t, "8f95f09245765f80256934e50c66207f"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []struct{ plaintext, encrypted string }{
		{"ed793aee080dbf", "20b1d07b359d3c"},
		{"ed793a51d49b8f5fab65ee080dbf48", "cc381bc74cb4fbad2823a3d1f8fed2"},
		{"ed793a51d49b8f5fee080dbf48c0d1e5", "4dd2d05a7b0de9b2b9907afb5ecf8cc3"},
		{"ed793a51d49b8f5fabee080dbf48c0d1e55d", "5779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"},
	} {
		t.Run(v.plaintext, func(t *testing.T) {
			text := unhex(t, v.plaintext)
			encryptID(block, text)
			if got := hex.EncodeToString(text); got != v.encrypted {
				t.Errorf("encrypted to %s, want %s", got, v.encrypted)
			}
			decryptID(block, text)
			if got := hex.EncodeToString(text); got != v.plaintext {
				t.Errorf("decrypted to %s, want %s", got, v.plaintext)
			}
		})
	}
}

// Each format decodes its own connection IDs, and rejects those with another config ID or length.
func TestDecodeReturnsIssuingServer(t *testing.T) {
	server := core.ServerID("s-5be2a07c")
	for _, key := range [][]byte{nil, bytes.Repeat([]byte{7}, 16)} {
		for nonceLength := minNonceLength; nonceLength <= maxIDLength-1-serverIDLength; nonceLength++ {
			ids, err := NewIDFormat(2, nonceLength, key)
			if err != nil {
				t.Fatal(err)
			}
			id, err := ids.Encode(server, bytes.Repeat([]byte{byte(nonceLength)}, nonceLength))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := ids.Decode(id); err != nil || got != server {
				t.Errorf("nonce of %d bytes: decoded server %d, %v, want %d", nonceLength, got, err, server)
			}
			id[0] ^= 0x20 // another config ID
			if _, err := ids.Decode(id); err == nil {
				t.Errorf("nonce of %d bytes: a connection ID with another config ID was decoded", nonceLength)
			}
			if _, err := ids.Decode(id[1:]); err == nil {
				t.Errorf("nonce of %d bytes: a connection ID of another length was decoded", nonceLength)
			}
		}
	}
}

func TestInvalidIDFormats(t *testing.T) {
	for name, v := range map[string]struct {
		configID, nonceLength int
		key                   []byte
	}{
		"reserved config ID": {7, 8, nil},
		"negative config ID": {-1, 8, nil},
		"nonce too short":    {0, 3, nil},
		"nonce too long":     {0, 16, nil},
		"key too short":      {0, 8, make([]byte, 15)},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewIDFormat(v.configID, v.nonceLength, v.key); err == nil {
				t.Errorf("config ID %d, nonce of %d bytes and key of %d bytes: no error",
					v.configID, v.nonceLength, len(v.key))
			}
		})
	}
}
