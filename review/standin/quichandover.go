package main

import (
	"encoding/hex"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// slowSetup is how long a slow room server takes to answer a client's first packet; the class allows it.
	slowSetup = 1300 * time.Millisecond
	// handoverClients connect one each handoverInterval. The second process starts in the middle.
	handoverClients  = 16
	handoverInterval = 100 * time.Millisecond
)

// playQUICHandover sends requests of a class that may run once at most through the QUIC frontend. The disruption is
// that a new version comes in while they wait for their room servers. The rule is broken if two room servers get one.
func playQUICHandover(folder string) bool {
	rooms := []*quicRoom{newQUICRoom("s-1", slowSetup), newQUICRoom("s-2", slowSetup), newQUICRoom("s-3", slowSetup)}
	var entries []instance
	for _, r := range rooms {
		entries = append(entries, r.entry("active"))
	}
	d := newDiscovery(entries...)
	d.up()
	booking := class{Name: "booking", Aim: 2, GiveUp: 4, Repeat: "at_most_once", KeyScope: "all", Window: 5, Worth: 1,
		Streamed: true}
	plan := deployment{mode: "subscribe", classes: []class{booking}, sockets: 512, tries: 2, noProbes: true,
		known: entries, discovery: d.address}
	listen, quicListen, second := freeAddress(), freeAddress(), freeAddress()
	fronts := "-fronts " + writeFronts(folder, quicListen, booking.Name)
	old := startBalancer(folder, "old", listen, plan.config("n1", listen, freeAddress()), fronts)
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the balancer is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	var running sync.WaitGroup
	ids := make([]string, handoverClients)
	for i := range handoverClients {
		if trouble && i == handoverClients/2 {
			startBalancer(folder, "new", listen, plan.config("n1", listen, second), fronts)
		}
		originalID := append([]byte{0xff}, randomBytes(7)...)
		ids[i] = hex.EncodeToString(originalID)
		running.Go(func() { repeatUntilAnswered(quicListen, originalID, rooms) })
		time.Sleep(handoverInterval)
	}
	if trouble {
		if !waitPong(second, wordManagement, 6*time.Second) {
			fatal("the new process is not ready")
		}
		old.signal(syscall.SIGTERM)
	}
	running.Wait()
	twice := 0
	for _, id := range ids {
		got := 0
		for _, r := range rooms {
			if r.has(id) {
				got++
			}
		}
		if got > 1 {
			twice++
			record("request %s was sent to %d room servers", id, got)
		}
	}
	say("%d of %d requests were sent to more than one room server", twice, len(ids))
	return twice > 0
}

// repeatUntilAnswered sends a client's first packet, and repeats it as RFC 9002 says, until an answer comes.
func repeatUntilAnswered(address string, originalID []byte, rooms []*quicRoom) {
	conn, err := net.Dial("udp", address)
	must(err)
	defer conn.Close()
	initial, raw := clientInitial(originalID, randomBytes(8)), make([]byte, 65536)
	start := time.Now()
	for repeat := repeatAfter; time.Since(start) < 4*time.Second; repeat *= 2 {
		record("client: first packet of request %x", originalID)
		_, _ = conn.Write(initial)
		_ = conn.SetReadDeadline(time.Now().Add(repeat))
		if n, err := conn.Read(raw); err == nil {
			record("client: request %x is answered by %s", originalID, quicAnswer(raw[:n], originalID, rooms...))
			return
		}
	}
	record("client: request %x is not answered", originalID)
}
