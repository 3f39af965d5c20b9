package sdnotify

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"
	"github.com/sirupsen/logrus"
)

// Notifier tells a supervisor how the process is. Its actor alone writes to the supervisor's socket, so that one which
// hangs holds up nothing else; what could not be written meanwhile is replaced by what came after.
type Notifier struct {
	log     *logrus.Logger
	send    func(state string) (bool, error)
	every   time.Duration // between two signs of life; 0: no watchdog
	marks   *Monitor
	status  func() string
	pending chan string
	done    chan struct{}
}

const (
	statusEvery = 5 * time.Second
	backlog     = 16
	stuckPart   = 2 // an actor is stuck when its turn takes the watchdog's time, divided by this
)

// NewNotifier returns a notifier for the supervisor that the environment names (NOTIFY_SOCKET, WATCHDOG_USEC and
// WATCHDOG_PID). Without one every call does nothing. status is the line that it shows.
func NewNotifier(marks *Monitor, status func() string, log *logrus.Logger) (*Notifier, error) {
	limit, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		return nil, fmt.Errorf("WATCHDOG_USEC or WATCHDOG_PID: %w", err)
	}
	return &Notifier{log: log, send: func(state string) (bool, error) { return daemon.SdNotify(false, state) }, every: limit / 4,
		marks: marks, status: status, pending: make(chan string, backlog), done: make(chan struct{})}, nil
}

// Run is the actor; it ends with ctx, and not before it has tried to write what is pending.
func (n *Notifier) Run(ctx context.Context) {
	defer close(n.done)
	var signs <-chan time.Time
	if n.every > 0 {
		ticker := time.NewTicker(n.every)
		defer ticker.Stop()
		signs = ticker.C
	}
	shows := time.NewTicker(statusEvery)
	defer shows.Stop()
	stuck := ""
	for {
		select {
		case <-ctx.Done():
			for {
				select {
				case state := <-n.pending:
					n.write(state)
				default:
					return
				}
			}
		case state := <-n.pending:
			n.write(state)
		case <-signs:
			stuck = n.sign(stuck)
		case <-shows.C:
			n.write("STATUS=" + n.line())
		}
	}
}

// sign gives the sign of life, unless an actor is stuck; the log names it once.
func (n *Notifier) sign(before string) (stuck string) {
	if names := n.marks.StuckTasks(time.Now(), n.every*4/stuckPart); len(names) > 0 {
		if stuck = strings.Join(names, ", "); stuck != before {
			n.log.WithField("stuck", stuck).Error("watchdog: no sign of life")
			n.write("STATUS=stuck: " + stuck)
		}
		return stuck
	}
	if before != "" {
		n.log.WithField("stuck", before).Warn("watchdog: it turns again")
	}
	n.write(daemon.SdNotifyWatchdog)
	return ""
}

// line is the status as one line.
func (n *Notifier) line() string { return strings.ReplaceAll(n.status(), "\n", " ") }

func (n *Notifier) write(state string) {
	if _, err := n.send(state); err != nil {
		n.log.WithError(err).Warn("the supervisor was not told")
	}
}

// tell leaves a state to the actor. Past the backlog it is lost: the supervisor takes nothing.
func (n *Notifier) tell(state string) {
	select {
	case n.pending <- state:
	default:
	}
}

// Ready tells that the process serves, or serves again after a reload.
func (n *Notifier) Ready() { n.tell(daemon.SdNotifyReady + "\nSTATUS=" + n.line()) }

// Reloading tells that a reload begins; Ready ends it. now is the monotonic clock's time (CLOCK_MONOTONIC).
func (n *Notifier) Reloading(now time.Duration) {
	n.tell(fmt.Sprintf("%s\nMONOTONIC_USEC=%d", daemon.SdNotifyReloading, now.Microseconds()))
}

// Stopping tells that a stop begins and how long it may take.
func (n *Notifier) Stopping(within time.Duration) {
	n.tell(fmt.Sprintf("%s\nEXTEND_TIMEOUT_USEC=%d", daemon.SdNotifyStopping, within.Microseconds()))
}

// SetMainPID tells that this process is the service's main one from now on: a new version beside an old one.
func (n *Notifier) SetMainPID(pid int) { n.tell(fmt.Sprintf("MAINPID=%d", pid)) }

// Wait waits until the actor has ended, but not for a supervisor whose socket hangs.
func (n *Notifier) Wait(within time.Duration) {
	select {
	case <-n.done:
	case <-time.After(within):
	}
}
