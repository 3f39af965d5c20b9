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

// supervisor is a stand-in for a service supervisor: the socket of sd_notify(3).
func supervisor(t *testing.T) *net.UnixConn {
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

// next reads one message; empty: none came within the time.
func next(t *testing.T, conn *net.UnixConn, within time.Duration) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	if err != nil {
		return ""
	}
	return string(buf[:n])
}

func quiet() (*logrus.Logger, *strings.Builder) {
	log := logrus.New()
	out := &strings.Builder{}
	log.SetOutput(out)
	return log, out
}

func notifier(t *testing.T, marks *Monitor) (*Notifier, context.CancelFunc, *strings.Builder) {
	t.Helper()
	log, out := quiet()
	n, err := NewNotifier(marks, func() string { return "two\nlines" }, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx)
	t.Cleanup(func() { cancel(); n.Wait(5 * time.Second) })
	return n, func() { cancel(); n.Wait(5 * time.Second) }, out
}

// The messages are those of sd_notify(3), in their order, and what is pending at the end is still told.
func TestMessages(t *testing.T) {
	conn := supervisor(t)
	n, stop, _ := notifier(t, &Monitor{})
	n.Ready()
	n.Reloading(1234567 * time.Microsecond)
	n.Ready()
	n.SetMainPID(42)
	n.Stopping(2 * time.Second)
	stop()
	for _, want := range []string{"READY=1\nSTATUS=two lines", "RELOADING=1\nMONOTONIC_USEC=1234567", "READY=1\nSTATUS=two lines",
		"MAINPID=42", "STOPPING=1\nEXTEND_TIMEOUT_USEC=2000000"} {
		if got := next(t, conn, 5*time.Second); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
	if a, b := MonotonicNow(), MonotonicNow(); a <= 0 || b < a {
		t.Errorf("the clock goes from %v to %v", a, b)
	}
}

// While every actor turns, signs of life come; one that is stuck ends them and is named, and they come again when it turns.
// Guards against a process that hangs and is never restarted, and against one that is killed while it works.
func TestWatchdog(t *testing.T) {
	conn := supervisor(t)
	t.Setenv("WATCHDOG_USEC", "200000")
	marks := &Monitor{}
	list, module := marks.AddTask("list"), marks.AddTask("module")
	_, stop, out := notifier(t, marks)
	if got := next(t, conn, 5*time.Second); got != "WATCHDOG=1" {
		t.Fatalf("told %q", got)
	}
	list.Busy()
	list.Idle()
	module.Busy() // and never waits
	for end := time.Now().Add(5 * time.Second); ; {
		got := next(t, conn, 5*time.Second)
		if got == "STATUS=stuck: module" {
			break
		}
		if got != "WATCHDOG=1" || time.Now().After(end) {
			t.Fatalf("told %q", got)
		}
	}
	if got := next(t, conn, 300*time.Millisecond); got != "" {
		t.Errorf("a stuck process told %q", got)
	}
	module.Idle()
	if got := next(t, conn, 5*time.Second); got != "WATCHDOG=1" {
		t.Errorf("told %q", got)
	}
	stop()
	if log := out.String(); strings.Count(log, "no sign of life") != 1 || !strings.Contains(log, "stuck=module") {
		t.Errorf("logged %q", log)
	}
}

// Stuck is who has been in one turn for longer than the limit, and nobody else.
func TestStuck(t *testing.T) {
	marks := &Monitor{}
	a, b, c := marks.AddTask("a"), marks.AddTask("b"), marks.AddTask("b")
	a.Busy()
	b.Busy()
	c.Busy()
	b.Busy() // a turn that follows at once
	now := time.Now()
	if got := marks.StuckTasks(now.Add(time.Minute), time.Second); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("%q", got)
	}
	if got := marks.StuckTasks(now, time.Second); len(got) != 0 {
		t.Errorf("%q", got)
	}
	c.Idle()
	b.Idle()
	a.Idle()
	if got := marks.StuckTasks(now.Add(time.Minute), time.Second); len(got) != 0 {
		t.Errorf("%q", got)
	}
	var none *Monitor
	none.AddTask("x").Busy()
	none.AddTask("x").Idle()
}

// A supervisor that takes nothing more holds up no caller. Guards the daemon against a socket that hangs: its buffer is
// full and every write to it waits.
func TestHangingSupervisor(t *testing.T) {
	supervisor(t) // nobody reads
	log, _ := quiet()
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
		t.Error("a caller waits for the supervisor")
	}
	cancel()
	n.Wait(50 * time.Millisecond)
}

// Without a supervisor nothing is told and nothing fails; a faulty environment is named.
func TestNoSupervisor(t *testing.T) {
	t.Setenv("NOTIFY_SOCKET", "")
	n, stop, out := notifier(t, &Monitor{})
	n.Ready()
	stop()
	if out.String() != "" {
		t.Errorf("logged %q", out)
	}
	t.Setenv("WATCHDOG_USEC", "soon")
	if _, err := NewNotifier(&Monitor{}, func() string { return "" }, nil); err == nil || !strings.Contains(err.Error(), "WATCHDOG_USEC") {
		t.Error(err)
	}
}
