package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// randomHost keeps a host's obligations with random legal events. It models no server and measures nothing; it checks
// the rules on every action.
type randomHost struct {
	*harness
	rng           *rand.Rand
	live          map[RequestID]*trackedRequest
	ids           []RequestID // of live, in order of arrival
	timers        []timerDue
	everListed    map[ServerID]bool          // servers that a list has named
	notReadySince map[ServerID]time.Duration // when a server was listed as draining or removed
	listed        []Server                   // the latest snapshot
	nextID        int                        // of the latest request
	nextServer    ServerID
}

// trackedRequest is a request as the host knows it.
type trackedRequest struct {
	class       int
	deadline    time.Duration
	attempts    []trackedAttempt
	answered    bool // it got a final answer, or its client has disconnected
	established bool
}

// trackedAttempt is an attempt as the host knows it.
type trackedAttempt struct {
	server  ServerID
	sent    time.Duration
	timeout time.Duration
	ended   bool
	code    Code
}

// timerDue is a timer that the balancer has set.
type timerDue struct {
	at    time.Duration
	token uint64
}

// sendChecked sends an event and checks the actions that it causes.
func (h *randomHost) sendChecked(ev Event) {
	h.t.Helper()
	for _, a := range h.send(ev) {
		h.check(a)
	}
}

// check checks an action against the rules.
func (h *randomHost) check(a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case StartAttempt:
		h.checkAttempt(a)
	case Reject:
		h.checkReject(a)
	case Fail:
		h.wantUnanswered(a.ID).answered = true
	case Migrate:
		if r := h.live[a.ID]; r == nil || !r.established {
			h.t.Fatalf("migrated %s, which is not established", a.ID)
		}
	case Probe:
		if !h.everListed[a.Server] {
			h.t.Fatalf("probed unknown server %d", a.Server)
		}
	case SetTimer:
		if a.Delay <= 0 || a.Delay > time.Hour {
			h.t.Fatalf("timer of %v", a.Delay)
		}
		h.timers = append(h.timers, timerDue{h.now + a.Delay, a.Token})
	}
}

// checkReject checks that repeating a rejected request is harmless.
func (h *randomHost) checkReject(a Reject) {
	h.t.Helper()
	r := h.wantUnanswered(a.ID)
	class := h.b.settings.Classes[r.class]
	deduplicated := class.Idempotency == IdempotentByKey && class.KeyScope == ScopeAll
	if class.Idempotency != Idempotent && !deduplicated {
		for _, attempt := range r.attempts {
			if !attempt.ended || !attempt.code.NeverExecuted() {
				h.t.Fatalf("%s rejected though it may have executed", a.ID)
			}
		}
	}
	r.answered = true
}

// wantUnanswered expects a request that still waits for its answer.
func (h *randomHost) wantUnanswered(id RequestID) *trackedRequest {
	h.t.Helper()
	r := h.live[id]
	if r == nil || r.answered || r.established {
		h.t.Fatalf("answered %s, to which nothing is owed", id)
	}
	return r
}

// checkAttempt checks that a request may be sent to this server now.
func (h *randomHost) checkAttempt(a StartAttempt) {
	h.t.Helper()
	r := h.wantUnanswered(a.ID)
	if h.now > r.deadline {
		h.t.Fatalf("%s placed after its deadline", a.ID)
	}
	if !h.everListed[a.Server] {
		h.t.Fatalf("%s placed on unknown server %d", a.ID, a.Server)
	}
	if at, ok := h.notReadySince[a.Server]; ok && h.now > at+h.b.settings.Safety.DrainGrace {
		h.t.Fatalf("%s placed on server %d, draining for %v", a.ID, a.Server, h.now-at)
	}
	if len(r.attempts) >= h.b.settings.MaxAttempts {
		h.t.Fatalf("%s placed a %d. time", a.ID, len(r.attempts)+1)
	}
	class := h.b.settings.Classes[r.class]
	for i, at := range r.attempts {
		if !at.ended {
			h.t.Fatalf("%s has two attempts out", a.ID)
		}
		if at.code.NeverExecuted() || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent {
			h.t.Fatalf("unsafe %s sent again after code %d", a.ID, at.code)
		}
		from, to := h.b.servers[at.server], h.b.servers[a.Server]
		if h.now > r.attempts[i].sent+class.DedupWindow || class.KeyScope == ScopeZone && from.Zone != to.Zone ||
			class.KeyScope == ScopeCell && (from.Cell != to.Cell || from.Zone != to.Zone) {
			h.t.Fatalf("keyed %s sent again outside its group or window", a.ID)
		}
	}
	r.attempts = append(r.attempts, trackedAttempt{server: a.Server, sent: h.now, timeout: a.Timeout})
}

// advance moves the clock, fires what is due and ends what has timed out.
func (h *randomHost) advance(d time.Duration) {
	h.now += d
	due := h.timers
	h.timers = nil
	for _, t := range due {
		if t.at <= h.now {
			h.sendChecked(TimerFired{Token: t.token})
		} else {
			h.timers = append(h.timers, t)
		}
	}
	for _, id := range h.ids {
		r := h.live[id]
		if n := len(r.attempts); n > 0 && !r.established && !r.attempts[n-1].ended {
			if at := r.attempts[n-1]; h.now >= min(at.sent+at.timeout, r.deadline) {
				h.finish(id, TimedOut)
			}
		}
		if !r.answered && !r.established && h.now > r.deadline+20*time.Millisecond {
			h.t.Fatalf("%s still owed %v after its deadline", id, h.now-r.deadline)
		}
	}
	h.prune()
}

func (h *randomHost) prune() {
	kept := h.ids[:0]
	for _, id := range h.ids {
		r := h.live[id]
		n := len(r.attempts)
		if r.answered && (n == 0 || r.attempts[n-1].ended) {
			delete(h.live, id)
		} else {
			kept = append(kept, id)
		}
	}
	h.ids = kept
}

// finish gives the outcome of a request's latest attempt.
func (h *randomHost) finish(id RequestID, code Code) {
	r := h.live[id]
	n := len(r.attempts) - 1
	r.attempts[n].ended, r.attempts[n].code = true, code
	final := r.answered || r.established || code == OK
	if r.established || code == OK {
		r.answered = true
	}
	h.sendChecked(AttemptEnded{ID: id, Attempt: n, Server: r.attempts[n].server, Code: code, Final: final,
		Report: NoLoadReport})
	r.established = false
}

func (h *randomHost) listEvent() {
	switch h.rng.IntN(6) {
	case 0:
		h.sendChecked(ListReceived{Kind: ListFailed})
	case 1: // some drain, go or restart
		var lines []Server
		for i := range h.listed {
			if h.rng.IntN(5) == 0 {
				h.listed[i].State = State(h.rng.IntN(3))
				h.listed[i].Started = h.now - time.Duration(h.rng.IntN(3))*time.Second
				lines = append(lines, h.listed[i])
			}
		}
		h.sendList(ListDelta, lines)
	case 2: // all vanish
		h.listed = nil
		h.sendList(ListSnapshot, nil)
	default: // replaced ids, a new complete list
		h.listed = nil
		for range h.rng.IntN(8) + 1 {
			if h.rng.IntN(3) == 0 {
				h.nextServer++
			}
			id := h.nextServer - ServerID(h.rng.IntN(6))
			zone := []string{"a", "b"}[id%2]
			h.listed = append(h.listed, Server{ID: id, Zone: zone, Cell: int(id % 5), Weight: float64(h.rng.IntN(3))})
		}
		h.sendList(ListSnapshot, h.listed)
	}
}

func (h *randomHost) sendList(kind ListKind, lines []Server) {
	ready := map[ServerID]bool{}
	for _, s := range lines {
		h.everListed[s.ID] = true
		ready[s.ID] = s.State == Ready
	}
	for id := range h.everListed {
		is, listed := ready[id]
		if _, was := h.notReadySince[id]; is {
			delete(h.notReadySince, id)
		} else if !was && (listed || kind == ListSnapshot) {
			h.notReadySince[id] = h.now
		}
	}
	h.sendChecked(ListReceived{Kind: kind, Servers: lines})
}

// step sends one random legal event.
func (h *randomHost) step() {
	switch k := h.rng.IntN(100); {
	case k < 25:
		h.sendRequest()
	case k < 30:
		h.restoreConnection()
	case k < 60:
		h.progressAttempt()
	case k < 65:
		if id, r := h.anyRequest(); r != nil && !r.answered {
			r.answered, r.established = true, false
			h.sendChecked(ClientDisconnected{ID: id})
		}
	case k < 75:
		s := h.nextServer - ServerID(h.rng.IntN(8))
		code := Code(h.rng.IntN(8))
		report := LoadReport{Load: h.rng.Float64()*2 - 0.3, Connections: -1}
		h.sendChecked(ProbeCompleted{Server: s, Code: code, Report: report})
	case k < 80:
		if id, r := h.anyRequest(); r != nil && r.established {
			s := r.attempts[len(r.attempts)-1].server
			delay := time.Duration(h.rng.IntN(300)) * time.Millisecond
			h.sendChecked(MessageDelayReported{ID: id, Server: s, Delay: delay})
			h.sendChecked(LoadChanged{ID: id, Load: h.rng.Float64()})
		}
	case k < 83:
		h.listEvent()
	default:
		h.advance(time.Duration(h.rng.IntN(60)) * time.Millisecond)
	}
	h.prune()
}

// anyRequest returns a random live request; nil: there is none.
func (h *randomHost) anyRequest() (RequestID, *trackedRequest) {
	if len(h.ids) == 0 {
		return "", nil
	}
	id := h.ids[h.rng.IntN(len(h.ids))]
	return id, h.live[id]
}

func (h *randomHost) sendRequest() {
	h.nextID++
	id := RequestID(name("q", h.nextID))
	r := &trackedRequest{class: h.rng.IntN(5),
		deadline: h.now + time.Duration(h.rng.IntN(3000)+1)*time.Millisecond}
	h.live[id], h.ids = r, append(h.ids, id)
	h.sendChecked(RequestArrived{ID: id, Class: r.class, Key: name("k", h.rng.IntN(40)),
		Group: name("g", h.rng.IntN(4)), Remaining: r.deadline - h.now, MidFlow: h.rng.IntN(9) == 0,
		Load: h.rng.Float64() / 10})
}

func (h *randomHost) restoreConnection() {
	h.nextID++
	id, s := RequestID(name("o", h.nextID)), h.nextServer-ServerID(h.rng.IntN(8))
	h.live[id] = &trackedRequest{established: true, attempts: []trackedAttempt{{server: s}}}
	h.ids = append(h.ids, id)
	request := RequestArrived{ID: id, Key: name("k", h.rng.IntN(40))}
	h.sendChecked(ConnectionRestored{Request: request, Server: s})
}

// progressAttempt establishes the connection of an attempt, or ends the attempt or its connection.
func (h *randomHost) progressAttempt() {
	id, r := h.anyRequest()
	if r == nil || len(r.attempts) == 0 || r.attempts[len(r.attempts)-1].ended {
		return
	}
	if n := len(r.attempts) - 1; !r.established && !r.answered && h.rng.IntN(2) == 0 {
		r.established = true
		h.sendChecked(Established{ID: id, Attempt: n, Server: r.attempts[n].server})
	} else if r.established {
		h.finish(id, []Code{OK, Reset, Cancelled}[h.rng.IntN(3)])
	} else {
		h.finish(id, Code(h.rng.IntN(7)+1))
	}
}

// The rules hold for any sequence of legal events, and no state grows without bound.
func TestSafetyRulesHoldForAnyEvents(t *testing.T) {
	for seed := range uint64(40) {
		set := settings()
		set.Seed, set.GroupAffinity, set.WatchList, set.ProbingAllowed = seed, seed%2 == 0, seed%3 != 0, seed%5 != 0
		h := &randomHost{rng: rand.New(rand.NewPCG(seed, 1)), live: map[RequestID]*trackedRequest{},
			everListed: map[ServerID]bool{}, notReadySince: map[ServerID]time.Duration{}, nextServer: 20}
		b, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		h.harness = &harness{t: t, b: b, now: 500 * time.Second}
		h.sendChecked(Started{})
		for range 4000 {
			h.step()
			// Timers and time-outs are due at most a tick late.
			if h.rng.IntN(3) == 0 {
				h.advance(5 * time.Millisecond)
			}
		}
		if len(h.b.requests.byID) > len(h.live) {
			t.Fatalf("seed %d: %d requests, %d live", seed, len(h.b.requests.byID), len(h.live))
		}
		if len(h.b.clients.records) > maxClientRecords || len(h.b.requests.waiting) > len(h.b.requests.byID) ||
			len(h.b.answers.ownZone) > maxAnswers {
			t.Fatalf("seed %d: state beyond its bounds", seed)
		}
	}
}
