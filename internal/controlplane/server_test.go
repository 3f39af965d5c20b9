package controlplane

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// Peers with another key or of another site cannot complete the handshake: a server does not send them its document,
// and a follower does not accept one from them. A key that is added later takes effect without a signal.
func TestForeignKeysAndSitesAreRejected(t *testing.T) {
	t.Parallel()
	keys, foreignKeys := newTestKeyring(t), newTestKeyring(t)
	broadcaster := NewBroadcaster(replica.State{}, true)
	publishDocument(t, broadcaster, documentOf(3, 1))
	log, output := newTestLogger()
	listener := listen(t)
	startUntilCleanup(t, func(ctx context.Context) { NewServer(broadcaster, keys, "x", log).Serve(ctx, listener) })
	server := serverAt(listener, "a")
	otherKey := startFollower(t, replica.State{}, foreignKeys, "x", server)
	otherSite := startFollower(t, replica.State{}, keys, "y", server)
	valid := startFollower(t, replica.State{}, keys, "x", server)
	waitUntil(t, "the valid follower's state", atVersion(valid.broadcaster, version(1)))
	waitUntil(t, "the log of a rejection", output.contains("control: follower rejected"))
	time.Sleep(300 * time.Millisecond) // time for a follower that is wrongly accepted to receive the document
	if got := otherKey.broadcaster.State().Version; got != (replica.Version{}) {
		t.Errorf("a follower with another key receives version %s", got)
	}
	if got := otherSite.broadcaster.State().Version; got != (replica.Version{}) {
		t.Errorf("a follower of another site receives version %s", got)
	}
	// A server without the key cannot complete the handshake with a follower that has it.
	foreignServer, _ := startServer(t, broadcaster, foreignKeys, "x")
	conn, err := net.Dial("tcp", foreignServer.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := newSecureConn(conn).clientHandshake(keys, "x"); err == nil {
		t.Error("a server without the key is accepted")
	}
	foreignKeys.mu.Lock()
	foreignKeys.read = keys.read
	foreignKeys.mu.Unlock()
	waitUntil(t, "the state under the new key", atVersion(otherKey.broadcaster, version(1)))
}

// A server disconnects a peer that sends nothing. It can be stopped after followers have disconnected right after
// their subscriptions. The stop would hang if a goroutine of a connection did not end.
func TestDisconnectedFollowers(t *testing.T) {
	t.Parallel()
	keys, broadcaster := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	publishDocument(t, broadcaster, documentOf(3, 1))
	server, stop := startServer(t, broadcaster, keys, "x")
	idle, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(testTimeout))
	if received, err := io.ReadAll(idle); len(received) > 0 || err != nil {
		t.Errorf("an idle peer receives %d bytes, error %v", len(received), err)
	}
	for range 20 {
		conn, err := net.Dial("tcp", server.Address)
		if err != nil {
			t.Fatal(err)
		}
		peer := newSecureConn(conn)
		subscribe := message{Subscribe: &replica.Version{}}
		if err := errors.Join(peer.clientHandshake(keys, "x"), peer.send(subscribe)); err != nil {
			t.Error(err)
		}
		conn.Close()
	}
	stop() // waits for all connections
}
