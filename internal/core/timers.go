package core

import (
	"time"

	"github.com/google/btree"
)

// timerTreeDegree is the degree of timerQueue.tree.
const timerTreeDegree = 16

// timer is one pending callback.
type timer struct {
	// at is the host-clock time at which the timer expires.
	at time.Duration
	// seq orders timers that expire at the same time: the one set first runs first.
	seq uint64
	// run is called once the timer has expired.
	run func()
}

// timerQueue holds all timers of the engine, ordered by expiry. The event loop owns it and calls runExpired
// in each iteration.
type timerQueue struct {
	tree *btree.BTreeG[*timer]
	seq  uint64
}

func newTimerQueue() *timerQueue {
	return &timerQueue{tree: btree.NewG(timerTreeDegree, func(a, b *timer) bool {
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})}
}

// set adds a timer whose callback runs in the first iteration of the event loop at or after the given time.
func (q *timerQueue) set(at time.Duration, run func()) *timer {
	q.seq++
	t := &timer{at: at, seq: q.seq, run: run}
	q.tree.ReplaceOrInsert(t)
	return t
}

// stop cancels a pending timer. It does nothing if t is nil or has expired.
func (q *timerQueue) stop(t *timer) {
	if t != nil {
		q.tree.Delete(t)
	}
}

// runExpired runs the callbacks of the timers that have expired by now, in order. It returns at the first expired
// timer that was set by one of these callbacks, so that callbacks that keep setting expired timers cannot block the
// event loop. That timer and the expired timers after it run in the next call.
func (q *timerQueue) runExpired(now time.Duration) {
	last := q.seq
	for {
		t, ok := q.tree.Min()
		if !ok || t.at > now || t.seq > last {
			return
		}
		q.tree.DeleteMin()
		t.run()
	}
}

// next returns when the earliest timer expires; it reports false if there is none.
func (q *timerQueue) next() (time.Duration, bool) {
	t, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return t.at, true
}
