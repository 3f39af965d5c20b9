package decide

// Reconnecting to discovery: when a balancer dials discovery again and when it calls. The evidence is when the failed
// attempt began and how many balancers call the same discovery service.

import (
	"math/rand/v2"
	"time"
)

// Timing of the reconnects.
const (
	// maxReconnectDelay bounds the time from the begin of the failed attempt to the next call. A change counts as
	// notified 6 s after discovery had it and could be reached, which may be just after that attempt began; the rest
	// of the 6 s is left for the answer.
	maxReconnectDelay = 4500 * time.Millisecond
	// dialInterval is the time between the starts of two dials, jittered by half of it.
	dialInterval = time.Second
	// minDialTimeout is the least time-out of a dial.
	minDialTimeout = dialInterval / 4
	// callSpreadPerBalancer is what each balancer adds to the time over which the calls of all are spread.
	callSpreadPerBalancer = pollIntervalPerBalancer
)

// reconnectSeedStream is the second word of the random generator's seed.
const reconnectSeedStream = 0xbb67ae8584caa73b

// ReconnectSchedule says when a balancer dials discovery and when it calls, once a call has failed. A dial without a
// call finds out that discovery is there and costs it no work; then comes one call, spread over the fleet. The delays
// do not grow, as changes that are missed meanwhile would count as notified. Hosts that cannot dial without calling
// use the backoff of the polls instead.
type ReconnectSchedule struct {
	rng          *rand.Rand
	dialInterval time.Duration
	callSpread   time.Duration // 0: dials and calls are not spread
}

// NewReconnectSchedule returns the schedule for a fleet of so many balancers. A fixedInterval above 0 is the interval
// of the dials where changes count as soon as discovery is back: neither dials nor calls are spread then.
func NewReconnectSchedule(seed uint64, balancers int, fixedInterval time.Duration) ReconnectSchedule {
	schedule := ReconnectSchedule{
		rng:          rand.New(rand.NewPCG(seed, reconnectSeedStream)),
		dialInterval: dialInterval,
		callSpread:   time.Duration(balancers) * callSpreadPerBalancer,
	}
	if fixedInterval > 0 {
		schedule.dialInterval, schedule.callSpread = fixedInterval, 0
	}
	return schedule
}

// SetFleetSize spreads the calls over another number of balancers.
func (r *ReconnectSchedule) SetFleetSize(balancers int) {
	if r.callSpread > 0 {
		r.callSpread = time.Duration(balancers) * callSpreadPerBalancer
	}
}

// DialAt returns when to dial, if the attempt that has failed by now began at the given time.
func (r *ReconnectSchedule) DialAt(began, now time.Duration) time.Duration {
	if r.callSpread == 0 {
		return max(now, began+r.dialInterval)
	}
	return max(now, began+r.dialInterval/2+r.jitter(r.dialInterval))
}

// CallAt returns when to call, if a dial has reached discovery now and the attempt that failed last began at the
// given time.
func (r *ReconnectSchedule) CallAt(began, now time.Duration) time.Duration {
	return now + r.jitter(min(r.callSpread, began+maxReconnectDelay-now))
}

// DialTimeout returns the time-out of a dial. It is short: a dial whose first packet was lost sends it again so late
// that it would reach discovery late.
func (r *ReconnectSchedule) DialTimeout() time.Duration { return max(r.dialInterval, minDialTimeout) }

// jitter returns a random time below limit.
func (r *ReconnectSchedule) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(limit)))
}
