package controlplane

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// testTimeout limits the time that a test waits for an expected event.
const testTimeout = 20 * time.Second

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// contains returns a condition for waitUntil: that the output contains the text.
func (b *logBuffer) contains(text string) func() bool {
	return func() bool { return strings.Contains(b.String(), text) }
}

func newTestLogger() (*logrus.Logger, *logBuffer) {
	log, output := logrus.New(), &logBuffer{}
	log.SetOutput(output)
	return log, output
}

// newTestKeyring returns a keyring with a new random key.
func newTestKeyring(t *testing.T) *Keyring {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Minute), time.Now().Add(time.Hour), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	read := func() (*token.Ring, error) { return token.NewRing([]token.Key{key}, time.Minute) }
	keys, err := NewKeyring(read)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// documentOf returns a document with the given number of endpoints, all of one weight.
func documentOf(length, weight int) replica.Document {
	var document replica.Document
	for i := range length {
		document.Endpoints = append(document.Endpoints, endpoint.Entry{
			Name:    fmt.Sprintf("s-%05d", i),
			Address: fmt.Sprintf("127.1.%d.%d:9000", i>>8, i&255),
			Zone:    "a",
			Weight:  float64(weight),
		})
	}
	return document
}

// publishDocument makes a document the next version of a broadcaster in term 1.
func publishDocument(t *testing.T, broadcaster *Broadcaster, document replica.Document) replica.State {
	t.Helper()
	change, _, err := broadcaster.propose(document, 1)
	if err != nil {
		t.Fatal(err)
	}
	state, _, err := broadcaster.applyChanges([]replica.Change{*change})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// startUntilCleanup runs a function in a goroutine, and cancels its context when the test ends or stop is called.
// stop waits for the function to return.
func startUntilCleanup(t *testing.T, run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return stop
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serverAt returns a replica.Server with a listener's address.
func serverAt(listener net.Listener, region string) replica.Server {
	return replica.Server{Address: listener.Addr().String(), Region: region}
}

// startServer starts a control-plane server in region "a" that serves a broadcaster's document.
func startServer(
	t *testing.T, broadcaster *Broadcaster, keys *Keyring, site string,
) (server replica.Server, stop func()) {
	t.Helper()
	listener := listen(t)
	log, _ := newTestLogger()
	stop = startUntilCleanup(t, func(ctx context.Context) {
		NewServer(broadcaster, keys, site, log).Serve(ctx, listener)
	})
	return serverAt(listener, "a"), stop
}

// testFollower contains the broadcaster, the applied states and the log of a running follower.
type testFollower struct {
	broadcaster *Broadcaster
	states      chan replica.State // the states that it has applied
	log         *logBuffer
}

// startFollower starts a follower in region "a" with a saved state.
func startFollower(
	t *testing.T, saved replica.State, keys *Keyring, site string, servers ...replica.Server,
) testFollower {
	t.Helper()
	log, output := newTestLogger()
	f := testFollower{
		broadcaster: NewBroadcaster(saved, false),
		states:      make(chan replica.State, 10000),
		log:         output,
	}
	onState := func(state replica.State) { f.states <- state }
	follower := NewFollower(f.broadcaster, servers, "a", 1, keys, site, onState, log)
	startUntilCleanup(t, follower.Run)
	return f
}

// waitUntil waits until a condition is true. It fails the test if that takes longer than testTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// atVersion returns a condition for waitUntil: that a broadcaster is at the given version.
func atVersion(broadcaster *Broadcaster, version replica.Version) func() bool {
	return func() bool { return broadcaster.State().Version == version }
}

// version returns the version with the given number in term 1.
func version(number uint64) replica.Version { return replica.Version{Term: 1, Number: number} }
