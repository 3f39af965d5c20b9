package platform

import (
	"testing"
	"time"

	"cottonplank/internal/testbench/emulator"
)

// BenchmarkIdleSecond is a second in which a balancer of 90 room servers does nothing but watch over 20 connections
// that stand there and say nothing. ns/op is the second itself; what it costs is in a profile, or in process time.
func BenchmarkIdleSecond(b *testing.B) {
	cfg := emulator.RoomServerConfig{State: 8, Capacity: 1000}
	all := make([]emulator.RoomServerConfig, 90)
	for i := range all {
		all[i] = cfg
	}
	s := newSessionFixture(b, 1, all...)
	s.balancers[0].frontend.sessions = nil
	for range 20 {
		c := establish(b, s.balancers[0].addr, newRequestLine(), false)
		b.Cleanup(func() { c.conn.Close() })
	}
	b.ReportAllocs()
	for b.Loop() {
		time.Sleep(time.Second)
	}
}
