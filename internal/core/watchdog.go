package core

// Watchdog observes an event loop to detect an iteration that hangs.
type Watchdog interface {
	// Busy is called at the start of an iteration.
	Busy()
	// Idle is called at the end of an iteration.
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
