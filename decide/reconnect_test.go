package decide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// responseTimeout is the timeout of the simulated host for a call.
const responseTimeout = 4 * time.Second

// outageKind says how discovery fails.
type outageKind uint8

const (
	connectionsRefused  outageKind = iota // dials fail at once
	unreachable                           // dials fail after their timeout
	respondsUnavailable                   // dials succeed, calls fail at once
	responseHangs                         // dials succeed, calls fail after responseTimeout
)

// scheduledStep is the next dial or call of one balancer.
type scheduledStep struct {
	at   time.Duration
	step func(now time.Duration)
}

type stepHeap []scheduledStep

func (h stepHeap) Len() int           { return len(h) }
func (h stepHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h stepHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)        { *h = append(*h, x.(scheduledStep)) }
func (h *stepHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// outageSimulation simulates, in virtual time, a fleet whose watches are all interrupted at time 0. Discovery fails
// for the time downFor. Then it handles calls sequentially, capacity per second, and rejects a call that would wait
// longer than a second.
type outageSimulation struct {
	downFor        time.Duration
	kind           outageKind
	capacity       int // calls per second
	steps          stepHeap
	dialsPerSecond map[int]int     // number of dials by second, counted from the end of the outage
	callsPerSecond map[int]int     // number of calls by second, counted from the end of the outage
	rejected       int             // number of calls rejected after the outage
	busyUntil      time.Duration   // when discovery will have answered the calls accepted so far
	updatedAt      []time.Duration // when balancers received the list, counted from the end of the outage
}

func (o *outageSimulation) secondOf(now time.Duration) int {
	return int((now-o.downFor+time.Hour)/time.Second) - 3600
}

func (o *outageSimulation) schedule(at time.Duration, step func(time.Duration)) {
	heap.Push(&o.steps, scheduledStep{at: at, step: step})
}

func (o *outageSimulation) dial(r ReconnectSchedule, failed, now time.Duration) {
	o.dialsPerSecond[o.secondOf(now)]++
	if now >= o.downFor || o.kind == respondsUnavailable || o.kind == responseHangs {
		o.schedule(r.CallAt(failed, now), func(now time.Duration) { o.call(r, now) })
		return
	}
	ended := now
	if o.kind == unreachable {
		ended += r.DialTimeout()
	}
	o.schedule(r.DialAt(now, ended), func(later time.Duration) { o.dial(r, now, later) })
}

func (o *outageSimulation) call(r ReconnectSchedule, now time.Duration) {
	o.callsPerSecond[o.secondOf(now)]++
	ended := now
	switch {
	case now < o.downFor && o.kind == responseHangs:
		ended += responseTimeout
	case now < o.downFor:
	case max(o.busyUntil, now)-now > time.Second:
		o.rejected++
	default:
		o.busyUntil = max(o.busyUntil, now) + time.Second/time.Duration(o.capacity)
		o.updatedAt = append(o.updatedAt, o.busyUntil-o.downFor)
		return
	}
	o.schedule(r.DialAt(now, ended), func(later time.Duration) { o.dial(r, now, later) })
}

func simulateOutage(balancers, capacity int, how outageKind, down time.Duration) *outageSimulation {
	o := &outageSimulation{downFor: down, kind: how, capacity: capacity, dialsPerSecond: map[int]int{},
		callsPerSecond: map[int]int{}}
	for i := range balancers {
		r := NewReconnectSchedule(uint64(i+1), balancers, 0)
		o.schedule(r.DialAt(0, 0), func(now time.Duration) { o.dial(r, 0, now) })
	}
	for len(o.updatedAt) < balancers && len(o.steps) > 0 {
		next := heap.Pop(&o.steps).(scheduledStep)
		next.step(next.at)
	}
	return o
}

// maxPerSecond returns the largest count of any second that is at least from and less than to.
func maxPerSecond(counts map[int]int, from, to int) (n int) {
	for second, count := range counts {
		if second >= from && second < to {
			n = max(n, count)
		}
	}
	return n
}

// After an outage, the reconnects of a whole fleet do not overload a discovery service that handles calls
// sequentially, and all balancers receive the list within 6 s, before they count as notified of a change. Discovery
// handles 100 calls per second for 300 balancers, and 600 for 2300.
func TestFleetReconnectsToDiscovery(t *testing.T) {
	for _, fleet := range []struct{ balancers, capacity, dials, calls int }{ // dials, calls: limits per second
		{300, 100, 360, 160}, {2300, 600, 2700, 1100},
	} {
		for _, how := range []outageKind{connectionsRefused, unreachable, respondsUnavailable, responseHangs} {
			t.Run(fmt.Sprintf("%d balancers, outage kind %d", fleet.balancers, how), func(t *testing.T) {
				for _, down := range []time.Duration{2 * time.Second, 8 * time.Second, 12 * time.Second,
					30 * time.Second} {
					o := simulateOutage(fleet.balancers, fleet.capacity, how, down)
					last, begin := o.updatedAt[len(o.updatedAt)-1], -int(down/time.Second)
					dials, calls := maxPerSecond(o.dialsPerSecond, begin, 0), maxPerSecond(o.callsPerSecond, begin, 0)
					first, after := o.callsPerSecond[0], maxPerSecond(o.callsPerSecond, 0, 10)
					t.Logf("outage of %v: at most %d dials and %d calls per second; after it %d dials and %d calls in "+
						"the first second, at most %d calls per second, %d calls rejected, last update after %v",
						down, dials, calls, o.dialsPerSecond[0], first, after, o.rejected, last)
					if last >= 6*time.Second {
						t.Errorf("outage of %v: the last balancer was updated %v later, want below 6s", down, last)
					}
					if dials > fleet.dials || calls > fleet.calls || after > fleet.calls {
						t.Errorf("outage of %v: %d dials and %d calls per second during it, %d calls after it", down,
							dials, calls, after)
					}
					if (how == connectionsRefused || how == unreachable) && calls > 0 {
						t.Errorf("outage of %v: %d calls per second while discovery cannot be reached", down, calls)
					}
				}
			})
		}
	}
}

// With a fixed interval neither dials nor calls are spread.
func TestReconnectWithoutSpread(t *testing.T) {
	r := NewReconnectSchedule(1, 2300, 100*time.Millisecond)
	if at := r.DialAt(time.Second, time.Second); at != 1100*time.Millisecond {
		t.Errorf("dial at %v, want 1.1s", at)
	}
	if at := r.DialAt(time.Second, 3*time.Second); at != 3*time.Second {
		t.Errorf("dial at %v after a call that hung, want 3s", at)
	}
	if at := r.CallAt(time.Second, 2*time.Second); at != 2*time.Second {
		t.Errorf("call at %v, want 2s", at)
	}
}
