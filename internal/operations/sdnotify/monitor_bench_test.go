package sdnotify

import "testing"

// BenchmarkTask measures the time that a Task adds to each iteration of an event loop.
func BenchmarkTask(b *testing.B) {
	task := (&Monitor{}).AddTask("engine")
	for b.Loop() {
		task.Busy()
		task.Idle()
	}
}
