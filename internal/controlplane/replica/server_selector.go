package replica

import (
	"math/rand/v2"
	"time"
)

// Timing of replication. A follower notices after IdleTimeout that its control-plane server no longer responds.
// LeaderTimeout is long enough for IdleTimeout, then for three attempts at other servers that each fail after
// ReplyTimeout, and for the backoffs.
const (
	// LeaderTimeout is the time without contact to the leader after which a follower reports the leader as stale.
	// The contact is direct, or through control-plane servers that are followers themselves.
	LeaderTimeout = 6 * time.Second

	// HeartbeatInterval is the time between the heartbeats that a control-plane server sends to a follower.
	HeartbeatInterval = time.Second

	// IdleTimeout is the time without any message after which a follower leaves its control-plane server.
	IdleTimeout = 2 * time.Second

	// ReplyTimeout limits the dial, and the wait for each message of the handshake and for the first message after
	// it.
	ReplyTimeout = 600 * time.Millisecond

	// MaxLeaderAge is the longest time since the last contact to the leader that is reported. Longer times are
	// reported as MaxLeaderAge.
	MaxLeaderAge = time.Hour
)

const (
	// maxServerStaleness is how long a control-plane server may be without contact to the leader, or have an older
	// version than its follower, before the follower leaves it.
	maxServerStaleness = 3 * time.Second

	// isolatedServerTimeout is how long a follower stays connected to a server without contact to the leader if the
	// follower has tried all servers and this is at least its second attempt at this server.
	isolatedServerTimeout = 2 * time.Second

	// maxInitialBackoff limits the backoff before an attempt while not all servers have been tried.
	maxInitialBackoff = 200 * time.Millisecond

	// maxBackoff limits the backoff before an attempt after all servers have been tried.
	maxBackoff = time.Second

	// minBackoffDivisor sets the lower limit of a backoff: its upper limit divided by minBackoffDivisor.
	minBackoffDivisor = 4
)

// Server is the address of a control-plane server and the region that it runs in.
type Server struct {
	Address string
	Region  string
}

// ServerSelector decides which control-plane server a follower connects to, after which backoff, and when it
// leaves a server. It tries the servers of the follower's own region first. A ServerSelector is not safe for
// concurrent use.
type ServerSelector struct {
	servers   []Server // in the order of the attempts
	nextIndex int      // index in servers for the next attempt
	attempts  int      // since the last heartbeat of a server that was up to date and in contact with the leader
	random    *rand.Rand
	startedAt time.Time

	// lastLeaderContact is the latest time at which a heartbeat has shown the leader to be up. It is zero before the
	// first heartbeat.
	lastLeaderContact time.Time

	// laggingSince is the time since which the current server has had an older version than the follower, or no
	// contact to the leader. It is zero if neither is the case.
	laggingSince time.Time

	// reportedStale is the last result of LeaderStale.
	reportedStale bool
}

// NewServerSelector returns a selector for a follower in the given region. It orders the servers of the region before
// the servers of other regions, both in random order. Different seeds spread the followers over the servers.
func NewServerSelector(servers []Server, region string, seed uint64, now time.Time) *ServerSelector {
	selector := &ServerSelector{random: rand.New(rand.NewPCG(seed, 0)), startedAt: now}
	var local, remote []Server
	for _, i := range selector.random.Perm(len(servers)) {
		if servers[i].Region == region {
			local = append(local, servers[i])
		} else {
			remote = append(remote, servers[i])
		}
	}
	selector.servers = append(local, remote...)
	return selector
}

// Next returns the server for the next attempt and the backoff before it.
func (s *ServerSelector) Next() (Server, time.Duration) {
	server := s.servers[s.nextIndex]
	s.nextIndex = (s.nextIndex + 1) % len(s.servers)
	limit := maxInitialBackoff
	if s.attempts >= len(s.servers) {
		limit = maxBackoff
	}
	s.attempts++
	s.laggingSince = time.Time{}
	floor := limit / minBackoffDivisor
	return server, floor + time.Duration(s.random.Int64N(int64(limit-floor)))
}

// HeartbeatReceived records a heartbeat of the current server. leaderAge is the time since the server's last
// contact to the leader. serverVersion is the server's version, own is the follower's. HeartbeatReceived reports
// whether the follower stays connected to the server.
func (s *ServerSelector) HeartbeatReceived(
	now time.Time, leaderAge time.Duration, serverVersion, own Version,
) (stays bool) {
	if contact := now.Add(-leaderAge); contact.After(s.lastLeaderContact) {
		s.lastLeaderContact = contact
	}
	inContact := leaderAge <= maxServerStaleness
	if inContact && serverVersion.Compare(own) >= 0 {
		s.laggingSince = time.Time{}
		s.attempts = 0
		return true
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = now
	}
	lagDuration := now.Sub(s.laggingSince)
	if inContact {
		return lagDuration < maxServerStaleness
	}
	// After a full round of attempts without success, the leader itself may be down. No other server is a better
	// choice then, since this one detects the leader's return as early as any other.
	return s.attempts > len(s.servers) && lagDuration < isolatedServerTimeout
}

// LeaderAge returns the time since the last contact to the leader, at most MaxLeaderAge. It returns
// MaxLeaderAge before the first contact.
func (s *ServerSelector) LeaderAge(now time.Time) time.Duration {
	if s.lastLeaderContact.IsZero() {
		return MaxLeaderAge
	}
	return min(now.Sub(s.lastLeaderContact), MaxLeaderAge)
}

// LeaderStale reports whether there has been no contact to the leader for LeaderTimeout. The time counts from the
// last contact or from the selector's creation, whichever is later. changed says whether the result differs from
// the previous call's.
func (s *ServerSelector) LeaderStale(now time.Time) (stale, changed bool) {
	since := s.lastLeaderContact
	if s.startedAt.After(since) {
		since = s.startedAt
	}
	stale = now.Sub(since) >= LeaderTimeout
	changed = stale != s.reportedStale
	s.reportedStale = stale
	return stale, changed
}
