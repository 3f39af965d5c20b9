package replica

import (
	"fmt"
	"testing"
	"time"
)

// testStart is the creation time of the selectors in these tests.
var testStart = time.Unix(1e9, 0)

// sixServers returns two servers in each of three regions.
func sixServers() []Server {
	var servers []Server
	for i := range 6 {
		servers = append(servers, Server{fmt.Sprint("m", i), fmt.Sprint("r", i/2)})
	}
	return servers
}

// connect simulates attempts from the given time on until one reaches a server that is up. Attempts at the servers
// in down fail after ReplyTimeout. It returns the time of the first heartbeat and the server that sent it.
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

// Three of six control-plane servers are down, among them both servers of the followers' region. After trying these
// two, each follower connects to a server of another region within LeaderTimeout. When this server fails and the
// third down server is up again, the follower connects to a different server, also within LeaderTimeout. No follower
// may report the leader as stale because of failed servers.
func TestThreeOfSixServersFail(t *testing.T) {
	firstServers := map[string]int{}
	for seed := range uint64(300) {
		selector := NewServerSelector(sixServers(), "r1", seed, testStart)
		if selector.servers[0].Region != "r1" || selector.servers[1].Region != "r1" {
			t.Fatalf("the servers of region r1 do not come first: %v", selector.servers)
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
		t.Errorf("followers per first server: %v, want at least 100 for both m2 and m3", firstServers)
	}
}

// A follower leaves a server that keeps an older version than its own for maxServerStaleness, and a server without
// contact to the leader.
func TestLaggingServerIsLeft(t *testing.T) {
	selector := NewServerSelector(sixServers(), "r1", 1, testStart)
	own, older := Version{Term: 1, Number: 9}, Version{Term: 1, Number: 8}
	selector.Next()
	if !selector.HeartbeatReceived(testStart, 0, older, own) {
		t.Error("a server is left at its first heartbeat with an older version, without time to catch up")
	}
	if selector.HeartbeatReceived(testStart.Add(maxServerStaleness), 0, older, own) {
		t.Error("a server that keeps lagging is not left")
	}
	selector.Next()
	if !selector.HeartbeatReceived(testStart.Add(maxServerStaleness), 0, older, own) {
		t.Error("the time for which the previous server lagged counts against the next one")
	}
	if selector.HeartbeatReceived(testStart.Add(maxServerStaleness), maxServerStaleness+1, own, own) {
		t.Error("a server without contact to the leader is not left")
	}
}

// Heartbeats of a server without contact to the leader do not keep the leader from becoming stale. Each transition
// between stale and not stale is reported once. The last contact is at 5 s, in step 10, so the leader becomes stale
// LeaderTimeout later, in step 22.
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
		t.Errorf("transitions (step and stale): %s", transitions)
	}
}

// The leader is not stale right after the follower's start, even if the server's last contact to the leader was long
// ago. LeaderAge nevertheless returns the time since that contact.
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
				t.Errorf("leader age %v in the heartbeat: stale %v, LeaderAge %v", leaderAge, stale, selector.LeaderAge(now))
			}
		})
	}
	selector := NewServerSelector(sixServers(), "r1", 1, testStart)
	if stale, _ := selector.LeaderStale(testStart.Add(LeaderTimeout)); !stale {
		t.Error("the leader is not stale although there was no heartbeat for LeaderTimeout after the start")
	}
}

// The backoff grows once all servers have been tried, so that the followers of a fleet do not overload the
// control-plane servers with connections while the leader is down.
func TestBackoff(t *testing.T) {
	selector := NewServerSelector(sixServers(), "r1", 7, testStart)
	for i := range 18 {
		_, backoff := selector.Next()
		limit := maxInitialBackoff
		if i >= 6 {
			limit = maxBackoff
		}
		if backoff < limit/minBackoffDivisor || backoff > limit {
			t.Errorf("attempt %d: backoff %v is out of range", i, backoff)
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
	// Each simulated connection lasts isolatedServerTimeout, which is 2 s.
	if limit := 10 * 60 / 2; attempts > limit {
		t.Errorf("%d attempts in 10 minutes without a leader, want at most %d", attempts, limit)
	}
	selector.HeartbeatReceived(now, 0, Version{}, Version{})
	if _, backoff := selector.Next(); backoff > maxInitialBackoff {
		t.Errorf("backoff %v after a heartbeat of a server in contact with the leader", backoff)
	}
}
