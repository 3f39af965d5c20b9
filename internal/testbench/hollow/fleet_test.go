package hollow

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
)

// testEntries returns the entries of n ready endpoints.
func testEntries(n int) (entries []emulator.Entry) {
	for i := range n {
		entries = append(entries, emulator.ActiveEntry(fmt.Sprintf("h-%d", i), "127.1.0.1:1", "a"))
	}
	return entries
}

// testEngineConfig returns the configuration of a node's engine.
func testEngineConfig() core.Config {
	return core.Config{
		ListPushed: true,
		Settings: decide.Settings{
			Zone:      "a",
			Balancers: 2300,
			WatchList: true,
			Classes:   []decide.Class{{Name: "x", LatencyObjective: time.Second, ClientTimeout: 2 * time.Second}},
			Safety:    decide.SafetyLimits{MaxPollInterval: 10 * time.Second},
		},
	}
}

// fleet is a number of nodes that watch the endpoint list at one emulator.ListServer.
type fleet struct {
	table  *emulator.EndpointTable
	server *emulator.ListServer
	// ports holds each node's port of the proxy in front of the server.
	ports  []*faultproxy.Port
	nodes  []*node
	shared *sharedList

	// mu guards events.
	mu     sync.Mutex
	events []Event
}

// record adds an event of a node or of the test.
func (f *fleet) record(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// fleetOptions describe a fleet to start.
type fleetOptions struct {
	nodes      int
	endpoints  int
	fullEngine bool
	// known says that the nodes start with version 1 of the list.
	known bool
}

// startFleet starts a fleet and waits until the watch of each node has received a message or a heartbeat.
func startFleet(t *testing.T, options fleetOptions) *fleet {
	t.Helper()
	f := &fleet{table: emulator.NewEndpointTable(testEntries(options.endpoints))}
	f.server = emulator.NewListServer(f.table)
	t.Cleanup(f.server.Stop)
	address, err := f.server.Listen(nil)
	if err != nil {
		t.Fatal(err)
	}
	link := faultproxy.NewLink(func(*faultproxy.Port) string { return address })
	f.shared = newSharedList(f.decodeList(t), 1)
	for i := range options.nodes {
		f.startNode(t, link, i, options)
	}
	f.wait(t, func() bool {
		for _, n := range f.nodes {
			if !n.connected() {
				return false
			}
		}
		return true
	})
	return f
}

// decodeList returns a copy of version 1 of the list.
func (f *fleet) decodeList(t *testing.T) []core.Endpoint {
	t.Helper()
	list, err := httpsource.DecodeListing(f.table.Snapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	return list.Endpoints
}

// startNode starts the node with the given number, which reaches the server over a proxy port of its own.
func (f *fleet) startNode(t *testing.T, link *faultproxy.Link, id int, options fleetOptions) {
	t.Helper()
	port, err := link.Port(id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Close)
	cfg := nodeConfig{engine: testEngineConfig(), address: port.Address, known: f.decodeList(t)}
	if options.known {
		cfg.version = 1
	}
	n := &node{id: id, fullEngine: options.fullEngine, shared: f.shared, record: f.record}
	f.record(Event{Kind: NodeReachable, Node: id})
	if err := startNode(t.Context(), n, cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.stop)
	f.ports = append(f.ports, port)
	f.nodes = append(f.nodes, n)
}

// wait waits until a condition holds.
func (f *fleet) wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the nodes")
		}
	}
}

// publishAndWait publishes changes of one endpoint and waits until all nodes have applied them.
func (f *fleet) publishAndWait(t *testing.T, changes int) {
	t.Helper()
	for i := range changes {
		e := testEntries(1)[0]
		if i%2 == 0 {
			e.Lifecycle = emulator.LifecycleLeaving
		}
		version := f.table.Publish(e)
		f.record(Event{At: Now(), Kind: VersionPublished, Version: version})
		f.server.AdvanceTo(version)
	}
	f.wait(t, func() bool {
		for _, n := range f.nodes {
			if n.state().Version != f.table.Version() {
				return false
			}
		}
		return true
	})
}

// bytes returns how many bytes the nodes and the server have exchanged, in both directions.
func (f *fleet) bytes() (sum uint64) {
	for _, port := range f.ports {
		n, _ := port.Counts()
		sum += n
	}
	return sum
}

// digest returns the digest of a version of the list.
func (f *fleet) digest(version int64) (digest uint64) {
	for _, e := range f.table.Entries(version) {
		state := decide.Ready
		if e.Lifecycle == emulator.LifecycleLeaving {
			state = decide.Draining
		}
		digest ^= Digest(e.Instance, e.Address, e.Zone, state)
	}
	return digest
}
