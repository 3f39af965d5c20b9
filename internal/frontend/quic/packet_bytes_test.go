package quic

import (
	"bytes"
	"encoding/hex"
	"testing"
	"time"

	"cottonplank/decide"
)

// Room servers are other programs and issue connection IDs in the same format, so its bytes must not change.
func TestConnectionIDBytes(t *testing.T) {
	nonce := []byte{1, 2, 3, 4, 5, 6, 7, 8}
	for name, v := range map[string]struct {
		key  []byte
		want string
	}{
		"plaintext": {nil, "4ca1b2c3d40102030405060708"},
		"encrypted": {bytes.Repeat([]byte{7}, 16), "4c2a0917e00f5b09fce1ddbf7f"},
	} {
		t.Run(name, func(t *testing.T) {
			ids, err := NewIDFormat(2, len(nonce), v.key)
			if err != nil {
				t.Fatal(err)
			}
			id, err := ids.Encode(decide.ServerID(0xa1b2c3d4), nonce)
			if got := hex.EncodeToString(id); err != nil || got != v.want {
				t.Errorf("encoded to %s, %v, want %s", got, err, v.want)
			}
			if server, err := ids.Decode(unhex(t, v.want)); err != nil || server != 0xa1b2c3d4 {
				t.Errorf("decoded server %x, %v", server, err)
			}
		})
	}
}

// Clients parse these packets, and room servers compute the same reset tokens. Both are other programs, so the bytes
// must not change.
func TestPacketBytes(t *testing.T) {
	closed, err := newClosePacket(unhex(t, rfcOriginalID), []byte{1, 2, 3}, []byte{4, 5, 6, 7}, 2, "retry-after=1500ms")
	if err != nil {
		t.Fatal(err)
	}
	negotiation := newVersionNegotiation(packet{destinationID: []byte{1, 2}, sourceID: []byte{3, 4, 5}})
	reset := resetToken(bytes.Repeat([]byte{9}, 32), []byte{1, 2, 3})
	for name, v := range map[string]struct {
		got  []byte
		want string
	}{
		"close": {closed, "c7000000010301020304040506070027f7b43239a36939dde18b263ebace" +
			"52498519dee479491b970785fbd26b756bd227dd6f1a8072f2"},
		"version negotiation": {negotiation, "c0000000000303040502010200000001"},
		"reset token":         {reset[:], "fa8d48b53bc0810ea99dcd1207c03d69"},
	} {
		if got := hex.EncodeToString(v.got); got != v.want {
			t.Errorf("%s: bytes %s, want %s", name, got, v.want)
		}
	}
}

// The codes, bits and sizes of the protocol have the values of RFC 9000. The largest stateless reset is the
// balancer's own limit.
func TestProtocolNumbers(t *testing.T) {
	for name, v := range map[string]struct{ got, want int }{
		"INTERNAL_ERROR":                      {internalError, 0x1},
		"CONNECTION_REFUSED":                  {connectionRefused, 0x2},
		"PADDING":                             {framePadding, 0x00},
		"PING":                                {framePing, 0x01},
		"ACK":                                 {frameACK, 0x02},
		"ACK with ECN":                        {frameACKWithECN, 0x03},
		"CRYPTO":                              {frameCrypto, 0x06},
		"CONNECTION_CLOSE":                    {frameConnectionClose, 0x1c},
		"CONNECTION_CLOSE of the application": {frameApplicationClose, 0x1d},
		"header form":                         {longHeader, 0x80},
		"fixed bit":                           {fixedBit, 0x40},
		"Initial":                             {packetTypeInitial, 0},
		"version":                             {version1, 1},
		"smallest datagram of a client's Initial": {minInitialSize, 1200},
		"smallest ID of a client's Initial":       {minOriginalIDLength, 8},
		"smallest stateless reset":                {minResetSize, 21},
		"largest stateless reset":                 {maxResetSize, 42},
	} {
		if v.got != v.want {
			t.Errorf("%s is %#x, want %#x", name, v.got, v.want)
		}
	}
}

// Clients parse the reason phrase, so its form must not change.
func TestRetryAfterText(t *testing.T) {
	for after, want := range map[time.Duration]string{
		0:                                   "",
		-time.Second:                        "",
		1500 * time.Millisecond:             "retry-after=1500ms",
		time.Millisecond + time.Microsecond: "retry-after=1ms",
	} {
		if got := retryAfterReason(after); got != want {
			t.Errorf("%v: reason phrase %q, want %q", after, got, want)
		}
	}
}
