package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
)

// testEntries returns the entries of n ready endpoints.
func testEntries(n int) (entries []Entry) {
	for i := range n {
		entries = append(entries, ActiveEntry(fmt.Sprintf("h-%d", i), "127.1.0.1:1", "a"))
	}
	return entries
}

// listClient reads the messages of one call to a list server.
type listClient struct {
	t     *testing.T
	lines *bufio.Scanner
}

// callList calls a list server with a query string.
func callList(t *testing.T, address, query string) *listClient {
	t.Helper()
	response, err := http.Get("http://" + address + "/registry/instances" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	return &listClient{t, lines}
}

// next returns the next message that is not a heartbeat. It returns false if the call has ended.
func (c *listClient) next() (l listing, ok bool) {
	c.t.Helper()
	for c.lines.Scan() {
		if len(c.lines.Bytes()) == 0 {
			continue
		}
		if err := json.Unmarshal(c.lines.Bytes(), &l); err != nil {
			c.t.Fatal(err)
		}
		return l, true
	}
	return l, false
}

// wantDelta checks that the next message is a delta of a version with the given number of entries.
func (c *listClient) wantDelta(version int64, entries int) listing {
	c.t.Helper()
	l, ok := c.next()
	if !ok || l.Reset || l.Generation != version || len(l.Instances) != entries {
		c.t.Fatalf("%+v, want a delta of version %d with %d entries", l, version, entries)
	}
	return l
}

// wantSnapshot polls a list server and checks that the answer is a snapshot of a version.
func wantSnapshot(t *testing.T, address string, version int64) listing {
	t.Helper()
	l, ok := callList(t, address, "").next()
	if !ok || !l.Reset || l.Generation != version {
		t.Fatalf("%+v, want a snapshot of version %d", l, version)
	}
	return l
}

// watchList opens watches from version 1, which has to be the server's current one.
func watchList(t *testing.T, address string, count int) (watches []*listClient) {
	t.Helper()
	for range count {
		watch := callList(t, address, "?watch=1&from=1")
		watch.wantDelta(1, 0)
		watches = append(watches, watch)
	}
	return watches
}

// startListServer starts a list server at one address, without an observer.
func startListServer(t *testing.T, table *EndpointTable) (server *ListServer, address string) {
	t.Helper()
	server = NewListServer(table)
	t.Cleanup(server.Stop)
	address, err := server.Listen(nil)
	if err != nil {
		t.Fatal(err)
	}
	return server, address
}

// publishLeaving publishes an entry with the lifecycle leaving once for each version, and checks the versions.
func publishLeaving(t *testing.T, table *EndpointTable, e Entry, from, to int64) {
	t.Helper()
	e.Lifecycle = "leaving"
	for version := from; version <= to; version++ {
		if got := table.Publish(e); got != version {
			t.Fatalf("published version %d, want %d", got, version)
		}
	}
}

// A watch receives the changes up to the version of AdvanceTo in order, and snapshots have that version. A change is
// encoded once for all watches.
func TestListServerWatch(t *testing.T) {
	table := NewEndpointTable(testEntries(3))
	server, address := startListServer(t, table)
	l := wantSnapshot(t, address, 1)
	if len(l.Instances) != 3 || l.Instances[2].Started != StartedBase+1 {
		t.Errorf("snapshot %+v, want 3 entries of version 1", l)
	}
	watches := watchList(t, address, 50)
	before := table.Encodings()
	publishLeaving(t, table, testEntries(3)[1], 2, 4)
	wantSnapshot(t, address, 1)
	server.AdvanceTo(3)
	server.AdvanceTo(2) // ignored: the server has version 3
	for _, watch := range watches {
		for version := int64(2); version <= 3; version++ {
			l := watch.wantDelta(version, 1)
			if l.Instances[0].Started != StartedBase+version || l.Instances[0].Lifecycle != "leaving" {
				t.Fatalf("delta %+v, want an entry that is leaving and has changed in this version", l)
			}
		}
	}
	if n := table.Encodings() - before; n != 3 {
		t.Errorf("%d encodings for 3 changes and 50 watches, want 3", n)
	}
	if l, ok := callList(t, address, "?watch=1&from=2").next(); !ok || l.Generation != 3 {
		t.Errorf("a watch from version 2 begins with %+v, want version 3", l)
	}
	if l, ok := callList(t, address, "?watch=1&from=9").next(); !ok || !l.Reset || l.Generation != 3 {
		t.Errorf("a watch from an unknown version begins with %+v, want a snapshot of version 3", l)
	}
}

// A stopped server ends its watches and accepts no calls. After Start it serves the list again, and calls the
// observer with the entries that it sends.
func TestListServerRestart(t *testing.T) {
	table := NewEndpointTable(testEntries(3))
	server, address := startListServer(t, table)
	var observed []string
	_, err := server.Listen(func(entries []Entry) {
		for _, e := range entries {
			observed = append(observed, e.Instance+" "+e.Lifecycle)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	watch := watchList(t, address, 1)[0]
	publishLeaving(t, table, testEntries(3)[1], 2, 3)
	server.AdvanceTo(3)
	watch.wantDelta(2, 1)
	watch.wantDelta(3, 1)
	server.Stop()
	if _, ok := watch.next(); ok {
		t.Error("a watch continues after the server was stopped")
	}
	if _, err := http.Get("http://" + address + "/registry/instances"); err == nil {
		t.Error("the server answers after it was stopped")
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	wantSnapshot(t, server.Address(1), 3)
	if want := []string{"h-0 active", "h-1 leaving", "h-2 active"}; !slices.Equal(observed, want) {
		t.Errorf("observed %q, want %q", observed, want)
	}
}

// A change costs one message for each watch and one encoding, and its bytes do not depend on the size of the list.
func TestListServerCost(t *testing.T) {
	const watchCount, changes = 20, 10
	for _, n := range []int{100, 200, 400} {
		t.Run(fmt.Sprintf("%d endpoints", n), func(t *testing.T) {
			table := NewEndpointTable(testEntries(n))
			server, address := startListServer(t, table)
			watches := watchList(t, address, watchCount)
			before, encodings := server.Traffic(), table.Encodings()
			for range changes {
				server.AdvanceTo(table.Publish(testEntries(n)[0]))
			}
			for _, watch := range watches {
				for range changes {
					watch.next()
				}
			}
			after := server.Traffic()
			messages := after.Messages - before.Messages
			// Each watch may also be sent a heartbeat every 2 s.
			if messages < watchCount*changes || messages > watchCount*changes+2*watchCount {
				t.Errorf("%d messages for %d changes and %d watches, want one each", messages, changes, watchCount)
			}
			if bytes := after.Bytes - before.Bytes; bytes > watchCount*changes*200 {
				t.Errorf("%d bytes for %d changes and %d watches, want at most 200 each", bytes, changes, watchCount)
			}
			if got := table.Encodings() - encodings; got != changes {
				t.Errorf("%d encodings for %d changes, want one for each", got, changes)
			}
		})
	}
}
