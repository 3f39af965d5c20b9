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
	h.reportLoad(1, 0.01) // a server that fails quickly reports a low load
	for i := range 4 {
		if h.establish(name("q", i), idempotentClass) == 1 {
			t.Fatal("the server was used again right after its failure")
		}
	}
	h.now += baseEjectionTime + time.Second
	h.reportLoad(1, 0.01)
	if h.establish("later", idempotentClass) != 1 {
		t.Fatal("the server was not used after its ejection had ended")
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
		t.Fatalf("%d of 4 servers are ejected, want 2", out)
	}
}

// Ejected is true for a server from its failure until the end of its ejection.
func TestEjectedFollowsEjection(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	s := h.wantAttempt(h.request("r", idempotentClass))
	if h.b.Ejected(s) || h.b.Ejected(99) {
		t.Error("a server without a failure, or an unknown one, is ejected")
	}
	h.endAttempt("r", 0, s, ServerError, false)
	if !h.b.Ejected(s) {
		t.Error("a server that failed is not ejected")
	}
	h.tick(baseEjectionTime + tickInterval)
	if h.b.Ejected(s) {
		t.Error("the server is still ejected after its ejection time")
	}
}
