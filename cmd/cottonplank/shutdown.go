package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// exitTimeout is how long the goroutines may take to end once all requests are answered.
	exitTimeout = 150 * time.Millisecond
	// notifierTimeout is the part of exitTimeout in which the service supervisor may take the last notification.
	notifierTimeout = exitTimeout / 3
)

// shutdown stops the balancer gracefully: it answers what it has accepted and migrates the established connections,
// then cancels the context of all subsystems and waits for them for a short time.
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

// leaveCluster leaves the cluster while the engine drains; the channel is closed when it has left, within
// gossip.LeaveTimeout.
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

// waitForGoroutines gives up after exitTimeout: all requests are answered by then, and the process has to exit before
// the platform kills it.
func (d *daemon) waitForGoroutines() {
	ended := make(chan struct{})
	go func() { // ends with the process at the latest
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
