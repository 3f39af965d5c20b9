package decide

import (
	"math/rand/v2"
	"time"
)

// Times of the way back to discovery.
const (
	// A change counts as told 6 s after discovery had it and could be reached again, which may be just after the attempt
	// that failed was begun. The call after it begins within this, which leaves the rest to its answer.
	maxReconnectDelay     = 4500 * time.Millisecond
	dialInterval          = time.Second             // between the starts of two attempts, give or take half of it
	minDialTimeout        = dialInterval / 4        // a dial is waited for so long at least
	callSpreadPerBalancer = pollIntervalPerBalancer // what each balancer adds to the time over which all their calls are spread
)

// ReconnectSchedule says when a balancer dials discovery and when it calls, once a call has failed. A dial alone finds out that
// discovery is there and costs it no work; then comes one call, spread over the fleet. Calls do not wait longer and
// longer: what is missed meanwhile would count as told. For hosts that cannot dial alone there is the poll's backoff.
type ReconnectSchedule struct {
	rng          *rand.Rand
	dialInterval time.Duration
	callSpread   time.Duration
}

// NewReconnectSchedule returns one for a fleet of so many balancers. At once, if above 0, is the pause where what discovery has counts
// at its return: nothing is spread then.
func NewReconnectSchedule(seed uint64, balancers int, atOnce time.Duration) ReconnectSchedule {
	r := ReconnectSchedule{rng: rand.New(rand.NewPCG(seed, 0xbb67ae8584caa73b)), dialInterval: dialInterval,
		callSpread: time.Duration(balancers) * callSpreadPerBalancer}
	if atOnce > 0 {
		r.dialInterval, r.callSpread = atOnce, 0
	}
	return r
}

// SetFleetSize takes over another size of the fleet.
func (r *ReconnectSchedule) SetFleetSize(balancers int) {
	if r.callSpread > 0 {
		r.callSpread = time.Duration(balancers) * callSpreadPerBalancer
	}
}

// DialAt is when to dial, where an attempt that has failed by now was begun at some time.
func (r ReconnectSchedule) DialAt(begun, now time.Duration) time.Duration {
	if r.callSpread == 0 {
		return max(now, begun+r.dialInterval)
	}
	return max(now, begun+r.dialInterval/2+r.jitter(r.dialInterval))
}

// CallAt is when to call, where a dial has found discovery now, and the attempt that failed last was begun at some time.
func (r ReconnectSchedule) CallAt(begun, now time.Duration) time.Duration {
	return now + r.jitter(min(r.callSpread, begun+maxReconnectDelay-now))
}

// DialTimeout bounds a dial: one whose first packet was lost is sent again so late that it finds discovery late.
func (r ReconnectSchedule) DialTimeout() time.Duration { return max(r.dialInterval, minDialTimeout) }

func (r ReconnectSchedule) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(d)))
}
