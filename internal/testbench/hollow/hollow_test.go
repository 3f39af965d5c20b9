package hollow

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
)

func entries(n int) (all []emulator.Entry) {
	for i := range n {
		all = append(all, emulator.Entry{Instance: fmt.Sprintf("h-%d", i), Address: "127.1.0.1:1", Zone: "a", Lifecycle: "active", Weight: 1})
	}
	return all
}

func instance(name string, version int64, state decide.State) core.Endpoint {
	return core.Endpoint{Name: name, Address: "127.1.0.1:1", Server: decide.Server{Zone: "a", State: state},
		Started: time.UnixMilli(emulator.StartedAt + version)}
}

// A follower's digest is that of the list that it would have, also where it is told a change again or skips one.
func TestNodeListDigest(t *testing.T) {
	known := []core.Endpoint{instance("a", 1, decide.Ready), instance("b", 1, decide.Ready)}
	a2, b3, a4 := instance("a", 2, decide.Draining), instance("b", 3, decide.Draining), instance("a", 4, decide.Ready)
	for name, v := range map[string]struct {
		told []core.Endpoint
		has  []core.Endpoint
	}{
		"in order":     {[]core.Endpoint{a2, b3, a4}, []core.Endpoint{a4, b3}},
		"twice":        {[]core.Endpoint{a2, a2, b3, b3, a4, a4}, []core.Endpoint{a4, b3}},
		"again":        {[]core.Endpoint{a2, b3, a4, a2, b3, a4}, []core.Endpoint{a4, b3}},
		"gone back":    {[]core.Endpoint{a2, b3, a4, a2}, []core.Endpoint{a2, b3}},
		"and one more": {[]core.Endpoint{a2, b3, a4, a2, b3}, []core.Endpoint{a2, b3}},
	} {
		s := newSharedList(known, 1)
		other := nodeList{version: 1, digest: s.initialDigest} // that has learned all of it before
		for _, in := range []core.Endpoint{a2, b3, a4} {
			other.applyDelta(s, in)
		}
		c := nodeList{version: 1, digest: s.initialDigest}
		for _, in := range v.told {
			c.applyDelta(s, in)
		}
		want := uint64(0)
		for _, in := range v.has {
			want ^= endpointDigest(in)
		}
		if c.digest != want {
			t.Errorf("%s: another list", name)
		}
		if c.replace(v.has); c.digest != want {
			t.Errorf("%s: another whole list", name)
		}
	}
	s := newSharedList(known, 1)
	c, skips := nodeList{version: 1, digest: s.initialDigest}, nodeList{version: 1, digest: s.initialDigest}
	for _, in := range []core.Endpoint{a2, b3, a4} {
		c.applyDelta(s, in)
		if in.Name != "b" {
			skips.applyDelta(s, in)
		}
	}
	if c.digest == skips.digest {
		t.Error("a change that was skipped is not seen")
	}
}

// fleet is some hollow balancers before one source.
type fleet struct {
	table  *emulator.EndpointTable
	server *emulator.ListServer
	ports  []*faultproxy.Port
	nodes  []*node
	shared *sharedList

	mu     sync.Mutex
	events []Event
}

func (f *fleet) record(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// startFleet starts them and waits for their watches.
func startFleet(t *testing.T, full bool, hollows, servers int, known bool) *fleet {
	t.Helper()
	f := &fleet{table: emulator.NewEndpointTable(entries(servers))}
	f.server = emulator.NewListServer(f.table)
	t.Cleanup(f.server.Stop)
	address, err := f.server.Listen(nil)
	if err != nil {
		t.Fatal(err)
	}
	link := faultproxy.NewLink(func(*faultproxy.Port) string { return address })
	list, err := httpsource.DecodeListing(f.table.Snapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	f.shared = newSharedList(list.Endpoints, 1)
	version := int64(1)
	if !known {
		version = 0
	}
	for i := range hollows {
		p, err := link.Port(i)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		h := &node{id: i, fullEngine: full, shared: f.shared, record: f.record}
		own, err := httpsource.DecodeListing(f.table.Snapshot(1))
		if err != nil {
			t.Fatal(err)
		}
		f.record(Event{Kind: NodeReachable, Node: i})
		if err := startNode(t.Context(), h, core.Config{ListPushed: true, Settings: decide.Settings{Zone: "a", Balancers: 2300, WatchList: true,
			Classes: []decide.Class{{Name: "x", LatencyObjective: time.Second, ClientTimeout: 2 * time.Second}}, Safety: decide.SafetyLimits{MaxPollInterval: 10 * time.Second}}}, p.Address, own.Endpoints, version); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.stop)
		f.ports, f.nodes = append(f.ports, p), append(f.nodes, h)
	}
	f.wait(t, func() bool {
		for _, h := range f.nodes {
			if !h.connected() {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it does not come about")
		}
	}
}

// publishAndWait publishes changes and waits until all have them.
func (f *fleet) publishAndWait(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		e := entries(1)[0]
		if i%2 == 0 {
			e.Lifecycle = "leaving"
		}
		v := f.table.Publish(e)
		f.record(Event{At: Now(), Kind: VersionPublished, Version: v})
		f.server.Reach(v)
	}
	f.wait(t, func() bool {
		for _, h := range f.nodes {
			if h.state().Version != f.table.Version() {
				return false
			}
		}
		return true
	})
}

// Hollow balancers of both kinds, with and without a known list, end with the list as it is published.
func TestNodesConverge(t *testing.T) {
	for _, full := range []bool{false, true} {
		for _, known := range []bool{false, true} {
			f := startFleet(t, full, 5, 50, known)
			f.publishAndWait(t, 8)
			digest := uint64(0)
			for _, e := range f.table.At(9) {
				state := decide.Ready
				if e.Lifecycle == "leaving" {
					state = decide.Draining
				}
				digest ^= Digest(e.Instance, e.Address, e.Zone, state)
			}
			for _, h := range f.nodes {
				f.record(h.finalState())
			}
			if got := Check(f.events, 9, digest, Now()+time.Hour, time.Minute); got.LostUpdates != 0 || got.Regressions != 0 || len(got.Latencies) != 5*8 {
				t.Errorf("full %v, known %v: %+v", full, known, got)
			}
		}
	}
}

// What a change costs a follower, in bytes and messages, does not grow with the list; what a module and a whole list
// cost grows with it in proportion. Guards kb_per_s and control_mb_max: a slope that doubles fails.
func TestUpdateCost(t *testing.T) {
	const hollows, changes = 10, 20
	for _, full := range []bool{false, true} {
		for _, servers := range []int{200, 400, 800} {
			f := startFleet(t, full, hollows, servers, true)
			f.publishAndWait(t, 1)
			bytes := func() (sum uint64) {
				for _, p := range f.ports {
					n, _ := p.Counts()
					sum += n
				}
				return sum
			}
			before, told := bytes(), f.server.Told()
			f.publishAndWait(t, changes)
			got, now := bytes()-before, f.server.Told()
			// A change is about 170 bytes with its framing, and one message; the watch that the first poll opens and
			// empty lines may come among them.
			if each := float64(got) / hollows / changes; each < 100 || each > 280 {
				t.Errorf("full %v, %d servers: %.0f bytes a change", full, servers, each)
			} else {
				t.Logf("full %v, %d servers: %.0f bytes a change", full, servers, each)
			}
			if each := float64(now.Messages-told.Messages) / hollows / changes; each < 1 || each > 1.5 {
				t.Errorf("full %v, %d servers: %.2f messages a change", full, servers, each)
			}
			if calls := now.Calls - told.Calls; calls > hollows {
				t.Errorf("full %v, %d servers: %d calls for changes", full, servers, calls)
			}
		}
	}
	for _, servers := range []int{200, 400, 800} {
		f := startFleet(t, false, hollows, servers, false)
		f.publishAndWait(t, 1)
		var sum uint64
		for _, p := range f.ports {
			n, _ := p.Counts()
			sum += n
		}
		if each := float64(sum) / hollows / float64(servers); each < 100 || each > 200 { // about 125 a line
			t.Errorf("%d servers: %.0f bytes for each at a cold start", servers, each)
		} else {
			t.Logf("%d servers: %.0f bytes for each at a cold start", servers, each)
		}
	}
}

// heap is what the live objects take, in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memoryPerEndpoint is what a room server takes in a module and its own copy of the list, in bytes, as measured.
const memoryPerEndpoint = 800

// The memory of a module's list is in proportion to the room servers. Guards control_mb_max against a doubled slope.
func TestEngineMemory(t *testing.T) {
	const hollows = 4
	var sizes []float64
	for _, servers := range []int{1000, 2000, 4000} {
		before := heap()
		f := startFleet(t, true, hollows, servers, true)
		f.publishAndWait(t, 2)
		sizes = append(sizes, (heap()-before)/hollows)
	}
	// Tables grow by doubling, so that the slope is taken over two of them.
	if each := (sizes[2] - sizes[0]) / 3000; each < memoryPerEndpoint*0.7 || each > memoryPerEndpoint*1.4 {
		t.Errorf("%.0f bytes for each room server of a module, were %d: %.0f", each, memoryPerEndpoint, sizes)
	}
	t.Logf("%.0f bytes", sizes)
}
