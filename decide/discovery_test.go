package decide

import (
	"testing"
	"time"
)

func TestBootstrapAfterTimeout(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	fail := func(i int) []Action {
		return w.send(ProbeCompleted{Server: ServerID(i%4 + 1), Code: TimedOut, Report: NoLoadReport})
	}
	fail(0)
	w.now += bootstrapTimeout / 2
	if len(actionsOf[FetchList](fail(1))) > 0 {
		t.Fatal("bootstrap before the timeout")
	}
	w.now += bootstrapTimeout
	acts := fail(2)
	if len(actionsOf[FetchList](acts)) != 1 || len(actionsOf[Log](acts)) != 1 {
		t.Fatalf("no bootstrap: %v", acts)
	}
	w.wantAttempt(w.request("r", idempotentClass)) // the last list's ready servers serve meanwhile
}

func TestAnyAnswerPreventsBootstrap(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	for i := range 10 {
		w.now += bootstrapTimeout / 2
		acts := w.send(ProbeCompleted{Server: 1, Code: TimedOut, Report: NoLoadReport})
		if len(actionsOf[FetchList](acts)) > 0 {
			t.Fatalf("bootstrap in round %d though server 2 answers", i)
		}
		w.reportLoad(2, 0.5)
	}
}

func TestPollsOncePerIntervalAtRandomOffset(t *testing.T) {
	firsts := map[time.Duration]bool{}
	for seed := range uint64(6) {
		set := settings()
		set.Seed = seed
		w := newHarness(t, set)
		w.replaceList(servers(3, 0))
		start, calls := w.now, 0
		for w.now < start+5*w.b.pollInterval() {
			if n := len(actionsOf[WatchList](w.tick(tickInterval))); n > 0 {
				if calls == 0 {
					firsts[w.now-start] = true
					if w.now-start > maxFirstPollDelay+tickInterval { // what has changed since the list was written counts as told soon
						t.Fatalf("first poll only after %v", w.now-start)
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
	w := newHarness(t, set)
	acts := w.tick(3 * w.b.pollInterval())
	if len(actionsOf[FetchList](acts)) == 0 || len(actionsOf[WatchList](acts)) != 0 {
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
	w := newHarness(t, settings())
	w.replaceList(servers(3, 0))
	var waits []time.Duration
	for range 5 {
		w.send(ListReceived{Kind: ListFailed})
		from := w.now
		for len(actionsOf[WatchList](w.tick(tickInterval))) == 0 {
		}
		waits = append(waits, w.now-from)
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
		t.Fatal("balancers whose calls failed together ask again together")
	}
	if waits[0] > 3*time.Second || waits[4] < 2*waits[0] {
		t.Fatalf("waits %v do not back off", waits)
	}
}

func TestRestartVoidsLearnedState(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(2, 0))
	w.reportLoad(1, 0.1)
	w.now += time.Second
	w.send(ListReceived{Kind: ListDelta, Servers: []Server{{ID: 1, Zone: "a", Started: w.now}}})
	if s := w.b.servers[1]; s.reportedAt != 0 || !w.b.warming(s) {
		t.Fatal("a restarted server's old answer counts")
	}
}

// When discovery reports an empty list, nothing is sent, each request gets its one answer in time, and established
// connections are neither migrated nor forgotten. The next list is used at once.
func TestEmptyList(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(3, 0))
	held := w.establish("s", idempotentClass)
	w.replaceList(nil)
	for i := range 10 {
		w.wantNoAttempt(w.request(name("x", i), idempotentClass), "no server is left")
	}
	acts := w.tick(time.Second)
	if len(actionsOf[Migrate](acts)) > 0 {
		t.Errorf("moved: %v", acts)
	}
	for _, r := range w.b.requests.byID {
		if !r.established {
			acts = append(acts, w.send(TimerFired{Token: r.timerToken})...)
		}
	}
	if refused, failed := countAnswers(acts); refused+failed > 10 || failed > 0 || len(w.b.requests.byID) != 1 {
		t.Errorf("%d refused, %d failed, %d left of 10", refused, failed, len(w.b.requests.byID))
	}
	w.request("y", idempotentClass)
	if s := w.wantAttempt(w.replaceList(servers(3, 0))); s > 3 {
		t.Errorf("placed at %d", s)
	}
	if w.endAttempt("s", 0, held, OK, true); len(w.b.requests.byID) != 1 {
		t.Errorf("%d requests left, only y wanted", len(w.b.requests.byID))
	}
}

// A list ten times as long costs no more probes.
func TestListTenTimesAsLong(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	probes := func(n int) int {
		w := newHarness(t, set)
		w.replaceList(servers(9, 0))
		w.tick(5 * time.Second)
		w.replaceList(servers(n, 0))
		return len(actionsOf[Probe](w.tick(20 * time.Second)))
	}
	if few, many := probes(9), probes(90); many > few+2*maxAnswers {
		t.Errorf("%d probes in 20 s at 90 servers, %d at 9", many, few)
	}
}
