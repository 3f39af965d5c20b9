package sdnotify

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// newSupervisor emulates a service supervisor. It returns the socket that receives the messages of sd_notify(3).
func newSupervisor(t *testing.T) *net.UnixConn {
	t.Helper()
	path := filepath.Join(t.TempDir(), "notify")
	conn, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	t.Setenv("NOTIFY_SOCKET", path)
	return conn
}

// readMessage reads one message. It returns an empty string if no message arrives within the given time.
func readMessage(t *testing.T, conn *net.UnixConn, within time.Duration) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return ""
	}
	return string(buf[:n])
}

// newLog returns a logger and the buffer that it writes to.
func newLog() (*logrus.Logger, *strings.Builder) {
	log := logrus.New()
	out := &strings.Builder{}
	log.SetOutput(out)
	return log, out
}

// startNotifier runs a notifier until the returned function or the end of the test stops it. It also returns the log
// output.
func startNotifier(t *testing.T, monitor *Monitor) (*Notifier, context.CancelFunc, *strings.Builder) {
	t.Helper()
	log, out := newLog()
	n, err := NewNotifier(monitor, func() string { return "two\nlines" }, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx)
	t.Cleanup(func() { cancel(); n.Wait(5 * time.Second) })
	return n, func() { cancel(); n.Wait(5 * time.Second) }, out
}

// The messages have the form that sd_notify(3) specifies and are sent in order. Messages still in the queue when Run is
// stopped are sent too.
func TestMessages(t *testing.T) {
	conn := newSupervisor(t)
	n, stop, _ := startNotifier(t, &Monitor{})
	n.Ready()
	n.Reloading(1234567 * time.Microsecond)
	n.Ready()
	n.SetMainPID(42)
	n.Stopping(2 * time.Second)
	stop()
	for _, want := range []string{
		"READY=1\nSTATUS=two lines",
		"RELOADING=1\nMONOTONIC_USEC=1234567",
		"READY=1\nSTATUS=two lines",
		"MAINPID=42",
		"STOPPING=1\nEXTEND_TIMEOUT_USEC=2000000",
	} {
		if got := readMessage(t, conn, 5*time.Second); got != want {
			t.Errorf("sent %q, want %q", got, want)
		}
	}
	if a, b := MonotonicNow(), MonotonicNow(); a <= 0 || b < a {
		t.Errorf("the monotonic clock returned %v, then %v", a, b)
	}
}

// Heartbeats are sent while no task is stuck. While a task is stuck, the status names it and no heartbeat is sent, so
// that the supervisor restarts a process that hangs. Once the task is idle, heartbeats are sent again.
func TestWatchdog(t *testing.T) {
	conn := newSupervisor(t)
	t.Setenv("WATCHDOG_USEC", "200000")
	monitor := &Monitor{}
	list, engine := monitor.AddTask("list"), monitor.AddTask("engine")
	_, stop, out := startNotifier(t, monitor)
	if got := readMessage(t, conn, 5*time.Second); got != "WATCHDOG=1" {
		t.Fatalf("sent %q, want a heartbeat", got)
	}
	list.Busy()
	list.Idle()
	engine.Busy() // stays busy until it counts as stuck
	for end := time.Now().Add(5 * time.Second); ; {
		got := readMessage(t, conn, 5*time.Second)
		if got == "STATUS=stuck: engine" {
			break
		}
		if got != "WATCHDOG=1" || time.Now().After(end) {
			t.Fatalf("sent %q, want a heartbeat or the stuck task", got)
		}
	}
	if got := readMessage(t, conn, 300*time.Millisecond); got != "" {
		t.Errorf("a stuck process sent %q", got)
	}
	engine.Idle()
	if got := readMessage(t, conn, 5*time.Second); got != "WATCHDOG=1" {
		t.Errorf("sent %q, want a heartbeat", got)
	}
	stop()
	if log := out.String(); strings.Count(log, "heartbeat withheld") != 1 || !strings.Contains(log, "stuck=engine") {
		t.Errorf("logged %q", log)
	}
}

// A task is stuck if one iteration of its event loop has lasted longer than the limit. Tasks of the same name are
// reported once. A nil Monitor adds nil Tasks, whose methods do nothing.
func TestStuckTasks(t *testing.T) {
	monitor := &Monitor{}
	a, b, c := monitor.AddTask("a"), monitor.AddTask("b"), monitor.AddTask("b")
	a.Busy()
	b.Busy()
	c.Busy()
	b.Busy() // the next iteration, without Idle in between
	now := time.Now()
	if got := monitor.StuckTasks(now.Add(time.Minute), time.Second); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("stuck tasks %q", got)
	}
	if got := monitor.StuckTasks(now, time.Second); len(got) != 0 {
		t.Errorf("stuck tasks %q", got)
	}
	c.Idle()
	b.Idle()
	a.Idle()
	if got := monitor.StuckTasks(now.Add(time.Minute), time.Second); len(got) != 0 {
		t.Errorf("stuck tasks %q", got)
	}
	var none *Monitor
	none.AddTask("x").Busy()
	none.AddTask("x").Idle()
}

// A supervisor that does not read its socket does not block the callers of a Notifier, though the buffer of the socket
// fills up and the writes of Run block.
func TestUnresponsiveSupervisor(t *testing.T) {
	newSupervisor(t) // its socket is never read
	log, _ := newLog()
	log.SetOutput(io.Discard)
	n, err := NewNotifier(&Monitor{}, func() string { return strings.Repeat("x", 60000) }, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx)
	done := make(chan struct{})
	go func() {
		for range 10000 {
			n.Ready()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("a caller of Ready is blocked by the supervisor")
	}
	cancel()
	n.Wait(50 * time.Millisecond)
}

// Without a supervisor, no message is sent and no error is logged. A malformed environment is an error.
func TestNoSupervisor(t *testing.T) {
	t.Setenv("NOTIFY_SOCKET", "")
	n, stop, out := startNotifier(t, &Monitor{})
	n.Ready()
	stop()
	if out.String() != "" {
		t.Errorf("logged %q", out)
	}
	t.Setenv("WATCHDOG_USEC", "soon")
	_, err := NewNotifier(&Monitor{}, func() string { return "" }, nil)
	if err == nil || !strings.Contains(err.Error(), "WATCHDOG_USEC") {
		t.Error(err)
	}
}
