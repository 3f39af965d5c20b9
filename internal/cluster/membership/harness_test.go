package membership

import (
	"fmt"
	"testing"
	"time"
)

const (
	// wallClock is the start time of the tested instances, as the time since the Unix epoch.
	wallClock = 1_800_000_000 * time.Second
	// peerIncarnation is the incarnation of each peer's first process.
	peerIncarnation = 1000
)

func testConfig() Config {
	self := Member{Name: "self", Zone: "a", Incarnation: uint64(wallClock / time.Millisecond)}
	return Config{Self: self, WallClock: wallClock, FleetSize: 20}
}

// harness feeds one state machine with a tick every TickInterval, and once a second with a probe answered by each
// responsive peer.
type harness struct {
	t            *testing.T
	machine      *StateMachine
	now          time.Duration
	peers        []string
	unresponsive map[string]bool // peers that do not answer probes
}

// newHarness returns a harness for an instance that knows no peer.
func newHarness(t *testing.T, cfg Config) *harness {
	t.Helper()
	machine, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, machine: machine, unresponsive: map[string]bool{}}
}

// newConvergedHarness returns a harness for an instance that has known the given number of peers, named "m00", "m01"
// and so on, for long enough. Its view has converged if there are at least 19 of them.
func newConvergedHarness(t *testing.T, peers int) *harness {
	t.Helper()
	h := newHarness(t, testConfig())
	for i := range peers {
		h.addPeer(newMember(fmt.Sprintf("m%02d", i), peerIncarnation))
	}
	h.run(2 * DefaultDetectionTime)
	return h
}

// newMember returns a member whose view has converged in a cluster of 20.
func newMember(name string, incarnation uint64) Member {
	return Member{Name: name, Zone: "a", Incarnation: incarnation, Divisor: 20}
}

func (h *harness) handle(event Event) { h.machine.Handle(h.now, event) }

func (h *harness) addPeer(member Member) {
	h.peers = append(h.peers, member.Name)
	h.handle(MemberAlive{member})
}

// fail makes peers unresponsive and reports their failure.
func (h *harness) fail(names ...string) {
	for _, name := range names {
		h.unresponsive[name] = true
		h.handle(FailureReported{name, peerIncarnation})
	}
}

// recover makes a peer responsive and reports that it is alive.
func (h *harness) recover(name string) {
	delete(h.unresponsive, name)
	h.handle(MemberAlive{newMember(name, peerIncarnation)})
}

func (h *harness) run(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now += TickInterval
		if h.now%time.Second == 0 {
			h.answerProbes(h.peers)
		}
		h.handle(Tick{})
	}
}

// answerProbes reports an answered probe for each of the given peers that is responsive.
func (h *harness) answerProbes(peers []string) {
	for _, name := range peers {
		if !h.unresponsive[name] {
			h.handle(ProbeSucceeded{name})
		}
	}
}

// pause simulates a pause of the process: time passes without a tick.
func (h *harness) pause(span time.Duration) { h.now += span }

func (h *harness) divisors() BudgetDivisors { return h.machine.View().Divisors }

func (h *harness) stateOf(name string) State {
	h.t.Helper()
	for _, member := range h.machine.View().Members {
		if member.Name == name {
			return member.State
		}
	}
	h.t.Fatalf("%s is not a member", name)
	return 0
}

func (h *harness) expectState(name string, want State) {
	h.t.Helper()
	if got := h.stateOf(name); got != want {
		h.t.Errorf("at %v: state of %s is %v, want %v", h.now, name, got, want)
	}
}
