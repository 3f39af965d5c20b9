package decide

import (
	"testing"
	"time"
)

func TestRecordsAreReleased(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(6, 2))
	for i := range 50 {
		id := name("r", i)
		s := h.establish(id, idempotentClass)
		switch i % 3 {
		case 0:
			h.endAttempt(id, 0, s, OK, true)
		case 1:
			h.send(ClientDisconnected{ID: RequestID(id)})
			h.endAttempt(id, 0, s, Cancelled, true)
		default:
			h.endAttempt(id, 0, s, Reset, true)
		}
	}
	h.request("waiting", idempotentClass)
	h.send(ClientDisconnected{ID: "waiting"})
	if len(h.b.requests.byID)+len(h.b.requests.byToken)+len(h.b.requests.waiting) != 0 {
		t.Fatalf("records kept of ended requests: %d requests, %d timers, %d waiting", len(h.b.requests.byID),
			len(h.b.requests.byToken), len(h.b.requests.waiting))
	}
	for _, s := range h.b.ready {
		if len(s.connections) != 0 {
			t.Fatalf("the record of server %d keeps %d ended connections", s.ID, len(s.connections))
		}
	}
	h.replaceList(servers(1, 0))
	h.now += recordRetention + time.Second
	h.replaceList(servers(1, 0))
	if len(h.b.servers) != 1 {
		t.Fatalf("%d records of servers kept, want only the listed one", len(h.b.servers))
	}
}
