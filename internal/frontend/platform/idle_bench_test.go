package platform

import (
	"testing"
	"time"

	"cottonplank/internal/testbench/emulator"
)

// BenchmarkIdleSecond runs a balancer with 90 room servers and 20 established idle connections for one second per
// iteration. The reported ns/op is that second. The cost is visible in a profile, or in the CPU time of the process.
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
