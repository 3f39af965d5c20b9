package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func entries(n int) (all []Entry) {
	for i := range n {
		all = append(all, Entry{Instance: fmt.Sprintf("h-%d", i), Address: "127.1.0.1:1", Zone: "a", Lifecycle: "active", Weight: 1})
	}
	return all
}

// read opens a call and returns what reads its next line that is not empty.
func read(t *testing.T, address, query string) func() (listing, bool) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/registry/instances" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	return func() (l listing, ok bool) {
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue
			}
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Fatal(err)
			}
			return l, true
		}
		return l, false
	}
}

// A source tells the whole list, what is new since a version, and then each change once, each encoded once for all
// watches; it tells no more than has reached it, and is back after it was gone.
func TestSource(t *testing.T) {
	roster := NewEndpointTable(entries(3))
	s := NewListServer(roster)
	defer s.Stop()
	var heard []string
	address, err := s.Listen(nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Listen(func(all []Entry) {
		for _, e := range all {
			heard = append(heard, e.Instance+" "+e.Lifecycle)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	whole := func(at string) listing {
		t.Helper()
		l, ok := read(t, at, "")()
		if !ok || !l.Reset {
			t.Fatalf("%+v", l)
		}
		return l
	}
	if l := whole(address); l.Generation != 1 || len(l.Instances) != 3 || l.Instances[2].Started != StartedAt+1 {
		t.Errorf("%+v", l)
	}
	var watches []func() (listing, bool)
	for range 50 {
		next := read(t, address, "?watch=1&from=1")
		if l, ok := next(); !ok || l.Reset || l.Generation != 1 || len(l.Instances) != 0 {
			t.Fatalf("%+v", l)
		}
		watches = append(watches, next)
	}
	before := roster.Encodings()
	change := entries(3)[1]
	change.Lifecycle = "leaving"
	for v := int64(2); v <= 4; v++ {
		if got := roster.Publish(change); got != v {
			t.Fatalf("version %d", got)
		}
	}
	if l := whole(address); l.Generation != 1 {
		t.Errorf("it tells what has not reached it: %+v", l)
	}
	s.AdvanceTo(3)
	s.AdvanceTo(2) // late
	for _, next := range watches {
		for v := int64(2); v <= 3; v++ {
			if l, ok := next(); !ok || l.Generation != v || len(l.Instances) != 1 || l.Instances[0].Started != StartedAt+v || l.Instances[0].Lifecycle != "leaving" {
				t.Fatalf("%+v", l)
			}
		}
	}
	if n := roster.Encodings() - before; n != 3 {
		t.Errorf("%d encodings for 3 changes and 50 watches", n)
	}
	if l, ok := read(t, address, "?watch=1&from=2")(); !ok || l.Generation != 3 {
		t.Errorf("since 2: %+v", l)
	}
	if l, ok := read(t, address, "?watch=1&from=9")(); !ok || !l.Reset || l.Generation != 3 {
		t.Errorf("from a version that it does not have: %+v", l)
	}
	s.Stop()
	if _, ok := watches[0](); ok {
		t.Error("a watch goes on after the source is gone")
	}
	if _, err := http.Get("http://" + address + "/registry/instances"); err == nil {
		t.Error("it answers after it is gone")
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	if l := whole(s.Address(1)); l.Generation != 3 || strings.Join(heard, ",") != "h-0 active,h-1 leaving,h-2 active" {
		t.Errorf("%+v, heard %q", l, heard)
	}
}

// What a change costs is the same whatever the list's size, and a message for each watch. Guards a source whose cost
// would be the list's, not the change's.
func TestSourceCost(t *testing.T) {
	const watches, changes = 20, 10
	for _, n := range []int{100, 200, 400} {
		roster := NewEndpointTable(entries(n))
		s := NewListServer(roster)
		address, err := s.Listen(nil)
		if err != nil {
			t.Fatal(err)
		}
		var all []func() (listing, bool)
		for range watches {
			next := read(t, address, "?watch=1&from=1")
			next()
			all = append(all, next)
		}
		before, encoded := s.Traffic(), roster.Encodings()
		for range changes {
			s.AdvanceTo(roster.Publish(entries(n)[0]))
		}
		for _, next := range all {
			for range changes {
				next()
			}
		}
		after := s.Traffic()
		if got := after.Messages - before.Messages; got < watches*changes || got > watches*changes+2*watches { // an empty line every 2 s
			t.Errorf("%d servers: %d messages for %d changes to %d watches", n, got, changes, watches)
		}
		if got := after.Bytes - before.Bytes; got > watches*changes*200 {
			t.Errorf("%d servers: %d bytes for %d changes to %d watches", n, got, changes, watches)
		}
		if got := roster.Encodings() - encoded; got != changes {
			t.Errorf("%d servers: %d encodings for %d changes", n, got, changes)
		}
		s.Stop()
	}
}
