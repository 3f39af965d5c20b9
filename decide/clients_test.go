package decide

import (
	"testing"
	"time"
)

func TestClientMemoryIsBounded(t *testing.T) {
	w := newHarness(t, settings())
	w.replaceList(servers(4, 0))
	for i := range maxClientRecords + 50 {
		w.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i)), Key: name("k", i)}, Server: 1})
		w.endAttempt(name("o", i), 0, 1, Reset, true)
	}
	if len(w.b.clients.records) > maxClientRecords || len(w.b.clients.order) > maxClientRecords {
		t.Fatalf("%d keys kept", len(w.b.clients.records))
	}
	w.tick(recordRetention + time.Second)
	if len(w.b.clients.records) != 0 {
		t.Fatalf("%d keys kept after %v", len(w.b.clients.records), recordRetention)
	}
}
