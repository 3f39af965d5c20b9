package quic

import (
	"net/netip"
	"time"
)

// maxLimitedSources is the maximum number of sources that a sourceLimiter tells apart. Further ones share one limit.
const maxLimitedSources = 8192

// sourceLimiter limits how many datagrams of some kind each source address may send per second, so that one client that
// sends at full speed does not keep the frontend from the datagrams of others. One goroutine owns it.
type sourceLimiter struct {
	// perSecond is the limit of one source.
	perSecond int
	// windowEnd is when the counts begin anew.
	windowEnd time.Time
	counts    map[netip.AddrPort]int
}

func newSourceLimiter(perSecond int) *sourceLimiter {
	return &sourceLimiter{perSecond: perSecond, counts: map[netip.AddrPort]int{}}
}

// allow counts a datagram and reports whether its source is within the limit.
func (l *sourceLimiter) allow(source netip.AddrPort, now time.Time) bool {
	if now.After(l.windowEnd) {
		l.windowEnd = now.Add(time.Second)
		clear(l.counts)
	}
	count, known := l.counts[source]
	if !known && len(l.counts) >= maxLimitedSources {
		source = netip.AddrPort{}
		count = l.counts[source]
	}
	if count >= l.perSecond {
		return false
	}
	l.counts[source] = count + 1
	return true
}
