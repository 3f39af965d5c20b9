package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestFailedAttemptsAreRetriedUpToMaxAttempts(t *testing.T) {
	for _, code := range []Code{ServerError, Rejected, TimedOut, ConnectFailed, Reset} {
		t.Run(fmt.Sprintf("code %d", code), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(8, 0))
			s := h.wantAttempt(h.request("r", idempotentClass))
			seen := []ServerID{s}
			for attempt := range 2 {
				s = h.wantAttempt(h.endAttempt("r", attempt, s, code, false))
				if slices.Contains(seen, s) {
					t.Fatalf("code %d: server %d was attempted twice", code, s)
				}
				seen = append(seen, s)
			}
			actions := h.endAttempt("r", 2, s, code, false)
			if rejected, failed := countAnswers(actions); rejected != 1 || failed != 0 ||
				len(actionsOf[StartAttempt](actions)) > 0 {
				t.Fatalf("code %d: got %v after the last attempt, want one rejection", code, actions)
			}
		})
	}
}

// After each outcome of its first attempt, a request is retried, rejected or failed, depending on its idempotency.
func TestOutcomesByIdempotency(t *testing.T) {
	const retried, rejected, failed = "retried", "rejected", "failed"
	for _, c := range []struct {
		code                                      Code
		idempotent, zoneKeyed, unsafe, fleetKeyed string
	}{
		{ServerError, retried, retried, failed, retried},
		{Rejected, retried, retried, retried, retried},
		{TimedOut, retried, failed, failed, rejected},
		{ConnectFailed, retried, retried, retried, retried},
		{Reset, retried, retried, failed, retried},
		{Cancelled, retried, retried, failed, retried},
		{NotSent, retried, retried, retried, retried},
	} {
		t.Run(fmt.Sprintf("code %d", c.code), func(t *testing.T) {
			for class, want := range map[int]string{idempotentClass: c.idempotent, zoneKeyedClass: c.zoneKeyed,
				unsafeClass: c.unsafe, fleetKeyedClass: c.fleetKeyed} {
				h := newHarness(t, settings())
				h.replaceList(servers(8, 4))
				actions := h.endAttempt("r", 0, h.wantAttempt(h.request("r", class)), c.code, false)
				got := "nothing"
				r, f := countAnswers(actions)
				switch {
				case len(actionsOf[StartAttempt](actions)) == 1 && r+f == 0:
					got = retried
				case r == 1 && f == 0:
					got = rejected
				case f == 1 && r == 0:
					got = failed
				}
				if got != want {
					t.Errorf("code %d, class %d: %s, want %s (%v)", c.code, class, got, want, actions)
				}
			}
		})
	}
}

func TestKeyedRetryStaysInScopeAndWindow(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(1, 4)) // no second server in zone a
	actions := h.endAttempt("r", 0, h.wantAttempt(h.request("r", zoneKeyedClass)), ServerError, false)
	h.wantNoAttempt(actions, "no other server of the key scope is left")
	if r, f := countAnswers(actions); r != 0 || f != 1 {
		t.Fatalf("got %v, want a failure", actions)
	}

	h = newHarness(t, settings())
	h.replaceList(servers(6, 0)) // three cells: servers 1 and 2, 3 and 4, 5 and 6
	s := h.wantAttempt(h.request("c", cellKeyedClass))
	if n := h.wantAttempt(h.endAttempt("c", 0, s, Reset, false)); (n+1)/2 != (s+1)/2 {
		t.Fatalf("a request with ScopeCell was sent to server %d, then retried on %d of another cell", s, n)
	}

	set := settings()
	set.Classes[fleetKeyedClass].DedupWindow = time.Second
	h = newHarness(t, set)
	h.replaceList(servers(6, 0))
	s = h.wantAttempt(h.request("w", fleetKeyedClass))
	h.now += 1500 * time.Millisecond
	h.wantNoAttempt(h.endAttempt("w", 0, s, ServerError, false), "the retry would be after DedupWindow")
}

func TestAttemptTimeoutsLeaveTimeForRetries(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(8, 0))
	actions := h.request("r", idempotentClass)
	left := 2 * time.Second
	for attempt := range 3 {
		p := actionsOf[StartAttempt](actions)[0]
		if p.Timeout <= 0 || p.Timeout > left/time.Duration(3-attempt) {
			t.Fatalf("attempt %d: timeout %v leaves too little of %v for the retries", attempt, p.Timeout, left)
		}
		h.now += p.Timeout
		left -= p.Timeout
		actions = h.endAttempt("r", attempt, p.Server, TimedOut, false)
	}
}

// When setups are slow at all servers, as with a slow session store, attempts get longer timeouts, as another server
// would be no quicker.
func TestAttemptTimeoutFollowsSetupTime(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(8, 0))
	for i := range 30 {
		id := name("r", i)
		s := h.wantAttempt(h.request(id, idempotentClass))
		h.send(Established{ID: RequestID(id), Server: s, Elapsed: 500 * time.Millisecond})
	}
	if p := actionsOf[StartAttempt](h.request("r", idempotentClass)); len(p) != 1 ||
		p[0].Timeout < 900*time.Millisecond || p[0].Timeout > 2*time.Second {
		t.Fatalf("got %v, want a timeout of 900ms to 2s when setups take 500ms", p)
	}
}

// When attempts fail at all servers, their retries must not overload the resources that all servers share.
func TestThrottleLimitsAttemptsWhileMostFail(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(40, 0))
	sent := 0
	for i := range 60 {
		actions := h.request(name("r", i), idempotentClass)
		for attempt := 0; ; attempt++ {
			p := actionsOf[StartAttempt](actions)
			if len(p) == 0 {
				break
			}
			sent++
			actions = h.endAttempt(name("r", i), attempt, p[0].Server, ServerError, false)
		}
	}
	if sent > 10 {
		t.Fatalf("%d attempts started though all failed, want at most 10", sent)
	}
	h.tick(attemptDecayTime)
	h.wantAttempt(h.request("later", idempotentClass)) // attempts start again when the failure count has decayed
}

// Each timeout that comes more than a tick after the previous one halves the limit of the attempts that are dialing, to
// protect the resources that all servers share.
func TestTimeoutsHalveDialWindow(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(60, 0))
	for i := range 60 {
		h.establish(name("r", i), idempotentClass)
	}
	before := h.b.throttle.window
	for i := range 6 {
		id := name("t", i)
		s := h.wantAttempt(h.request(id, idempotentClass))
		h.now += 300 * time.Millisecond
		h.endAttempt(id, 0, s, TimedOut, false)
		h.send(ClientDisconnected{ID: RequestID(id)})
	}
	if h.b.throttle.window > before/16 || h.b.throttle.dialing != 0 {
		t.Fatalf("window %.1f after six timeouts, %.1f before; %d attempts dialing, want 0", h.b.throttle.window, before,
			h.b.throttle.dialing)
	}
	out := 0
	for i := range 20 {
		out += len(actionsOf[StartAttempt](h.request(name("q", i), idempotentClass)))
	}
	if out == 0 || out > int(before/16)+1 {
		t.Fatalf("%d attempts dialing at the same time, want at least 1 and no more than the window", out)
	}
}

// Attempts that were never executed cause no work at the resources that all servers share. They must not throttle the
// attempts of a burst of clients while a server is idle. Attempts that may have been executed throttle them.
func TestOnlyPossibleExecutionsThrottle(t *testing.T) {
	for _, c := range []struct {
		code      Code
		throttled bool
	}{{Rejected, false}, {ConnectFailed, false}, {TimedOut, true}, {Reset, true}} {
		t.Run(fmt.Sprintf("code %d", c.code), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(6, 0))
			for i := range 8 {
				id := name("r", i)
				for _, p := range actionsOf[StartAttempt](h.request(id, idempotentClass)) {
					h.endAttempt(id, 0, p.Server, c.code, false)
				}
				h.send(ClientDisconnected{ID: RequestID(id)})
			}
			h.replaceList([]Server{{ID: 50, Zone: "a"}})
			if out := len(actionsOf[StartAttempt](h.request("late", idempotentClass))); (out == 0) != c.throttled {
				t.Errorf("after eight attempts that ended with code %v, %d attempts started on a new server", c.code,
					out)
			}
		})
	}
}
