package decide

// Retries: whether a request may be sent again, by its idempotency and by what its earlier attempts may have
// executed, and how many attempts the balancer makes in all. The evidence is the outcome of the attempts and the time
// that they take.

import (
	"slices"
	"time"
)

const (
	// freeFailures is the number of failed attempts beyond the established ones that limits no attempt.
	freeFailures = 4.0
	// maxDialWindow bounds the number of attempts that may be dialing at once.
	maxDialWindow = 64.0
	// setupTimeSamples is the number of set-ups over which their time is averaged.
	setupTimeSamples = 8
)

// retryThrottle protects what all servers share, such as a session store, against retry storms, in two ways. Adaptive
// throttling keeps the failed attempts within the established ones and a few. A window on the attempts that are
// dialing is halved by time-outs, which mean work done in vain, and opened by set-ups.
type retryThrottle struct {
	recentFailures    float64       // attempts that may have executed and did not establish a connection, decaying
	recentEstablished float64       // attempts that established one, decaying
	setupTime         time.Duration // average time of a set-up
	dialing           int           // attempts that are in flight without an established connection
	window            float64       // limit of dialing
	windowHalvedAt    time.Duration // when the window was last halved
}

// limits reports whether no attempt may start now.
func (t *retryThrottle) limits() bool {
	return t.recentFailures > freeFailures+t.recentEstablished || t.dialing >= int(t.window)
}

// decay lets the counts decay by one tick, with the time constant attemptDecayTime.
func (t *retryThrottle) decay() {
	factor := 1 - tickInterval.Seconds()/attemptDecayTime.Seconds()
	t.recentFailures, t.recentEstablished = t.recentFailures*factor, t.recentEstablished*factor
}

// recordEstablished learns from an attempt that established its connection.
func (t *retryThrottle) recordEstablished(elapsed time.Duration) {
	t.setupTime += (elapsed - t.setupTime) / setupTimeSamples
	t.dialing--
	t.window = min(t.window+1/t.window, maxDialWindow)
	t.recentEstablished++
}

// recordFailed learns from an attempt that ended without a connection.
func (t *retryThrottle) recordFailed(code Code) {
	t.dialing--
	if !code.NeverExecuted() {
		t.recentFailures++
	}
}

// recordTimeout learns from an attempt that timed out. The window is halved once a tick, as time-outs come together.
func (t *retryThrottle) recordTimeout(now, elapsed time.Duration) {
	t.setupTime += (max(minAttemptSetups*elapsed, t.setupTime) - t.setupTime) / setupTimeSamples
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

// retryOrFinish places a request again whose attempt has failed, if that is safe.
func (b *Balancer) retryOrFinish(r *request, event AttemptEnded) {
	if !event.Code.NeverExecuted() && r.executedOn == nil {
		r.executedOn = r.server
	}
	if event.Code == TimedOut {
		b.throttle.recordTimeout(b.now, event.Elapsed)
	}
	// After a time-out only idempotent requests are retried, as the first attempt may still be executing.
	if r.established || event.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.finish(r)
		return
	}
	b.place(r, len(b.requests.waiting))
}

// mayAttempt reports whether a request may be sent to a server now: one that it has not tried, within the server's
// slow-start quota, and after an attempt that may have executed, one that drops the repetition.
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
	case b.now+b.settings.ConnectTimeout >= r.firstSentAt+class.DedupWindow: // it is sent once the connection is up
		return false
	}
	return class.KeyScope.contains(&r.executedOn.Server, &s.Server)
}

// contains reports whether the second server is in the first one's group, whose servers drop each other's repeats.
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
