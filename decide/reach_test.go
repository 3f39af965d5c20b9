package decide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// away is how discovery is down.
type away uint8

const (
	refusing   away = iota // dials fail at once
	cutOff                 // dials fail once their bound is over
	refused503             // dials find it, calls fail at once
	hanging                // dials find it, calls fail after the host's bound of 4 s
)

// back is one balancer's next step.
type back struct {
	at   time.Duration
	step func(now time.Duration)
}

type backs []back

func (b backs) Len() int           { return len(b) }
func (b backs) Less(i, j int) bool { return b[i].at < b[j].at }
func (b backs) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *backs) Push(x any)        { *b = append(*b, x.(back)) }
func (b *backs) Pop() any {
	old := *b
	x := old[len(old)-1]
	*b = old[:len(old)-1]
	return x
}

// outage plays a fleet whose watches all end at 0, in virtual time. Discovery is back after down, then works through so
// many calls a second in turn, and turns away a call that would wait for over a second.
type outage struct {
	down     time.Duration
	how      away
	capacity int
	steps    backs
	dials    map[int]int // by second, counted from discovery's return
	calls    map[int]int
	turned   int
	free     time.Duration // when discovery has done with the calls that wait
	told     []time.Duration
}

func (w *outage) second(now time.Duration) int {
	return int((now-w.down+time.Hour)/time.Second) - 3600
}

func (w *outage) later(at time.Duration, step func(time.Duration)) {
	heap.Push(&w.steps, back{at: at, step: step})
}

func (w *outage) dial(r ReconnectSchedule, failed, now time.Duration) {
	w.dials[w.second(now)]++
	if now >= w.down || w.how == refused503 || w.how == hanging {
		w.later(r.CallAt(failed, now), func(now time.Duration) { w.call(r, now) })
		return
	}
	ended := now
	if w.how == cutOff {
		ended += r.DialTimeout()
	}
	w.later(r.DialAt(now, ended), func(later time.Duration) { w.dial(r, now, later) })
}

func (w *outage) call(r ReconnectSchedule, now time.Duration) {
	w.calls[w.second(now)]++
	ended := now
	switch {
	case now < w.down && w.how == hanging:
		ended += 4 * time.Second
	case now < w.down:
	case max(w.free, now)-now > time.Second:
		w.turned++
	default:
		w.free = max(w.free, now) + time.Second/time.Duration(w.capacity)
		w.told = append(w.told, w.free-w.down)
		return
	}
	w.later(r.DialAt(now, ended), func(later time.Duration) { w.dial(r, now, later) })
}

func play(balancers, capacity int, how away, down time.Duration) *outage {
	w := &outage{down: down, how: how, capacity: capacity, dials: map[int]int{}, calls: map[int]int{}}
	for i := range balancers {
		r := NewReconnectSchedule(uint64(i+1), balancers, 0)
		w.later(r.DialAt(0, 0), func(now time.Duration) { w.dial(r, 0, now) })
	}
	for len(w.told) < balancers && len(w.steps) > 0 {
		next := heap.Pop(&w.steps).(back)
		next.step(next.at)
	}
	return w
}

// most is the busiest second's count, of those from one to before another.
func most(counts map[int]int, from, to int) (n int) {
	for second, count := range counts {
		if second >= from && second < to {
			n = max(n, count)
		}
	}
	return n
}

// A whole fleet's way back is borne by a discovery that works through its calls in turn, and all have its list before a
// change counts as told: 300 by one that takes 100 a second, 2300 by one that takes 600.
func TestFleetFindsDiscoveryAgain(t *testing.T) {
	for _, fleet := range []struct{ balancers, capacity, dials, calls int }{ // the latter three a second, at most
		{300, 100, 360, 160}, {2300, 600, 2700, 1100},
	} {
		for _, how := range []away{refusing, cutOff, refused503, hanging} {
			t.Run(fmt.Sprintf("%d, %d", fleet.balancers, how), func(t *testing.T) {
				for _, down := range []time.Duration{2 * time.Second, 8 * time.Second, 12 * time.Second, 30 * time.Second} {
					w := play(fleet.balancers, fleet.capacity, how, down)
					last, begin := w.told[len(w.told)-1], -int(down/time.Second)
					dials, calls := most(w.dials, begin, 0), most(w.calls, begin, 0)
					first, after := w.calls[0], most(w.calls, 0, 10)
					t.Logf("down %v: %d dials and %d calls a second at most; in the first one after it %d dials and %d calls, "+
						"%d calls in the busiest; %d turned away, last told after %v", down, dials, calls, w.dials[0], first, after,
						w.turned, last)
					if last >= 6*time.Second {
						t.Errorf("down for %v: the last one is told after %v", down, last)
					}
					if dials > fleet.dials || calls > fleet.calls || after > fleet.calls {
						t.Errorf("down for %v: %d dials and %d calls a second, %d after", down, dials, calls, after)
					}
					if (how == refusing || how == cutOff) && calls > 0 {
						t.Errorf("down for %v: %d calls a second to nobody", down, calls)
					}
				}
			})
		}
	}
}

// Where what discovery has counts at its return, nothing is spread.
func TestReachAtOnce(t *testing.T) {
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
