package invariants

import (
	"sync"
	"time"
)

// Recorder is a Checker for concurrent use, whose events happen as they are added.
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

// Add checks an event that happens now; it overwrites Event.At. A nil Recorder ignores the event.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.checker.Add(e)
}

// Report returns what was found up to now.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checker.Report(time.Since(r.start))
}
