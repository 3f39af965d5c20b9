package core

import (
	"time"

	"github.com/google/btree"
)

// timer is one entry of the sorted structure that holds every deadline of the process.
type timer struct {
	at  time.Duration
	seq uint64 // entries of the same moment fall due in the order in which they were set
	run func()
}

// timerQueue holds all deadlines, the earliest first. The module's actor owns it and sweeps it each turn.
type timerQueue struct {
	tree *btree.BTreeG[*timer]
	seq  uint64
}

func newTimerQueue() *timerQueue {
	return &timerQueue{tree: btree.NewG(16, func(a, b *timer) bool {
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})}
}

// set adds a deadline; do runs in the sweep of the first turn at or after it.
func (d *timerQueue) set(at time.Duration, do func()) *timer {
	d.seq++
	x := &timer{at: at, seq: d.seq, run: do}
	d.tree.ReplaceOrInsert(x)
	return x
}

// stop takes back a deadline that has not fallen due; nil and spent ones are fine.
func (d *timerQueue) stop(x *timer) {
	if x != nil {
		d.tree.Delete(x)
	}
}

// runExpired runs what has fallen due. What a deadline sets for the same moment waits for the next turn, so that
// a deadline that sets itself again cannot keep the actor here.
func (d *timerQueue) runExpired(now time.Duration) {
	last := d.seq
	for {
		x, ok := d.tree.Min()
		if !ok || x.at > now || x.seq > last {
			return
		}
		d.tree.DeleteMin()
		x.run()
	}
}

// next tells when the earliest deadline falls due.
func (d *timerQueue) next() (time.Duration, bool) {
	x, ok := d.tree.Min()
	if !ok {
		return 0, false
	}
	return x.at, true
}
