package decide

import (
	"testing"
	"time"
)

func TestOutlierIsEjectedAndReturns(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(3, 0))
	h.reportLoad(1, 0.01)
	s := h.wantAttempt(h.request("r", idempotentClass))
	h.endAttempt("r", 0, s, ServerError, false)
	h.reportLoad(1, 0.01) // it looks light, as servers that fail fast do
	for i := range 4 {
		if h.establish(name("q", i), idempotentClass) == 1 {
			t.Fatal("a server that fails fast was used at once")
		}
	}
	h.now += baseEjectionTime + time.Second
	h.reportLoad(1, 0.01)
	if h.establish("later", idempotentClass) != 1 {
		t.Fatal("the server did not come back")
	}
}

func TestEjectionLeavesHalfOfTheServers(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for id := ServerID(1); id <= 4; id++ {
		h.send(ProbeCompleted{Server: id, Code: TimedOut, Report: NoLoadReport})
	}
	out := 0
	for _, s := range h.b.ready {
		if h.now < s.ejectedUntil {
			out++
		}
	}
	if out != 2 {
		t.Fatalf("%d of 4 ejected, want half", out)
	}
}

// Ejected follows the ejection, and calling it changes nothing.
func TestEjectedFollowsEjection(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	s := h.wantAttempt(h.request("r", idempotentClass))
	if h.b.Ejected(s) || h.b.Ejected(99) {
		t.Error("ejected without a cause")
	}
	h.endAttempt("r", 0, s, ServerError, false)
	if !h.b.Ejected(s) {
		t.Error("a server that failed is not ejected")
	}
	h.tick(baseEjectionTime + tickInterval)
	if h.b.Ejected(s) {
		t.Error("still ejected after its time")
	}
}
