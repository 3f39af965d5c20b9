package decide

import (
	"testing"
	"time"
)

func TestClientMemoryIsBounded(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for i := range maxClientRecords + 50 {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Key: name("k", i)}, Server: 1})
		h.endAttempt(name("o", i), 0, 1, Reset, true)
	}
	if len(h.b.clients.records) > maxClientRecords || len(h.b.clients.order) > maxClientRecords {
		t.Fatalf("%d client records kept, want at most maxClientRecords", len(h.b.clients.records))
	}
	h.tick(recordRetention + time.Second)
	if len(h.b.clients.records) != 0 {
		t.Fatalf("%d client records kept after %v, want none", len(h.b.clients.records), recordRetention)
	}
}
