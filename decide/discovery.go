package decide

// Discovery polling: when the endpoint list is requested, and how its updates are applied. The evidence is the
// outcome of the calls to discovery.

import (
	"cmp"
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
)

// discoveryState is the state of the polls.
type discoveryState struct {
	listVersion  uint64        // updates of the list received
	pollAt       time.Duration // when the next poll is due
	pollFailures int           // calls failed in a row
}

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
			shuffledOrder:      s.shuffledOrder,
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
