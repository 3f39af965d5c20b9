package decide

// Discovery polling: when the endpoint list is asked for, how its updates are applied, and what is done when no
// server answers any more. The evidence is the outcome of the calls to discovery and of the attempts and probes at
// servers.

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Timing of the polls.
const (
	// basePollInterval is the time between two polls of a single balancer, unless the settings ask for a longer one.
	basePollInterval = 10 * time.Second
	// pollIntervalPerBalancer is added for each balancer, as the discovery service does not grow with the fleet.
	pollIntervalPerBalancer = 100 * time.Millisecond
	// maxFirstPollDelay bounds the random delay of the first poll.
	maxFirstPollDelay = time.Second
	// pollRetryDelay is the first delay after a failed call; it doubles with each failure in a row, and is jittered.
	pollRetryDelay = time.Second
	// maxPollRetryDoublings bounds the doublings of pollRetryDelay.
	maxPollRetryDoublings = 5
	// bootstrapTimeout is how long no server answers until the cached list is given up.
	bootstrapTimeout = 5 * time.Second
)

// discoveryState is the state of the polls.
type discoveryState struct {
	listVersion  uint64        // updates of the list received
	pollAt       time.Duration // when the next poll is due
	pollFailures int           // calls failed in a row
}

// liveness tells whether any server answers.
type liveness struct {
	lastAnswerAt time.Duration // latest answer of any server, or the first failure after it
	failing      bool          // no server has answered since that first failure
}

// recordAnswer notes that some server answers.
func (l *liveness) recordAnswer(now time.Duration) { l.lastAnswerAt, l.failing = now, false }

// scheduleFirstPoll spreads the first polls of balancers that start together. The restored list may be out of date:
// the changes since then count as notified soon, whether the balancer has polled or not.
func (b *Balancer) scheduleFirstPoll() {
	limit := min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval))
	b.discovery.pollAt = b.now + b.jitter(limit)
}

// pollInterval spreads the calls of all balancers over the time in which one discovery service can answer them.
func (b *Balancer) pollInterval() time.Duration {
	perFleet := time.Duration(b.fleet.Fleet) * pollIntervalPerBalancer
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + perFleet
}

// poll makes the one call of an interval: a watch, which brings the changes only, where the settings allow it.
func (b *Balancer) poll() {
	b.discovery.pollAt = b.now + b.pollInterval()
	if b.settings.WatchList {
		b.emit(WatchList{})
	} else {
		b.emit(FetchList{})
	}
}

func (b *Balancer) listReceived(event ListReceived) {
	if event.Kind == ListFailed {
		b.backOffPoll()
		return
	}
	b.applyList(event)
	b.answers.removeNotReady()
	b.retryWaiting()
}

// backOffPoll delays the next poll after a failed call, so that a discovery service that is down or overloaded is not
// flooded. ReconnectSchedule does so for hosts that can dial without calling.
func (b *Balancer) backOffPoll() {
	delay := min(pollRetryDelay<<min(b.discovery.pollFailures, maxPollRetryDoublings), b.pollInterval())
	b.discovery.pollFailures++
	b.discovery.pollAt = b.now + delay/2 + b.jitter(delay)
}

// applyList updates the servers' records and the index by a snapshot or a delta.
func (b *Balancer) applyList(event ListReceived) {
	b.discovery.pollFailures = 0
	b.discovery.listVersion++
	changed := make([]*server, 0, len(event.Servers))
	for _, listed := range event.Servers {
		changed = append(changed, b.applyListed(listed))
	}
	if event.Kind != ListDelta {
		for _, s := range b.servers {
			if s.entry.listVersion != b.discovery.listVersion && s.State != Removed {
				b.setState(s, Removed)
				changed = append(changed, s)
			}
		}
	}
	b.applyChangedServers(changed)
}

// applyListed updates the record of one listed server. A restart voids all that was learned of it.
func (b *Balancer) applyListed(listed Server) *server {
	s := b.unindexedRecord(listed.ID)
	if listed.Started != s.Started {
		*s = server{
			Server:             s.Server,
			cacheOrder:         s.cacheOrder,
			entry:              s.entry,
			notReadySince:      s.notReadySince,
			connections:        s.connections,
			connectionsByGroup: s.connectionsByGroup,
		}
	}
	b.setState(s, listed.State)
	s.Server, s.entry.listVersion = listed, b.discovery.listVersion
	return s
}

// recordTransportFailure starts the bootstrap timeout, or bootstraps once it is over. A server that answers with an
// error is alive.
func (b *Balancer) recordTransportFailure(code Code) {
	if code == ServerError || !b.liveness.failing {
		b.liveness = liveness{lastAnswerAt: b.now, failing: code != ServerError}
	} else if b.now-b.liveness.lastAnswerAt > bootstrapTimeout {
		b.bootstrap()
	}
}

// bootstrap clears what is known of the servers when none of them answers, and fetches a new list. Until it comes,
// the ready servers of the last list are tried again, without their ejections and reports.
func (b *Balancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.liveness.lastAnswerAt)})
	b.liveness.recordAnswer(b.now)
	b.answers.ownZone = b.answers.ownZone[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.reindexAll(b.ready)
	b.emit(FetchList{})
}

// removeNotReady drops the answers of servers that are draining or removed.
func (a *answerPools) removeNotReady() {
	notReady := func(s *server) bool { return s.State != Ready }
	a.ownZone = slices.DeleteFunc(a.ownZone, notReady)
	a.otherZones = slices.DeleteFunc(a.otherZones, notReady)
}
