package replica

import (
	"math/rand/v2"
	"time"
)

// Times of the following. A machine that hangs is left after Quiet; three that hang one after another, each given Reply, and
// the pauses between them leave time within Silence.
const (
	LeaderTimeout     = 6 * time.Second        // without a word from the writer: a follower says so
	HeartbeatInterval = time.Second            // a machine sends one so often
	IdleTimeout       = 2 * time.Second        // without any message: the machine is left
	ReplyTimeout      = 600 * time.Millisecond // a machine may take so long to answer the first message
	stale             = 3 * time.Second        // a machine that has not heard the writer for so long is left
	linger            = 2 * time.Second        // with a machine that has not, once all have been asked in vain
	pauseQuick        = 200 * time.Millisecond // at most, before the next machine
	pauseSlow         = time.Second            // at most, once all have been asked in vain
	pauseLeast        = 4                      // a pause is at least this part of its most
	MaxLeaderAge      = time.Hour              // what an age is at most
)

// Server is a control machine.
type Server struct {
	Address string
	Region  string
}

// ServerSelector decides at which machine a follower asks, when, and how long it stays. Those of its own region come first.
type ServerSelector struct {
	order  []Server // not changed: the next one is asked after each
	next   int
	tries  int // since a machine was found that hears the writer
	random *rand.Rand
	start  time.Time
	heard  time.Time // the writer was there at this time or later; zero: nothing was heard of it
	behind time.Time // since when the machine is older than the follower, or has not heard the writer; zero: neither
	silent bool      // was told
}

// NewServerSelector returns a follower's seeker; followers with different seeds spread over the machines.
func NewServerSelector(machines []Server, region string, seed uint64, now time.Time) *ServerSelector {
	s := &ServerSelector{random: rand.New(rand.NewPCG(seed, 0)), start: now}
	var own, others []Server
	for _, i := range s.random.Perm(len(machines)) {
		if machines[i].Region == region {
			own = append(own, machines[i])
		} else {
			others = append(others, machines[i])
		}
	}
	s.order = append(own, others...)
	return s
}

// Next is the machine to ask, after a pause.
func (s *ServerSelector) Next() (Server, time.Duration) {
	m, most := s.order[s.next], pauseQuick
	s.next = (s.next + 1) % len(s.order)
	if s.tries >= len(s.order) {
		most = pauseSlow
	}
	s.tries++
	s.behind = time.Time{}
	least := most / pauseLeast
	return m, least + time.Duration(s.random.Int64N(int64(most-least)))
}

// HeartbeatReceived takes a machine's beat: the writer was there age ago at most, and the machine has a version. It tells whether the
// follower, which has its own version, stays with the machine.
func (s *ServerSelector) HeartbeatReceived(now time.Time, age time.Duration, theirs, own Version) (stays bool) {
	if at := now.Add(-age); at.After(s.heard) {
		s.heard = at
	}
	if age <= stale && theirs.Compare(own) >= 0 {
		s.behind, s.tries = time.Time{}, 0
		return true
	}
	if s.behind.IsZero() {
		s.behind = now
	}
	if age <= stale {
		return now.Sub(s.behind) < stale
	}
	// Once all were asked in vain the writer itself may be gone: when it is back this machine hears it as soon as any.
	return s.tries > len(s.order) && now.Sub(s.behind) < linger
}

// LeaderAge is how long ago the writer was there, at most; Unheard before anything was heard of it.
func (s *ServerSelector) LeaderAge(now time.Time) time.Duration {
	if s.heard.IsZero() {
		return MaxLeaderAge
	}
	return min(now.Sub(s.heard), MaxLeaderAge)
}

// LeaderStale tells whether nothing has been heard for Silence, since the start at the earliest, and whether that is other than
// when it was asked last.
func (s *ServerSelector) LeaderStale(now time.Time) (silent, turned bool) {
	last := s.heard
	if s.start.After(last) {
		last = s.start
	}
	silent = now.Sub(last) >= LeaderTimeout
	turned, s.silent = silent != s.silent, silent
	return silent, turned
}
