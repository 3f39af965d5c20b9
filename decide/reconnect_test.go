package decide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// outageKind is how discovery fails.
type outageKind uint8

const (
	connectionsRefused  outageKind = iota // dials fail at once
	unreachable                           // dials fail once their bound is over
	respondsUnavailable                   // dials find it, calls fail at once
	responseHangs                         // dials find it, calls fail after the host's bound of 4 s
)

// scheduledStep is one balancer's next step.
type scheduledStep struct {
	at   time.Duration
	step func(now time.Duration)
}

type stepHeap []scheduledStep

func (b stepHeap) Len() int           { return len(b) }
func (b stepHeap) Less(i, j int) bool { return b[i].at < b[j].at }
func (b stepHeap) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *stepHeap) Push(x any)        { *b = append(*b, x.(scheduledStep)) }
func (b *stepHeap) Pop() any {
	old := *b
	x := old[len(old)-1]
	*b = old[:len(old)-1]
	return x
}

// outageSimulation plays a fleet whose watches all break at time 0, in virtual time. Discovery is back after downFor;
// then it handles capacity calls per second in turn, and rejects a call that would wait for over a second.
type outageSimulation struct {
	downFor        time.Duration
	kind           outageKind
	capacity       int
	steps          stepHeap
	dialsPerSecond map[int]int // by second, counted from discovery's return
	callsPerSecond map[int]int
	rejected       int
	busyUntil      time.Duration // when discovery has done with the calls that wait
	updatedAt      []time.Duration
}

func (w *outageSimulation) secondOf(now time.Duration) int {
	return int((now-w.downFor+time.Hour)/time.Second) - 3600
}

func (w *outageSimulation) schedule(at time.Duration, step func(time.Duration)) {
	heap.Push(&w.steps, scheduledStep{at: at, step: step})
}

func (w *outageSimulation) dial(r ReconnectSchedule, failed, now time.Duration) {
	w.dialsPerSecond[w.secondOf(now)]++
	if now >= w.downFor || w.kind == respondsUnavailable || w.kind == responseHangs {
		w.schedule(r.CallAt(failed, now), func(now time.Duration) { w.call(r, now) })
		return
	}
	ended := now
	if w.kind == unreachable {
		ended += r.DialTimeout()
	}
	w.schedule(r.DialAt(now, ended), func(later time.Duration) { w.dial(r, now, later) })
}

func (w *outageSimulation) call(r ReconnectSchedule, now time.Duration) {
	w.callsPerSecond[w.secondOf(now)]++
	ended := now
	switch {
	case now < w.downFor && w.kind == responseHangs:
		ended += 4 * time.Second
	case now < w.downFor:
	case max(w.busyUntil, now)-now > time.Second:
		w.rejected++
	default:
		w.busyUntil = max(w.busyUntil, now) + time.Second/time.Duration(w.capacity)
		w.updatedAt = append(w.updatedAt, w.busyUntil-w.downFor)
		return
	}
	w.schedule(r.DialAt(now, ended), func(later time.Duration) { w.dial(r, now, later) })
}

func simulateOutage(balancers, capacity int, how outageKind, down time.Duration) *outageSimulation {
	w := &outageSimulation{downFor: down, kind: how, capacity: capacity, dialsPerSecond: map[int]int{}, callsPerSecond: map[int]int{}}
	for i := range balancers {
		r := NewReconnectSchedule(uint64(i+1), balancers, 0)
		w.schedule(r.DialAt(0, 0), func(now time.Duration) { w.dial(r, 0, now) })
	}
	for len(w.updatedAt) < balancers && len(w.steps) > 0 {
		next := heap.Pop(&w.steps).(scheduledStep)
		next.step(next.at)
	}
	return w
}

// maxPerSecond returns the count of the busiest second, from one second to before another.
func maxPerSecond(counts map[int]int, from, to int) (n int) {
	for second, count := range counts {
		if second >= from && second < to {
			n = max(n, count)
		}
	}
	return n
}

// The reconnects of a whole fleet do not overload a discovery service that handles calls in turn, and all balancers
// have its list before a change counts as notified: 300 balancers with 100 calls per second, 2300 with 600.
func TestFleetReconnectsToDiscovery(t *testing.T) {
	for _, fleet := range []struct{ balancers, capacity, dials, calls int }{ // the latter three a second, at most
		{300, 100, 360, 160}, {2300, 600, 2700, 1100},
	} {
		for _, how := range []outageKind{connectionsRefused, unreachable, respondsUnavailable, responseHangs} {
			t.Run(fmt.Sprintf("%d, %d", fleet.balancers, how), func(t *testing.T) {
				for _, down := range []time.Duration{2 * time.Second, 8 * time.Second, 12 * time.Second, 30 * time.Second} {
					w := simulateOutage(fleet.balancers, fleet.capacity, how, down)
					last, begin := w.updatedAt[len(w.updatedAt)-1], -int(down/time.Second)
					dials, calls := maxPerSecond(w.dialsPerSecond, begin, 0), maxPerSecond(w.callsPerSecond, begin, 0)
					first, after := w.callsPerSecond[0], maxPerSecond(w.callsPerSecond, 0, 10)
					t.Logf("down %v: %d dials and %d calls a second at most; in the first one after it %d dials and %d calls, "+
						"%d calls in the busiest; %d rejected, last told after %v", down, dials, calls, w.dialsPerSecond[0], first, after,
						w.rejected, last)
					if last >= 6*time.Second {
						t.Errorf("down for %v: the last one is told after %v", down, last)
					}
					if dials > fleet.dials || calls > fleet.calls || after > fleet.calls {
						t.Errorf("down for %v: %d dials and %d calls a second, %d after", down, dials, calls, after)
					}
					if (how == connectionsRefused || how == unreachable) && calls > 0 {
						t.Errorf("down for %v: %d calls a second to nobody", down, calls)
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
		t.Errorf("dials at %v", at)
	}
	if at := r.DialAt(time.Second, 3*time.Second); at != 3*time.Second {
		t.Errorf("after a call that hung it dials at %v", at)
	}
	if at := r.CallAt(time.Second, 2*time.Second); at != 2*time.Second {
		t.Errorf("calls at %v", at)
	}
}
