package invariants

import (
	"sync"
	"time"
)

// Recorder lets the parties of a run on sockets add events at once; it gives each its time.
type Recorder struct {
	start   time.Time
	mu      sync.Mutex
	checker *Checker
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder(f Figures) *Recorder { return &Recorder{start: time.Now(), checker: New(f)} }

// Now is the time since the start, as in Event.
func (r *Recorder) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add adds an event that happens now. A nil recorder takes nothing.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.checker.Add(e)
}

// Report tells what was found up to now.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checker.Report(time.Since(r.start))
}
