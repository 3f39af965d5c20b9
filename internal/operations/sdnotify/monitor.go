// Package sdnotify is the daemon's side of a service supervisor: it tells how the process is (the sd_notify protocol,
// sd_notify(3)), takes sockets that the supervisor has opened (sd_listen_fds(3)), and gives the watchdog its sign of life
// only while every actor turns. Without a supervisor it does nothing.
package sdnotify

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Task is one actor's sign of life: it is busy from the moment when something woke it until it waits again. A nil Mark
// takes nothing.
type Task struct {
	name  string
	since atomic.Int64 // Unix nanoseconds since which it is busy; 0: it waits
}

// Busy tells that a turn begins.
func (m *Task) Busy() {
	if m != nil {
		m.since.Store(time.Now().UnixNano())
	}
}

// Idle tells that the turn is over.
func (m *Task) Idle() {
	if m != nil {
		m.since.Store(0)
	}
}

// Monitor are those of a process. A nil Marks makes nil ones.
type Monitor struct {
	mu  sync.Mutex
	all []*Task
}

// AddTask returns the mark of another actor. Names need not differ.
func (m *Monitor) AddTask(name string) *Task {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := &Task{name: name}
	m.all = append(m.all, mark)
	return mark
}

// StuckTasks names the actors whose turn has taken longer than limit at now, in order.
func (m *Monitor) StuckTasks(now time.Time, limit time.Duration) (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mark := range m.all {
		if since := mark.since.Load(); since != 0 && now.UnixNano()-since > int64(limit) {
			names = append(names, mark.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
