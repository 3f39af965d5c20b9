package decide

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// slowStartResult summarizes the requests at the warming servers during their warm-up.
type slowStartResult struct {
	servers    int
	overloads  int     // servers that were overloaded
	violations int     // servers that were overloaded mainly by balancers that had observed their start
	most       float64 // largest number of requests within an overload window, as a fraction of the allowed number
	use        float64 // requests at a server divided by its budget, mean over the servers
	least      int     // requests at the server with the fewest requests
	all        int     // requests at all warming servers
	rejected   int     // rejected and failed requests at all balancers
}

func (r slowStartResult) String() string {
	return fmt.Sprintf("%d overloads (%d violations) of %d, largest window %.2f of its allowance, budget used %.2f, "+
		"least %d requests, all %d, %d rejected",
		r.overloads, r.violations, r.servers, r.most, r.use, r.least, r.all, r.rejected)
}

// result evaluates the attempts at the watched servers since their start.
func (f *slowStartSimulation) result(started time.Duration, rejected int) slowStartResult {
	result := slowStartResult{least: math.MaxInt, rejected: rejected}
	for _, id := range sortedIDs(f.servers) {
		s := f.servers[id]
		if !s.watched {
			continue
		}
		result.servers++
		result.all += len(s.attempts)
		result.least = min(result.least, len(s.attempts))
		result.use += float64(len(s.attempts)) / f.budget(s, started)
		most, overloaded, violation := f.worstWindow(s)
		result.most = max(result.most, most)
		if overloaded {
			result.overloads++
		}
		if violation {
			result.violations++
		}
	}
	result.use /= float64(result.servers)
	return result
}

// budget returns the number of connections that a server tolerates over its whole warm-up.
func (f *slowStartSimulation) budget(s *simulatedServer, started time.Duration) (budget float64) {
	safety := f.settings.Safety
	for at := started; at < started+safety.SlowStartDuration; at += 100 * time.Millisecond {
		perSecond := safety.OverloadFactor * f.serverCapacity / f.meanLifetime.Seconds()
		budget += perSecond * f.capacityFraction(s, at) * 0.1
	}
	return budget
}

// worstWindow evaluates every overload window that begins with an attempt at a warming server. N is the number of
// connections that the server tolerates within the window, at its capacity at the window's start. N + 2 sqrt(N) + 2
// attempts are allowed, where 2 sqrt(N) + 2 covers the random variation of arrivals. The first result is the largest
// number of attempts as a fraction of the allowed number. A fraction above 1 means that the server was overloaded. The
// overload is a violation if more than two thirds of the attempts in the first overloaded window came from balancers
// that had observed the server's start.
func (f *slowStartSimulation) worstWindow(s *simulatedServer) (most float64, overloaded, violation bool) {
	safety := f.settings.Safety
	for i, first := range s.attempts {
		perSecond := safety.OverloadFactor * s.capacity / f.meanLifetime.Seconds()
		n := perSecond * f.capacityFraction(s, first.at) * safety.OverloadWindow.Seconds()
		all, observed := 0.0, 0.0
		for _, attempt := range s.attempts[i:] {
			if attempt.at >= first.at+safety.OverloadWindow {
				break
			}
			all++
			if attempt.observedStart {
				observed++
			}
		}
		fraction := all / (n + 2*math.Sqrt(n) + 2)
		most = max(most, fraction)
		if fraction > 1 && !overloaded {
			overloaded, violation = true, observed > all*2/3
		}
	}
	return most, overloaded, violation
}

// sortedIDs returns the servers' IDs in ascending order.
func sortedIDs(servers map[ServerID]*simulatedServer) (ids []ServerID) {
	for id := range servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
