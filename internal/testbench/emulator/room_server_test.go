package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/testbench/invariants"
)

// openRequest sends a request to a room server. It returns the connection, nil if it is refused, and the first line
// of the answer, empty if there is none.
func openRequest(t *testing.T, server *RoomServer, id int) (net.Conn, string) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		return nil, ""
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=900\r\n", id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return conn, line
}

// A saturated room server rejects requests and reports its load. A draining one tells its clients to move and rejects
// new requests.
func TestRoomServer(t *testing.T) {
	server, err := NewRoomServer(RoomServerConfig{Name: "s-1", Capacity: 2, LoadMicros: 500})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	first, line := openRequest(t, server, 1)
	if !strings.HasPrefix(line, "UP s-1-") {
		t.Fatalf("read %q, want UP", line)
	}
	openRequest(t, server, 2)
	if _, line := openRequest(t, server, 3); line != "BUSY\r\n" || server.Established() != 2 {
		t.Errorf("saturated server: answer %q and %d connections, want BUSY and 2", line, server.Established())
	}
	conn, _ := net.Dial("tcp", server.Address())
	defer conn.Close()
	io.WriteString(conn, "STATS\r\n")
	if line, _ := bufio.NewReader(conn).ReadString('\n'); line != "PONG qps=0,inflight=2,x0=1.000\r\n" {
		t.Errorf("load report %q, want 2 connections and a utilization of 1", line)
	}
	server.Drain()
	if rest, _ := io.ReadAll(first); !strings.HasSuffix(string(rest), "MOVE\r\n") {
		t.Errorf("a client of a draining server reads %q, want MOVE at the end", rest)
	}
	if _, line := openRequest(t, server, 4); line != "BUSY\r\n" {
		t.Errorf("a draining server answers %q, want BUSY", line)
	}
}

// A room server that is overloaded while it warms up collapses, and the Recorder reports one collapse. A warm room
// server does not collapse at the same load.
func TestWarmup(t *testing.T) {
	for name, v := range map[string]struct {
		warmup    time.Duration
		collapses int
	}{
		"warming up": {time.Hour, 1},
		"warm":       {time.Nanosecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := invariants.NewRecorder(invariants.Limits{})
			server, err := NewRoomServer(RoomServerConfig{
				Name:           "s-1",
				SetupRate:      10,
				WarmupFraction: 0.3,
				WarmupTime:     v.warmup,
				CollapseFactor: 4,
				Recorder:       recorder,
			})
			if err != nil {
				t.Fatal(err)
			}
			for id := range 14 { // the limit is 0.3 * 10 * 4 = 12 requests within a second
				openRequest(t, server, id)
			}
			if v.collapses > 0 {
				// A request after the collapse must not record a second one. The 14th request above is such a request only
				// if it arrives before the listener is closed.
				(&roomConn{server: server}).open("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=solo-play,d=900")
			}
			server.Stop()
			report := recorder.Report()
			if len(report.Violations) != v.collapses || report.Collapses != v.collapses {
				t.Errorf("%d collapses, want %d: %v", report.Collapses, v.collapses, report.Violations)
			}
		})
	}
}
