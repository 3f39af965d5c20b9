package replica

import (
	"fmt"
	"testing"
	"time"
)

// testStart is the time at which the selectors of these tests start.
var testStart = time.Unix(1e9, 0)

// sixServers returns two servers in each of three regions.
func sixServers() []Server {
	var servers []Server
	for i := range 6 {
		servers = append(servers, Server{fmt.Sprint("m", i), fmt.Sprint("r", i/2)})
	}
	return servers
}

// connect tries servers from the given time on until one is up. The others do not reply. It returns the time
// of the first heartbeat and the server that sent it.
func connect(selector *ServerSelector, now time.Time, down map[string]bool) (time.Time, Server) {
	for {
		server, backoff := selector.Next()
		now = now.Add(backoff)
		if down[server.Address] {
			now = now.Add(ReplyTimeout)
		} else if selector.HeartbeatReceived(now, 0, Version{}, Version{}) {
			return now, server
		}
	}
}

// With three of six servers down, each follower finds a server within LeaderTimeout, trying those of its own
// region first. It finds another in time when that one fails too.
func TestThreeOfSixServersFail(t *testing.T) {
	firstServers := map[string]int{}
	for seed := range uint64(300) {
		selector := NewServerSelector(sixServers(), "r1", seed, testStart)
		if selector.servers[0].Region != "r1" || selector.servers[1].Region != "r1" {
			t.Fatalf("order %v", selector.servers)
		}
		firstServers[selector.servers[0].Address]++
		connected, server := connect(selector, testStart, map[string]bool{"m0": true, "m2": true, "m3": true})
		if took := connected.Sub(testStart); took >= LeaderTimeout {
			t.Errorf("seed %d: connected after %v", seed, took)
		}
		lost := connected.Add(IdleTimeout)
		again, _ := connect(selector, lost, map[string]bool{"m2": true, "m3": true, server.Address: true})
		if took := again.Sub(connected); took >= LeaderTimeout {
			t.Errorf("seed %d: connected again after %v", seed, took)
		}
	}
	if firstServers["m2"] < 100 || firstServers["m3"] < 100 {
		t.Errorf("followers are spread as %v", firstServers)
	}
}

// A server that lags behind the follower, or lacks contact to the leader, is left.
func TestLaggingServerIsLeft(t *testing.T) {
	selector := NewServerSelector(sixServers(), "r1", 1, testStart)
	own, older := Version{Term: 1, Number: 9}, Version{Term: 1, Number: 8}
	selector.Next()
	if !selector.HeartbeatReceived(testStart, 0, older, own) {
		t.Error("a server that may be about to catch up is left at once")
	}
	if selector.HeartbeatReceived(testStart.Add(maxServerStaleness), 0, older, own) {
		t.Error("a server that keeps lagging is not left")
	}
	selector.Next()
	if !selector.HeartbeatReceived(testStart.Add(maxServerStaleness), 0, older, own) {
		t.Error("the time for which the previous server lagged counts for the next one")
	}
	if selector.HeartbeatReceived(testStart.Add(maxServerStaleness), maxServerStaleness+1, own, own) {
		t.Error("a server without contact to the leader is not left")
	}
}

// Heartbeats of a server that lacks contact to the leader do not make the leader fresh. Each transition is
// reported once.
func TestLeaderStaleTransitions(t *testing.T) {
	selector := NewServerSelector(sixServers(), "r1", 1, testStart)
	if age := selector.LeaderAge(testStart); age != MaxLeaderAge {
		t.Errorf("age %v before the first heartbeat", age)
	}
	transitions := ""
	for i := range 40 {
		now := testStart.Add(time.Duration(i) * 500 * time.Millisecond)
		leaderAge := time.Duration(0)
		if i >= 10 && i < 30 {
			leaderAge = now.Sub(testStart.Add(5 * time.Second))
		}
		selector.HeartbeatReceived(now, leaderAge, Version{}, Version{})
		if stale, changed := selector.LeaderStale(now); changed {
			transitions += fmt.Sprintf("%d %v ", i, stale)
		}
	}
	if transitions != "22 true 30 false " {
		t.Errorf("transitions: %s", transitions)
	}
}

// Staleness counts from the start at the earliest, while the age is that of the server's last contact to the
// leader.
func TestLeaderStaleAtStart(t *testing.T) {
	for name, leaderAge := range map[string]time.Duration{
		"no contact":       MaxLeaderAge,
		"contact long ago": 2 * LeaderTimeout,
	} {
		t.Run(name, func(t *testing.T) {
			selector := NewServerSelector(sixServers(), "r1", 1, testStart)
			now := testStart.Add(time.Second)
			selector.HeartbeatReceived(now, leaderAge, Version{}, Version{})
			if stale, _ := selector.LeaderStale(now); stale || selector.LeaderAge(now) != leaderAge {
				t.Errorf("age %v at the start: stale %v, age %v", leaderAge, stale, selector.LeaderAge(now))
			}
		})
	}
	selector := NewServerSelector(sixServers(), "r1", 1, testStart)
	if stale, _ := selector.LeaderStale(testStart.Add(LeaderTimeout)); !stale {
		t.Error("not stale without any heartbeat since the start")
	}
}

// The backoff grows once all servers have been tried, so that a fleet does not flood its servers while the
// leader is down.
func TestBackoff(t *testing.T) {
	selector := NewServerSelector(sixServers(), "r1", 7, testStart)
	for i := range 18 {
		_, backoff := selector.Next()
		limit := maxInitialBackoff
		if i >= 6 {
			limit = maxBackoff
		}
		if backoff < limit/minBackoffDivisor || backoff > limit {
			t.Errorf("attempt %d: backoff %v", i, backoff)
		}
	}
	now, attempts := testStart, 0
	for ; now.Before(testStart.Add(10 * time.Minute)); attempts++ { // no server has contact to the leader
		_, backoff := selector.Next()
		now = now.Add(backoff)
		for selector.HeartbeatReceived(now, maxServerStaleness+1, Version{}, Version{}) {
			now = now.Add(HeartbeatInterval)
		}
	}
	if limit := 10 * 60 / 2; attempts > limit {
		t.Errorf("%d attempts in 10 minutes without a leader, %d at most", attempts, limit)
	}
	selector.HeartbeatReceived(now, 0, Version{}, Version{})
	if _, backoff := selector.Next(); backoff > maxInitialBackoff {
		t.Errorf("backoff %v after a good server", backoff)
	}
}
