package decide

import (
	"fmt"
	"testing"
	"time"
)

// world feeds a Balancer events and keeps what it asked for.
type world struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
	all []Action // of the latest event
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
	safe = iota
	keyed
	unsafe
	keyedAll
	keyedCell
)

func newWorld(t *testing.T, set Settings) *world {
	t.Helper()
	b, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, b: b, now: 1000 * time.Second}
	w.send(Started{})
	return w
}

func (w *world) send(ev Event) []Action {
	w.all = w.b.Handle(w.now, ev, nil)
	return w.all
}

// tick advances the clock and fires the periodic timer.
func (w *world) tick(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		acts = append(acts, w.send(TimerFired{Token: timerTick})...)
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

func (w *world) full(list []Server) []Action {
	return w.send(ListReceived{Kind: ListSnapshot, Servers: list})
}

func (w *world) report(id ServerID, load float64) []Action {
	return w.send(ProbeCompleted{Server: id, Code: OK, Report: LoadReport{Load: load, Connections: -1}})
}

func (w *world) ask(id string, class int) []Action {
	return w.send(RequestArrived{ID: RequestID(id), Class: class, Key: "key-" + id, Remaining: 2 * time.Second})
}

func (w *world) end(id string, attempt int, s ServerID, code Code, final bool) []Action {
	return w.send(AttemptEnded{ID: RequestID(id), Attempt: attempt, Server: s, Code: code, Final: final, Report: NoLoadReport})
}

// stand places a request and lets its connection stand.
func (w *world) stand(id string, class int) ServerID {
	w.t.Helper()
	acts := w.ask(id, class)
	if len(find[StartAttempt](acts)) == 0 { // it waits for answers that do not come
		w.now += askWait
		acts = w.send(TimerFired{Token: timerHeld})
	}
	s := w.placed(acts)
	w.send(Established{ID: RequestID(id), Server: s})
	return s
}

func find[T Action](acts []Action) (found []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// placed wants exactly one Place among the actions.
func (w *world) placed(acts []Action) ServerID {
	w.t.Helper()
	p := find[StartAttempt](acts)
	if len(p) != 1 {
		w.t.Fatalf("want one Place, got %v", acts)
	}
	return p[0].Server
}

func (w *world) none(acts []Action, why string) {
	w.t.Helper()
	if p := find[StartAttempt](acts); len(p) > 0 {
		w.t.Fatalf("%s: unwanted %v", why, p)
	}
}

// answers counts final answers.
func answers(acts []Action) (refused, failed int) {
	return len(find[Reject](acts)), len(find[Fail](acts))
}

func zoneOf(id ServerID) string {
	if id > 100 {
		return "b"
	}
	return "a"
}

func name(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }
