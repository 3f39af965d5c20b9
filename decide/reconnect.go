package decide

// Reconnecting to discovery: when a balancer dials discovery again after a failure, and when it sends its call. This
// depends on the start of the failed attempt and on the number of balancers that call the same discovery service.

import (
	"math/rand/v2"
	"time"
)

// Timing of the reconnects.
const (
	// maxReconnectDelay limits the time from the start of the failed attempt to the next call. The operators'
	// safety rules count a balancer as notified of a change 6 s after discovery has the change and can be reached, even
	// if the balancer has not received it. Discovery may have become reachable just after the failed attempt began, so
	// the next call starts early enough to be answered within 6 s.
	maxReconnectDelay = 4500 * time.Millisecond
	// dialInterval is the time between the starts of two dials. It is jittered by up to half in each direction.
	dialInterval = time.Second
	// minDialTimeout is the minimum timeout of a dial.
	minDialTimeout = dialInterval / 4
	// callSpreadPerBalancer is the time per balancer over which the calls of the fleet are spread.
	callSpreadPerBalancer = pollIntervalPerBalancer
)

// reconnectSeedStream is the second word of the seed of the schedule's random generator.
const reconnectSeedStream = 0xbb67ae8584caa73b

// ReconnectSchedule computes when a balancer dials discovery and when it sends a call, after a failed call. A dial
// checks whether discovery can be reached, without causing work there. After a successful dial, the balancer sends one
// call; the fleet's calls are spread over time. The delays don't grow with each failure, as the balancer would then
// miss changes of which it counts as notified. Hosts that can't dial without calling use the polls' backoff.
type ReconnectSchedule struct {
	rng          *rand.Rand
	dialInterval time.Duration
	callSpread   time.Duration // 0: dials and calls are not spread
}

// NewReconnectSchedule returns the schedule for a fleet with this number of balancers. A fixedInterval above 0 sets
// the time between dials, without any spread, for hosts that need changes as soon as discovery can be reached again.
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

// SetFleetSize changes the number of balancers by which the calls are spread.
func (r *ReconnectSchedule) SetFleetSize(balancers int) {
	if r.callSpread > 0 {
		r.callSpread = time.Duration(balancers) * callSpreadPerBalancer
	}
}

// DialAt returns when to dial after an attempt that began at the time began and has failed at the time now.
func (r *ReconnectSchedule) DialAt(began, now time.Duration) time.Duration {
	if r.callSpread == 0 {
		return max(now, began+r.dialInterval)
	}
	return max(now, began+r.dialInterval/2+r.jitter(r.dialInterval))
}

// CallAt returns when to call after a successful dial at the time now. The latest failed attempt started at began.
func (r *ReconnectSchedule) CallAt(began, now time.Duration) time.Duration {
	return now + r.jitter(min(r.callSpread, began+maxReconnectDelay-now))
}

// DialTimeout returns a dial's timeout. It is short: redials replace TCP's SYN retransmissions, whose interval doubles.
func (r *ReconnectSchedule) DialTimeout() time.Duration { return max(r.dialInterval, minDialTimeout) }

// jitter returns a random duration below limit, or 0 if limit is not above 0.
func (r *ReconnectSchedule) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(limit)))
}
