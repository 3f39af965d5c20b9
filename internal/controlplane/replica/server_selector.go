package replica

import (
	"math/rand/v2"
	"time"
)

// Timing of replication. A follower that loses its server after IdleTimeout, and whose next attempts each
// take ReplyTimeout, has time for three such attempts and the backoff between them before LeaderTimeout ends.
const (
	// LeaderTimeout is how long a follower goes without contact to the leader before it reports the leader as
	// stale.
	LeaderTimeout = 6 * time.Second

	// HeartbeatInterval is the time between a server's heartbeats.
	HeartbeatInterval = time.Second

	// IdleTimeout is how long a follower waits for any message before it leaves its server.
	IdleTimeout = 2 * time.Second

	// ReplyTimeout is how long each side waits for the other's first messages.
	ReplyTimeout = 600 * time.Millisecond

	// MaxLeaderAge caps the reported time since the last contact to the leader.
	MaxLeaderAge = time.Hour
)

const (
	// maxServerStaleness is how long a server may lack contact to the leader, or lag, before its follower
	// leaves it.
	maxServerStaleness = 3 * time.Second

	// isolatedServerTimeout is how long a follower stays at a server without contact to the leader when all
	// others have been tried.
	isolatedServerTimeout = 2 * time.Second

	// maxInitialBackoff limits the backoff before an attempt until each server has been tried once.
	maxInitialBackoff = 200 * time.Millisecond

	// maxBackoff limits the backoff before an attempt after that.
	maxBackoff = time.Second

	// minBackoffDivisor sets the lower limit of a backoff: the upper one divided by it.
	minBackoffDivisor = 4
)

// Server is the address of a control-plane server and the region that it runs in.
type Server struct {
	Address string
	Region  string
}

// ServerSelector decides which server a follower connects to, after which backoff, and when it leaves a
// server. Servers of the follower's own region come first. A ServerSelector is not safe for concurrent use.
type ServerSelector struct {
	servers   []Server // in the order of the attempts
	nextIndex int      // of the server for the next attempt
	attempts  int      // since a server with contact to the leader was found
	random    *rand.Rand
	startedAt time.Time

	// lastLeaderContact is the latest time at which the leader is known to have been up. It is zero before
	// the first heartbeat.
	lastLeaderContact time.Time

	// laggingSince is when the current server began to lag behind the follower or to lack contact to the
	// leader. It is zero if it does neither.
	laggingSince time.Time

	// reportedStale is the last result of LeaderStale.
	reportedStale bool
}

// NewServerSelector returns a selector that starts with a random server of the given region. Followers with
// different seeds spread over the servers.
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

// HeartbeatReceived records a heartbeat of the current server, which was in contact with the leader at most
// leaderAge ago and has the given version. It reports whether the follower, which has its own version, stays
// with the server.
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
	lagging := now.Sub(s.laggingSince)
	if inContact {
		return lagging < maxServerStaleness
	}
	// When all servers have been tried, the leader itself may be down. This server will notice its return as
	// soon as any.
	return s.attempts > len(s.servers) && lagging < isolatedServerTimeout
}

// LeaderAge returns the time since the last contact to the leader, at most MaxLeaderAge. It returns
// MaxLeaderAge before the first contact.
func (s *ServerSelector) LeaderAge(now time.Time) time.Duration {
	if s.lastLeaderContact.IsZero() {
		return MaxLeaderAge
	}
	return min(now.Sub(s.lastLeaderContact), MaxLeaderAge)
}

// LeaderStale reports whether there has been no contact to the leader for LeaderTimeout, counted from the
// start at the earliest, and whether that differs from the previous call's result.
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
