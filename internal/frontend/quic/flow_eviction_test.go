package quic

import (
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// Guards against standing clients that are cut off by a full flow table. Clients that change address and connection ID
// in one step leave an inactive flow behind each time; those make room, and new clients find room too. The flows of the
// clients that stand are never evicted, and the engine counts no failure.
func TestWalkingClientsAreNotCutOff(t *testing.T) {
	t.Parallel()
	const maxFlows, clients, walks = 24, 4, 12
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	limitFlows := func(cfg *Config) { cfg.MaxFlows = maxFlows }
	b := newTestBalancer(t, "127.0.0.1:0", ids, limitFlows, s.endpoint(decide.Ready))
	standing := newFakeClient(t, b.frontend.Addr())
	standing.mustOpen()
	var running sync.WaitGroup
	for range clients {
		c := newFakeClient(t, b.frontend.Addr())
		c.mustOpen()
		running.Go(func() {
			for walk := range walks {
				if err := c.walk("s-1"); err != nil {
					t.Errorf("walk %d: %v", walk, err)
					return
				}
				time.Sleep(800 * time.Millisecond)
			}
		})
	}
	for range walks {
		if response, err := standing.call("hello"); err != nil || response != "s-1 hello" {
			t.Errorf("the standing client: %q, %v", response, err)
		}
		time.Sleep(800 * time.Millisecond)
	}
	running.Wait()
	late := newFakeClient(t, b.frontend.Addr())
	if closed, err := late.open(5 * time.Second); err != nil || closed != nil {
		t.Errorf("a new client: %+v, %v", closed, err)
	}
	snapshot := b.engine.CurrentSnapshot(time.Second)
	if snapshot.Clients > maxFlows || snapshot.Rejected+snapshot.Failed > 0 {
		t.Errorf("%d clients, want at most %d; counters %+v", snapshot.Clients, maxFlows, snapshot.Counters)
	}
	if snapshot.Restored <= maxFlows {
		t.Errorf("only %d walks began a flow: the table was never full", snapshot.Restored)
	}
	if snapshot.Ejected > 0 {
		t.Errorf("%d room servers are ejected", snapshot.Ejected)
	}
}

// walk gives the client another connection ID and address in one step, and checks that the same room server answers.
func (c *fakeClient) walk(server string) error {
	response, err := c.call(newIDRequest)
	if err != nil {
		return err
	}
	c.serverID = []byte(strings.TrimPrefix(response, server+" "))
	c.changeAddress()
	_, err = c.call("hello")
	return err
}

// Made-up connection IDs that name a room server fill the table. They evict each other, neither a standing connection
// nor one that has just been restored.
func TestMadeUpIDsEvictEachOther(t *testing.T) {
	t.Parallel()
	const maxFlows, datagrams = 16, 3000
	ids := newTestFormat(t, nil)
	s := newFakeServer(t, "s-1", ids, accepts)
	limitFlows := func(cfg *Config) { cfg.MaxFlows = maxFlows }
	b := newTestBalancer(t, "127.0.0.1:0", ids, limitFlows, s.endpoint(decide.Ready))
	c, attacker := newFakeClient(t, b.frontend.Addr()), newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	for n := range datagrams {
		id, err := ids.Encode(core.ServerID("s-1"), randomBytes(t, ids.nonceLength))
		if err != nil {
			t.Fatal(err)
		}
		attacker.changeAddress() // IDs from one address would be taken for those of one client
		attacker.write(shortPacket(id, 60))
		switch n % (datagrams / 10) {
		case 0:
			if err := c.walk("s-1"); err != nil {
				t.Fatalf("after %d made-up IDs: %v", n, err)
			}
		case datagrams / 20:
			if response, err := c.call("hello"); err != nil || response != "s-1 hello" {
				t.Fatalf("after %d made-up IDs: %q, %v", n, response, err)
			}
		}
	}
	if n := b.engine.CurrentSnapshot(time.Second).Ejected; n > 0 {
		t.Errorf("%d room servers are ejected", n)
	}
}

// Requests that no room server answers do not use up the whole table: connections are restored beside them.
func TestRequestsLeaveRoomForRestores(t *testing.T) {
	t.Parallel()
	const maxFlows = 8
	ids := newTestFormat(t, testIDKey)
	s := newFakeServer(t, "s-1", ids, accepts)
	limitFlows := func(cfg *Config) { cfg.MaxFlows = maxFlows }
	b := newTestBalancer(t, "127.0.0.1:0", ids, limitFlows, s.endpoint(decide.Ready))
	c := newFakeClient(t, b.frontend.Addr())
	c.mustOpen()
	s.setMode(ignores)
	sendRequest := func() {
		waiting := newFakeClient(t, b.frontend.Addr())
		waiting.write(waiting.initial)
	}
	for range 2 * maxFlows {
		sendRequest()
	}
	walked := make(chan error)
	go func() { walked <- c.walk("s-1") }()
	for {
		select {
		case err := <-walked:
			if err != nil {
				t.Errorf("beside waiting requests: %v", err)
			}
			return
		case <-time.After(time.Millisecond):
			sendRequest()
		}
	}
}

// The longest inactive established flow goes first. Flows with traffic, with a pending or answered request, or whose
// client was made to reconnect, stay.
func TestEvictionOrder(t *testing.T) {
	table := newFlowTable()
	now := time.Now()
	add := func(name string, server decide.ServerID, inactivity time.Duration) *flow {
		fl := &flow{server: server}
		fl.lastTraffic.Store(now.Add(-inactivity).UnixNano())
		table.add(fl, []byte(name))
		return fl
	}
	short, long := add("short", 1, 4*time.Second), add("long", 1, 9*time.Second)
	add("active", 1, time.Second)
	add("pending", 0, 9*time.Second)
	add("reconnecting", 1, 9*time.Second).reconnecting = true
	if got := table.inactiveSince(now.Add(-minInactivity)); len(got) != 2 || got[0] != long || got[1] != short {
		t.Errorf("%d flows are evictable, want the longest inactive first, and two", len(got))
	}
	restored := add("restored", 0, 0)
	restored.restoredAt = 1
	if got := table.unanswered(); len(got) != 1 || got[0] != restored {
		t.Errorf("%d flows are unanswered, want the restored one", len(got))
	}
	restored.serverAnswered.Store(true)
	if got := table.unanswered(); len(got) != 0 {
		t.Errorf("%d flows are unanswered, want none", len(got))
	}
}

// A flow that was removed gets no connection IDs, and is removed and counted once.
func TestRemovedFlowGetsNoIDs(t *testing.T) {
	table := newFlowTable()
	fl := &flow{}
	table.add(fl, []byte("a"))
	table.remove(fl)
	table.remove(fl)
	table.establish(fl, 1)
	table.addID(fl, []byte("b"))
	if table.count != 0 || table.requests != 0 || len(table.byID) != 0 {
		t.Errorf("%d flows, %d requests, %d IDs are left, want none", table.count, table.requests, len(table.byID))
	}
}
