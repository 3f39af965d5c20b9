package main

import (
	"syscall"
	"time"
)

// drainLimit is the drain grace of the settings and the 50 ms that every time limit on sockets is longer.
const drainLimit = 550 * time.Millisecond

// playPushStart kills one of two balancers and starts it again where lists are pushed. A room server begins to drain in
// between. The disruption is that discovery is down for 8 s, from before the start. The rule is broken if the room
// server gets a request later than drainLimit after the new process has started.
func playPushStart(folder string) bool {
	leaving, staying := newRoom("s-1"), newRoom("s-2")
	known := []instance{leaving.entry("active"), staying.entry("active")}
	d := newDiscovery(known...)
	d.up()
	plan := deployment{mode: "automatic", classes: []class{soloPlay, classRoom}, sockets: 512, tries: 3, known: known,
		discovery: d.address}
	listen, other := freeAddress(), freeAddress()
	b := startBalancer(folder, "n1", listen, plan.config("n1", listen, freeAddress()))
	startBalancer(folder, "n2", other, plan.config("n2", other, freeAddress()))
	if !waitPong(listen, wordPong, 30*time.Second) || !waitPong(other, wordPong, 30*time.Second) {
		fatal("the balancers are not ready")
	}
	time.Sleep(time.Second)
	b.signal(syscall.SIGKILL)
	<-b.exited
	d.set(leaving.entry("leaving"))
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.down()
		time.AfterFunc(outage, d.up)
	}
	time.Sleep(700 * time.Millisecond)
	startBalancer(folder, "n1-again", listen, plan.config("n1", listen, freeAddress()))
	started := time.Now()
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the restarted balancer is not ready")
	}
	time.Sleep(time.Until(started.Add(drainLimit)))
	count := map[string]int{}
	for range 20 {
		if c := dial(listen); c != nil {
			defer c.close()
			count[c.open("solo-play", 1200*time.Millisecond)]++
		}
		time.Sleep(100 * time.Millisecond)
	}
	late := 0
	for _, request := range leaving.requests() {
		if after := request.at.Sub(started); after > drainLimit {
			late++
			record("%s got request %s %d ms after the start of the new process", leaving.name, request.id,
				after.Milliseconds())
		}
	}
	say("outcomes at the restarted balancer: %v; requests that the draining room server got: %d", count, late)
	return late > 0
}
