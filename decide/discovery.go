package decide

// Discovery polling: when the endpoint list is requested, and how its updates are applied. The time of the next poll
// depends on the outcomes of the calls to discovery and on the fleet size.

import (
	"cmp"
	"time"
)

// Timing of the polls.
const (
	// basePollInterval is the minimum poll interval before pollIntervalPerBalancer is added. The settings may raise it.
	basePollInterval = 10 * time.Second
	// pollIntervalPerBalancer is added for each balancer, as the discovery service does not grow with the fleet.
	pollIntervalPerBalancer = 100 * time.Millisecond
	// maxFirstPollDelay limits the random delay of the first poll.
	maxFirstPollDelay = time.Second
	// pollRetryDelay is the mean delay after the first failed call. It doubles with each consecutive failure.
	pollRetryDelay = time.Second
	// maxPollRetryDoublings limits how often pollRetryDelay is doubled.
	maxPollRetryDoublings = 5
)

// discoveryState is the state of the polls.
type discoveryState struct {
	listVersion  uint64        // number of list updates received
	pollAt       time.Duration // time of the next poll
	pollFailures int           // number of consecutive failed calls
}

// scheduleFirstPoll schedules the first poll after a random delay, as balancers may start together. The delay is
// short, because a restored list may be out of date. Soon after its start, the balancer counts as notified of the
// changes that the list lacks, even if the balancer has not polled (see maxReconnectDelay).
func (b *Balancer) scheduleFirstPoll() {
	limit := min(maxFirstPollDelay, cmp.Or(b.settings.Safety.MaxPollInterval/2, basePollInterval))
	b.discovery.pollAt = b.now + b.jitter(limit)
}

// pollInterval returns the time between two polls while calls succeed. It grows with the fleet, so that one discovery
// service can answer all balancers. Despite its name, Safety.MaxPollInterval is a minimum, to which the time for the
// fleet is added.
func (b *Balancer) pollInterval() time.Duration {
	perFleet := time.Duration(b.fleet.Fleet) * pollIntervalPerBalancer
	return max(basePollInterval, b.settings.Safety.MaxPollInterval) + perFleet
}

// poll requests the list's changes if Settings.WatchList is set, or else the full list. It schedules the next poll.
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

// backOffPoll delays the next poll after a failed call, so that the fleet does not overload a discovery service that
// is restarting or overloaded already. Hosts that can dial without calling use ReconnectSchedule instead.
func (b *Balancer) backOffPoll() {
	delay := min(pollRetryDelay<<min(b.discovery.pollFailures, maxPollRetryDoublings), b.pollInterval())
	b.discovery.pollFailures++
	b.discovery.pollAt = b.now + delay/2 + b.jitter(delay)
}

// applyList updates the servers' records and the index from a snapshot or a delta.
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

// applyListed updates the record of one listed server. If the server has restarted, its load reports, failures,
// ejection and quotas are discarded, as they don't apply to the new process.
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
