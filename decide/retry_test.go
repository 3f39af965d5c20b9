package decide

import (
	"slices"
	"testing"
	"time"
)

func TestFailedAttemptsAreRetriedUpToMaxAttempts(t *testing.T) {
	for _, code := range []Code{ServerError, Rejected, TimedOut, ConnectFailed, Reset} {
		w := newHarness(t, settings())
		w.replaceList(servers(8, 0))
		s := w.wantAttempt(w.request("r", idempotentClass))
		seen := []ServerID{s}
		for attempt := range 2 {
			s = w.wantAttempt(w.endAttempt("r", attempt, s, code, false))
			if slices.Contains(seen, s) {
				t.Fatalf("code %d: server %d tried twice", code, s)
			}
			seen = append(seen, s)
		}
		acts := w.endAttempt("r", 2, s, code, false)
		if refused, failed := countAnswers(acts); refused != 1 || failed != 0 || len(actionsOf[StartAttempt](acts)) > 0 {
			t.Fatalf("code %d: tries ran out, got %v", code, acts)
		}
	}
}

// Every outcome of a first attempt, for each kind of request: it is retried, rejected or failed.
func TestOutcomesByIdempotency(t *testing.T) {
	const goesOn, refused, failed = "goes on", "refused", "failed"
	for _, c := range []struct {
		code                             Code
		safe, keyedZone, unsafe, keyedAl string
	}{
		{ServerError, goesOn, goesOn, failed, goesOn},
		{Rejected, goesOn, goesOn, goesOn, goesOn},
		{TimedOut, goesOn, failed, failed, refused},
		{ConnectFailed, goesOn, goesOn, goesOn, goesOn},
		{Reset, goesOn, goesOn, failed, goesOn},
		{Cancelled, goesOn, goesOn, failed, goesOn},
		{NotSent, goesOn, goesOn, goesOn, goesOn},
	} {
		for class, want := range map[int]string{idempotentClass: c.safe, zoneKeyedClass: c.keyedZone, unsafeClass: c.unsafe, fleetKeyedClass: c.keyedAl} {
			w := newHarness(t, settings())
			w.replaceList(servers(8, 4))
			acts := w.endAttempt("r", 0, w.wantAttempt(w.request("r", class)), c.code, false)
			got := "nothing"
			r, f := countAnswers(acts)
			switch {
			case len(actionsOf[StartAttempt](acts)) == 1 && r+f == 0:
				got = goesOn
			case r == 1 && f == 0:
				got = refused
			case f == 1 && r == 0:
				got = failed
			}
			if got != want {
				t.Errorf("code %d, class %d: %s, want %s (%v)", c.code, class, got, want, acts)
			}
		}
	}
}

func TestKeyedRetryStaysInScopeAndWindow(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(1, 4)) // no second server in zone a
	acts := w.endAttempt("r", 0, w.wantAttempt(w.request("r", zoneKeyedClass)), ServerError, false)
	w.wantNoAttempt(acts, "a keyed request left its zone")
	if r, f := countAnswers(acts); r != 0 || f != 1 {
		t.Fatalf("want a failure, got %v", acts)
	}

	w = newHarness(t, settings())
	w.replaceList(servers(6, 0)) // cells of two: 1 2, 3 4, 5 6
	s := w.wantAttempt(w.request("c", cellKeyedClass))
	if n := w.wantAttempt(w.endAttempt("c", 0, s, Reset, false)); (n+1)/2 != (s+1)/2 {
		t.Fatalf("a request keyed by cell went from %d to %d", s, n)
	}

	set := settings()
	set.Classes[fleetKeyedClass].DedupWindow = time.Second
	w = newHarness(t, set)
	w.replaceList(servers(6, 0))
	s = w.wantAttempt(w.request("w", fleetKeyedClass))
	w.now += 1500 * time.Millisecond
	w.wantNoAttempt(w.endAttempt("w", 0, s, ServerError, false), "sent again outside the window")
}

func TestAttemptTimeoutsLeaveTimeForRetries(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(8, 0))
	acts := w.request("r", idempotentClass)
	left := 2 * time.Second
	for try := range 3 {
		p := actionsOf[StartAttempt](acts)[0]
		if p.Timeout <= 0 || p.Timeout > left/time.Duration(3-try) {
			t.Fatalf("try %d: waits %v of %v", try, p.Timeout, left)
		}
		w.now += p.Timeout
		left -= p.Timeout
		acts = w.endAttempt("r", try, p.Server, TimedOut, false)
	}
}

// When a slow store delays the set-ups at all servers, attempts wait longer: another server would not be quicker.
func TestAttemptTimeoutFollowsSetupTime(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(8, 0))
	for i := range 30 {
		id := name("r", i)
		s := w.wantAttempt(w.request(id, idempotentClass))
		w.send(Established{ID: RequestID(id), Server: s, Elapsed: 500 * time.Millisecond})
	}
	if p := actionsOf[StartAttempt](w.request("r", idempotentClass)); len(p) != 1 || p[0].Timeout < 900*time.Millisecond || p[0].Timeout > 2*time.Second {
		t.Fatalf("set-ups take 0.5 s, yet %v", p)
	}
}

// Attempts that fail wherever they go must not become a retry storm on what all servers share.
func TestThrottleLimitsAttemptsWhileMostFail(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(40, 0))
	sent := 0
	for i := range 60 {
		acts := w.request(name("r", i), idempotentClass)
		for attempt := 0; ; attempt++ {
			p := actionsOf[StartAttempt](acts)
			if len(p) == 0 {
				break
			}
			sent++
			acts = w.endAttempt(name("r", i), attempt, p[0].Server, ServerError, false)
		}
	}
	if sent > 10 {
		t.Fatalf("%d dials sent while none stood", sent)
	}
	w.tick(attemptDecayTime)
	w.wantAttempt(w.request("later", idempotentClass)) // it is tried again when the failures have faded
}

// Time-outs halve the window of the attempts that are dialing, for what all servers share.
func TestTimeoutsHalveDialWindow(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(60, 0))
	for i := range 60 {
		w.establish(name("r", i), idempotentClass)
	}
	open := w.b.throttle.window
	for i := range 6 {
		id := name("t", i)
		s := w.wantAttempt(w.request(id, idempotentClass))
		w.now += 300 * time.Millisecond
		w.endAttempt(id, 0, s, TimedOut, false)
		w.send(ClientDisconnected{ID: RequestID(id)})
	}
	if w.b.throttle.window > open/16 || w.b.throttle.dialing != 0 {
		t.Fatalf("window %.1f of %.1f, %d dials out", w.b.throttle.window, open, w.b.throttle.dialing)
	}
	out := 0
	for i := range 20 {
		out += len(actionsOf[StartAttempt](w.request(name("q", i), idempotentClass)))
	}
	if out == 0 || out > int(open/16)+1 {
		t.Fatalf("%d dials out at once", out)
	}
}

// Attempts that never executed cost nothing that all servers share, and must not make a balancer hold back a burst of
// clients before an idle server. Attempts that may have executed do.
func TestOnlyPossibleExecutionsThrottle(t *testing.T) {
	for _, c := range []struct {
		code Code
		held bool
	}{{Rejected, false}, {ConnectFailed, false}, {TimedOut, true}, {Reset, true}} {
		w := newHarness(t, settings())
		w.replaceList(servers(6, 0))
		for i := range 8 {
			id := name("r", i)
			for _, p := range actionsOf[StartAttempt](w.request(id, idempotentClass)) {
				w.endAttempt(id, 0, p.Server, c.code, false)
			}
			w.send(ClientDisconnected{ID: RequestID(id)})
		}
		w.replaceList([]Server{{ID: 50, Zone: "a"}})
		if out := len(actionsOf[StartAttempt](w.request("late", idempotentClass))); (out == 0) != c.held {
			t.Errorf("after eight that ended with %v, %d were placed at a server that just came", c.code, out)
		}
	}
}
