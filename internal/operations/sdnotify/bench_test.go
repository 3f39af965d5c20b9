package sdnotify

import "testing"

// BenchmarkMark is what a turn of an actor costs more with its mark.
func BenchmarkMark(b *testing.B) {
	m := (&Monitor{}).AddTask("module")
	for b.Loop() {
		m.Busy()
		m.Idle()
	}
}
