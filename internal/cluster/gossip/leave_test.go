package gossip

import (
	"net/netip"
	"sync"
	"testing"
	"time"
)

// The library writes to its nodes under its lock, for example on each alive message about a member. The leave broadcast
// runs at the same time and must not read these nodes without the lock. The race detector reports it if it does.
func TestLeaveBroadcastDuringUpdates(t *testing.T) {
	t.Parallel()
	seed := freeAddress(t)
	s, err := newSession(New(testConfig("m0", seed, newRing(t, newKey(t)), nil, []netip.AddrPort{seed})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	// The session sends its leave message to itself, too, and would refute it by another update. Two updates at the same
	// time are a data race in the library (see session.announce). The session ignores an incarnation so far in the future.
	metadata := *s.metadata.Load()
	metadata.Incarnation = uint64(time.Now().Add(time.Hour).UnixMilli())
	s.metadata.Store(&metadata)

	announced := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for {
			select {
			case <-announced:
				return
			default:
				s.list.UpdateNode(updateTimeout)
			}
		}
	})
	for range 500 {
		s.delegate.announceLeave()
	}
	close(announced)
	updates.Wait()
}
