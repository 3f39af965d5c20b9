package platform

import (
	"testing"
	"time"

	"cottonplank/internal/testbench/emulator"
)

// BenchmarkIdleSecond is a second in which a balancer with 90 room servers and 20 established idle connections has
// nothing to do. ns/op is the second itself; the cost shows in a profile, or in the process's CPU time.
func BenchmarkIdleSecond(b *testing.B) {
	config := emulator.RoomServerConfig{StateBytes: 8, Capacity: 1000}
	servers := make([]emulator.RoomServerConfig, 90)
	for i := range servers {
		servers[i] = config
	}
	s := newSessionFixture(b, 1, servers...)
	s.balancers[0].frontend.sessions = nil
	for range 20 {
		c := establish(b, s.balancers[0].addr, newRequestLine())
		b.Cleanup(func() { c.conn.Close() })
	}
	b.ReportAllocs()
	for b.Loop() {
		time.Sleep(time.Second)
	}
}
