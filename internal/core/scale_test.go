package core

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cottonplank/decide"
)

// readyEndpoints are room servers, each of its own name and derived number.
func readyEndpoints(n int) (all []Endpoint) {
	used := map[decide.ServerID]bool{}
	for i := 0; len(all) < n; i++ {
		in := readyEndpoint(fmt.Sprintf("s-%08x", i))
		if !used[in.ID] {
			used[in.ID] = true
			all = append(all, in)
		}
	}
	return all
}

// allocatedBytes is what do takes of the memory.
func allocatedBytes(do func()) (bytes uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// newStoppedEngine is a module that no actor runs, with a list.
func newStoppedEngine(t testing.TB, n int) *Engine {
	t.Helper()
	engine, err := New(Config{Settings: decide.Settings{Zone: "a", WatchList: true, Classes: []decide.Class{{Name: "solo-play", LatencyObjective: time.Second}}},
		MaxClients: 10, Log: func(string) {}})
	if err != nil {
		t.Fatal(err)
	}
	engine.ctx, engine.prober, engine.discovery = context.Background(), &fakeDiscovery{}, &fakeDiscovery{}
	engine.handle(decide.Started{})
	engine.applyUpdate(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: readyEndpoints(n)})
	return engine
}

// What a process publishes four times a second does not grow with the list, nor does what it makes of a change of one entry; rows are
// made for who asks, once for all that ask in 250 ms.
func TestSnapshotCostIsIndependentOfListSize(t *testing.T) {
	for _, n := range []int{600, 5000, 20_000} {
		engine := newStoppedEngine(t, n)
		const times = 100
		if got := allocatedBytes(func() {
			for range times {
				engine.publish()
			}
		}) / times; got > 4096 {
			t.Errorf("%d room servers: a snapshot takes %d bytes", n, got)
		}
		if s := engine.Snapshot(); s.Listed != n || s.Ejected != 0 || s.Upstreams != nil {
			t.Errorf("%d of %d are listed, %d left out, %d rows", s.Listed, n, s.Ejected, len(s.Upstreams))
		}
		one := readyEndpoints(1)
		if got := allocatedBytes(func() {
			for i := range times {
				one[0].Weight = float64(1 + i%2)
				engine.applyUpdate(EndpointUpdate{Kind: decide.ListDelta, Endpoints: one})
			}
		}) / times; got > 4096 {
			t.Errorf("%d room servers: a change takes %d bytes", n, got)
		}
		rows := allocatedBytes(engine.publishDetailed)
		if got := allocatedBytes(func() {
			for range times {
				engine.publishDetailed()
			}
		}); rows < uint64(n)*64 || got > 4096 {
			t.Errorf("%d room servers: rows take %d bytes, and %d more for %d who ask as well", n, rows, got, times)
		}
		engine.now += detailedRetention + time.Second
		if engine.publish(); engine.detailedSnapshot.Load() != nil {
			t.Error("rows that nobody asks for are kept")
		}
	}
}

// Rows are in order and as of now, and the counts agree with them, whatever came of the room servers.
func TestCountsAgreeWithDetailedSnapshot(t *testing.T) {
	t.Parallel()
	all := readyEndpoints(300)
	engine := startEngine(t, 10, all...)
	leave := func(state decide.State, from, to int) (some []Endpoint) {
		for _, in := range all[from:to] {
			in.State = state
			some = append(some, in)
		}
		return some
	}
	fail := func(in Endpoint) { // until it is ejected
		engine.post(func() {
			engine.handle(decide.ProbeCompleted{Server: in.ID, Code: decide.ServerError, Report: decide.NoLoadReport})
		})
	}
	for i, v := range []struct {
		do              func()
		listed, avoided int
	}{
		{func() {}, 300, 0},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Draining, 0, 20)})
		}, 300, 20},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Draining, 10, 20)})
		}, 300, 20},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Removed, 0, 5)})
		}, 295, 15},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Removed, 0, 5)})
		}, 295, 15},
		{func() { fail(all[100]); fail(all[101]) }, 295, 17},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Draining, 100, 101)})
		}, 295, 17},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Removed, 101, 102)})
		}, 294, 16},
		{func() {
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: leave(decide.Ready, 0, 20)})
		}, 299, 1},
		{func() { engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: all[:200]}) }, 200, 2}, // ejected still
		{func() { engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListSnapshot}) }, 0, 0},
	} {
		v.do()
		s := engine.CurrentSnapshot(10 * time.Second)
		if s.Listed != v.listed || s.Ejected > v.avoided { // an ejection ends by itself
			t.Errorf("%d: %d listed and %d left out, want %d and %d", i, s.Listed, s.Ejected, v.listed, v.avoided)
		}
		d := nextDetailedSnapshot(engine)
		listed, avoided := 0, 0
		done := make(chan struct{})
		engine.post(func() {
			defer close(done)
			for _, sub := range engine.upstreams.byID {
				if sub.state != decide.Removed {
					listed++
					if sub.state == decide.Draining || engine.balancer.Ejected(sub.ID) {
						avoided++
					}
				}
			}
			engine.publish()
			s = engine.Snapshot()
		})
		<-done
		if s.Listed != listed || s.Ejected != avoided || len(d.Upstreams) != listed {
			t.Errorf("%d: %d listed, %d left out, %d rows, counted %d and %d", i, s.Listed, s.Ejected, len(d.Upstreams), listed, avoided)
		}
		for k := range d.Upstreams[min(1, len(d.Upstreams)):] {
			if d.Upstreams[k].ID >= d.Upstreams[k+1].ID {
				t.Fatalf("%d: row %d is out of order", i, k)
			}
		}
	}
}

// A change looks at the attempts that are out, not at all that stands.
func TestOnlyPendingAttemptsAreCancelled(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 100, readyEndpoint("s-1"))
	for range 20 {
		ch := &fakeClientConn{}
		c := engine.openRequest(ch, 10*time.Second)
		ch.wait(t, "attempt 0")
		engine.AttemptAccepted(c, 0)
	}
	out := &fakeClientConn{}
	engine.openRequest(out, 10*time.Second)
	out.wait(t, "attempt 0")
	looked := make(chan int, 1)
	engine.post(func() { looked <- len(engine.calls.attempting) })
	if n := <-looked; n != 1 {
		t.Errorf("%d attempts are looked at, want 1", n)
	}
	drains := readyEndpoint("s-1")
	drains.State = decide.Draining
	engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta, Endpoints: []Endpoint{drains}})
	out.wait(t, "attempt 0 s-1, give up 0")
}

// What of a process's cost grows with the list: a snapshot, the rows for who asks, and a change, of which the decision module's part
// is told beside it.
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range []int{600, 5000, 20_000} {
		engine := newStoppedEngine(b, n)
		run := func(name string, do func()) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for b.Loop() {
					do()
				}
			})
		}
		run("snapshot", engine.publish)
		run("rows", func() {
			engine.now += snapshotInterval
			engine.publishDetailed()
		})
		one := readyEndpoints(1)
		run("change", func() { engine.applyUpdate(EndpointUpdate{Kind: decide.ListDelta, Endpoints: one}) })
		run("change decided", func() {
			engine.handle(decide.ListReceived{Kind: decide.ListDelta, Servers: []decide.Server{one[0].Server}})
		})
	}
}
