package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// exitTimeout bounds the wait for the goroutines to return after the drain.
	exitTimeout = 150 * time.Millisecond
	// notifierTimeout bounds the wait until the notifier has sent its last notification to the service supervisor.
	notifierTimeout = exitTimeout / 3
)

// shutdown stops the balancer gracefully: it answers the accepted requests and migrates the established connections
// within the shutdown budget. Then it cancels the context of all subsystems and waits for their goroutines.
func (d *daemon) shutdown(cancel context.CancelFunc) {
	d.log.Info("stopping: answering pending requests and migrating established connections")
	d.notifier.Stopping(d.cfg.ShutdownBudget + exitTimeout)
	d.restart.beginShutdown()
	leftCluster := d.leaveCluster()
	<-d.engine.Drain(d.cfg.ShutdownBudget, func() bool { return d.frontend.ClientsWaiting(d.clientListener) })
	d.logFinalCounters()
	<-leftCluster
	cancel()
	d.waitForGoroutines()
}

// leaveCluster leaves the cluster, if this instance is a member, while the engine drains. The returned channel is
// closed when the departure is announced, at the latest after gossip.LeaveTimeout.
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

// waitForGoroutines waits up to notifierTimeout for the notifier, and then up to exitTimeout for the other goroutines.
// It gives up after that: all requests have been answered, and the process has to exit before the platform kills it.
func (d *daemon) waitForGoroutines() {
	ended := make(chan struct{})
	go func() { // may run until the process exits
		d.running.Wait()
		close(ended)
	}()
	d.notifier.Wait(notifierTimeout)
	select {
	case <-ended:
	case <-time.After(exitTimeout):
		d.log.Warn("stopped before all goroutines ended")
	}
}
