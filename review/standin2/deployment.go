package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// deployment is a balancer with its discovery and its room servers.
type deployment struct {
	discovery *discovery
	balancer  *balancer
	rooms     []*roomServer
}

// newDeployment starts discovery, room servers of the given names in one zone, and a balancer with the QUIC frontend.
// The balancer's configuration knows the first ones of the room servers.
func newDeployment(s *stage, settings object, known int, names ...string) (*deployment, error) {
	d := &deployment{}
	var entries []instance
	zone := settings["zone"].(string)
	for _, name := range names {
		r, err := newRoomServer(s, name, zone)
		if err != nil {
			return nil, err
		}
		d.rooms = append(d.rooms, r)
		entries = append(entries, r.entry("active"))
	}
	var err error
	if d.discovery, err = newDiscovery(s, entries); err != nil {
		return nil, err
	}
	d.balancer = &balancer{stage: s, name: "n3", discovery: d.discovery.address, settings: settings,
		known: object{"generation": 40, "reset": true, "instances": entries[:known]}}
	if d.balancer.listen, err = freeTCP(); err != nil {
		return nil, err
	}
	if d.balancer.quicListen, err = freeUDP(); err != nil {
		return nil, err
	}
	return d, d.balancer.start()
}

// room returns the room server of a name.
func (d *deployment) room(name string) *roomServer {
	i := slices.IndexFunc(d.rooms, func(r *roomServer) bool { return r.name == name })
	return d.rooms[i]
}

// connect opens a QUIC connection for each client, one after the other, and reports a client that is not served.
func (d *deployment) connect(s *stage, count int, pause time.Duration) ([]*quicClient, error) {
	var clients []*quicClient
	for n := range count {
		c, err := newQUICClient(s, fmt.Sprintf("c%d", n+1), d.balancer.quicListen, uint64(n+1))
		if err != nil {
			return nil, err
		}
		if answer := c.open(nil, 3*time.Second); answer != gotUp {
			return nil, fmt.Errorf("client %s: got %s in place of a connection", c.name, answer)
		}
		clients = append(clients, c)
		time.Sleep(pause)
	}
	for _, c := range clients {
		if result := c.say(3 * time.Second); result != gotEcho {
			return nil, fmt.Errorf("client %s: its first line got %s", c.name, result)
		}
	}
	return clients, nil
}

// together runs do for each client in a goroutine of its own and returns the sum of the results.
func together(clients []*quicClient, do func(n int, c *quicClient) int) int {
	var running sync.WaitGroup
	results := make([]int, len(clients))
	for n, c := range clients {
		running.Go(func() { results[n] = do(n, c) })
	}
	running.Wait()
	sum := 0
	for _, result := range results {
		sum += result
	}
	return sum
}

// reopen records where a client that has lost its connection comes to be.
func (c *quicClient) reopen() {
	before := c.server
	c.open(nil, 3*time.Second)
	c.stage.record.add("client %s: was held by %s, then begins anew at %q", c.name, before, c.server)
}
