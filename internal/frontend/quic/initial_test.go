package quic

import (
	"bytes"
	"testing"
)

// RFC 9001, appendix A: the client's id, the keys of both sides and the server's Initial.
const (
	rfcCID     = "8394c8f03e515708"
	rfcHeader  = "c1000000010008f067a5502a4262b50040750001"
	rfcPayload = "02000000000600405a020000560303eefce7f7b37ba1d1632e96677825ddf73988cfc79825df566dc5430b9a045a" +
		"1200130100002e00330024001d00209d3c940d89690b84d08a60993c144eca684d1081287c834d5311bcf32bb9da1a" +
		"002b00020304"
	rfcPacket = "cf000000010008f067a5502a4262b5004075c0d95a482cd0991cd25b0aac406a5816b6394100f37a1c69797554780bb3" +
		"8cc5a99f5ede4cf73c3ec2493a1839b3dbcba3f6ea46c5b7684df3548e7ddeb9c3bf9c73cc3f3bded74b562bfb19fb840" +
		"22f8ef4cdd93795d77d06edbb7aaf2f58891850abbdca3d20398c276456cbc42158407dd074ee"
)

func TestInitialKeysVectors(t *testing.T) {
	for _, v := range []struct{ side, iv string }{
		{clientSide, "fa044b2f42a3fd3b46fb255c"},
		{serverSide, "0ac1493ca1905853b0bba03e"},
	} {
		k, err := initialKeys(unhex(t, rfcCID), v.side)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(k.iv, unhex(t, v.iv)) {
			t.Errorf("%s: iv %x, want %s", v.side, k.iv, v.iv)
		}
	}
}

func TestServerInitialVector(t *testing.T) {
	k, err := initialKeys(unhex(t, rfcCID), serverSide)
	if err != nil {
		t.Fatal(err)
	}
	want := unhex(t, rfcPacket)
	if got := k.protect(unhex(t, rfcHeader), 2, 1, unhex(t, rfcPayload)); !bytes.Equal(got, want) {
		t.Errorf("protect gives\n%x, want\n%x", got, want)
	}
	p, err := parsePacket(want, 13)
	if err != nil {
		t.Fatal(err)
	}
	if p.kind != typeInitial || !bytes.Equal(p.scid, unhex(t, "f067a5502a4262b5")) {
		t.Errorf("parsed %+v", p)
	}
	payload, err := k.unprotect(want, p)
	if err != nil || !bytes.Equal(payload, unhex(t, rfcPayload)) {
		t.Errorf("unprotect gives %x, %v", payload, err)
	}
}

func TestClosePacket(t *testing.T) {
	orig, client, server := unhex(t, rfcCID), []byte{1, 2, 3}, []byte{4, 5, 6, 7}
	for _, reason := range []string{"", "retry-after=1500ms"} {
		raw, err := closePacket(orig, client, server, connectionRefused, reason)
		if err != nil {
			t.Fatal(err)
		}
		p, err := parsePacket(raw, 13)
		if err != nil || !bytes.Equal(p.dcid, client) || !bytes.Equal(p.scid, server) || p.end != len(raw) {
			t.Fatalf("parsed %+v, %v", p, err)
		}
		k, err := initialKeys(orig, serverSide)
		if err != nil {
			t.Fatal(err)
		}
		payload, err := k.unprotect(raw, p)
		if err != nil {
			t.Fatal(err)
		}
		c, err := findClose(payload)
		if err != nil || c == nil || c.code != connectionRefused || c.reason != reason {
			t.Errorf("close frame %+v, %v", c, err)
		}
		raw[len(raw)-1] ^= 1
		if _, err := k.unprotect(raw, p); err == nil {
			t.Error("a spoiled packet was opened")
		}
	}
}
