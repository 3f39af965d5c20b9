package decide

// The decisions. The interface (settings, events, actions) is in decide/api.go.
// The design is a resolver's: a list of ready servers, polled and cached, own zone first; see docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Times.
const (
	tick         = 250 * time.Millisecond  // periodic work: probes, polls, moves
	pollBase     = 10 * time.Second        // period of the poll, and what each balancer adds,
	pollEach     = 100 * time.Millisecond  // as the list service does not grow with the fleet
	pollFirst    = time.Second             // the first poll comes within this
	pollRetry    = time.Second             // first wait after a failed call, doubled and jittered
	deadAfter    = 5 * time.Second         // the design's timeout: no server answers for so long
	poolAge      = 10 * time.Second        // an older answer says nothing
	askMost      = 2 * time.Second         // a group's servers are asked again after this, in a large fleet
	askLeast     = 250 * time.Millisecond  // sooner, down to this: a report is hardly newer,
	askFleet     = 8 * time.Second         // divided by the balancers, each of which makes it out of date,
	hotAge       = 500 * time.Millisecond  // so old a report of a server short of room is asked for again
	usualLife    = 30 * time.Second        // a connection that stands counts as placed once in so long
	askWait      = 60 * time.Millisecond   // and the request waits this long for their answers
	slowFor      = 2 * time.Second         // a note of slow messages counts so long; it comes each second
	moveSettle   = 2500 * time.Millisecond // a report may take so long to show what was moved
	spillFor     = 5 * time.Second         // how long other zones are probed after a spill
	ejectFirst   = 4 * time.Second         // outlier ejection: first time out, doubled on and on,
	ejectMost    = 30 * time.Second        // at most this
	fullRest     = time.Second             // a full server is left alone for this
	refuseRest   = 200 * time.Millisecond  // a refused client is told to stay away for this, up to twice
	reportLag    = 600 * time.Millisecond  // for so long a report may not show a placement yet
	fadeTime     = 10 * time.Second        // memory of attempts for throttling
	needTime     = 2 * time.Second         // memory of the requests that come
	rateTime     = 20 * time.Second        // memory of the rate of connections set up
	capacityTime = 60 * time.Second        // memory of what a warm server can take
	rememberFor  = 60 * time.Second        // clients' last servers, and servers gone
)

// Loads are over capacity, as servers report them.
const (
	roomyLoad  = 0.7  // under this a server has room; when none has, other zones come in
	fullLoad   = 0.8  // above this a server gets nothing new
	hiddenLoad = 0.1  // less for room, and half of it for full, as others place what no report shows yet
	moveLoad   = 0.95 // above this, or moveTarget when its messages are slow, it loses connections,
	moveTarget = 0.75 // until it is down to this
	mostLoad   = 100  // a report of more is spoilt: by it all would be moved off, or booked too dear
)

// Counts and parts.
const (
	poolSize     = 8    // answers kept to choose from
	poolUses     = 2    // placements on one answer, so that few balancers follow the same one
	probeShare   = 0.01 // worth spent on probes, as a part of what is placed,
	probeLeast   = 0.5  // and probes a second when little is placed
	probeFew     = 4.0  // shared out where more balancers than this hold nothing
	poolTurn     = 4    // one steady probe in so many is the pool's where a balancer holds few connections
	probeDebt    = 4    // probes ahead of the steady ones, for servers with slow messages
	askCount     = 2    // servers of a zone that are asked for a request when none is known to have room
	homeCount    = 3    // servers of a group in a zone, and no more than half of the zone's
	openGroup    = 5.0  // price of opening a group at a server, in connections; it pays 3 while it holds any
	ejectPart    = 0.5  // part of the cache that may be ejected at once
	coldSafety   = 0.5  // part of the slow-start budget that is used where each balancer has requests;
	coldUseLeast = 0.4  // else its part lies idle at times, and may be larger, by one over this at most
	windowMost   = 64.0 // dials that may be out at most
	setupSlack   = 2    // a dial waits for this multiple of the usual set-up time at least,
	setupMemory  = 8    // which is averaged over so many
	coldLeast    = 0.2  // connections that all together may send a cold server before they know more
	waitFree     = 4    // requests that may wait for room in any case
	throttleFree = 4.0  // attempts that may have run in vain beyond as many as stood
)

// ---- discovery: poll, cache, bootstrap

func (b *Balancer) start() {
	b.lastSign = b.now
	b.do(SetTimer{Token: timerTick, Delay: 1 + b.jitter(tick)})
	// The restored list may be stale: what has changed since counts as told soon, asked or not.
	b.pollAt = b.now + b.jitter(min(pollFirst, cmp.Or(b.set.Safety.MaxPollInterval/2, pollBase)))
}

// period spreads the calls of all balancers over what one list service can answer.
func (b *Balancer) period() time.Duration {
	return max(pollBase, b.set.Safety.MaxPollInterval) + time.Duration(b.fleet.Fleet)*pollEach
}

// poll makes the period's one call: the cheap one where a subscription brings only changes.
func (b *Balancer) poll() {
	b.pollAt = b.now + b.period()
	if b.set.WatchList {
		b.do(WatchList{})
	} else {
		b.do(FetchList{})
	}
}

func (b *Balancer) list(ev ListReceived) {
	if ev.Kind == ListFailed {
		// Guards against a list service that is down or swamped: backoff with jitter; see also Reach.
		wait := min(pollRetry<<min(b.pollFails, 5), b.period())
		b.pollFails++
		b.pollAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	b.pollFails = 0
	b.lists++
	changed := make([]*server, 0, len(ev.Servers))
	for _, line := range ev.Servers {
		s := b.record(line.ID)
		if line.Started != s.Started { // a restart: what was known is void
			*s = server{Server: s.Server, order: s.order, told: s.told, conns: s.conns, groups: s.groups,
				place: s.place}
		}
		b.setState(s, line.State)
		s.Server, s.place.listed = line, b.lists
		changed = append(changed, s)
	}
	if ev.Kind != ListDelta {
		for _, s := range b.servers {
			if s.place.listed != b.lists && s.State != Removed {
				b.setState(s, Removed)
				changed = append(changed, s)
			}
		}
	}
	b.relist(changed)
	gone := func(s *server) bool { return s.State != Ready }
	b.pool, b.away = slices.DeleteFunc(b.pool, gone), slices.DeleteFunc(b.away, gone)
	b.retryWaiting()
}

// bootstrap clears the cache when no server has answered within the timeout: a fresh list is fetched,
// and until it comes the last list's ready servers are tried again with nothing held against them.
func (b *Balancer) bootstrap() {
	b.do(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.lastSign)})
	b.lastSign, b.failing, b.pool = b.now, false, b.pool[:0]
	for _, s := range b.ready {
		s.streak, s.ejected, s.slow, s.at = 0, 0, 0, 0
	}
	b.reindexAll(b.ready)
	b.do(FetchList{})
}

// ---- placement

func (b *Balancer) request(ev RequestArrived) {
	b.seq++
	r := &request{RequestArrived: ev, seq: b.seq, deadline: b.now + ev.Remaining}
	b.requests[ev.ID], b.bySeq[r.seq] = r, r
	b.need++
	b.do(SetTimer{Token: r.seq, Delay: ev.Remaining})
	b.ask(r)
	b.place(r, len(b.waiting))
}

// place makes the next attempt for r, before which so many wait, holds it, or answers it.
func (b *Balancer) place(r *request, before int) {
	if r.tries >= b.set.MaxAttempts || b.now >= r.deadline {
		b.answer(r)
		return
	}
	var s *server
	tries := !b.throttled() && b.now >= r.held
	if tries {
		s = b.pick(r)
	}
	if s == nil {
		if r.ran != nil && b.classOf(r).Idempotency != Idempotent || tries && b.hopeless(r, before) {
			b.answer(r)
			return
		}
		b.waiting = append(b.waiting, r)
		return
	}
	b.charge(r, s)
	// Attempt time-outs leave room for the attempts that remain, unless set-ups take long everywhere (a slow
	// session store, say): another server would not be quicker, and the store would do the work twice.
	left := r.deadline - b.now
	wait := min(left, max(left/time.Duration(b.set.MaxAttempts-r.tries), setupSlack*b.setup))
	r.srv, r.out = s, true
	b.dialing++
	r.tries++
	r.tried = append(r.tried, s.ID)
	if r.ran == nil {
		r.ranAt = b.now
	}
	b.do(StartAttempt{ID: r.ID, Server: s.ID, Timeout: wait})
}

// hopeless tells that more wait before r than come to stand, at the pace of late, before its time is up. It
// is refused at once then: guards against a crowd that all waits in vain, and comes back to wait again.
func (b *Balancer) hopeless(r *request, before int) bool {
	return float64(before) > max(waitFree, b.stood/fadeTime.Seconds()*(r.deadline-b.now).Seconds())
}

// throttled guards what all servers share (a session store) against retry storms, in two ways. Adaptive
// throttling: attempts that may have run in vain stay within as many as stood, and a few. A window on the
// dials that are out, halved by time-outs and opened by set-ups: time-outs mean work done for nothing.
func (b *Balancer) throttled() bool {
	return b.wasted > throttleFree+b.stood || b.dialing >= int(b.window)
}

// charge books a placement against the server's answer and, while it is cold, its slow-start budget.
func (b *Balancer) charge(r *request, s *server) {
	s.uses++
	if s.uses >= poolUses || len(b.waiting) > 0 { // others hold requests too and rush to the room shown
		b.unpool(s)
	}
	b.book(r, s, max(b.share(r, s), b.opens(r, s)))
	if b.cold(s) {
		s.credit -= b.weight(r)
	}
}

// pick chooses a server for r, or nil when none may take it now.
func (b *Balancer) pick(r *request) *server {
	was := b.memories[r.Key] // none is kept for the empty key
	if s := b.servers[was.server]; r.MidFlow && r.tries == 0 && s != nil && was.at > 0 && !was.lost {
		// Only the server that holds a connection can go on with it in mid-flow, even while it drains.
		if s.State == Ready || b.now-s.told < b.set.Safety.DrainGrace {
			return s
		}
	}
	fit := func(s *server) bool {
		b.visits++
		return !(was.lost && s.ID == was.server) && b.now >= s.ejected && !b.over(s) && b.allowed(r, s)
	}
	known := func(s *server) bool { return fit(s) && b.fresh(s) && s.load+b.opens(r, s) < b.full }
	room := func(s *server) bool { return known(s) && s.load+b.opens(r, s) < b.roomy }
	homes, away := b.ranked(r)
	if s := first(homes, room); s != nil {
		return s
	}
	if s := first(away, room); s != nil { // it is home to the group in its zone, most likely
		b.spillAt = b.now
		return s
	}
	if s := first(homes, known); s != nil {
		return s
	}
	// Guards against a crowd that strews its groups: a server pays for each that it holds any of, so a fleet
	// short of room loses what is left of it, and does not come out of it by itself. They wait for room.
	short := func(s *server) bool { return b.over(s) || b.cold(s) }
	if slices.ContainsFunc(homes, short) || slices.ContainsFunc(away, short) {
		blind := func(s *server) bool { return fit(s) && !b.fresh(s) }
		homes, away = homes[:min(askCount, len(homes))], away[:min(askCount, len(away))]
		return cmp.Or(first(homes, blind), first(away, blind))
	}
	if s := cmp.Or(first(homes, fit), first(away, fit)); s != nil {
		return s
	}
	best := lightest(b.pool, known)
	if best != nil && best.load < b.roomy {
		return best
	}
	// Short of room, a cold server takes what its slow start allows, asked or not: it has just begun.
	if s := b.inTurn(b.local, b.near.cold, func(s *server) bool { return b.cold(s) && fit(s) }); s != nil {
		return s
	}
	// Fresh answers that leave little room say more of the zone than a server of which nothing is known.
	// Spillover: then, and only then, other zones get what a fresh answer there makes room for.
	// So they do where no server of the zone is fit, as when its only one fails: guards against blind turns.
	if best != nil || slices.ContainsFunc(b.pool, b.over) || !slices.ContainsFunc(b.local, fit) {
		b.spillAt = b.now
		better := func(s *server) bool { return room(s) && (best == nil || s.load < best.load-b.gap) }
		s := cmp.Or(lightest(b.away, better), best)
		if s != nil || slices.ContainsFunc(b.pool, b.over) {
			return s
		}
	}
	// Where nothing is well, rather a doubtful server than none, but never one known to be full.
	doubtful := func(s *server) bool { return !b.over(s) && b.allowed(r, s) }
	for _, fit := range [2]func(*server) bool{fit, doubtful} {
		if s := cmp.Or(b.inTurn(b.local, b.local, fit), b.inTurn(b.remote, b.remote, fit)); s != nil {
			return s
		}
	}
	return nil
}

// fresh tells whether the server's answer still counts.
func (b *Balancer) fresh(s *server) bool { return s.at > 0 && b.now-s.at < poolAge }

// over tells whether a server has no room: one above its capacity serves badly all that it holds, so new
// connections are rather held back for a while than placed there.
func (b *Balancer) over(s *server) bool { return b.now < s.slow || b.fresh(s) && s.load > b.full }

// allowed tells whether the rules let r go to s now.
func (b *Balancer) allowed(r *request, s *server) bool {
	if slices.Contains(r.tried, s.ID) || !b.warmEnough(r, s) {
		return false
	}
	c := b.classOf(r)
	switch {
	case r.ran == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NotIdempotent || b.now+b.set.ConnectTimeout >= r.ranAt+c.DedupWindow: // sent once dialled
		return false
	}
	return c.KeyScope == ScopeAll || s.Zone == r.ran.Zone && (c.KeyScope == ScopeZone || s.Cell == r.ran.Cell)
}

// lightest is the pool's choice: the least load over capacity among its answers.
func lightest(pool []*server, fit func(*server) bool) *server {
	return least(pool, fit, func(s *server) float64 { return s.load })
}

func (b *Balancer) grouped(r *request) bool { return b.set.GroupAffinity && r.Group != "" }

// homes keeps a group together where connections of a group share work: it gives the servers of a zone
// that come first for the group by rendezvous hashing, equal at all balancers, larger ones more often.
// The first with room takes the connection. There are none for a request without a group.
func (b *Balancer) homes(r *request, z *zoneIndex) []*server {
	if !b.grouped(r) {
		return nil
	}
	return b.first(z, hash(r.Group), min(homeCount, (len(z.ready)+1)/2))
}

// ask probes, ahead of the steady probes, the servers that a request depends on: its group's, or a few in
// cache order when no answer in the pool shows room. The request waits a moment for the answers. Where the
// group's first server showed room of late, that is enough.
func (b *Balancer) ask(r *request) {
	known := b.grouped(r) || slices.ContainsFunc(b.pool, func(s *server) bool {
		return b.fresh(s) && s.load < b.roomy && b.warmEnough(r, s)
	})
	homes, far := b.ranked(r)
	for i, targets := range [2][]*server{homes, far} {
		list := [2][]*server{b.local, b.remote}[i]
		settled := i == 0 && len(targets) > 0 && targets[0].load < b.roomy &&
			b.now-targets[0].at < b.askAfter()
		if !b.set.ProbingAllowed || settled || i > 0 && !b.spilling() && !b.grouped(r) {
			return
		}
		targets = targets[:min(askCount, len(targets))]
		for n := 0; !known && n < min(askCount, len(list)); n++ {
			b.probeNext++
			targets = append(targets, list[b.probeNext%len(list)])
		}
		for _, s := range targets {
			if b.now >= s.ejected && b.now-s.at > b.askAfter() && b.now-s.asked > b.askAfter() {
				s.asked, r.held = b.now, b.now+askWait
				b.do(Probe{Server: s.ID})
				b.do(SetTimer{Token: timerHeld, Delay: askWait})
			}
		}
	}
}

// askAfter is how long a report counts for what depends on it: the more balancers place by it, the shorter.
func (b *Balancer) askAfter() time.Duration {
	return max(askLeast, min(askMost, askFleet/time.Duration(b.fleet.Fleet)))
}

func (b *Balancer) cold(s *server) bool {
	return s.Started > 0 && b.now-s.Started < b.set.Safety.SlowStartDuration
}

// warmEnough keeps this balancer within its part of what a cold server may be sent. The part is drawn anew
// for each time in which a server can fall over: parts saved up by many would fall on it together.
func (b *Balancer) warmEnough(r *request, s *server) bool {
	if !b.cold(s) || s.Zone != b.set.Zone || !b.fleet.Admitted {
		return !b.cold(s) // its budget is shared out among the balancers of its own zone that are admitted
	}
	b.countDemand(r, s)
	rules := b.set.Safety
	if b.now >= s.creditUntil {
		age := float64(b.now-s.Started) / float64(rules.SlowStartDuration)
		part := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		span := max(rules.OverloadWindow, tick)
		comes, sharers := b.comesFor(r, s, span), b.sharers()
		work := max(part*b.takes()*span.Seconds(), coldLeast/max(float64(b.fleet.Fleet), sharers))
		use := comes / (1 + comes) // the part of such times in which one comes for it
		mine := coldSafety / max(use, coldUseLeast) * rules.OverloadFactor * work
		if each := b.each(); each > 0 {
			// By demand: of what comes for it, were all to see what this one does, the part that it bears.
			// Guards against parts drawn where no request is, while others hold requests that drew none.
			bears := rules.OverloadFactor * part * span.Seconds() / (each * b.life())
			mine = max(mine, min(coldSafety*bears/(use*sharers), 1))
		}
		s.credit, s.creditUntil = math.Floor(mine+b.rng.Float64()), b.now+span
	}
	return s.credit >= min(b.weight(r), 1)
}

func (b *Balancer) established(ev Established) {
	b.alive(b.server(ev.Server))
	r := b.requests[ev.ID]
	if r == nil || r.srv == nil || !r.out || r.stands {
		return
	}
	r.stands = true
	b.setup += (ev.Elapsed - b.setup) / setupMemory
	b.dialing--
	b.window = min(b.window+1/b.window, windowMost)
	b.new++
	b.stood++
	b.hold(r)
	delete(b.bySeq, r.seq)
	b.retryWaiting()
}

func (b *Balancer) ended(ev AttemptEnded) {
	s, r := b.server(ev.Server), b.requests[ev.ID]
	b.judge(s, ev.Code)
	if r == nil || !r.out || r.srv != s || ev.Attempt != r.tries-1 {
		return
	}
	if !r.stands {
		b.dialing--
		if !ev.Code.NeverExecuted() {
			b.wasted++
		}
	}
	r.out = false
	if ev.Final {
		if r.stands {
			b.remember(r, ev.Code)
		}
		b.forget(r)
		return
	}
	if !ev.Code.NeverExecuted() && r.ran == nil {
		r.ran = s
	}
	if ev.Code == TimedOut {
		b.setup += (max(setupSlack*ev.Elapsed, b.setup) - b.setup) / setupMemory
		if b.now-b.cutAt > tick {
			b.window, b.cutAt = max(b.window/2, 1), b.now
		}
	}
	if r.stands || ev.Code == TimedOut && b.classOf(r).Idempotency != Idempotent {
		b.answer(r) // only safe requests move on after a time-out
		return
	}
	b.place(r, len(b.waiting))
}

// judge is the outlier ejection: a server that fails fast, hangs or breaks connections is left out a while.
func (b *Balancer) judge(s *server, code Code) {
	switch code {
	case OK:
		b.alive(s)
	case Rejected:
		b.sign()
		s.ejected = max(s.ejected, b.now+fullRest)
		b.reindex(s)
	case ServerError, TimedOut, ConnectFailed, Reset:
		if code == ServerError || !b.failing {
			b.lastSign, b.failing = b.now, code != ServerError
		} else if b.now-b.lastSign > deadAfter {
			b.bootstrap()
		}
		s.streak++
		b.eject(s, min(ejectFirst<<min(s.streak-1, 4), ejectMost))
	}
}

func (b *Balancer) eject(s *server, d time.Duration) {
	if b.now >= s.ejected && float64(b.ejected(s)+1) <= ejectPart*float64(len(b.ready)) {
		s.ejected = b.now + d
		b.reindex(s)
		b.unpool(s)
	}
}

// answer gives the final answer: a refusal where trying again is harmless, else a failure.
func (b *Balancer) answer(r *request) {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || r.ran == nil && !r.out || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll {
		rest := refuseRest
		if len(b.waiting) > waitFree { // longer while others wait, so that they are served first
			rest = max(rest, b.set.MaxRetryAfter/2)
		}
		b.do(Reject{ID: r.ID, RetryAfter: min(rest+b.jitter(rest), b.set.MaxRetryAfter)})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.forget(r)
}

func (b *Balancer) probed(ev ProbeCompleted) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if ev.Code != OK {
		b.judge(s, ev.Code)
		return
	}
	b.sign()
	if !(ev.Report.Load >= 0 && ev.Report.Load <= mostLoad) {
		return
	}
	s.load, s.at, s.uses = ev.Report.Load+s.unseen(b.now), b.now, 0
	s.shows(ev.Report)
	b.reindex(s)
	if s.State != Ready {
		return
	}
	if s.place.zone == b.near {
		b.pool = addAnswer(b.pool, s)
		b.learnMean(s.load)
	} else {
		b.away = addAnswer(b.away, s)
	}
	if !b.over(s) {
		b.retryWaiting()
	}
}

// messagesSlow: the servers' own word that they are overloaded; it is repeated once a second while it holds.
func (b *Balancer) messagesSlow(ev MessageDelayReported) {
	s, r := b.server(ev.Server), b.requests[ev.ID]
	if r == nil {
		return
	}
	s.slow = 0
	if aim := b.classOf(r).MessageLatencyObjective; aim > 0 && ev.Delay > aim/2 {
		s.slow = b.now + slowFor
		if s.State == Ready && b.now-s.at > time.Second && b.probeCredit > -probeDebt && b.set.ProbingAllowed {
			b.probeCredit-- // steady probes wait until this one is earned
			b.do(Probe{Server: s.ID})
		}
	}
}

func (b *Balancer) timer(token uint64) {
	switch {
	case token == timerHeld:
		b.retryWaiting()
		return
	case token != timerTick:
		if r := b.bySeq[token]; r != nil {
			b.answer(r) // the client's time is up
		}
		return
	}
	b.do(SetTimer{Token: timerTick, Delay: tick})
	b.learnRates()
	if b.now >= b.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.rebalance()
	b.probe()
	b.expireMemories()
}

// retryWaiting tries the held requests again.
func (b *Balancer) retryWaiting() {
	for left := len(b.waiting) - 1; left >= 0; left-- {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.place(r, len(b.waiting)-left) // those that were held again
	}
}

// rebalance moves connections off a server that is asked for more than it can do, and so serves badly all
// that it holds. Every balancer moves the same part of its own, so that together they move what is too much;
// then the report gets time to show it.
func (b *Balancer) rebalance() {
	b.visits += len(b.held)
	for _, s := range b.held {
		// By the report alone: it shows most of the placements booked since, the rest may never be too much.
		bad := s.reported > moveLoad || b.now < s.slow && s.reported > moveTarget
		if bad && b.fresh(s) && s.at > s.movedAt+moveSettle {
			s.movedAt = b.now
			// Rounded by chance, not drawn one by one, which often moves none of a few until the next turn.
			n := int(float64(len(s.conns))*(1-moveTarget/s.reported) + b.rng.Float64())
			for _, r := range b.farthest(s)[:min(n, len(s.conns))] {
				r.tooMuch = true
				b.do(Migrate{ID: r.ID})
			}
		}
	}
}

// farthest orders a server's connections for moving: those of groups of which it holds fewest first, as far
// as is known, then of those least at home there, equal at all balancers; it stops paying for these.
func (b *Balancer) farthest(s *server) []*request {
	conns := slices.Clone(s.conns)
	b.rng.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
	slices.SortStableFunc(conns, func(x, y *request) int {
		return cmp.Or(b.fewer(s, x, y), cmp.Compare(distance(hash(y.Group), s), distance(hash(x.Group), s)))
	})
	return conns
}

// probe keeps the steady flow of probes, mostly over own-zone cached servers, as many as their price allows.
func (b *Balancer) probe() {
	if !b.set.ProbingAllowed || len(b.local) == 0 {
		return
	}
	worth := max(b.rate, float64(len(b.requests))/usualLife.Seconds()) // in requests a second
	own, near := b.held, b.local
	least := probeLeast
	if len(own) == 0 { // nothing to watch over: all such together probe as a few do
		least *= min(1, probeFew/float64(b.fleet.Fleet))
	}
	rate := max(least, worth*probeShare/cmp.Or(b.set.Costs.Probe, math.Inf(1)))
	away, unseen, hot := b.remote, b.far.unseen, [2]ordered{b.far.held, b.near.laden}
	if !b.spilling() { // Guards against a server elsewhere whose overload nobody tells: those that hold own
		away, unseen = b.far.held, b.far.held // connections are looked at, or these would stay there.
	}
	// One of many balancers holds connections at few servers. What it learns of the others serves nobody: a
	// request asks for what it depends on. Guards against a fleet that probes more than it places, and yet
	// finds late what overloads its own connections.
	if len(own) > 0 && len(own) < len(b.local) {
		near, away, unseen, hot = own, nil, nil, [2]ordered{own}
	}
	if s := first(unseen, func(s *server) bool { return s.at == 0 && b.now-s.asked > askMost }); s != nil {
		s.asked = b.now // one that was never looked at comes ahead of the steady probes
		b.do(Probe{Server: s.ID})
	}
	b.hotCredit = min(b.hotCredit+rate*tick.Seconds(), probeDebt)
	for _, list := range hot {
		b.probeHot(list)
	}
	b.probeCredit = min(b.probeCredit+min(rate, float64(len(b.local)))*tick.Seconds(), poolSize)
	for ; b.probeCredit >= 1; b.probeCredit-- {
		if b.probeTurn++; b.probeTurn%2 == 0 && len(away) > 0 {
			b.do(Probe{Server: away[b.probeTurn/2%len(away)].ID})
			continue
		}
		from := near
		if b.probeTurn%poolTurn == 0 { // the pool is fed all the same
			from = b.local
		}
		b.probeNext++
		b.do(Probe{Server: from[b.probeNext%len(from)].ID})
	}
}

// probeHot guards against overload that is found late: all that such a server holds is served badly
// meanwhile.
func (b *Balancer) probeHot(list []*server) {
	for _, s := range list {
		if b.hotCredit < 1 {
			return
		}
		b.visits++
		if s.load > b.roomy && b.now-max(s.at, s.asked) >= hotAge {
			s.asked = b.now
			b.hotCredit--
			b.do(Probe{Server: s.ID})
		}
	}
}
