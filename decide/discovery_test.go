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
	h.wantAttempt(h.request("r", idempotentClass)) // the last list's ready servers serve meanwhile
}

func TestAnyAnswerPreventsBootstrap(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for i := range 10 {
		h.now += bootstrapTimeout / 2
		actions := h.send(ProbeCompleted{Server: 1, Code: TimedOut, Report: NoLoadReport})
		if len(actionsOf[FetchList](actions)) > 0 {
			t.Fatalf("bootstrap in round %d though server 2 answers", i)
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
					// changes since the list was saved count as notified soon
					if h.now-start > maxFirstPollDelay+tickInterval {
						t.Fatalf("first poll only after %v", h.now-start)
					}
				}
				calls += n
			}
		}
		if calls != 5 {
			t.Fatalf("%d polls in five periods", calls)
		}
	}
	if len(firsts) < 3 {
		t.Fatal("balancers poll at the same time")
	}
}

func TestPollFetchesWithoutWatch(t *testing.T) {
	set := settings()
	set.WatchList = false
	h := newHarness(t, set)
	actions := h.tick(3 * h.b.pollInterval())
	if len(actionsOf[FetchList](actions)) == 0 || len(actionsOf[WatchList](actions)) != 0 {
		t.Fatal("want fetches of the list only")
	}
}

func TestPollIntervalGrowsWithFleet(t *testing.T) {
	small, big := settings(), settings()
	big.Balancers = 200
	if a, b := newHarness(t, small).b.pollInterval(), newHarness(t, big).b.pollInterval(); b < a+15*time.Second {
		t.Fatalf("period %v with 4 balancers, %v with 200", a, b)
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
		t.Fatal("balancers whose calls failed together poll again together")
	}
	if waits[0] > 3*time.Second || waits[4] < 2*waits[0] {
		t.Fatalf("waits %v do not back off", waits)
	}
}

func TestRestartVoidsLearnedState(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.reportLoad(1, 0.1)
	h.now += time.Second
	h.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: 1, Zone: "a", Started: h.now}}})
	if s := h.b.servers[1]; s.reportedAt != 0 || !h.b.warming(s) {
		t.Fatal("a restarted server's old report counts")
	}
}

// When discovery reports an empty list, nothing is sent, each request gets its one answer in time, and established
// connections are neither migrated nor forgotten. The next list is used at once.
func TestEmptyList(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(3, 0))
	server := h.establish("s", idempotentClass)
	h.replaceList(nil)
	for i := range 10 {
		h.wantNoAttempt(h.request(name("x", i), idempotentClass), "no server is left")
	}
	actions := h.tick(time.Second)
	if len(actionsOf[Migrate](actions)) > 0 {
		t.Errorf("migrated: %v", actions)
	}
	for _, r := range h.b.requests.byID {
		if !r.established {
			actions = append(actions, h.send(TimerFired{Token: r.timerToken})...)
		}
	}
	if rejected, failed := countAnswers(actions); rejected+failed > 10 || failed > 0 || len(h.b.requests.byID) != 1 {
		t.Errorf("%d rejected, %d failed, %d left of 10", rejected, failed, len(h.b.requests.byID))
	}
	h.request("y", idempotentClass)
	if s := h.wantAttempt(h.replaceList(servers(3, 0))); s > 3 {
		t.Errorf("placed at %d", s)
	}
	if h.endAttempt("s", 0, server, OK, true); len(h.b.requests.byID) != 1 {
		t.Errorf("%d requests left, only y wanted", len(h.b.requests.byID))
	}
}

// A list ten times as long costs no more probes.
func TestListTenTimesAsLong(t *testing.T) {
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
		t.Errorf("%d probes in 20 s at 90 servers, %d at 9", many, few)
	}
}
