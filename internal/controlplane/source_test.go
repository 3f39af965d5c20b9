package controlplane

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
)

// fakeDiscovery is a DiscoverySource that records its calls. Its list contains one endpoint, named "of discovery".
type fakeDiscovery struct {
	handler core.UpdateHandler
	calls   chan string
}

func (d *fakeDiscovery) SetAddress(address string) { d.calls <- "set address " + address }

func (d *fakeDiscovery) Watch(ctx context.Context, watch uint64) {
	d.calls <- "watch"
	d.handler.WatchAlive(watch)
	d.handler.EndpointsUpdated(core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "of discovery"}}})
	context.AfterFunc(ctx, func() {
		d.calls <- "watch ended"
		d.handler.EndpointsUpdated(core.EndpointUpdate{WatchID: watch})
	})
}

func (d *fakeDiscovery) Fetch(context.Context) { d.calls <- "fetch" }

func (d *fakeDiscovery) Dial(_ context.Context, done func(bool)) {
	d.calls <- "dial"
	done(false)
}

func (d *fakeDiscovery) Run(ctx context.Context) { <-ctx.Done() }

// updateRecorder is a core.UpdateHandler. It records the endpoints' names of each update, and the IDs of the watches
// that are reported alive.
type updateRecorder struct {
	lists chan string
	alive chan uint64
}

func newUpdateRecorder() updateRecorder {
	return updateRecorder{lists: make(chan string, 100), alive: make(chan uint64, 100)}
}

func (r updateRecorder) EndpointsUpdated(update core.EndpointUpdate) {
	names := ""
	for _, updated := range update.Endpoints {
		names += updated.Name + " "
	}
	r.lists <- names
}

func (r updateRecorder) WatchAlive(watch uint64) {
	select {
	case r.alive <- watch:
	default:
	}
}

// expectNext receives a value from a channel. It fails the test if the value is not the wanted one, or if none is
// received within testTimeout.
func expectNext[T comparable](t *testing.T, values <-chan T, want T) {
	t.Helper()
	select {
	case got := <-values:
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %v", want)
	}
}

// sourceFixture contains the dependencies that the sources of a test share, and records the sources' calls.
type sourceFixture struct {
	config    FollowerConfig
	keys      *Keyring
	store     *Store
	recorder  updateRecorder
	calls     chan string // calls of the fake discovery
	addresses chan string // discovery addresses that the source has set
	log       *logBuffer  // log of the latest source
}

// newSource returns a source that starts with the saved state.
func (f *sourceFixture) newSource() *Source {
	// Each source has its own fake, because the goroutines of the previous source may still use theirs.
	discovery := &fakeDiscovery{calls: f.calls}
	newDiscovery := func(handler core.UpdateHandler) DiscoverySource {
		discovery.handler = handler
		return discovery
	}
	setAddress := func(address string) { f.addresses <- address }
	log, output := newTestLogger()
	f.log = output
	return NewSource(f.config, f.keys, f.store, f.store.Load(), newDiscovery, setAddress, f.recorder, log)
}

// dial makes a source dial the discovery service. It records the result in recorder.lists.
func (f *sourceFixture) dial(t *testing.T, source *Source) {
	source.Dial(t.Context(), func(reachable bool) { f.recorder.lists <- fmt.Sprint(reachable) })
}

func newSourceFixture(t *testing.T, server replica.Server, keys *Keyring) *sourceFixture {
	store, _ := newTestStore(filepath.Join(t.TempDir(), "state.db"), "x")
	return &sourceFixture{
		config:    FollowerConfig{Servers: []replica.Server{server}, Region: "a", Site: "x"},
		keys:      keys,
		store:     store,
		recorder:  newUpdateRecorder(),
		calls:     make(chan string, 100),
		addresses: make(chan string, 100),
	}
}

// A source forwards the discovery service's list until the document contains a list. It then serves the document's
// list, and saves it for the next start. The document's discovery address takes precedence over the address of a
// reloaded configuration.
func TestSourceReplacesDiscovery(t *testing.T) {
	t.Parallel()
	keys, broadcaster := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	server, stopServer := startServer(t, broadcaster, keys, "x")
	fixture := newSourceFixture(t, server, keys)
	source := fixture.newSource()
	stopSource := startUntilCleanup(t, source.Run)

	checkForwardsDiscovery(t, fixture, source, broadcaster)
	checkServesDocument(t, fixture, source, broadcaster)
	stopServer()
	stopSource()
	checkRestartWithoutServer(t, fixture)
}

// checkForwardsDiscovery tests a source while the document contains no list.
func checkForwardsDiscovery(t *testing.T, fixture *sourceFixture, source *Source, broadcaster *Broadcaster) {
	t.Helper()
	lists := fixture.recorder.lists
	source.Watch(t.Context(), 1)
	expectNext(t, fixture.calls, "watch")
	expectNext(t, lists, "of discovery ")
	expectNext(t, fixture.recorder.alive, 1)
	source.SetFallbackAddress("127.0.0.1:5")
	expectNext(t, fixture.addresses, "127.0.0.1:5")
	publishDocument(t, broadcaster, replica.Document{Discovery: "127.0.0.1:7"})
	expectNext(t, fixture.addresses, "127.0.0.1:7")
	source.SetFallbackAddress("127.0.0.1:5")
	fixture.dial(t, source)
	expectNext(t, fixture.calls, "dial")
	expectNext(t, lists, "false")
	if len(fixture.addresses) > 0 || len(lists) > 0 {
		t.Error("the discovery address of a reload takes precedence over the document's")
	}
}

// checkServesDocument tests a source once the document contains a list.
func checkServesDocument(t *testing.T, fixture *sourceFixture, source *Source, broadcaster *Broadcaster) {
	t.Helper()
	lists := fixture.recorder.lists
	document := documentOf(2, 1)
	publishDocument(t, broadcaster, document)
	expectNext(t, fixture.calls, "watch ended") // the fake then sends an update, which must not be forwarded
	expectNext(t, lists, "s-00000 s-00001 ")
	expectNext(t, fixture.recorder.alive, 1)
	fixture.dial(t, source)
	expectNext(t, lists, "true")
	source.Fetch(t.Context())
	expectNext(t, lists, "s-00000 s-00001 ")
	savedVersion := func(number uint64) func() bool {
		return func() bool { return fixture.store.Load().Version == version(number) }
	}
	waitUntil(t, "the save", savedVersion(2))
	publishDocument(t, broadcaster, documentOf(3, 1)) // the update contains only the difference
	expectNext(t, lists, "s-00002 ")
	publishDocument(t, broadcaster, documentOf(1, 1))
	expectNext(t, lists, "s-00001 s-00002 ") // the removed endpoints
	publishDocument(t, broadcaster, document)
	expectNext(t, lists, "s-00001 ")
	waitUntil(t, "the save", savedVersion(5))
}

// checkRestartWithoutServer tests a source that starts with a saved list and cannot reach a control-plane server.
func checkRestartWithoutServer(t *testing.T, fixture *sourceFixture) {
	t.Helper()
	source := fixture.newSource()
	startUntilCleanup(t, source.Run)
	source.Watch(t.Context(), 2)
	expectNext(t, fixture.recorder.lists, "s-00000 s-00001 ")
	waitUntil(t, "a stale leader", source.follower.LeaderStale)
	if len(fixture.calls) > 0 {
		t.Errorf("discovery is called although the saved document contains a list: %s", <-fixture.calls)
	}
	source.SetFallbackAddress("127.0.0.1:5")
	const want = "no contact to the leader, the configuration's discovery address is ignored"
	if len(fixture.addresses) > 0 || !strings.Contains(fixture.log.String(), want) {
		t.Errorf("a reload sets the discovery address while the leader is stale, log:\n%s", fixture.log)
	}
}
