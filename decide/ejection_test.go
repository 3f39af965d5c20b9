package decide

import (
	"testing"
	"time"
)

func TestOutlierIsEjectedAndReturns(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(3, 0))
	w.reportLoad(1, 0.01)
	s := w.wantAttempt(w.request("r", idempotentClass))
	w.endAttempt("r", 0, s, ServerError, false)
	w.reportLoad(1, 0.01) // it looks light, as servers that fail fast do
	for i := range 4 {
		if w.establish(name("q", i), idempotentClass) == 1 {
			t.Fatal("a server that fails fast was used at once")
		}
	}
	w.now += baseEjectionTime + time.Second
	w.reportLoad(1, 0.01)
	if w.establish("later", idempotentClass) != 1 {
		t.Fatal("the server did not come back")
	}
}

func TestEjectionLeavesHalfOfTheServers(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	for id := ServerID(1); id <= 4; id++ {
		w.send(ProbeCompleted{Server: id, Code: TimedOut, Report: NoLoadReport})
	}
	out := 0
	for _, s := range w.b.ready {
		if w.now < s.ejectedUntil {
			out++
		}
	}
	if out != 2 {
		t.Fatalf("%d of 4 ejected, want half", out)
	}
}

// Ejected follows the ejection, and calling it changes nothing.
func TestEjectedFollowsEjection(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	s := w.wantAttempt(w.request("r", idempotentClass))
	if w.b.Ejected(s) || w.b.Ejected(99) {
		t.Error("left out without a cause")
	}
	w.endAttempt("r", 0, s, ServerError, false)
	if !w.b.Ejected(s) {
		t.Error("a server that failed is not told as left out")
	}
	w.tick(baseEjectionTime + tickInterval)
	if w.b.Ejected(s) {
		t.Error("still told as left out after its time")
	}
}
