// Package sdnotify connects the daemon to a service supervisor such as systemd. It reports the state of the process
// (the protocol of sd_notify(3)), receives the sockets that the supervisor has opened (sd_listen_fds(3)), and sends
// watchdog heartbeats while no task of the process is stuck. Without a supervisor it sends and receives nothing.
package sdnotify

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// notBusy is the value of Task.busySince while the task is idle.
const notBusy = 0

// Task is an event loop that a Monitor watches. It is busy while it handles an event, and idle while it waits for the
// next one. The methods of a nil Task do nothing. A Task is safe for concurrent use.
type Task struct {
	name string
	// busySince is the time at which the task began to handle an event, in Unix nanoseconds, or notBusy.
	busySince atomic.Int64
}

// Busy marks the beginning of an iteration of the event loop.
func (t *Task) Busy() {
	if t != nil {
		t.busySince.Store(time.Now().UnixNano())
	}
}

// Idle marks the end of an iteration of the event loop.
func (t *Task) Idle() {
	if t != nil {
		t.busySince.Store(notBusy)
	}
}

// Monitor detects which tasks of a process are stuck. It is safe for concurrent use.
type Monitor struct {
	mu    sync.Mutex
	tasks []*Task
}

// AddTask returns a new task. Several tasks may have the same name. A nil Monitor returns a nil Task.
func (m *Monitor) AddTask(name string) *Task {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	task := &Task{name: name}
	m.tasks = append(m.tasks, task)
	return task
}

// StuckTasks returns the names of the tasks that, at the time now, have been busy for longer than limit. The names are
// sorted and without duplicates.
func (m *Monitor) StuckTasks(now time.Time, limit time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, task := range m.tasks {
		busySince := task.busySince.Load()
		if busySince != notBusy && now.UnixNano()-busySince > int64(limit) {
			names = append(names, task.name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
