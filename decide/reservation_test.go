package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A reservation remains after a load report that may not include the placement yet, and ends with a later report.
func TestReservationOutlivesNextReport(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  ServerID
	}{{maxReportLag / 2, 2}, {2 * maxReportLag, 1}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			h := newHarness(t, settings())
			h.replaceList(servers(2, 0))
			h.reportLoad(1, 0.30)
			h.establish("r0", idempotentClass)
			h.now += c.after
			h.reportLoad(1, 0.30)
			h.reportLoad(2, 0.301)
			if s := h.establish("r1", idempotentClass); s != c.want {
				t.Fatalf("the second request, %v after the first one, was placed on %d", c.after, s)
			}
		})
	}
}

func TestPlacementReservesLoad(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	h.reportLoad(1, 0.30)
	h.reportLoad(2, 0.301)
	a := h.establish("r0", idempotentClass)
	if b := h.establish("r1", idempotentClass); a != 1 || b != 2 {
		t.Fatalf("placed on %d, then on %d, want 1 and 2: the load of the first placement was not reserved", a, b)
	}
}

// A placement reserves the load of one connection that follows from the server's load report.
func TestReservationFollowsReportedConnectionLoad(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(1, 0))
	h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.4, Connections: 8}})
	for i := range 4 {
		h.establish(name("r", i), idempotentClass)
	}
	if got := h.b.servers[1].load; got < 0.55 || got > 0.65 {
		t.Errorf("load %.2f after four placements, want 0.4 plus four times 0.05", got)
	}
}

// Each reservation expires by its own age. If a new placement prolonged the older reservations, a server that regularly
// gets a new client would look saturated all the time, while requests wait.
func TestReservationsExpireOneByOne(t *testing.T) {
	set := settings()
	set.Balancers = 1
	h := newHarness(t, set)
	h.replaceList(servers(1, 0))
	for i := range 2 {
		h.reportLoad(1, 0.1)
		h.establish(name("old", i), idempotentClass)
	}
	old := h.b.servers[1].pendingReservations(h.now)
	h.now += maxReportLag * 3 / 4
	h.reportLoad(1, 0.1)
	h.establish("new", idempotentClass)
	h.now += maxReportLag / 2
	h.reportLoad(1, 0.4)
	if s := h.b.servers[1]; s.load-0.4 > old/2 || s.load <= 0.4 {
		t.Errorf("load %.2f after a report of 0.40, want older reservations of %.2f expired, the new one not", s.load,
			old)
	}
	if maxReportLag > time.Second {
		t.Errorf("maxReportLag is %v, want at most 1s, as load reports are at most half a second old", maxReportLag)
	}
}

// Reservations end with their connections. Otherwise clients that have left would make a server look saturated until a
// probe corrects its load.
func TestReservationsEndWithTheirConnections(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(1, 0))
	h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.2, Connections: 10}})
	for i := range 40 {
		id := name("c", i)
		h.establish(id, idempotentClass)
		h.now += 20 * time.Millisecond
		h.endAttempt(id, 0, 1, OK, true)
	}
	if s := h.b.servers[1]; math.Abs(s.load-0.2) > 1e-9 || len(s.reservations) > 0 {
		t.Errorf("load %v and %d reservations after all connections have ended, want 0.2 and none", s.load,
			len(s.reservations))
	}
}
