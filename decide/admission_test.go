package decide

import (
	"testing"
	"time"
)

func TestNotIdempotentIsRejectedOnlyIfNeverExecuted(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	s := w.wantAttempt(w.request("r", unsafeClass))
	w.now += 2 * time.Second // still out at the deadline
	if r, f := countAnswers(w.send(TimerFired{Token: w.b.requests.byID["r"].timerToken})); r != 0 || f != 1 {
		t.Fatal("an unsafe request that is out must fail, not be refused")
	}
	_ = s
	w.replaceList(nil)
	w.request("n", unsafeClass) // never sent
	w.now += 2 * time.Second
	if r, f := countAnswers(w.send(TimerFired{Token: w.b.requests.byID["n"].timerToken})); r != 1 || f != 0 {
		t.Fatal("an unsafe request that was never sent is refused")
	}
}

func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	for _, list := range [][]Server{nil, servers(3, 0)} {
		w := newHarness(t, settings())
		w.replaceList(list)
		acts := w.request("r", idempotentClass)
		timers := actionsOf[SetTimer](acts)
		if len(timers) != 1 || timers[0].Delay != 2*time.Second {
			t.Fatalf("want a timer at the deadline, got %v", acts)
		}
		w.now += timers[0].Delay
		if r, f := countAnswers(w.send(TimerFired{Token: timers[0].Token})); r+f != 1 {
			t.Fatalf("%d servers: no answer at the deadline", len(list))
		}
		if r, f := countAnswers(w.send(TimerFired{Token: timers[0].Token})); r+f != 0 {
			t.Fatal("answered twice")
		}
	}
}

func TestEstablishedConnectionHasNoDeadline(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(3, 0))
	acts := w.request("r", idempotentClass)
	w.send(Established{ID: "r", Server: w.wantAttempt(acts)})
	w.now += 2 * time.Second
	if got := w.send(TimerFired{Token: actionsOf[SetTimer](acts)[0].Token}); len(got) != 0 {
		t.Fatalf("a standing connection was answered: %v", got)
	}
}

// A retry-after, within what clients honour, keeps rejected clients from returning at once or together.
func TestRejectCarriesRetryAfter(t *testing.T) {
	for _, most := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
		set := settings()
		set.MaxAttempts, set.MaxRetryAfter = 1, most
		w := newHarness(t, set)
		w.replaceList(servers(1, 0))
		w.wantAttempt(w.request("r", idempotentClass))
		refused := actionsOf[Reject](w.endAttempt("r", 0, 1, Rejected, false))
		if len(refused) != 1 || refused[0].RetryAfter > most || (refused[0].RetryAfter == 0) != (most == 0) {
			t.Errorf("at most %v: %+v", most, refused)
		}
	}
}

// A request is rejected by the number of requests before it. Otherwise those that wait longest would be rejected
// first, as their time is short.
func TestLatestRequestsAreRejectedFirst(t *testing.T) {
	const held = 15
	w := newHarness(t, settings())
	w.replaceList(servers(1, 0))
	w.reportLoad(1, 0.95)
	w.b.throttle.recentEstablished = 100 // ten a second
	for i := range held {
		if n := len(actionsOf[Reject](w.request(name("r", i), idempotentClass))); n != 0 {
			t.Fatalf("request %d of %d was refused, though 20 come to stand in its time", i, held)
		}
	}
	w.now += 1250 * time.Millisecond
	refused := map[RequestID]bool{}
	for _, r := range actionsOf[Reject](w.tick(tickInterval)) {
		refused[r.ID] = true
	}
	if len(refused) == 0 || refused["r0"] || !refused[RequestID(name("r", held-1))] {
		t.Errorf("half a second before their end, with five still to come to stand, refused are %v", refused)
	}
}
