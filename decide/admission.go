package decide

// Admission: which requests wait for capacity, and which are rejected at once to shed load. This depends on the number
// of waiting requests and on the number of connections established recently.

import "time"

const (
	// baseRetryAfter is the minimum retry-after of a rejected request, before the limit of the settings. A random delay
	// of up to the same length is added.
	baseRetryAfter = 200 * time.Millisecond
	// minQueueLength is the queue length up to which one more request may always wait.
	minQueueLength = 4
)

// wouldExpireWaiting reports whether more requests wait before r than connections will be established before r's
// deadline at the recent rate. If so, r gets its final answer at once. Otherwise the clients of a burst would wait
// until their deadlines without success, and then return to wait again.
func (b *Balancer) wouldExpireWaiting(r *request, waitingBefore int) bool {
	perSecond := b.throttle.recentEstablished / attemptDecayTime.Seconds()
	return float64(waitingBefore) > max(minQueueLength, perSecond*(r.deadline-b.now).Seconds())
}

// retryWaiting tries to place each waiting request once, in the order in which they began to wait.
func (b *Balancer) retryWaiting() {
	for left := len(b.requests.waiting) - 1; left >= 0; left-- {
		r := b.requests.waiting[0]
		b.requests.waiting = b.requests.waiting[1:]
		b.place(r, len(b.requests.waiting)-left) // only the requests that this loop put back are before it
	}
}

// finish gives a request its final answer: a rejection if the client may safely repeat it, otherwise a failure.
func (b *Balancer) finish(r *request) {
	if b.safeToRepeat(r) {
		b.emit(Reject{ID: r.ID, RetryAfter: b.retryAfter()})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forget(r)
}

// safeToRepeat reports whether the client may safely repeat a request, at any balancer and server.
func (b *Balancer) safeToRepeat(r *request) bool {
	class := b.classOf(r)
	neverExecuted := r.executedOn == nil && !r.inFlight
	deduplicated := class.Idempotency == IdempotentByKey && class.KeyScope == ScopeAll // within DedupWindow
	return class.Idempotency == Idempotent || neverExecuted || deduplicated
}

// retryAfter returns a jittered retry-after. It is longer while many requests wait, so that these are placed first.
func (b *Balancer) retryAfter() time.Duration {
	delay := baseRetryAfter
	if len(b.requests.waiting) > minQueueLength {
		delay = max(delay, b.settings.MaxRetryAfter/2)
	}
	return min(delay+b.jitter(delay), b.settings.MaxRetryAfter)
}
