package gossip

import (
	"math/rand/v2"
	"sync"

	"cottonplank/internal/cluster/membership"
)

// queue holds events for the actor; whoever puts one in never waits.
type queue struct {
	mu     sync.Mutex
	events []membership.Event
	ready  chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

func (q *queue) put(event membership.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) take() []membership.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.events
	q.events = nil
	return all
}

// pick chooses some of the other members in a state by chance.
func pick(members []membership.Member, self string, state membership.State, most int) (chosen []membership.Member) {
	n := 0
	for _, m := range members {
		if m.Name == self || m.State != state {
			continue
		}
		n++
		if len(chosen) < most {
			chosen = append(chosen, m)
		} else if i := rand.IntN(n); i < most { // each of the n so far with the same chance
			chosen[i] = m
		}
	}
	return chosen
}
