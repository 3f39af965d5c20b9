package quic

import (
	"bytes"
	"crypto/aes"
	"encoding/hex"
	"testing"

	"cottonplank/internal/core"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The vectors of the QUIC-LB draft: key 8f95..., server id and nonce from one text each.
func TestFeistelVectors(t *testing.T) {
	block, err := aes.NewCipher(unhex(t, "8f95f09245765f80256934e50c66207f"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []struct{ plain, sealed string }{
		{"ed793aee080dbf", "20b1d07b359d3c"},
		{"ed793a51d49b8f5fab65ee080dbf48", "cc381bc74cb4fbad2823a3d1f8fed2"},
		{"ed793a51d49b8f5fee080dbf48c0d1e5", "4dd2d05a7b0de9b2b9907afb5ecf8cc3"},
		{"ed793a51d49b8f5fabee080dbf48c0d1e55d", "5779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"},
	} {
		text := unhex(t, v.plain)
		seal(block, text)
		if got := hex.EncodeToString(text); got != v.sealed {
			t.Errorf("seal(%s) = %s, want %s", v.plain, got, v.sealed)
		}
		unseal(block, text)
		if got := hex.EncodeToString(text); got != v.plain {
			t.Errorf("unseal gives %s, want %s", got, v.plain)
		}
	}
}

func TestIDNamesItsServer(t *testing.T) {
	server := core.ServerID("s-5be2a07c")
	for _, key := range [][]byte{nil, bytes.Repeat([]byte{7}, 16)} {
		for nonce := minNonce; nonce <= maxCID-1-serverIDLen; nonce++ {
			f, err := NewIDFormat(2, nonce, key)
			if err != nil {
				t.Fatal(err)
			}
			id, err := f.Encode(server, bytes.Repeat([]byte{byte(nonce)}, nonce))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := f.Decode(id); err != nil || got != server {
				t.Errorf("nonce %d: decoded %d, %v, want %d", nonce, got, err, server)
			}
			id[0] ^= 0x20 // another config
			if _, err := f.Decode(id); err == nil {
				t.Errorf("nonce %d: an id of another config was decoded", nonce)
			}
			if _, err := f.Decode(id[1:]); err == nil {
				t.Errorf("nonce %d: an id of another length was decoded", nonce)
			}
		}
	}
}

func TestIDFormatIsChecked(t *testing.T) {
	for _, v := range []struct {
		config, nonce int
		key           []byte
	}{{7, 8, nil}, {-1, 8, nil}, {0, 3, nil}, {0, 16, nil}, {0, 8, make([]byte, 15)}} {
		if _, err := NewIDFormat(v.config, v.nonce, v.key); err == nil {
			t.Errorf("config %d, nonce %d, key of %d bytes were taken", v.config, v.nonce, len(v.key))
		}
	}
}
