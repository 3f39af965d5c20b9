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

func opens(t *testing.T, r *RoomServer, id int) (net.Conn, string) {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		return nil, ""
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,d=900\r\n", id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return conn, line
}

// A full room server turns clients away, tells its loads, and one that drains sends all away. Guards runs against a stand-in
// that takes whatever comes.
func TestRoom(t *testing.T) {
	r, err := NewRoomServer(RoomServerConfig{Name: "s-1", Capacity: 2, Load: 500})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	first, line := opens(t, r, 1)
	if !strings.HasPrefix(line, "UP s-1-") {
		t.Fatalf("read %q", line)
	}
	opens(t, r, 2)
	if _, line := opens(t, r, 3); line != "BUSY\r\n" || r.Open() != 2 {
		t.Errorf("full: %q, %d open", line, r.Open())
	}
	conn, _ := net.Dial("tcp", r.Address())
	defer conn.Close()
	io.WriteString(conn, "STATS\r\n")
	if line, _ := bufio.NewReader(conn).ReadString('\n'); line != "PONG qps=0,inflight=2,x0=1.000\r\n" {
		t.Errorf("STATS brings %q", line)
	}
	r.Drain()
	if rest, _ := io.ReadAll(first); !strings.HasSuffix(string(rest), "MOVE\r\n") {
		t.Errorf("drained: %q", rest)
	}
	if _, line := opens(t, r, 4); line != "BUSY\r\n" {
		t.Errorf("while it drains: %q", line)
	}
}

// A cold room server that is sent too much falls, and the checker hears of it; a warm one bears the same.
func TestColdStart(t *testing.T) {
	for _, v := range []struct {
		cold  time.Duration
		falls int
	}{{time.Hour, 1}, {time.Nanosecond, 0}} {
		recorder := invariants.NewRecorder(invariants.Figures{})
		r, err := NewRoomServer(RoomServerConfig{Name: "s-1", Setups: 10, ColdShare: 0.3, ColdFor: v.cold, FallMultiple: 4, Recorder: recorder})
		if err != nil {
			t.Fatal(err)
		}
		for id := range 14 { // 0.3 * 10 * 4 is 12 within a second
			opens(t, r, id)
		}
		if v.falls > 0 { // one that comes before the listener is closed, as the 14th may or may not
			(&roomConn{room: r}).open("OPEN 00000000000000ff 7f3a9c21e0b4d655 c=solo-play,d=900")
		}
		r.Stop()
		if broken := recorder.Report().Violations; len(broken) != v.falls {
			t.Errorf("cold for %v: %v", v.cold, broken)
		}
	}
}
