package quic

import (
	"bytes"
	"testing"
)

// Test vectors of RFC 9001, appendix A. rfcOriginalID is the destination connection ID of the client's first Initial
// packet. The others are of the server's Initial packet: its unprotected header, its payload, and the whole protected
// packet.
const (
	rfcOriginalID = "8394c8f03e515708"
	rfcHeader     = "c1000000010008f067a5502a4262b50040750001"
	rfcPayload    = "02000000000600405a020000560303eefce7f7b37ba1d1632e96677825ddf73988cfc79825df566dc5430b9a045a" +
		"1200130100002e00330024001d00209d3c940d89690b84d08a60993c144eca684d1081287c834d5311bcf32bb9da1a" +
		"002b00020304"
	rfcPacket = "cf000000010008f067a5502a4262b5004075c0d95a482cd0991cd25b0aac406a5816b6394100f37a1c69797554780bb3" +
		"8cc5a99f5ede4cf73c3ec2493a1839b3dbcba3f6ea46c5b7684df3548e7ddeb9c3bf9c73cc3f3bded74b562bfb19fb840" +
		"22f8ef4cdd93795d77d06edbb7aaf2f58891850abbdca3d20398c276456cbc42158407dd074ee"
)

// The IVs of both sides must match RFC 9001, appendix A.1. With other labels or secrets, Initial packets could not be
// decrypted.
func TestInitialKeysVectors(t *testing.T) {
	for _, v := range []struct{ label, iv string }{
		{clientInitialLabel, "fa044b2f42a3fd3b46fb255c"},
		{serverInitialLabel, "0ac1493ca1905853b0bba03e"},
	} {
		t.Run(v.label, func(t *testing.T) {
			keys, err := newInitialKeys(unhex(t, rfcOriginalID), v.label)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(keys.iv, unhex(t, v.iv)) {
				t.Errorf("iv %x, want %s", keys.iv, v.iv)
			}
		})
	}
}

// protect returns the bytes of the RFC's packet, and parsePacket and unprotect reverse it. The length 13 of connection
// IDs in short headers does not matter here.
func TestServerInitialVector(t *testing.T) {
	keys, err := newInitialKeys(unhex(t, rfcOriginalID), serverInitialLabel)
	if err != nil {
		t.Fatal(err)
	}
	want := unhex(t, rfcPacket)
	if got := keys.protect(unhex(t, rfcHeader), 2, 1, unhex(t, rfcPayload)); !bytes.Equal(got, want) {
		t.Errorf("protect returned\n%x, want\n%x", got, want)
	}
	p, err := parsePacket(want, 13)
	if err != nil {
		t.Fatal(err)
	}
	if p.packetType != packetTypeInitial || !bytes.Equal(p.sourceID, unhex(t, "f067a5502a4262b5")) {
		t.Errorf("parsed %+v", p)
	}
	payload, err := keys.unprotect(want, p)
	if err != nil || !bytes.Equal(payload, unhex(t, rfcPayload)) {
		t.Errorf("unprotect returned %x, %v", payload, err)
	}
}

// A packet from newClosePacket can be parsed and decrypted, with and without a reason phrase. Without one the frame has
// only sampleOffset bytes, the minimum for header protection. A packet with a changed byte is not decrypted.
func TestClosePacket(t *testing.T) {
	originalID, clientID, serverID := unhex(t, rfcOriginalID), []byte{1, 2, 3}, []byte{4, 5, 6, 7}
	for _, reason := range []string{"", "retry-after=1500ms"} {
		raw, err := newClosePacket(originalID, clientID, serverID, connectionRefused, reason)
		if err != nil {
			t.Fatal(err)
		}
		p, err := parsePacket(raw, 13)
		if err != nil || p.end != len(raw) ||
			!bytes.Equal(p.destinationID, clientID) || !bytes.Equal(p.sourceID, serverID) {
			t.Fatalf("parsed %+v, %v", p, err)
		}
		keys, err := newInitialKeys(originalID, serverInitialLabel)
		if err != nil {
			t.Fatal(err)
		}
		payload, err := keys.unprotect(raw, p)
		if err != nil {
			t.Fatal(err)
		}
		closed, err := findClose(payload)
		if err != nil || closed == nil || closed.code != connectionRefused || closed.reason != reason {
			t.Errorf("close frame %+v, %v", closed, err)
		}
		raw[len(raw)-1] ^= 1
		if _, err := keys.unprotect(raw, p); err == nil {
			t.Error("a packet with a changed byte was decrypted without an error")
		}
	}
}
