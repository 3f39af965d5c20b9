package core

import (
	"slices"
	"testing"
	"time"
)

// Timers run in the order of their times, and timers with the same time in the order in which they were set. A stopped
// timer does not run. An expired timer that a callback sets runs in the next call of runExpired, so that such callbacks
// cannot block the event loop.
func TestTimersExpireInOrder(t *testing.T) {
	queue := newTimerQueue()
	var got []string
	add := func(at time.Duration, name string) *timer {
		return queue.set(at, func() { got = append(got, name) })
	}
	add(3, "c")
	add(1, "a")
	stopped := add(2, "stopped")
	add(1, "b")
	queue.set(2, func() { add(2, "next run") })
	queue.stop(stopped)
	queue.stop(nil)
	queue.runExpired(2)
	if !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("the first call of runExpired ran %q, want a and b", got)
	}
	queue.runExpired(2)
	queue.runExpired(3)
	if !slices.Equal(got, []string{"a", "b", "next run", "c"}) {
		t.Errorf("all calls of runExpired ran %q, want a, b, next run, c", got)
	}
	if _, ok := queue.next(); ok {
		t.Error("the queue has a timer left after all have run")
	}
}
