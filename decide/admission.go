package decide

// Admission: which requests wait for capacity, and when load is shed. The evidence is the number of waiting requests
// and how many connections were established recently.

import "time"

const (
	// baseRetryAfter is the least retry-after of a rejected request; up to as much again is added at random.
	baseRetryAfter = 200 * time.Millisecond
	// minQueueLength is the number of requests that may wait for capacity in any case.
	minQueueLength = 4
)

// wouldExpireWaiting reports whether more requests wait before r than connections are established, at the recent
// rate, before its deadline. It is rejected at once then: otherwise a burst of clients waits in vain and returns to
// wait again.
func (b *Balancer) wouldExpireWaiting(r *request, waitingBefore int) bool {
	perSecond := b.throttle.recentEstablished / attemptDecayTime.Seconds()
	return float64(waitingBefore) > max(minQueueLength, perSecond*(r.deadline-b.now).Seconds())
}

// retryWaiting tries to place the waiting requests, each once and in order of arrival.
func (b *Balancer) retryWaiting() {
	for left := len(b.requests.waiting) - 1; left >= 0; left-- {
		r := b.requests.waiting[0]
		b.requests.waiting = b.requests.waiting[1:]
		b.place(r, len(b.requests.waiting)-left) // before it are only those that wait again
	}
}

// finish gives a request its final answer: a rejection where trying again is harmless, otherwise a failure.
func (b *Balancer) finish(r *request) {
	if b.safeToRepeat(r) {
		b.emit(Reject{ID: r.ID, RetryAfter: b.retryAfter()})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forget(r)
}

// safeToRepeat reports whether the client may repeat a request at any balancer and any server.
func (b *Balancer) safeToRepeat(r *request) bool {
	class := b.classOf(r)
	neverExecuted := r.executedOn == nil && !r.inFlight
	deduplicated := class.Idempotency == IdempotentByKey && class.KeyScope == ScopeAll
	return class.Idempotency == Idempotent || neverExecuted || deduplicated
}

// retryAfter returns a jittered delay, a longer one while others wait, so that these are placed first.
func (b *Balancer) retryAfter() time.Duration {
	delay := baseRetryAfter
	if len(b.requests.waiting) > minQueueLength {
		delay = max(delay, b.settings.MaxRetryAfter/2)
	}
	return min(delay+b.jitter(delay), b.settings.MaxRetryAfter)
}
