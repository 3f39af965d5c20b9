package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// randomHost sends random events that a host is allowed to send, and checks every action against the safety rules. It
// does not simulate servers.
type randomHost struct {
	*harness
	rng           *rand.Rand
	live          map[RequestID]*trackedRequest // all requests until prune removes them
	ids           []RequestID                   // IDs of the live requests, in order of arrival
	timers        []timerDue
	everListed    map[ServerID]bool          // servers that were listed at any time
	notReadySince map[ServerID]time.Duration // since when a server is listed as draining or removed, or not listed
	listed        []Server                   // entries of the latest snapshot, as changed by later deltas
	nextID        int                        // number of the latest request
	nextServer    ServerID
}

// trackedRequest is a request as the host knows it.
type trackedRequest struct {
	class       int
	deadline    time.Duration
	attempts    []trackedAttempt
	answered    bool // needs no answer: it has its final answer, its connection has ended or its client has disconnected
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

// check checks an action against the safety rules.
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
			h.t.Fatalf("request %s migrated without an established connection", a.ID)
		}
	case Probe:
		if !h.everListed[a.Server] {
			h.t.Fatalf("probed unknown server %d", a.Server)
		}
	case SetTimer:
		if a.Delay <= 0 || a.Delay > time.Hour {
			h.t.Fatalf("timer with a delay of %v, want above 0 and at most 1h", a.Delay)
		}
		h.timers = append(h.timers, timerDue{h.now + a.Delay, a.Token})
	}
}

// checkReject checks that the client may safely repeat a rejected request. It does not check the dedup window.
func (h *randomHost) checkReject(a Reject) {
	h.t.Helper()
	r := h.wantUnanswered(a.ID)
	class := h.b.settings.Classes[r.class]
	deduplicated := class.Idempotency == IdempotentByKey && class.KeyScope == ScopeAll
	if class.Idempotency != Idempotent && !deduplicated {
		for _, attempt := range r.attempts {
			if !attempt.ended || !attempt.code.NeverExecuted() {
				h.t.Fatalf("request %s rejected although it may have been executed", a.ID)
			}
		}
	}
	r.answered = true
}

// wantUnanswered fails the test unless the request still needs a final answer.
func (h *randomHost) wantUnanswered(id RequestID) *trackedRequest {
	h.t.Helper()
	r := h.live[id]
	if r == nil || r.answered || r.established {
		h.t.Fatalf("action for request %s, which needs no answer", id)
	}
	return r
}

// checkAttempt checks that a request may be sent to the server now.
func (h *randomHost) checkAttempt(a StartAttempt) {
	h.t.Helper()
	r := h.wantUnanswered(a.ID)
	if h.now > r.deadline {
		h.t.Fatalf("request %s placed after its deadline", a.ID)
	}
	if !h.everListed[a.Server] {
		h.t.Fatalf("request %s placed on unknown server %d", a.ID, a.Server)
	}
	if at, ok := h.notReadySince[a.Server]; ok && h.now > at+h.b.settings.Safety.DrainGrace {
		h.t.Fatalf("request %s placed on server %d, which has not been ready for %v", a.ID, a.Server, h.now-at)
	}
	if len(r.attempts) >= h.b.settings.MaxAttempts {
		h.t.Fatalf("request %s has more attempts than MaxAttempts: attempt %d", a.ID, len(r.attempts)+1)
	}
	class := h.b.settings.Classes[r.class]
	for i, at := range r.attempts {
		if !at.ended {
			h.t.Fatalf("request %s has two attempts in flight", a.ID)
		}
		if at.code.NeverExecuted() || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent {
			h.t.Fatalf("request %s is not idempotent and is sent again after code %d", a.ID, at.code)
		}
		from, to := h.b.servers[at.server], h.b.servers[a.Server]
		if h.now > r.attempts[i].sent+class.DedupWindow || class.KeyScope == ScopeZone && from.Zone != to.Zone ||
			class.KeyScope == ScopeCell && (from.Cell != to.Cell || from.Zone != to.Zone) {
			h.t.Fatalf("request %s is sent again outside its key scope or dedup window", a.ID)
		}
	}
	r.attempts = append(r.attempts, trackedAttempt{server: a.Server, sent: h.now, timeout: a.Timeout})
}

// advance moves the clock by d, fires the expired timers and ends the attempts that have timed out. It fails the test
// if a request has no answer 20 ms after its deadline.
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
			h.t.Fatalf("request %s has no answer %v after its deadline", id, h.now-r.deadline)
		}
	}
	h.prune()
}

// prune forgets the requests that need no answer and have no attempt in flight.
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

// finish ends a request's latest attempt with the given outcome.
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

// listEvent sends a random update of the endpoint list, or reports a failed call to discovery.
func (h *randomHost) listEvent() {
	switch h.rng.IntN(6) {
	case 0:
		h.sendChecked(ListReceived{Kind: ListFailed})
	case 1: // some servers drain, are removed or restart
		var changed []Server
		for i := range h.listed {
			if h.rng.IntN(5) == 0 {
				h.listed[i].State = State(h.rng.IntN(3))
				h.listed[i].Started = h.now - time.Duration(h.rng.IntN(3))*time.Second
				changed = append(changed, h.listed[i])
			}
		}
		h.sendList(ListDelta, changed)
	case 2: // all servers are removed
		h.listed = nil
		h.sendList(ListSnapshot, nil)
	default: // a snapshot with other servers
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

// sendList sends an update of the endpoint list and records which servers it makes ready or not ready.
func (h *randomHost) sendList(kind ListKind, entries []Server) {
	ready := map[ServerID]bool{}
	for _, s := range entries {
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
	h.sendChecked(ListReceived{Kind: kind, Servers: entries})
}

// step sends a random event that a host is allowed to send.
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

// anyRequest returns a random live request, or nil if there is none.
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

// progressAttempt establishes the connection of a random attempt, or ends the attempt or its connection.
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

// The actions follow the safety rules that randomHost.check tests, for random sequences of events that a host may send,
// and the stored state stays within its limits.
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
			// Advance often, so that timers and timeouts are not reported much later than they expire.
			if h.rng.IntN(3) == 0 {
				h.advance(5 * time.Millisecond)
			}
		}
		if len(h.b.requests.byID) > len(h.live) {
			t.Fatalf("seed %d: the balancer has %d requests, only %d are live", seed, len(h.b.requests.byID), len(h.live))
		}
		if len(h.b.clients.records) > maxClientRecords || len(h.b.requests.waiting) > len(h.b.requests.byID) ||
			len(h.b.answers.ownZone) > maxAnswers {
			t.Fatalf("seed %d: more client records, waiting requests or probe answers than allowed", seed)
		}
	}
}
