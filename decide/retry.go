package decide

// Retries: whether a request may be sent again, and when new attempts are held back. The first depends on the request's
// idempotency and whether an earlier attempt may have been executed, the second on the outcomes of all attempts.

import (
	"slices"
	"time"
)

const (
	// freeFailures is how many more attempts may have failed than succeeded recently before new attempts are held back.
	freeFailures = 4.0
	// maxDialWindow is the largest number of attempts that may be dialing at the same time.
	maxDialWindow = 64.0
	// setupTimeSamples is the number of setups over which the setup time is averaged.
	setupTimeSamples = 8
)

// retryThrottle protects resources that all servers share, such as a session store, against retry storms. It limits
// new attempts in two ways. Adaptive throttling holds back attempts while recent failures exceed recent successes by
// more than freeFailures. A window limits the number of attempts that are dialing: each established connection widens
// it, and timeouts, after which the work of the attempt is wasted, halve it.
type retryThrottle struct {
	recentFailures    float64       // attempts that established no connection but may have been executed; decaying
	recentEstablished float64       // attempts that established a connection; decaying
	setupTime         time.Duration // average time to establish a connection
	dialing           int           // attempts in flight without an established connection
	window            float64       // limit of dialing
	windowHalvedAt    time.Duration // when the window was last halved
}

// limits reports whether new attempts are held back now.
func (t *retryThrottle) limits() bool {
	return t.recentFailures > freeFailures+t.recentEstablished || t.dialing >= int(t.window)
}

// decay reduces the counts by one tick's decay, with the time constant attemptDecayTime.
func (t *retryThrottle) decay() {
	factor := 1 - tickInterval.Seconds()/attemptDecayTime.Seconds()
	t.recentFailures, t.recentEstablished = t.recentFailures*factor, t.recentEstablished*factor
}

// recordEstablished counts an attempt that has established its connection.
func (t *retryThrottle) recordEstablished(elapsed time.Duration) {
	t.setupTime += (elapsed - t.setupTime) / setupTimeSamples
	t.dialing--
	t.window = min(t.window+1/t.window, maxDialWindow)
	t.recentEstablished++
}

// recordFailed counts an attempt that ended without an established connection.
func (t *retryThrottle) recordFailed(code Code) {
	t.dialing--
	if !code.NeverExecuted() {
		t.recentFailures++
	}
}

// recordTimeout raises the average setup time and halves the window after an attempt that timed out. Several
// attempts often time out together, so the window is halved at most once per tick.
func (t *retryThrottle) recordTimeout(now, elapsed time.Duration) {
	t.setupTime += (max(setupTimeFactor*elapsed, t.setupTime) - t.setupTime) / setupTimeSamples
	if now-t.windowHalvedAt > tickInterval {
		t.window, t.windowHalvedAt = max(t.window/2, 1), now
	}
}

func (b *Balancer) connectionEstablished(event Established) {
	b.recordSuccess(b.serverRecord(event.Server))
	r := b.requests.byID[event.ID]
	if r == nil || r.server == nil || !r.inFlight || r.established {
		return
	}
	r.established = true
	b.throttle.recordEstablished(event.Elapsed)
	b.establishRate.sinceTick++
	b.addConnection(r)
	delete(b.requests.byToken, r.timerToken)
	b.retryWaiting()
}

func (b *Balancer) attemptEnded(event AttemptEnded) {
	s, r := b.serverRecord(event.Server), b.requests.byID[event.ID]
	b.recordOutcome(s, event.Code)
	if r == nil || !r.inFlight || r.server != s || event.Attempt != r.attempts-1 {
		return
	}
	if !r.established {
		b.throttle.recordFailed(event.Code)
	}
	r.inFlight = false
	if event.Final {
		if r.established {
			b.connectionEnded(r, event.Code)
		}
		b.forget(r)
		return
	}
	b.retryOrFinish(r, event)
}

// retryOrFinish places a request again after an attempt if another one is safe, and otherwise gives the final answer.
func (b *Balancer) retryOrFinish(r *request, event AttemptEnded) {
	if !event.Code.NeverExecuted() && r.executedOn == nil {
		r.executedOn = r.server
	}
	if event.Code == TimedOut {
		b.throttle.recordTimeout(b.now, event.Elapsed)
	}
	// After a timeout, only Idempotent requests are retried, as the attempt may still be executing.
	if r.established || event.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.finish(r)
		return
	}
	b.place(r, len(b.requests.waiting))
}

// mayAttempt reports whether a request may be sent to a server now. No earlier attempt of the request may have been at
// that server, and the server's slow-start quota must allow the request. After an attempt that may have been executed,
// the request must also be Idempotent, or the server must drop it as a repeat.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	if slices.Contains(r.attemptedServers, s.ID) || !b.withinSlowStartQuota(r, s) {
		return false
	}
	class := b.classOf(r)
	switch {
	case r.executedOn == nil || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == NotIdempotent:
		return false
	// The request is sent when the connection is established, which may take up to ConnectTimeout.
	case b.now+b.settings.ConnectTimeout >= r.firstSentAt+class.DedupWindow:
		return false
	}
	return class.KeyScope.contains(&r.executedOn.Server, &s.Server)
}

// contains reports whether the scope includes both servers, so that each drops repeats of requests sent to the other.
func (scope KeyScope) contains(first, second *Server) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return second.Zone == first.Zone
	default:
		return second.Zone == first.Zone && second.Cell == first.Cell
	}
}
