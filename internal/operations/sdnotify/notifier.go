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
	// statusInterval is the time between two status messages.
	statusInterval = 5 * time.Second
	// maxPending bounds the messages that wait to be sent.
	maxPending = 16
	// heartbeatsPerTimeout is how many heartbeats are sent within the watchdog's time-out.
	heartbeatsPerTimeout = 4
	// stuckDivisor sets how long a task may be busy before it counts as stuck: the watchdog's time-out divided by it.
	stuckDivisor = 2
)

// Notifier reports the state of the process to a supervisor. Only Run writes to the supervisor's socket, so that a
// supervisor that does not read blocks nothing else. Messages that don't fit into the queue meanwhile are lost.
type Notifier struct {
	log     *logrus.Logger
	monitor *Monitor
	// send writes a message to the supervisor. It reports false without a supervisor.
	send func(message string) (bool, error)
	// status returns the text that the supervisor shows.
	status func() string
	// watchdogTimeout is the time without a heartbeat after which the supervisor restarts the process; 0 disables
	// heartbeats.
	watchdogTimeout time.Duration
	// pending are the messages to be sent.
	pending chan string
	// done is closed when Run returns.
	done chan struct{}
}

// NewNotifier returns a notifier for the supervisor that the environment names (NOTIFY_SOCKET, WATCHDOG_USEC and
// WATCHDOG_PID). Without a supervisor its methods do nothing. status returns the text that the supervisor shows. The
// error reports a malformed environment.
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

// Run sends the messages until ctx ends, and then those that are still pending.
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
// logs them if they differ from those of the call before.
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

// statusLine returns the status in one line.
func (n *Notifier) statusLine() string { return strings.ReplaceAll(n.status(), "\n", " ") }

func (n *Notifier) write(message string) {
	if _, err := n.send(message); err != nil {
		n.log.WithError(err).Warn("the supervisor was not notified")
	}
}

// enqueue queues a message. It drops the message if the queue is full, which means that the supervisor does not read.
func (n *Notifier) enqueue(message string) {
	select {
	case n.pending <- message:
	default:
	}
}

// Ready reports that the process serves, or serves again after a reload.
func (n *Notifier) Ready() { n.enqueue(daemon.SdNotifyReady + "\nSTATUS=" + n.statusLine()) }

// Reloading reports the beginning of a reload, which Ready ends. now is the time of CLOCK_MONOTONIC.
func (n *Notifier) Reloading(now time.Duration) {
	n.enqueue(fmt.Sprintf("%s\nMONOTONIC_USEC=%d", daemon.SdNotifyReloading, now.Microseconds()))
}

// Stopping reports the beginning of a planned stop, which takes no longer than the given time.
func (n *Notifier) Stopping(within time.Duration) {
	n.enqueue(fmt.Sprintf("%s\nEXTEND_TIMEOUT_USEC=%d", daemon.SdNotifyStopping, within.Microseconds()))
}

// SetMainPID reports that the process with this ID is now the main process of the service, as after a hot restart.
func (n *Notifier) SetMainPID(pid int) { n.enqueue(fmt.Sprintf("MAINPID=%d", pid)) }

// Wait waits until Run has returned, but no longer than timeout: the supervisor's socket may block.
func (n *Notifier) Wait(timeout time.Duration) {
	select {
	case <-n.done:
	case <-time.After(timeout):
	}
}
