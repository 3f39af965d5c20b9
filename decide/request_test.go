package decide

import (
	"testing"
	"time"
)

func TestStateIsReleased(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(6, 2))
	for i := range 50 {
		id := name("r", i)
		s := w.establish(id, idempotentClass)
		switch i % 3 {
		case 0:
			w.endAttempt(id, 0, s, OK, true)
		case 1:
			w.send(ClientDisconnected{ID: RequestID(id)})
			w.endAttempt(id, 0, s, Cancelled, true)
		default:
			w.endAttempt(id, 0, s, Reset, true)
		}
	}
	w.request("held", idempotentClass)
	w.send(ClientDisconnected{ID: "held"})
	if len(w.b.requests.byID)+len(w.b.requests.byToken)+len(w.b.requests.waiting) != 0 {
		t.Fatalf("%d requests, %d timers, %d waiting kept", len(w.b.requests.byID), len(w.b.requests.byToken), len(w.b.requests.waiting))
	}
	for _, s := range w.b.ready {
		if len(s.connections) != 0 {
			t.Fatalf("server %d keeps %d connections", s.ID, len(s.connections))
		}
	}
	w.replaceList(servers(1, 0))
	w.now += recordRetention + time.Second
	w.replaceList(servers(1, 0))
	if len(w.b.servers) != 1 {
		t.Fatalf("%d servers kept, one is listed", len(w.b.servers))
	}
}
