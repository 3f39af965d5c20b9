package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestEventsForUnknownRequestsAreIgnored(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(2, 0))
	for _, ev := range []Event{
		Established{ID: "x", Server: 1}, AttemptEnded{ID: "x", Server: 1, Code: Reset}, ClientDisconnected{ID: "x"},
		LoadChanged{ID: "x", Load: 1}, MessageDelayReported{ID: "x", Server: 1, Delay: time.Second},
		ProbeCompleted{Server: 99, Code: OK, Report: LoadReport{Load: 1}}, TimerFired{Token: 12345},
	} {
		t.Run(fmt.Sprintf("%T", ev), func(t *testing.T) {
			if actions := h.send(ev); len(actions) != 0 {
				t.Errorf("%T: got actions %v, want none", ev, actions)
			}
		})
	}
}

// Balancers in one process share no state: each gives the same actions as a single balancer.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	play := func(n int) [][]Action {
		instances := make([]*harness, n)
		logs := make([][]Action, n)
		for i := range instances {
			instances[i] = newHarness(t, affinitySettings())
			instances[i].replaceList(servers(9, 9))
		}
		for step := range 300 {
			for i, h := range instances {
				logs[i] = append(logs[i], scriptStep(h, step)...)
			}
		}
		return logs
	}
	alone := play(1)[0]
	if len(alone) < 200 {
		t.Fatalf("only %d actions to compare, want at least 200", len(alone))
	}
	for i, log := range play(3) {
		if !reflect.DeepEqual(log, alone) {
			t.Fatalf("the actions of balancer %d of three differ from those of a single balancer", i)
		}
	}
}

// scriptStep sends the event of one step. Its kind depends on the step only.
func scriptStep(h *harness, step int) []Action {
	id := name("s", step)
	switch step % 5 {
	case 0:
		return h.send(RequestArrived{ID: RequestID(id), Key: id, Group: name("g", step%7), Remaining: time.Second})
	case 1:
		return h.reportLoad(ServerID(step%9+1), float64(step%13)/10)
	case 2:
		return h.tick(2 * tickInterval)
	case 3:
		return h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(id), Key: id},
			Server: ServerID(step%9 + 1)})
	default:
		return h.endAttempt(name("s", step-1), 0, ServerID((step-1)%9+1), Reset, true)
	}
}
