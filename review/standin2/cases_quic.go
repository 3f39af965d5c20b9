package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// silenceLimit is how long a sound connection may bring nothing back: 7 s and the 50 ms of all limits on sockets.
const silenceLimit = 7050 * time.Millisecond

var errEnded = errors.New("the balancer has ended")

// playRunTwice plays a room server that crashes while it sets a request up. The class of the requests may be run at
// most once.
func playRunTwice(s *stage) (int, error) {
	settings := withEffect(armorSettings("rennes"), "class-room", "at_most_once")
	d, err := newDeployment(s, settings, 4, "s-5be2a07c", "s-11d3907e", "s-c4f0a2b1", "s-90aa73d5")
	if err != nil {
		return 0, err
	}
	// The first room server that has its third request crashes, with this request begun and not answered.
	var mu sync.Mutex
	began := map[string]int{}
	crashed := false
	for _, r := range d.rooms {
		r.mu.Lock()
		r.setUp = 150 * time.Millisecond
		r.crashSoon = func() bool {
			mu.Lock()
			defer mu.Unlock()
			began[r.name]++
			if !s.trouble || crashed || began[r.name] < 3 {
				return false
			}
			crashed = true
			return true
		}
		r.mu.Unlock()
	}
	var running sync.WaitGroup
	for n := range 24 {
		c, err := newQUICClient(s, fmt.Sprintf("c%d", n+1), d.balancer.quicListen, uint64(n+1))
		if err != nil {
			return 0, err
		}
		running.Go(func() {
			c.open(nil, 4*time.Second)
		})
		time.Sleep(250 * time.Millisecond)
	}
	running.Wait()
	ranAt := map[string][]string{}
	for _, r := range d.rooms {
		for _, id := range r.ran() {
			ranAt[id] = append(ranAt[id], r.name)
		}
	}
	violations := 0
	for id, names := range ranAt {
		if len(names) > 1 {
			s.record.add("request %s: RUN TWICE, at %v", id, names)
			violations++
		}
	}
	return violations, nil
}

// playFlowTable plays clients that change their address and their connection id every second.
func playFlowTable(s *stage) (int, error) {
	d, err := newDeployment(s, armorSettings("rennes"), 4, "s-5be2a07c", "s-11d3907e", "s-c4f0a2b1", "s-90aa73d5")
	if err != nil {
		return 0, err
	}
	clients, err := d.connect(s, 20, 100*time.Millisecond)
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(40 * time.Second)
	s.record.add("%d clients say a line every second; they walk: %v", len(clients), s.trouble)
	violations := together(clients, func(n int, c *quicClient) int {
		time.Sleep(time.Duration(n) * 50 * time.Millisecond)
		for walks := 1; time.Now().Before(end); walks++ {
			if s.trouble {
				if err := c.walk(true); err != nil {
					s.record.add("client %s: %v", c.name, err)
					return 0
				}
			}
			began := time.Now()
			if result := c.say(silenceLimit); result != gotEcho {
				s.record.add("client %s: LOST: held by %s, which runs; walk %d: %s for %.2f s", c.name, c.server, walks,
					result, time.Since(began).Seconds())
				return 1
			}
			time.Sleep(time.Until(began.Add(time.Second)))
		}
		return 0
	})
	if !d.balancer.alive() {
		return violations, errEnded
	}
	return violations, nil
}

// playRestartID plays a balancer that is killed and started again, three times, while clients go on at their room
// servers. One room server has joined after the list that the configuration knows.
func playRestartID(s *stage) (int, error) {
	const joined = "s-90aa73d5"
	d, err := newDeployment(s, armorSettings("rennes"), 3, "s-5be2a07c", "s-11d3907e", "s-c4f0a2b1", joined)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the balancer has the whole list
	clients, err := d.connect(s, 40, 100*time.Millisecond)
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(28 * time.Second)
	restarted := make(chan error, 1)
	go func() {
		for range 3 {
			time.Sleep(5 * time.Second)
			if !s.trouble {
				continue
			}
			d.balancer.kill()
			time.Sleep(500 * time.Millisecond)
			if err := d.balancer.start(); err != nil {
				restarted <- err
				return
			}
		}
		restarted <- nil
	}()
	violations := together(clients, func(n int, c *quicClient) int {
		time.Sleep(time.Duration(n) * 2 * time.Second / time.Duration(len(clients)))
		for time.Now().Before(end) {
			began := time.Now()
			if result := c.say(silenceLimit + 2*time.Second); result != gotEcho {
				s.record.add("client %s: LOST: held by %s, which runs: %s", c.name, c.server, result)
				c.reopen()
				return 1
			}
			time.Sleep(time.Until(began.Add(2 * time.Second)))
		}
		return 0
	})
	return violations, <-restarted
}

// playDrainID plays a room server that drains, whose clients change their address and their connection id.
func playDrainID(s *stage) (int, error) {
	d, err := newDeployment(s, sfaxSettings("sakiet"), 4, "s-5be2a07c", "s-11d3907e", "s-c4f0a2b1", "s-90aa73d5")
	if err != nil {
		return 0, err
	}
	clients, err := d.connect(s, 16, 100*time.Millisecond)
	if err != nil {
		return 0, err
	}
	held := map[string]int{}
	draining := clients[0].server
	for _, c := range clients {
		if held[c.server]++; held[c.server] > held[draining] {
			draining = c.server
		}
	}
	if s.trouble {
		d.discovery.change(d.room(draining).entry("leaving"))
	}
	time.Sleep(3 * time.Second)
	s.record.add("%d of %d clients are held by %s; all walk", held[draining], len(clients), draining)
	return together(clients, func(_ int, c *quicClient) int {
		if err := c.walk(true); err != nil {
			s.record.add("client %s: %v", c.name, err)
			return 0
		}
		if result := c.say(silenceLimit); result != gotEcho {
			s.record.add("client %s: LOST: held by %s, which runs: %s", c.name, c.server, result)
			c.reopen()
			return 1
		}
		s.record.add("client %s: still held by %s", c.name, c.server)
		return 0
	}), nil
}
