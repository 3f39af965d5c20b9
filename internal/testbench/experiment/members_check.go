package experiment

import (
	"slices"
	"time"

	"cottonplank/internal/cluster/membership"
)

// memberEventKind says what happened in a run of the membership.
type memberEventKind uint8

const (
	memberStarted  memberEventKind = iota // a process of Member begins
	memberKilled                          // by kill -9
	memberStopped                         // a planned stop begins
	memberPaused                          // SIGSTOP
	memberResumed                         // SIGCONT
	pathCut                               // from Member to Other
	pathHealed                            //
	faultsEnded                           // the last fault is over
	memberReported                        // Member says that Other is in State
	memberPolled                          // Member tells Alive, Size and Version
)

// memberEvent is one thing that happened, or that an instance said.
type memberEvent struct {
	At      time.Duration
	Kind    memberEventKind
	Member  int
	Other   int
	State   membership.State
	Alive   int
	Size    int
	Version uint64
}

// Bounds of the checker.
const (
	longestPause   = 8 * time.Second         // who was stopped for longer may be taken for failed
	reachableFor   = 10 * time.Second        // who could be reached by most for so long may not
	detectWithin   = 20 * time.Second        // a failure that is not told by then counts as not detected
	leftWithin     = 5 * time.Second         // so does a planned stop
	joinedWithin   = 3 * time.Second         // a process that lives for longer has to be counted
	notDetected    = 1e6                     // milliseconds
	disturbedAhead = 1500 * time.Millisecond // an observer that was disturbed so long before an event may be late
)

// memberFindings are what the checker found.
type memberFindings struct {
	FalseFailed   []memberEvent
	SizeBelowLive int
	ViewsBack     int
	Detect        []float64 // milliseconds, for each kill: until all that could tell did
	Suspect       []float64 // the same until all had the detector's report, which is not confirmed yet
	Left          []float64 // the same for planned stops
	Agree         float64   // milliseconds from the end of the last fault until all told the truth for good
}

// memberChecker follows a run of n instances.
type memberChecker struct {
	n        int
	events   []memberEvent
	now      time.Duration
	live     []bool
	since    []time.Duration // of the process that lives, or since when none does
	pausedAt []time.Duration // below 0: it is not stopped
	pauseEnd []time.Duration // of the latest pause that was longer than longestPause
	cut      [][]bool
	lonely   []time.Duration // when most others last could not reach it
	version  []uint64
	ended    time.Duration // below 0: the faults go on
	wrong    time.Duration // when an instance last did not tell the truth
	found    memberFindings
}

// checkMembers goes through the events of a run, in the order of their times.
func checkMembers(n int, events []memberEvent) memberFindings {
	slices.SortStableFunc(events, func(a, b memberEvent) int { return int(a.At - b.At) })
	c := &memberChecker{n: n, events: events, live: make([]bool, n), since: make([]time.Duration, n), pausedAt: make([]time.Duration, n),
		pauseEnd: make([]time.Duration, n), lonely: make([]time.Duration, n), version: make([]uint64, n), ended: -1}
	for i := range n {
		c.pausedAt[i], c.pauseEnd[i] = -1, -time.Hour
		c.cut = append(c.cut, make([]bool, n))
	}
	for i, e := range events {
		c.now = e.At
		c.take(i, e)
		c.noteLonely()
	}
	if c.ended >= 0 {
		c.found.Agree = max(0, milliseconds(c.wrong-c.ended))
	}
	return c.found
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *memberChecker) take(i int, e memberEvent) {
	c.follow(e)
	switch e.Kind {
	case memberKilled:
		if !c.startsWithin(i, detectWithin) {
			c.found.Suspect = append(c.found.Suspect, c.untilAllSay(i, membership.Suspect, detectAim*time.Millisecond, detectWithin))
			c.found.Detect = append(c.found.Detect, c.untilAllSay(i, membership.Failed, detectAim*time.Millisecond, detectWithin))
		}
	case memberStopped:
		c.found.Left = append(c.found.Left, c.untilAllSay(i, membership.Left, leftAim*time.Millisecond, leftWithin))
	case faultsEnded:
		c.ended, c.wrong = e.At, e.At
	case memberReported:
		if e.State == membership.Failed && c.isFalse(e) {
			c.found.FalseFailed = append(c.found.FalseFailed, e)
		}
	case memberPolled:
		c.polled(e)
	}
}

// follow takes over what becomes of processes and paths.
func (c *memberChecker) follow(e memberEvent) {
	switch e.Kind {
	case memberStarted:
		c.live[e.Member], c.since[e.Member], c.version[e.Member] = true, e.At, 0
	case memberKilled, memberStopped:
		c.live[e.Member], c.since[e.Member], c.pausedAt[e.Member] = false, e.At, -1
	case memberPaused:
		c.pausedAt[e.Member] = e.At
	case memberResumed:
		if e.At-c.pausedAt[e.Member] > longestPause {
			c.pauseEnd[e.Member] = e.At
		}
		c.pausedAt[e.Member] = -1
	case pathCut:
		c.cut[e.Member][e.Other] = true
	case pathHealed:
		c.cut[e.Member][e.Other] = false
	}
}

// polled compares what an instance tells of the whole with the truth.
func (c *memberChecker) polled(e memberEvent) {
	if !c.live[e.Member] {
		return
	}
	if e.Version < c.version[e.Member] {
		c.found.ViewsBack++
	}
	c.version[e.Member] = e.Version
	counted, alive := 0, 0
	for i := range c.n {
		if !c.live[i] {
			continue
		}
		alive++
		if c.now-c.since[i] > joinedWithin {
			counted++
		}
	}
	if e.Size < counted {
		c.found.SizeBelowLive++
	}
	if c.ended >= 0 && e.Alive != alive {
		c.wrong = e.At
	}
}

// isFalse tells whether a failure is reported of a live process that most others have been able to reach, by an instance that
// lives.
func (c *memberChecker) isFalse(e memberEvent) bool {
	m := e.Other
	stopped := c.pausedAt[m] >= 0 && c.now-c.pausedAt[m] > longestPause || c.now-c.pauseEnd[m] < reachableFor
	young := c.now-c.since[m] < reachableFor
	return c.live[e.Member] && c.live[m] && !young && !stopped && c.now-c.lonely[m] > reachableFor
}

// noteLonely notes whom most others cannot reach.
func (c *memberChecker) noteLonely() {
	for m := range c.n {
		if !c.reached(m) {
			c.lonely[m] = c.now
		}
	}
}

// reached tells whether most of the other live processes reach m, both ways.
func (c *memberChecker) reached(m int) bool {
	others, reach := 0, 0
	for i := range c.n {
		if i == m || !c.live[i] {
			continue
		}
		others++
		if !c.cut[i][m] && !c.cut[m][i] && c.pausedAt[i] < 0 {
			reach++
		}
	}
	return 2*reach > others
}

// startsWithin tells whether the member of the i-th event has a new process soon.
func (c *memberChecker) startsWithin(i int, span time.Duration) bool {
	for _, e := range c.events[i+1:] {
		if e.At > c.now+span {
			return false
		}
		if e.Kind == memberStarted && e.Member == c.events[i].Member {
			return true
		}
	}
	return false
}

// untilAllSay is how long it takes until all that can tell say so of the i-th event's member, in milliseconds. Who is
// stopped or cut off from most others before the aim's time is over, and has not told by then, cannot.
func (c *memberChecker) untilAllSay(i int, state membership.State, aim, span time.Duration) float64 {
	said := map[int]time.Duration{}
	for _, e := range c.events[i+1:] {
		if e.At > c.now+span {
			break
		}
		if _, before := said[e.Member]; !before && e.Kind == memberReported && e.Other == c.events[i].Member && e.State == state {
			said[e.Member] = e.At
		}
	}
	disturbed := c.disturbedFrom(i, c.now+aim)
	last := c.now
	for o := range c.n {
		at, told := said[o]
		from, is := disturbed[o]
		switch {
		case !c.live[o] || is && (!told || from < at):
		case !told:
			return notDetected
		default:
			last = max(last, at)
		}
	}
	return milliseconds(last - c.now)
}

// disturbedFrom tells since when each instance that is disturbed about the i-th event, up to a time, has been so.
func (c *memberChecker) disturbedFrom(i int, until time.Duration) map[int]time.Duration {
	from := map[int]time.Duration{}
	mark := func(member int, at time.Duration) {
		if _, known := from[member]; !known {
			from[member] = at
		}
	}
	for _, e := range c.events[:i] {
		if e.At >= c.now-disturbedAhead && isDisturbance(e.Kind) {
			mark(e.Member, e.At)
		}
	}
	ahead := c.clone()
	for _, e := range append([]memberEvent{{At: c.now, Kind: memberPolled}}, c.events[i+1:]...) {
		if e.At > until {
			break
		}
		if isDisturbance(e.Kind) {
			mark(e.Member, e.At)
		}
		ahead.follow(e)
		for o := range c.n {
			if ahead.pausedAt[o] >= 0 || !ahead.reached(o) {
				mark(o, e.At)
			}
		}
	}
	return from
}

func isDisturbance(kind memberEventKind) bool {
	return kind == memberStarted || kind == memberKilled || kind == memberStopped || kind == memberPaused || kind == memberResumed
}

// clone copies what is known of processes and paths.
func (c *memberChecker) clone() *memberChecker {
	copied := &memberChecker{n: c.n, live: slices.Clone(c.live), since: slices.Clone(c.since), pausedAt: slices.Clone(c.pausedAt),
		pauseEnd: slices.Clone(c.pauseEnd), version: slices.Clone(c.version)}
	for _, row := range c.cut {
		copied.cut = append(copied.cut, slices.Clone(row))
	}
	return copied
}
