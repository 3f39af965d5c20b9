package decide

import (
	"testing"
	"time"
)

// serverList returns n ready servers of three sizes in three zones.
func serverList(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), Zone: []string{"a", "b", "c"}[i%3], Cell: i / 20,
			Started: time.Second,
			Weight:  []float64{1, 1, 2, 4}[i/3%4]})
	}
	return list
}

// newBalancerWithList returns a balancer that has the given number of connections and a load report of each of n
// servers.
func newBalancerWithList(t testing.TB, set Settings, n, connections int) *Balancer {
	set.Zones, set.ProbingAllowed = []string{"a", "b", "c"}, true
	balancer, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * time.Second
	balancer.Handle(now, Started{}, nil)
	balancer.Handle(now, ListReceived{Kind: ListSnapshot, Servers: serverList(n)}, nil)
	for i := range connections {
		balancer.Handle(now, ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))},
			Server: ServerID(i%300 + 1)}, nil)
	}
	for i := range n {
		balancer.Handle(now, ProbeCompleted{Server: ServerID(i + 1), Report: LoadReport{Load: 0.5, Connections: 10}},
			nil)
	}
	return balancer
}

// benchmarkSizes runs a benchmark with endpoint lists of several lengths.
func benchmarkSizes(b *testing.B, set Settings, connections int, run func(b *testing.B, balancer *Balancer, n int)) {
	for _, n := range []int{600, 5000, 20_000} {
		b.Run(name("", n), func(b *testing.B) {
			balancer := newBalancerWithList(b, set, n, connections)
			b.ReportAllocs()
			run(b, balancer, n)
		})
	}
}

// benchmarkRequests measures a request, its end and a load report of one server. group returns the group of the i-th
// request.
func benchmarkRequests(group func(i int) string) func(b *testing.B, balancer *Balancer, n int) {
	return func(b *testing.B, balancer *Balancer, n int) {
		var out []Action
		now, i := 101*time.Second, 0
		for b.Loop() {
			now += time.Millisecond
			i++
			out = balancer.Handle(now, RequestArrived{ID: "r", Group: group(i), Remaining: time.Second}, out[:0])
			out = balancer.Handle(now, ClientDisconnected{ID: "r"}, out[:0])
			out = balancer.Handle(now, ProbeCompleted{Server: 7, Report: LoadReport{Load: 0.3, Connections: -1}},
				out[:0])
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	benchmarkSizes(b, settings(), 500, benchmarkRequests(func(int) string { return "" }))
}

var groupNames = func() (names []string) {
	for i := range 100_000 {
		names = append(names, name("g", i))
	}
	return names
}()

func BenchmarkRequestOfFewGroups(b *testing.B) {
	benchmarkSizes(b, affinitySettings(), 500, benchmarkRequests(func(i int) string { return groupNames[i%500] }))
}

func BenchmarkRequestOfManyGroups(b *testing.B) {
	benchmarkSizes(b, affinitySettings(), 500, benchmarkRequests(
		func(i int) string { return groupNames[i%len(groupNames)] }))
}

func benchmarkTicks(b *testing.B, balancer *Balancer, n int) {
	var out []Action
	now := 101 * time.Second
	for b.Loop() {
		now += tickInterval
		out = balancer.Handle(now, TimerFired{Token: tickToken}, out[:0])
	}
}

func BenchmarkTickAtRest(b *testing.B) { benchmarkSizes(b, settings(), 0, benchmarkTicks) }

func BenchmarkTickWithConnections(b *testing.B) { benchmarkSizes(b, settings(), 500, benchmarkTicks) }

func BenchmarkOneChange(b *testing.B) {
	benchmarkSizes(b, affinitySettings(), 500, func(b *testing.B, balancer *Balancer, n int) {
		list := serverList(n)
		var out []Action
		now, i := 101*time.Second, 0
		for b.Loop() {
			now += time.Second
			i++
			s := list[i/2*7919%n]
			s.State = State(i % 2) // each server is listed as ready and, in the next event, as draining
			out = balancer.Handle(now, ListReceived{Kind: ListDelta, Servers: []Server{s}}, out[:0])
		}
	})
}

func BenchmarkWholeListUnchanged(b *testing.B) {
	benchmarkSizes(b, settings(), 500, func(b *testing.B, balancer *Balancer, n int) {
		list := serverList(n)
		var out []Action
		now := 101 * time.Second
		for b.Loop() {
			now += time.Second
			out = balancer.Handle(now, ListReceived{Kind: ListSnapshot, Servers: list}, out[:0])
		}
	})
}

func BenchmarkFirstList(b *testing.B) {
	benchmarkSizes(b, settings(), 0, func(b *testing.B, _ *Balancer, n int) {
		list := serverList(n)
		for b.Loop() {
			balancer, err := New(settings())
			if err != nil {
				b.Fatal(err)
			}
			balancer.Handle(100*time.Second, ListReceived{Kind: ListSnapshot, Servers: list}, nil)
		}
	})
}
