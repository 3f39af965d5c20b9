package sdnotify

import "testing"

// BenchmarkTask measures what a Task adds to an iteration of an event loop.
func BenchmarkTask(b *testing.B) {
	task := (&Monitor{}).AddTask("engine")
	for b.Loop() {
		task.Busy()
		task.Idle()
	}
}
