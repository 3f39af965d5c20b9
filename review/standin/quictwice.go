package main

import (
	"encoding/hex"
	"net"
	"time"
)

const (
	// setupTime is how long a room server takes to answer a client's first packet.
	setupTime = 600 * time.Millisecond
	// crashAfter is how long after it has got the packet the room server crashes.
	crashAfter = 300 * time.Millisecond
	// repeatAfter is when a client repeats its first packet: the first probe timeout of RFC 9002, section 6.2.2.
	repeatAfter = time.Second
)

// playQUICTwice sends a request of a class that may run once at most through the QUIC frontend. The disruption is that
// its room server crashes before it has answered. The rule is broken if another room server gets the request too.
func playQUICTwice(folder string) bool {
	s1, s2 := newQUICRoom("s-1", setupTime), newQUICRoom("s-2", setupTime)
	entries := []instance{s1.entry("active"), s2.entry("active")}
	d := newDiscovery(entries...)
	d.up()
	booking := class{Name: "booking", Aim: 0.8, GiveUp: 3.2, Repeat: "at_most_once", KeyScope: "all", Window: 5,
		Worth: 1, Streamed: true}
	plan := deployment{mode: "subscribe", classes: []class{booking}, sockets: 512, tries: 2, noProbes: true,
		known: entries, discovery: d.address}
	listen, quicListen := freeAddress(), freeAddress()
	startBalancer(folder, "n1", listen, plan.config("n1", listen, freeAddress()),
		"-fronts "+writeFronts(folder, quicListen, booking.Name))
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the balancer is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	conn, err := net.Dial("udp", quicListen)
	must(err)
	// Room servers issue no id that begins with these bits.
	originalID := append([]byte{0xff}, randomBytes(7)...)
	id := hex.EncodeToString(originalID)
	initial := clientInitial(originalID, randomBytes(8))
	sent := time.Now()
	record("client: first packet of request %s", id)
	_, err = conn.Write(initial)
	must(err)
	first, second := s1, s2
	select {
	case <-s1.started:
	case <-s2.started:
		first, second = s2, s1
	case <-time.After(2 * time.Second):
		fatal("no room server got the request")
	}
	if trouble {
		time.AfterFunc(crashAfter, first.crash)
	}
	answer, raw := "nobody", make([]byte, 65536)
	for repeat := repeatAfter; time.Since(sent) < 4*time.Second; repeat *= 2 {
		_ = conn.SetReadDeadline(time.Now().Add(repeat))
		if n, err := conn.Read(raw); err == nil {
			answer = quicAnswer(raw[:n], originalID, s1, s2)
			break
		}
		record("client: repeats the first packet of request %s", id)
		_, _ = conn.Write(initial)
	}
	say("request %s was answered by %s after %d ms; it was sent to %s: %v, to %s: %v", id, answer,
		time.Since(sent).Milliseconds(), first.name, first.has(id), second.name, second.has(id))
	return first.has(id) && second.has(id)
}
