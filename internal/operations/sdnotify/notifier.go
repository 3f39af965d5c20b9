package sdnotify

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"
	"github.com/sirupsen/logrus"
)

const (
	// statusInterval is the interval between status messages.
	statusInterval = 5 * time.Second
	// maxPending is the maximum number of messages in the queue of Notifier.
	maxPending = 16
	// heartbeatsPerTimeout is the number of heartbeats within the watchdog timeout.
	heartbeatsPerTimeout = 4
	// stuckDivisor determines when a busy task counts as stuck: when one iteration has lasted longer than the watchdog
	// timeout divided by stuckDivisor.
	stuckDivisor = 2
)

// Notifier reports the state of the process to a supervisor. Its methods only queue messages; Run alone writes them to
// the supervisor's socket. So a supervisor that does not read blocks Run but no other goroutine. While the queue is
// full, further messages are dropped.
type Notifier struct {
	log     *logrus.Logger
	monitor *Monitor
	// send writes a message to the supervisor. It returns false if there is no supervisor.
	send func(message string) (bool, error)
	// status returns the text that the supervisor shows as the status of the service.
	status func() string
	// watchdogTimeout is the time without a heartbeat after which the supervisor restarts the process. If it is 0, no
	// heartbeats are sent.
	watchdogTimeout time.Duration
	// pending is the queue of messages that Run sends.
	pending chan string
	// done is closed when Run returns.
	done chan struct{}
}

// NewNotifier returns a notifier for the supervisor that the environment names (NOTIFY_SOCKET, WATCHDOG_USEC and
// WATCHDOG_PID). Without a supervisor, the notifier discards its messages. status returns the text that the supervisor
// shows as the status of the service. The error reports a malformed environment.
func NewNotifier(monitor *Monitor, status func() string, log *logrus.Logger) (*Notifier, error) {
	timeout, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		return nil, fmt.Errorf("WATCHDOG_USEC or WATCHDOG_PID: %w", err)
	}
	return &Notifier{
		log:             log,
		monitor:         monitor,
		send:            func(message string) (bool, error) { return daemon.SdNotify(false, message) },
		status:          status,
		watchdogTimeout: timeout,
		pending:         make(chan string, maxPending),
		done:            make(chan struct{}),
	}, nil
}

// Run sends the queued messages, the heartbeats and the status until ctx ends. Then it sends the messages that are
// still in the queue, and returns.
func (n *Notifier) Run(ctx context.Context) {
	defer close(n.done)
	var heartbeats <-chan time.Time
	if n.watchdogTimeout > 0 {
		ticker := time.NewTicker(n.watchdogTimeout / heartbeatsPerTimeout)
		defer ticker.Stop()
		heartbeats = ticker.C
	}
	statusTicker := time.NewTicker(statusInterval)
	defer statusTicker.Stop()
	stuck := ""
	for {
		select {
		case <-ctx.Done():
			n.sendPending()
			return
		case message := <-n.pending:
			n.write(message)
		case <-heartbeats:
			stuck = n.sendHeartbeat(stuck)
		case <-statusTicker.C:
			n.write("STATUS=" + n.statusLine())
		}
	}
}

func (n *Notifier) sendPending() {
	for {
		select {
		case message := <-n.pending:
			n.write(message)
		default:
			return
		}
	}
}

// sendHeartbeat sends a heartbeat (WATCHDOG=1) unless a task is stuck. It returns the names of the stuck tasks, and
// logs them if they differ from stuckBefore, the result of the previous call.
func (n *Notifier) sendHeartbeat(stuckBefore string) string {
	stuck := strings.Join(n.monitor.StuckTasks(time.Now(), n.watchdogTimeout/stuckDivisor), ", ")
	if stuck != "" {
		if stuck != stuckBefore {
			n.log.WithField("stuck", stuck).Error("watchdog: heartbeat withheld")
			n.write("STATUS=stuck: " + stuck)
		}
		return stuck
	}
	if stuckBefore != "" {
		n.log.WithField("stuck", stuckBefore).Warn("watchdog: no task is stuck any more")
	}
	n.write(daemon.SdNotifyWatchdog)
	return ""
}

// statusLine returns the status without line breaks, which would end the message field.
func (n *Notifier) statusLine() string { return strings.ReplaceAll(n.status(), "\n", " ") }

func (n *Notifier) write(message string) {
	if _, err := n.send(message); err != nil {
		n.log.WithError(err).Warn("the supervisor was not notified")
	}
}

// enqueue adds a message to the queue. If the queue is full, because the supervisor does not read its socket, it drops
// the message.
func (n *Notifier) enqueue(message string) {
	select {
	case n.pending <- message:
	default:
	}
}

// Ready reports that the process serves clients, after its start or after a reload.
func (n *Notifier) Ready() { n.enqueue(daemon.SdNotifyReady + "\nSTATUS=" + n.statusLine()) }

// Reloading reports the start of a reload; Ready reports its end. now is the time of CLOCK_MONOTONIC, by which the
// supervisor orders reloads.
func (n *Notifier) Reloading(now time.Duration) {
	n.enqueue(fmt.Sprintf("%s\nMONOTONIC_USEC=%d", daemon.SdNotifyReloading, now.Microseconds()))
}

// Stopping reports the start of a planned stop, which takes at most the given time.
func (n *Notifier) Stopping(within time.Duration) {
	n.enqueue(fmt.Sprintf("%s\nEXTEND_TIMEOUT_USEC=%d", daemon.SdNotifyStopping, within.Microseconds()))
}

// SetMainPID reports that the process with the given ID is now the main process of the service. After a hot restart,
// that is the replacement process.
func (n *Notifier) SetMainPID(pid int) { n.enqueue(fmt.Sprintf("MAINPID=%d", pid)) }

// Wait waits until Run has returned, but at most for timeout, because a write to the supervisor's socket may block.
func (n *Notifier) Wait(timeout time.Duration) {
	select {
	case <-n.done:
	case <-time.After(timeout):
	}
}
