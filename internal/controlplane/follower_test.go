package controlplane

import (
	"errors"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// A follower receives a snapshot of many chunks, and then changes, from a server that is itself a follower of the
// leader. When that server stops, the follower connects to another one and receives the next version from it. When
// no server is left, it logs once that the leader is stale.
func TestReplicateThroughFollower(t *testing.T) {
	t.Parallel()
	keys := newTestKeyring(t)
	leader := NewBroadcaster(replica.State{}, true)
	publishDocument(t, leader, documentOf(20000, 1))
	first, stopFirst := startServer(t, leader, keys, "x")
	middle := NewBroadcaster(replica.State{}, true)
	log, _ := newTestLogger()
	ignoreState := func(replica.State) {}
	startUntilCleanup(t, NewFollower(middle, []replica.Server{first}, "a", 2, keys, "x", ignoreState, log).Run)
	second, stopSecond := startServer(t, middle, keys, "x")
	other := replica.Server{Address: first.Address, Region: "b"}
	follower := startFollower(t, replica.State{}, keys, "x", second, other)
	waitUntil(t, "the snapshot", atVersion(follower.broadcaster, version(1)))
	publishDocument(t, leader, documentOf(20001, 1))
	waitUntil(t, "a change", atVersion(follower.broadcaster, version(2)))
	start := time.Now()
	stopSecond()
	publishDocument(t, leader, documentOf(20002, 1))
	waitUntil(t, "a change from the other server", atVersion(follower.broadcaster, version(3)))
	if took := time.Since(start); took > replica.LeaderTimeout {
		t.Errorf("the change arrived %v after the server was stopped", took)
	}
	state := follower.broadcaster.State()
	if !reflect.DeepEqual(state, leader.State()) || len(follower.states) != 3 ||
		!strings.Contains(follower.log.String(), other.Address) {
		t.Errorf("version %s, %d states applied, want 3; log:\n%s", state.Version, len(follower.states), follower.log)
	}
	stopFirst()
	waitUntil(t, "a stale leader", follower.log.contains("no contact to the leader for 6s"))
	time.Sleep(500 * time.Millisecond)
	if n := strings.Count(follower.log.String(), "no contact to the leader for"); n != 1 {
		t.Errorf("the stale leader is logged %d times, want once", n)
	}
}

// A follower starts 100 versions behind. One server does not answer, two are down, and the remaining two have
// different versions. The follower reaches the newest version within replica.LeaderTimeout. When only the server with
// the older version is left, the follower keeps its version.
func TestServersWithDifferentVersions(t *testing.T) {
	t.Parallel()
	keys := newTestKeyring(t)
	newer, older := NewBroadcaster(replica.State{}, true), NewBroadcaster(replica.State{}, true)
	oldState := publishDocument(t, older, documentOf(10, 1))
	publishDocument(t, newer, documentOf(10, 1))
	for i := range 100 {
		publishDocument(t, newer, documentOf(10, i+2))
	}
	newerServer, stopNewer := startServer(t, newer, keys, "x")
	olderServer, _ := startServer(t, older, keys, "x")
	hanging, down, alsoDown := listen(t), listen(t), listen(t)
	down.Close()
	alsoDown.Close()
	newerServer.Region, olderServer.Region = "b", "c"
	follower := startFollower(t, oldState, keys, "x",
		serverAt(hanging, "a"), serverAt(down, "a"), serverAt(alsoDown, "a"), newerServer, olderServer)
	start := time.Now()
	waitUntil(t, "the newer state", atVersion(follower.broadcaster, version(101)))
	if took := time.Since(start); took > replica.LeaderTimeout {
		t.Errorf("the newer state arrived after %v", took)
	}
	stopNewer()                 // only the older one is left
	time.Sleep(3 * time.Second) // time for the follower to connect to the older server
	for len(follower.states) > 0 {
		if state := <-follower.states; state.Version.Compare(oldState.Version) <= 0 {
			t.Errorf("the follower went back to version %s", state.Version)
		}
	}
	if current := follower.broadcaster.State().Version; current != version(101) {
		t.Errorf("the follower is at version %s, want that of the newer server", current)
	}
}

// A server sends nothing after its first heartbeat, although the connection stays open, and does not answer new
// connections. This happens when its process hangs. The follower connects to another server before it reports the
// leader as stale.
func TestUnresponsiveServerIsLeft(t *testing.T) {
	t.Parallel()
	keys, broadcaster := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	want := publishDocument(t, broadcaster, documentOf(3, 1))
	listener, heartbeatSent := listen(t), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		peer := newSecureConn(conn)
		var received message
		heartbeatSent <- errors.Join(peer.serverHandshake(keys, "x"), peer.receive(&received, time.Second),
			peer.send(message{Heartbeat: &heartbeat{}}))
		time.Sleep(testTimeout)
	}()
	other, _ := startServer(t, broadcaster, keys, "x")
	other.Region = "b"
	follower := startFollower(t, replica.State{}, keys, "x", serverAt(listener, "a"), other)
	if err := <-heartbeatSent; err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	waitUntil(t, "the other server's state", atVersion(follower.broadcaster, want.Version))
	if took := time.Since(start); took > replica.LeaderTimeout ||
		strings.Contains(follower.log.String(), "no contact to the leader for") {
		t.Errorf("the other server's state arrived after %v, log:\n%s", took, follower.log)
	}
}

// A follower that restarts with a saved state receives only the changes since that state. It keeps a saved state
// that is newer than the server's.
func TestRestartFromSavedState(t *testing.T) {
	t.Parallel()
	keys, broadcaster := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	saved := publishDocument(t, broadcaster, documentOf(5, 1))
	publishDocument(t, broadcaster, documentOf(5, 2))
	server, _ := startServer(t, broadcaster, keys, "x")
	conn, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer := newSecureConn(conn)
	if err := peer.clientHandshake(keys, "x"); err != nil {
		t.Fatal(err)
	}
	var received message
	err = errors.Join(peer.send(message{Subscribe: &saved.Version}), peer.receive(&received, time.Second))
	if err != nil || len(received.Changes) != 1 {
		t.Fatalf("error %v, received %+v, want one change", err, received)
	}
	newer := replica.State{Version: replica.Version{Term: 3, Number: 1}, Document: documentOf(7, 1)}
	follower := startFollower(t, newer, keys, "x", server)
	time.Sleep(1500 * time.Millisecond)
	if state := follower.broadcaster.State(); !reflect.DeepEqual(state, newer) || len(follower.states) != 0 {
		t.Errorf("the newer saved state was replaced: version %s, %d states applied", state.Version, len(follower.states))
	}
}
