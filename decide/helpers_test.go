package decide

import (
	"fmt"
	"testing"
	"time"
)

// harness sends events to a Balancer and keeps the actions of the latest event.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	actions []Action // actions of the latest event
}

// settings returns the settings of a small deployment. Tests change the settings that they are about.
func settings() Settings {
	return Settings{
		Seed: 7, Zone: "a", Zones: []string{"a", "b"}, Balancers: 4, WatchList: true,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 300 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond,
				ClientTimeout: 2 * time.Second},
			{Name: "keyed", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey,
				KeyScope: ScopeZone, DedupWindow: 5 * time.Second},
			{Name: "unsafe", LatencyObjective: 300 * time.Millisecond, Idempotency: NotIdempotent},
			{Name: "all", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey, KeyScope: ScopeAll,
				DedupWindow: 5 * time.Second},
			{Name: "cell", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey,
				KeyScope: ScopeCell, DedupWindow: 5 * time.Second},
		},
		MaxAttempts: 3, // ProbingAllowed is false, so requests are placed without waiting for answers to probes
		Safety: SafetyLimits{DrainGrace: 500 * time.Millisecond, MaxPollInterval: 10 * time.Second,
			SlowStartInitialCapacity: 0.3, SlowStartDuration: 10 * time.Second,
			OverloadFactor: 3, OverloadWindow: 2 * time.Second},
		Costs: Costs{Probe: 0.002, Migration: 0.02, CrossZone: 0.03},
	}
}

const (
	idempotentClass = iota
	zoneKeyedClass
	unsafeClass
	fleetKeyedClass
	cellKeyedClass
)

func newHarness(t *testing.T, set Settings) *harness {
	t.Helper()
	b, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: 1000 * time.Second}
	h.send(Started{})
	return h
}

func (h *harness) send(ev Event) []Action {
	h.actions = h.b.Handle(h.now, ev, nil)
	return h.actions
}

// tick advances the clock by d and fires the periodic timer once per tickInterval.
func (h *harness) tick(d time.Duration) (actions []Action) {
	for end := h.now + d; h.now < end; {
		h.now += tickInterval
		actions = append(actions, h.send(TimerFired{Token: tickToken})...)
	}
	return actions
}

// servers returns a list of ready servers: as many as the argument a in zone a, with IDs from 1, and as many as b in
// zone b, with IDs from 101.
func servers(a, b int) (list []Server) {
	for i := range a {
		list = append(list, Server{ID: ServerID(i + 1), Zone: "a", Cell: i/2 + 1})
	}
	for i := range b {
		list = append(list, Server{ID: ServerID(i + 101), Zone: "b", Cell: 100 + i/2})
	}
	return list
}

// replaceList sends a snapshot of the endpoint list.
func (h *harness) replaceList(list []Server) []Action {
	return h.send(ListReceived{Kind: ListSnapshot, Servers: list})
}

// reportLoad sends the answer to a probe, with a load report that shows no number of connections.
func (h *harness) reportLoad(id ServerID, load float64) []Action {
	return h.send(ProbeCompleted{Server: id, Code: OK, Report: LoadReport{Load: load, Connections: -1}})
}

// request sends a request of a class.
func (h *harness) request(id string, class int) []Action {
	return h.send(RequestArrived{ID: RequestID(id), Class: class, Key: "key-" + id, Remaining: 2 * time.Second})
}

// endAttempt reports the end of an attempt.
func (h *harness) endAttempt(id string, attempt int, s ServerID, code Code, final bool) []Action {
	return h.send(AttemptEnded{ID: RequestID(id), Attempt: attempt, Server: s, Code: code, Final: final,
		Report: NoLoadReport})
}

// establish places a request and establishes its connection.
func (h *harness) establish(id string, class int) ServerID {
	h.t.Helper()
	actions := h.request(id, class)
	if len(actionsOf[StartAttempt](actions)) == 0 { // the request waits for answers to its probes; the harness sends none
		h.now += onDemandProbeTimeout
		actions = h.send(TimerFired{Token: retryWaitingToken})
	}
	s := h.wantAttempt(actions)
	h.send(Established{ID: RequestID(id), Server: s})
	return s
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// wantAttempt fails the test unless there is exactly one StartAttempt, and returns its server.
func (h *harness) wantAttempt(actions []Action) ServerID {
	h.t.Helper()
	p := actionsOf[StartAttempt](actions)
	if len(p) != 1 {
		h.t.Fatalf("want one StartAttempt, got %v", actions)
	}
	return p[0].Server
}

// wantNoAttempt fails the test if there is a StartAttempt. why says why there must be none.
func (h *harness) wantNoAttempt(actions []Action, why string) {
	h.t.Helper()
	if p := actionsOf[StartAttempt](actions); len(p) > 0 {
		h.t.Fatalf("%s: got %v, want no attempt", why, p)
	}
}

// countAnswers returns the numbers of final answers of both kinds.
func countAnswers(actions []Action) (rejected, failed int) {
	return len(actionsOf[Reject](actions)), len(actionsOf[Fail](actions))
}

// zoneOf returns the zone of a server that the function servers made.
func zoneOf(id ServerID) string {
	if id > 100 {
		return "b"
	}
	return "a"
}

func name(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }
