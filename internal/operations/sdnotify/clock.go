package sdnotify

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicNow is the time of CLOCK_MONOTONIC, by which a supervisor tells reloads apart.
func MonotonicNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // the clock is always there on the platforms that have such supervisors
	}
	return time.Duration(t.Nano())
}
