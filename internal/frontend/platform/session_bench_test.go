package platform

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/testbench/emulator"
)

// establish makes one request and waits for its answer and, where it asked for one, its token.
func establish(b *testing.B, addr, first string, tokens bool) *testClient {
	c := dialClient(b, addr)
	io.WriteString(c.conn, first)
	if line, err := c.r.ReadString('\n'); !strings.HasPrefix(line, "UP ") {
		b.Fatalf("read %q, %v", line, err)
	}
	if tokens {
		if line, err := c.r.ReadString('\n'); !strings.HasPrefix(line, "TOKEN ") {
			b.Fatalf("read %q, %v", line, err)
		}
	}
	return c
}

// BenchmarkEstablish is a connection's set-up and end through one balancer: with the extension off; on, for a client that does
// not ask; on, for one that gets a token; and with a token whose session moves from one room server to another.
func BenchmarkEstablish(b *testing.B) {
	for _, v := range []struct {
		name   string
		off    bool
		tokens bool
		moves  bool
	}{{"off", true, false, false}, {"on", false, false, false}, {"token", false, true, false}, {"move", false, true, true}} {
		b.Run(v.name, func(b *testing.B) {
			cfg := emulator.RoomServerConfig{Keeps: true, State: 2048, Capacity: 1000} // so much that the load of what is booked holds none back
			s := newSessionFixture(b, 1, cfg, cfg)
			at := s.balancers[0]
			warmUp(b, s)
			if v.off {
				at.frontend.sessions = nil
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				first := newRequestLine()
				if v.tokens {
					first = requestLineWithToken("new")
				}
				if !v.moves {
					establish(b, at.addr, first, v.tokens).conn.Close()
					continue
				}
				b.StopTimer()
				s.setOnlyReady(i % 2)
				c := dialClient(b, at.addr)
				io.WriteString(c.conn, first)
				c.r.ReadString('\n')
				line, _ := c.r.ReadString('\n')
				c.conn.Close()
				s.setOnlyReady(1 - i%2)
				b.StartTimer()
				establish(b, at.addr, requestLineWithToken(strings.TrimSpace(strings.TrimPrefix(line, "TOKEN "))), true).conn.Close()
			}
		})
	}
}

// warmUp has some connections stand at each room server, so that the balancer knows what one loads it with and holds none
// back meanwhile.
func warmUp(b *testing.B, s *sessionFixture) {
	for room := range s.servers {
		s.setOnlyReady(room)
		for range 20 {
			c := establish(b, s.balancers[0].addr, strings.Replace(newRequestLine(), "g=5c0f6e1a", fmt.Sprintf("g=%d", lastRequestID.Load()), 1), false)
			b.Cleanup(func() { c.conn.Close() })
			time.Sleep(40 * time.Millisecond)
		}
	}
	for room := range s.servers {
		s.setState(room, decide.Ready)
	}
	time.Sleep(3 * time.Second)
}

// BenchmarkSessionMemory is the memory of one channel that stands, and of one whose session's state is on its way.
func BenchmarkSessionMemory(b *testing.B) {
	for _, state := range []int{0, 2048, 65536} {
		b.Run(fmt.Sprintf("state=%d", state), func(b *testing.B) {
			const sessions = 100
			s := newSessionFixture(b, 0, emulator.RoomServerConfig{Keeps: true, State: max(state, 8), Capacity: 1000},
				emulator.RoomServerConfig{Keeps: true, Capacity: 1000})
			s.limits.MaxState, s.limits.MaxBytes, s.limits.MaxMigrations = 65536, 64<<20, sessions
			s.balancers = append(s.balancers, s.startBalancer())
			at := s.balancers[0]
			warmUp(b, s)
			for b.Loop() {
				var tokens []string
				s.setOnlyReady(0)
				for range sessions {
					c := establish(b, at.addr, requestLineWithToken("new"), false)
					line, _ := c.r.ReadString('\n')
					tokens = append(tokens, strings.TrimSpace(strings.TrimPrefix(line, "TOKEN ")))
					c.conn.Close()
				}
				before := heapBytes()
				if state > 0 {
					s.setState(1, decide.Ready)
					s.setOnlyReady(1)
					s.servers[0].Misbehave(emulator.Faults{StallCommit: true})
				}
				var all []*testClient
				for _, tok := range tokens {
					c := dialClient(b, at.addr)
					if state > 0 {
						io.WriteString(c.conn, requestLineWithToken(tok))
					} else {
						io.WriteString(c.conn, newRequestLine())
					}
					all = append(all, c)
				}
				time.Sleep(300 * time.Millisecond)
				b.ReportMetric(float64(heapBytes()-before)/sessions, "B/session")
				held, _ := s.servers[1].Sessions()
				b.ReportMetric(float64(held), "held")
				for _, c := range all {
					c.conn.Close()
				}
				s.servers[0].Misbehave(emulator.Faults{})
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
