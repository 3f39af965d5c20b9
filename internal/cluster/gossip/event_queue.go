package gossip

import (
	"sync"

	"cottonplank/internal/cluster/membership"
)

// eventQueue is an unbounded queue of events. push never blocks. It is safe for concurrent use.
type eventQueue struct {
	// ready receives a value after an event was pushed. The queue may be empty by the time the value is read.
	ready chan struct{}

	mu     sync.Mutex
	events []membership.Event
}

func newEventQueue() *eventQueue { return &eventQueue{ready: make(chan struct{}, 1)} }

func (q *eventQueue) push(event membership.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// drain removes and returns all events, the oldest first.
func (q *eventQueue) drain() []membership.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
