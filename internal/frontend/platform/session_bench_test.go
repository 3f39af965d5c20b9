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

// establish sends a request and waits for the acceptance.
func establish(b *testing.B, addr, line string) *testClient {
	b.Helper()
	c := dialClient(b, addr)
	io.WriteString(c.conn, line)
	if answer, err := c.r.ReadString('\n'); !strings.HasPrefix(answer, "UP ") {
		b.Fatalf("read %q, %v", answer, err)
	}
	return c
}

// establishSession sends a request with a token, or with "new" instead of one, and waits for the acceptance and the
// next token.
func establishSession(b *testing.B, addr, token string) (c *testClient, nextToken string) {
	b.Helper()
	c = establish(b, addr, requestLineWithToken(token))
	line, err := c.r.ReadString('\n')
	if !strings.HasPrefix(line, "TOKEN ") {
		b.Fatalf("read %q, %v", line, err)
	}
	return c, strings.TrimSpace(strings.TrimPrefix(line, "TOKEN "))
}

// BenchmarkEstablish measures the establishment and the close of a connection through one balancer. The variants are:
// sessions disabled ("off"); sessions enabled, but not requested ("on"); a new session with a token ("token"); a
// session that migrates ("move").
func BenchmarkEstablish(b *testing.B) {
	for _, variant := range []struct {
		name     string
		disabled bool
		run      func(b *testing.B, s *sessionFixture, i int)
	}{
		{"off", true, establishOnce},
		{"on", false, establishOnce},
		{"token", false, establishNewSession},
		{"move", false, migrateSession},
	} {
		b.Run(variant.name, func(b *testing.B) {
			// The capacity is large enough that reservations at a room server never delay a request.
			config := emulator.RoomServerConfig{ResumesSessions: true, StateBytes: 2048, Capacity: 1000}
			s := newSessionFixture(b, 1, config, config)
			warmUp(b, s)
			if variant.disabled {
				s.balancers[0].frontend.sessions = nil
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				variant.run(b, s, i)
			}
		})
	}
}

func establishOnce(b *testing.B, s *sessionFixture, _ int) {
	establish(b, s.balancers[0].addr, newRequestLine()).conn.Close()
}

func establishNewSession(b *testing.B, s *sessionFixture, _ int) {
	c, _ := establishSession(b, s.balancers[0].addr, "new")
	c.conn.Close()
}

// migrateSession measures the establishment of a session that migrates. The start of the session is not measured.
func migrateSession(b *testing.B, s *sessionFixture, i int) {
	b.StopTimer()
	s.setOnlyReady(i % 2)
	c, token := establishSession(b, s.balancers[0].addr, "new")
	c.conn.Close()
	s.setOnlyReady(1 - i%2)
	b.StartTimer()
	c, _ = establishSession(b, s.balancers[0].addr, token)
	c.conn.Close()
}

// warmUp establishes some connections at each room server, from which the balancer estimates the load of a connection.
// Without the estimate it would delay later requests.
func warmUp(b *testing.B, s *sessionFixture) {
	for server := range s.servers {
		s.setOnlyReady(server)
		for range 20 {
			group := fmt.Sprintf("g=%d", lastRequestID.Load())
			c := establish(b, s.balancers[0].addr, strings.Replace(newRequestLine(), "g=5c0f6e1a", group, 1))
			b.Cleanup(func() { c.conn.Close() })
			time.Sleep(40 * time.Millisecond)
		}
	}
	for server := range s.servers {
		s.setState(server, decide.Ready)
	}
	time.Sleep(3 * time.Second)
}

// BenchmarkSessionMemory measures the memory of an established connection (state=0), and of a connection whose
// session's state is in flight.
func BenchmarkSessionMemory(b *testing.B) {
	for _, state := range []int{0, 2048, 65536} {
		b.Run(fmt.Sprintf("state=%d", state), func(b *testing.B) {
			const sessions = 100
			s := newSessionFixture(b, 0,
				emulator.RoomServerConfig{ResumesSessions: true, StateBytes: max(state, 8), Capacity: 1000},
				emulator.RoomServerConfig{ResumesSessions: true, Capacity: 1000})
			s.limits.MaxState, s.limits.MaxBytes, s.limits.MaxMigrations = 65536, 64<<20, sessions
			s.balancers = append(s.balancers, s.startBalancer())
			addr := s.balancers[0].addr
			warmUp(b, s)
			for b.Loop() {
				var tokens []string
				s.setOnlyReady(0)
				for range sessions {
					c, token := establishSession(b, addr, "new")
					tokens = append(tokens, token)
					c.conn.Close()
				}
				before := heapBytes()
				if state > 0 {
					s.setState(1, decide.Ready)
					s.setOnlyReady(1)
					s.servers[0].InjectFaults(emulator.Faults{StallCommit: true})
				}
				var clients []*testClient
				for _, token := range tokens {
					c := dialClient(b, addr)
					if state > 0 {
						io.WriteString(c.conn, requestLineWithToken(token))
					} else {
						io.WriteString(c.conn, newRequestLine())
					}
					clients = append(clients, c)
				}
				time.Sleep(300 * time.Millisecond)
				b.ReportMetric(float64(heapBytes()-before)/sessions, "B/session")
				held, _ := s.servers[1].Sessions()
				b.ReportMetric(float64(held), "held")
				for _, c := range clients {
					c.conn.Close()
				}
				s.servers[0].InjectFaults(emulator.Faults{})
			}
		})
	}
}

// heapBytes returns the memory in use for the heap and the stacks, after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
