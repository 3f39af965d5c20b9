package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// exitTimeout bounds the wait for the goroutines to return, that for the frontend of the line protocol included. The
	// wait for the notifier adds to it.
	exitTimeout = 150 * time.Millisecond
	// notifierTimeout bounds the wait until the notifier has sent its last notification to the service supervisor. It
	// is not a part of exitTimeout, but adds to it.
	notifierTimeout = exitTimeout / 3
)

// shutdown stops the balancer gracefully, in this order:
//  1. It waits until the engine has drained. The engine answers the accepted requests and migrates the established
//     connections that clients cannot resume at the next process. The engine limits this to ShutdownBudget; shutdown
//     has no timeout of its own for it.
//  2. It waits until the instance has left the cluster. This runs from the start of the drain, for at most
//     gossip.LeaveTimeout, which is not longer than ShutdownBudget.
//  3. It ends the frontend of the line protocol, for at most exitTimeout. Clients whose requests have arrived since the
//     drain ended get their answers from the engine, which still runs.
//  4. It cancels the context of all subsystems, and waits for the notifier, for at most notifierTimeout.
//  5. It waits for the other goroutines, for what step 3 has left of exitTimeout.
//
// Known fault: the service supervisor is notified that the shutdown takes up to ShutdownBudget + exitTimeout. This
// omits the wait for the notifier, so that the waits can take up to notifierTimeout (50 ms) longer.
func (d *daemon) shutdown(cancel context.CancelFunc) {
	d.log.Info("stopping: answering pending requests and migrating established connections")
	d.notifier.Stopping(d.cfg.ShutdownBudget + exitTimeout)
	d.restart.beginShutdown()
	leftCluster := d.leaveCluster()
	<-d.engine.Drain(d.cfg.ShutdownBudget, func() bool { return d.frontend.ClientsWaiting(d.clientListener) })
	<-leftCluster
	remaining := exitTimeout - d.endFrontend()
	d.logFinalCounters()
	cancel()
	d.waitForGoroutines(remaining)
}

// endFrontend ends the frontend of the line protocol and waits for that, up to exitTimeout. It returns how long it has
// waited.
func (d *daemon) endFrontend() time.Duration {
	start := time.Now()
	d.stopFrontend()
	select {
	case <-d.frontendEnded:
	case <-time.After(exitTimeout):
	}
	return time.Since(start)
}

// leaveCluster starts to leave the cluster and returns. The returned channel is closed when the instance has left, at
// the latest after gossip.LeaveTimeout. It is closed at once if the instance is not a member, or if a replacement
// process has taken over its membership.
func (d *daemon) leaveCluster() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if d.cluster != nil {
			d.cluster.Leave()
		}
	}()
	return done
}

func (d *daemon) logFinalCounters() {
	s := d.engine.Snapshot()
	d.log.WithFields(logrus.Fields{
		"served":       s.Served,
		"rejected":     s.Rejected,
		"failed":       s.Failed,
		"clients_left": s.ClientsLeft,
		"migrations":   s.Migrations,
		"unresponsive": s.Unresponsive,
		"probes":       s.Probes,
		"attempts":     s.Attempts,
	}).Info("stopped")
}

// waitForGoroutines waits up to notifierTimeout for the notifier, and then up to timeout for the other goroutines.
// It gives up after that, because all requests have been answered, and the platform kills the process 300 ms after the
// end of the shutdown budget (exitMargin in internal/config).
func (d *daemon) waitForGoroutines(timeout time.Duration) {
	ended := make(chan struct{})
	go func() { // may run until the process exits
		d.running.Wait()
		close(ended)
	}()
	d.notifier.Wait(notifierTimeout)
	select {
	case <-ended:
	case <-time.After(timeout):
		d.log.Warn("stopped before all goroutines ended")
	}
}
