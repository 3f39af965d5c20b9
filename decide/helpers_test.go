package decide

import (
	"fmt"
	"testing"
	"time"
)

// harness feeds a Balancer events and keeps what it asked for.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	actions []Action // of the latest event
}

// settings are a small deployment's; a test changes what it is about.
func settings() Settings {
	return Settings{
		Seed: 7, Zone: "a", Zones: []string{"a", "b"}, Balancers: 4, WatchList: true,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 300 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond, ClientTimeout: 2 * time.Second},
			{Name: "keyed", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey, KeyScope: ScopeZone, DedupWindow: 5 * time.Second},
			{Name: "unsafe", LatencyObjective: 300 * time.Millisecond, Idempotency: NotIdempotent},
			{Name: "all", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey, KeyScope: ScopeAll, DedupWindow: 5 * time.Second},
			{Name: "cell", LatencyObjective: 300 * time.Millisecond, Idempotency: IdempotentByKey, KeyScope: ScopeCell, DedupWindow: 5 * time.Second},
		},
		MaxAttempts: 3, // without probes, so that requests are placed at once
		Safety: SafetyLimits{DrainGrace: 500 * time.Millisecond, MaxPollInterval: 10 * time.Second, SlowStartShare: 0.3,
			SlowStartDuration: 10 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second},
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
	w := &harness{t: t, b: b, now: 1000 * time.Second}
	w.send(Started{})
	return w
}

func (w *harness) send(ev Event) []Action {
	w.actions = w.b.Handle(w.now, ev, nil)
	return w.actions
}

// tick advances the clock and fires the periodic timer.
func (w *harness) tick(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += tickInterval
		acts = append(acts, w.send(TimerFired{Token: tickToken})...)
	}
	return acts
}

// servers makes ready lines: ids 1.. in zone a, 101.. in zone b.
func servers(a, b int) (list []Server) {
	for i := range a {
		list = append(list, Server{ID: ServerID(i + 1), Zone: "a", Cell: i/2 + 1})
	}
	for i := range b {
		list = append(list, Server{ID: ServerID(i + 101), Zone: "b", Cell: 100 + i/2})
	}
	return list
}

func (w *harness) replaceList(list []Server) []Action {
	return w.send(ListReceived{Kind: ListSnapshot, Servers: list})
}

func (w *harness) reportLoad(id ServerID, load float64) []Action {
	return w.send(ProbeCompleted{Server: id, Code: OK, Report: LoadReport{Load: load, Connections: -1}})
}

func (w *harness) request(id string, class int) []Action {
	return w.send(RequestArrived{ID: RequestID(id), Class: class, Key: "key-" + id, Remaining: 2 * time.Second})
}

func (w *harness) endAttempt(id string, attempt int, s ServerID, code Code, final bool) []Action {
	return w.send(AttemptEnded{ID: RequestID(id), Attempt: attempt, Server: s, Code: code, Final: final, Report: NoLoadReport})
}

// establish places a request and lets its connection stand.
func (w *harness) establish(id string, class int) ServerID {
	w.t.Helper()
	acts := w.request(id, class)
	if len(actionsOf[StartAttempt](acts)) == 0 { // it waits for answers that do not come
		w.now += onDemandProbeTimeout
		acts = w.send(TimerFired{Token: retryWaitingToken})
	}
	s := w.wantAttempt(acts)
	w.send(Established{ID: RequestID(id), Server: s})
	return s
}

func actionsOf[T Action](acts []Action) (found []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// wantAttempt wants exactly one Place among the actions.
func (w *harness) wantAttempt(acts []Action) ServerID {
	w.t.Helper()
	p := actionsOf[StartAttempt](acts)
	if len(p) != 1 {
		w.t.Fatalf("want one Place, got %v", acts)
	}
	return p[0].Server
}

func (w *harness) wantNoAttempt(acts []Action, why string) {
	w.t.Helper()
	if p := actionsOf[StartAttempt](acts); len(p) > 0 {
		w.t.Fatalf("%s: unwanted %v", why, p)
	}
}

// countAnswers counts final answers.
func countAnswers(acts []Action) (refused, failed int) {
	return len(actionsOf[Reject](acts)), len(actionsOf[Fail](acts))
}

func zoneOf(id ServerID) string {
	if id > 100 {
		return "b"
	}
	return "a"
}

func name(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }
