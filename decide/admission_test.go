package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestNotIdempotentIsRejectedOnlyIfNeverExecuted(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	s := h.wantAttempt(h.request("r", unsafeClass))
	h.now += 2 * time.Second // the deadline, with the attempt still in flight
	if r, f := countAnswers(h.send(TimerFired{Token: h.b.requests.byID["r"].timerToken})); r != 0 || f != 1 {
		t.Fatal("a request in flight that is not idempotent must fail, not be rejected")
	}
	_ = s
	h.replaceList(nil)
	h.request("n", unsafeClass) // never sent
	h.now += 2 * time.Second
	if r, f := countAnswers(h.send(TimerFired{Token: h.b.requests.byID["n"].timerToken})); r != 1 || f != 0 {
		t.Fatal("a request that was never sent must be rejected")
	}
}

func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	for _, list := range [][]Server{nil, servers(3, 0)} {
		t.Run(fmt.Sprintf("%d servers", len(list)), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(list)
			actions := h.request("r", idempotentClass)
			timers := actionsOf[SetTimer](actions)
			if len(timers) != 1 || timers[0].Delay != 2*time.Second {
				t.Fatalf("want a timer at the deadline, got %v", actions)
			}
			h.now += timers[0].Delay
			if r, f := countAnswers(h.send(TimerFired{Token: timers[0].Token})); r+f != 1 {
				t.Fatalf("%d servers: no final answer at the deadline", len(list))
			}
			if r, f := countAnswers(h.send(TimerFired{Token: timers[0].Token})); r+f != 0 {
				t.Fatal("the request got a second final answer")
			}
		})
	}
}

func TestEstablishedConnectionHasNoDeadline(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(3, 0))
	actions := h.request("r", idempotentClass)
	h.send(Established{ID: "r", Server: h.wantAttempt(actions)})
	h.now += 2 * time.Second
	if got := h.send(TimerFired{Token: actionsOf[SetTimer](actions)[0].Token}); len(got) != 0 {
		t.Fatalf("the deadline of an established connection caused actions: %v", got)
	}
}

// A rejection carries a retry-after of at most MaxRetryAfter. Without it, rejected clients would return at once and all
// at the same time.
func TestRejectCarriesRetryAfter(t *testing.T) {
	for _, most := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("at most %v", most), func(t *testing.T) {
			set := settings()
			set.MaxAttempts, set.MaxRetryAfter = 1, most
			h := newHarness(t, set)
			h.replaceList(servers(1, 0))
			h.wantAttempt(h.request("r", idempotentClass))
			rejected := actionsOf[Reject](h.endAttempt("r", 0, 1, Rejected, false))
			if len(rejected) != 1 || rejected[0].RetryAfter > most || (rejected[0].RetryAfter == 0) != (most == 0) {
				t.Errorf("MaxRetryAfter %v: rejections %+v", most, rejected)
			}
		})
	}
}

// When too many requests wait, the latest are rejected: a request is rejected if too many wait before it. If the total
// number decided, the longest-waiting requests would be rejected first, as their deadlines are nearest.
func TestLatestRequestsAreRejectedFirst(t *testing.T) {
	const waiting = 15
	h := newHarness(t, settings())
	h.replaceList(servers(1, 0))
	h.reportLoad(1, 0.95)
	h.b.throttle.recentEstablished = 100 // ten connections per second
	for i := range waiting {
		if n := len(actionsOf[Reject](h.request(name("r", i), idempotentClass))); n != 0 {
			t.Fatalf("request %d of %d was rejected, though 20 can be established before its deadline", i, waiting)
		}
	}
	h.now += 1250 * time.Millisecond
	rejected := map[RequestID]bool{}
	for _, r := range actionsOf[Reject](h.tick(tickInterval)) {
		rejected[r.ID] = true
	}
	if len(rejected) == 0 || rejected["r0"] || !rejected[RequestID(name("r", waiting-1))] {
		t.Errorf("half a second before the deadlines, at ten connections per second: rejected %v, want the latest, not r0",
			rejected)
	}
}
