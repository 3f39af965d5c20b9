package invariants

import (
	"sync"
	"time"
)

// Recorder passes events to a Checker and sets the time of each event to the time at which it is added. It is safe
// for concurrent use.
type Recorder struct {
	start   time.Time
	mu      sync.Mutex
	checker *Checker
}

// NewRecorder returns a Recorder whose clock starts now.
func NewRecorder(limits Limits) *Recorder {
	return &Recorder{start: time.Now(), checker: New(limits)}
}

// Now returns the time since the start, as in Event.At. A nil Recorder returns 0.
func (r *Recorder) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add sets Event.At to the current time and checks the event. A nil Recorder ignores it.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.checker.Add(e)
}

// Report returns what was found up to now. It has the same side effect as Checker.Report.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checker.Report(time.Since(r.start))
}
