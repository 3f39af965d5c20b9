package decide

import (
	"testing"
	"time"
)

func TestBootstrapAfterTimeout(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	fail := func(i int) []Action {
		return h.send(ProbeCompleted{Server: ServerID(i%4 + 1), Code: TimedOut, Report: NoLoadReport})
	}
	fail(0)
	h.now += bootstrapTimeout / 2
	if len(actionsOf[FetchList](fail(1))) > 0 {
		t.Fatal("bootstrap before the timeout")
	}
	h.now += bootstrapTimeout
	actions := fail(2)
	if len(actionsOf[FetchList](actions)) != 1 || len(actionsOf[Log](actions)) != 1 {
		t.Fatalf("no bootstrap: %v", actions)
	}
	h.wantAttempt(h.request("r", idempotentClass)) // until the new list arrives, the last one's ready servers are used
}

func TestAnyAnswerPreventsBootstrap(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for i := range 10 {
		h.now += bootstrapTimeout / 2
		actions := h.send(ProbeCompleted{Server: 1, Code: TimedOut, Report: NoLoadReport})
		if len(actionsOf[FetchList](actions)) > 0 {
			t.Fatalf("bootstrap in round %d, though server 2 answers probes", i)
		}
		h.reportLoad(2, 0.5)
	}
}

func TestPollsOncePerIntervalAtRandomOffset(t *testing.T) {
	firsts := map[time.Duration]bool{}
	for seed := range uint64(6) {
		set := settings()
		set.Seed = seed
		h := newHarness(t, set)
		h.replaceList(servers(3, 0))
		start, calls := h.now, 0
		for h.now < start+5*h.b.pollInterval() {
			if n := len(actionsOf[WatchList](h.tick(tickInterval))); n > 0 {
				if calls == 0 {
					firsts[h.now-start] = true
					// a restored list may be out of date, and the balancer soon counts as notified (see maxReconnectDelay)
					if h.now-start > maxFirstPollDelay+tickInterval {
						t.Fatalf("first poll after %v, want at most maxFirstPollDelay and a tick", h.now-start)
					}
				}
				calls += n
			}
		}
		if calls != 5 {
			t.Fatalf("%d polls in five poll intervals, want 5", calls)
		}
	}
	if len(firsts) < 3 {
		t.Fatal("balancers with different seeds make their first polls at the same time")
	}
}

func TestPollFetchesWithoutWatch(t *testing.T) {
	set := settings()
	set.WatchList = false
	h := newHarness(t, set)
	actions := h.tick(3 * h.b.pollInterval())
	if len(actionsOf[FetchList](actions)) == 0 || len(actionsOf[WatchList](actions)) != 0 {
		t.Fatal("want FetchList and no WatchList")
	}
}

func TestPollIntervalGrowsWithFleet(t *testing.T) {
	small, big := settings(), settings()
	big.Balancers = 200
	if a, b := newHarness(t, small).b.pollInterval(), newHarness(t, big).b.pollInterval(); b < a+15*time.Second {
		t.Fatalf("poll interval %v with 4 balancers, %v with 200, want at least 15 s more", a, b)
	}
}

func TestFailedPollIsRetriedWithBackoff(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(3, 0))
	var waits []time.Duration
	for range 5 {
		h.send(ListReceived{Kind: ListFailed})
		from := h.now
		for len(actionsOf[WatchList](h.tick(tickInterval))) == 0 {
		}
		waits = append(waits, h.now-from)
	}
	again := map[time.Duration]bool{}
	for seed := range uint64(4) {
		other := settings()
		other.Seed = seed
		v := newHarness(t, other)
		v.send(ListReceived{Kind: ListFailed})
		again[v.b.discovery.pollAt] = true
	}
	if len(again) < 4 {
		t.Fatal("balancers whose calls failed at the same time poll again at the same time")
	}
	if waits[0] > 3*time.Second || waits[4] < 2*waits[0] {
		t.Fatalf("the delays %v after consecutive failures do not back off", waits)
	}
}

func TestServerRestartDiscardsLearnedState(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.reportLoad(1, 0.1)
	h.now += time.Second
	h.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: 1, Zone: "a", Started: h.now}}})
	if s := h.b.servers[1]; s.reportedAt != 0 || !h.b.warming(s) {
		t.Fatal("the load report from before the server's restart is still used, or the server is not warming up")
	}
}

// When discovery reports an empty list, no attempt starts, each request gets exactly one final answer by its deadline,
// and established connections are neither migrated nor dropped. The next list is used at once.
func TestEmptyList(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(3, 0))
	server := h.establish("s", idempotentClass)
	h.replaceList(nil)
	for i := range 10 {
		h.wantNoAttempt(h.request(name("x", i), idempotentClass), "the list is empty")
	}
	actions := h.tick(time.Second)
	if len(actionsOf[Migrate](actions)) > 0 {
		t.Errorf("got %v, want no migration", actions)
	}
	for _, r := range h.b.requests.byID {
		if !r.established {
			actions = append(actions, h.send(TimerFired{Token: r.timerToken})...)
		}
	}
	if rejected, failed := countAnswers(actions); rejected+failed > 10 || failed > 0 || len(h.b.requests.byID) != 1 {
		t.Errorf("%d of 10 requests rejected, %d failed; %d records left, want 1 for the open connection", rejected,
			failed, len(h.b.requests.byID))
	}
	h.request("y", idempotentClass)
	if s := h.wantAttempt(h.replaceList(servers(3, 0))); s > 3 {
		t.Errorf("placed on %d, which is not in the new list", s)
	}
	if h.endAttempt("s", 0, server, OK, true); len(h.b.requests.byID) != 1 {
		t.Errorf("%d requests left, want only y", len(h.b.requests.byID))
	}
}

// With a list ten times as long, the balancer makes hardly more probes.
func TestProbesDoNotGrowWithTheList(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	probes := func(n int) int {
		h := newHarness(t, set)
		h.replaceList(servers(9, 0))
		h.tick(5 * time.Second)
		h.replaceList(servers(n, 0))
		return len(actionsOf[Probe](h.tick(20 * time.Second)))
	}
	if few, many := probes(9), probes(90); many > few+2*maxAnswers {
		t.Errorf("%d probes in 20 s with 90 servers, %d with 9", many, few)
	}
}
