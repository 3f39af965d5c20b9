package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// standingConnections is the number of connections that stand when the new version starts: with 256 descriptors
	// clients may hold a third of them, 85.
	standingConnections = 40
	// outage is how long discovery is down.
	outage = 8 * time.Second
	// requestInterval is the time between two new requests during the upgrade.
	requestInterval = 200 * time.Millisecond
)

// playUpgrade starts a second process beside a running one, as a new version comes in. The disruption is that discovery
// is down from half a second before. The rule is broken if a request gets no answer until half a second after its time.
func playUpgrade(folder string) bool {
	var entries []instance
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		entries = append(entries, newRoom(name).entry("active"))
	}
	d := newDiscovery(entries...)
	d.up()
	plan := deployment{mode: "subscribe", classes: []class{soloPlay, classRoom}, sockets: 256, tries: 3, known: entries,
		discovery: d.address}
	listen, first, second := freeAddress(), freeAddress(), freeAddress()
	old := startBalancer(folder, "old", listen, plan.config("n1", listen, first))
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the balancer is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range standingConnections {
		c := dial(listen)
		if c == nil || c.open("solo-play", 1200*time.Millisecond) != served {
			fatal("standing connection %d was not brought up", i)
		}
		defer c.close()
		time.Sleep(40 * time.Millisecond)
	}
	if trouble {
		d.down()
		time.AfterFunc(outage, d.up)
		time.Sleep(500 * time.Millisecond)
	}
	startBalancer(folder, "new", listen, plan.config("n1", listen, second))
	var mutex sync.Mutex
	var running sync.WaitGroup
	count := map[string]int{}
	open := func() {
		outcome := unconnected
		if c := dial(listen); c != nil {
			defer c.close()
			outcome = c.open("solo-play", 1200*time.Millisecond)
		}
		mutex.Lock()
		defer mutex.Unlock()
		count[outcome]++
	}
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(requestInterval) {
		running.Go(open)
	}
	ready := waitPong(second, wordManagement, 6*time.Second)
	running.Wait()
	old.signal(syscall.SIGTERM)
	<-old.exited
	say("the new process is ready: %v; outcomes of the requests during the upgrade: %v", ready, count)
	return count[answeredLate]+count[unanswered] > 0
}
