package core

import (
	"time"

	"github.com/google/btree"
)

// deadline is one entry of the sorted structure that holds every deadline of the process.
type deadline struct {
	at  time.Duration
	seq uint64 // entries of the same moment fall due in the order in which they were set
	do  func()
}

// deadlines holds all deadlines, the earliest first. The module's actor owns it and sweeps it each turn.
type deadlines struct {
	tree *btree.BTreeG[*deadline]
	seq  uint64
}

func newDeadlines() *deadlines {
	return &deadlines{tree: btree.NewG(16, func(a, b *deadline) bool {
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})}
}

// set adds a deadline; do runs in the sweep of the first turn at or after it.
func (d *deadlines) set(at time.Duration, do func()) *deadline {
	d.seq++
	x := &deadline{at: at, seq: d.seq, do: do}
	d.tree.ReplaceOrInsert(x)
	return x
}

// drop takes back a deadline that has not fallen due; nil and spent ones are fine.
func (d *deadlines) drop(x *deadline) {
	if x != nil {
		d.tree.Delete(x)
	}
}

// sweep runs what has fallen due. What a deadline sets for the same moment waits for the next turn, so that
// a deadline that sets itself again cannot keep the actor here.
func (d *deadlines) sweep(now time.Duration) {
	last := d.seq
	for {
		x, ok := d.tree.Min()
		if !ok || x.at > now || x.seq > last {
			return
		}
		d.tree.DeleteMin()
		x.do()
	}
}

// next tells when the earliest deadline falls due.
func (d *deadlines) next() (time.Duration, bool) {
	x, ok := d.tree.Min()
	if !ok {
		return 0, false
	}
	return x.at, true
}
