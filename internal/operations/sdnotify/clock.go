package sdnotify

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicNow returns the time of CLOCK_MONOTONIC, which the message of Notifier.Reloading has to contain.
func MonotonicNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // can't happen: every platform with such a supervisor has the clock
	}
	return time.Duration(t.Nano())
}
