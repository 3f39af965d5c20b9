package decide

import (
	"testing"
	"time"
)

// The replacement process uses the learned state of the previous process: an ejected server stays ejected, though its
// load is low, and recent load reports are used. Unknown servers and invalid values are ignored.
func TestImportLearned(t *testing.T) {
	old, next := newHarness(t, settings()), newHarness(t, settings())
	for _, h := range []*harness{old, next} {
		h.replaceList(servers(4, 0))
	}
	for id := range ServerID(4) {
		old.reportLoad(id+1, 0.2)
	}
	bad := old.wantAttempt(old.request("r", idempotentClass))
	old.endAttempt("r", 0, bad, ServerError, false)
	learned := append(old.b.ExportLearned(), LearnedState{Server: 77, ConsecutiveFailures: 1, EjectedFor: time.Hour})
	next.now += time.Second
	next.send(TimerFired{Token: retryWaitingToken})
	next.b.ImportLearned(learned)
	if !next.b.Ejected(bad) || next.b.Ejected(77) {
		t.Error("the ejection of a server was not imported, or an unknown server is ejected")
	}
	for id, s := range next.b.servers {
		if s.load != 0.2 || s.reportedAt == 0 {
			t.Errorf("server %d: load %.2f, reported at %v, want the imported load 0.2", id, s.load, s.reportedAt)
		}
	}
	for i := range 12 {
		if s := next.establish(name("r", i), idempotentClass); s == bad {
			t.Error("a client was placed on the ejected server")
		}
	}
	next.b.ImportLearned([]LearnedState{{Server: 1, Load: -3, Age: -1, LoadPerConnection: 9, ConsecutiveFailures: -4,
		EjectedFor: -1}})
	if s := next.b.servers[1]; s.load < 0 || s.loadPerConnection > 1 {
		t.Errorf("invalid values were imported: %+v", s)
	}
}
