package core

// Watchdog observes an event loop, to detect one that hangs: each iteration calls Busy at its start and Idle
// at its end.
type Watchdog interface {
	Busy()
	Idle()
}

// RunMonitored runs one iteration of an event loop under watchdog w, which may be nil.
func RunMonitored(w Watchdog, iteration func()) {
	if w != nil {
		w.Busy()
		defer w.Idle()
	}
	iteration()
}
