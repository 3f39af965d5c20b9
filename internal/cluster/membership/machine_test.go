package membership

import (
	"fmt"
	"testing"
	"time"
)

const wallClock = 1_800_000_000 * time.Second

func testConfig() Config {
	return Config{Self: Member{Name: "self", Zone: "a", Incarnation: uint64(wallClock / time.Millisecond)}, WallClock: wallClock, Balancers: 20}
}

// driver plays events to one machine, a tick each TickInterval and an answer a second from each member that answers.
type driver struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	silent  map[string]bool
	members []string
}

func newDriver(t *testing.T, others int) *driver {
	t.Helper()
	m, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, m: m, silent: map[string]bool{}}
	for i := range others {
		d.join(fmt.Sprintf("m%02d", i), 1000)
	}
	d.run(2 * DefaultDetection)
	return d
}

func member(name string, incarnation uint64) Member {
	return Member{Name: name, Zone: "a", Incarnation: incarnation, Divisor: 20}
}

func (d *driver) join(name string, incarnation uint64) {
	d.members = append(d.members, name)
	d.m.Handle(d.now, MemberAlive{member(name, incarnation)})
}

func (d *driver) lose(names ...string) {
	for _, name := range names {
		d.silent[name] = true
		d.m.Handle(d.now, MemberLost{name, 1000})
	}
}

func (d *driver) run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += TickInterval
		if d.now%time.Second == 0 {
			for _, name := range d.members {
				if !d.silent[name] {
					d.m.Handle(d.now, ProbeAnswered{name})
				}
			}
		}
		d.m.Handle(d.now, Tick{})
	}
}

func (d *driver) state(name string) State {
	d.t.Helper()
	for _, m := range d.m.View().Members {
		if m.Name == name {
			return m.State
		}
	}
	d.t.Fatalf("%s is no member", name)
	return 0
}

func (d *driver) want(name string, state State) {
	d.t.Helper()
	if got := d.state(name); got != state {
		d.t.Errorf("after %v: %s is %v, want %v", d.now, name, got, state)
	}
}

func TestFailureIsConfirmed(t *testing.T) {
	d := newDriver(t, 19)
	d.lose("m03")
	d.want("m03", Suspect)
	d.run(DefaultConfirm + 2*time.Second)
	d.want("m03", Failed)
	if v := d.m.View(); v.Divisors.Zone != 20 || v.Alive != 19 || v.Failed != 1 {
		t.Errorf("size %d, alive %d, failed %d right after a failure, want 20, 19, 1", v.Divisors.Zone, v.Alive, v.Failed)
	}
	d.run(DefaultPartitionHold)
	if v := d.m.View(); v.Divisors.Zone != 19 || v.Divisors.Cluster != 19 {
		t.Errorf("sizes %d and %d long after a failure, want 19", v.Divisors.Zone, v.Divisors.Cluster)
	}
}

// A false report, as a lying member can make, is refuted by the member itself before it is confirmed.
func TestOneWordFailsNobody(t *testing.T) {
	d := newDriver(t, 19)
	for range 20 {
		d.m.Handle(d.now, MemberLost{"m03", 1000})
		d.run(2 * time.Second) // until the member's refutation arrives
		d.want("m03", Suspect)
		d.m.Handle(d.now, MemberAlive{member("m03", 1000)})
		d.want("m03", Alive)
	}
}

// Own probes without an answer confirm a failure sooner; those before a pause of the own process do not count.
func TestOwnProbesConfirmSooner(t *testing.T) {
	d := newDriver(t, 19)
	d.lose("m03", "m04")
	for _, name := range []string{"m03", "m03", "m04"} {
		d.m.Handle(d.now, ProbeUnanswered{name})
	}
	d.run(2 * time.Second)
	d.want("m03", Failed)
	d.want("m04", Suspect)
	d.now += 5 * time.Second // stopped
	d.m.Handle(d.now, Tick{})
	d.m.Handle(d.now, ProbeUnanswered{"m04"})
	d.run(2 * time.Second)
	d.want("m04", Suspect)
}

// A suspect that answers this instance's own probes is not confirmed, whatever the detector says.
func TestSuspectThatAnswersIsNotConfirmed(t *testing.T) {
	d := newDriver(t, 19)
	d.m.Handle(d.now, MemberLost{"m03", 1000})
	d.run(time.Minute)
	d.want("m03", Suspect)
}

func TestOwnPauseFailsNobody(t *testing.T) {
	d := newDriver(t, 19)
	d.now += 9 * time.Second // stopped
	d.lose("m01", "m02")     // what the detector concludes as all its timers are due at once
	d.m.Handle(d.now, Tick{})
	silent := d.silent
	d.silent = map[string]bool{}
	for _, name := range d.members {
		d.silent[name] = true // no answer has come yet
	}
	d.run(DefaultConfirm + 2*time.Second)
	d.want("m01", Suspect)
	d.silent = silent
	d.run(DefaultConfirm + 2*time.Second)
	d.want("m01", Failed) // a full round has answered, and this one has not
}

// Reports that the detector made before the pause begin their hold anew.
func TestPauseHoldsOlderSuspicionsAgain(t *testing.T) {
	d := newDriver(t, 19)
	d.lose("m01")
	d.run(time.Second)
	d.now += 6 * time.Second
	d.m.Handle(d.now, Tick{})
	for _, name := range d.members[2:] { // a queue of old frames is read at once
		d.m.Handle(d.now, ProbeAnswered{name})
	}
	d.m.Handle(d.now+TickInterval, Tick{})
	d.want("m01", Suspect)
}

func TestIsolatedInstanceFailsNobodyAndKeepsItsSize(t *testing.T) {
	d := newDriver(t, 19)
	for _, name := range d.members {
		d.silent[name] = true
	}
	d.run(DefaultIsolatedAfter + time.Second)
	if !d.m.View().Isolated {
		t.Error("not isolated though nobody answers")
	}
	for _, name := range d.members {
		d.lose(name)
		d.run(time.Second)
	}
	d.run(3 * time.Minute)
	v := d.m.View()
	if v.Failed != 0 || v.Divisors.Zone != 20 {
		t.Errorf("isolated: %d failed, size %d; want 0, 20", v.Failed, v.Divisors.Zone)
	}
	for _, name := range d.members {
		delete(d.silent, name)
		d.m.Handle(d.now, MemberAlive{member(name, 1000)})
	}
	d.run(2*DefaultDetection + 2*time.Second)
	v = d.m.View()
	if v.Isolated || v.Partitioned || !v.Divisors.Admitted || v.Divisors.Zone != 20 {
		t.Errorf("after its return: isolated %v, partitioned %v, admitted %v, size %d", v.Isolated, v.Partitioned, v.Divisors.Admitted, v.Divisors.Zone)
	}
}

func TestPartitionKeepsTheFormerSizeForItsHold(t *testing.T) {
	d := newDriver(t, 19)
	for i := range 9 {
		d.lose(d.members[i])
		d.run(500 * time.Millisecond)
	}
	d.run(10 * time.Minute)
	v := d.m.View()
	if !v.Partitioned || v.Failed != 0 || v.Divisors.Zone != 20 || !v.Divisors.Admitted {
		t.Errorf("partitioned %v, failed %d, size %d, admitted %v; want true, 0, 20, true", v.Partitioned, v.Failed, v.Divisors.Zone, v.Divisors.Admitted)
	}
	d.run(DefaultPartitionHold)
	v = d.m.View()
	if v.Partitioned || v.Failed+len(v.Members) != 11 || v.Divisors.Zone != 11 {
		t.Errorf("after the hold: partitioned %v, failed %d, size %d; want false, none kept, 11", v.Partitioned, v.Failed, v.Divisors.Zone)
	}
}

// Processes that start in a part of the cluster are not admitted before the network is whole: the other part does not
// count them.
func TestNewProcessWaitsForTheEndOfACut(t *testing.T) {
	m, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, m: m, silent: map[string]bool{}}
	for i := range 10 { // these count 21: ten more beyond the cut, and this one
		one := member(fmt.Sprintf("m%02d", i), 1000)
		one.Divisor = 21
		d.members = append(d.members, one.Name)
		m.Handle(d.now, MemberAlive{one})
	}
	d.run(10 * time.Minute)
	if v := m.View(); v.Divisors.Admitted || v.Divisors.Zone != 21 {
		t.Errorf("admitted %v with divisor %d in a part, want false, 21", v.Divisors.Admitted, v.Divisors.Zone)
	}
	for i := range 10 {
		d.join(fmt.Sprintf("far%02d", i), 1000)
	}
	d.run(time.Second)
	if v := m.View(); !v.Divisors.Admitted || v.Divisors.Zone != 21 {
		t.Errorf("admitted %v with divisor %d when the network is whole, want true, 21", v.Divisors.Admitted, v.Divisors.Zone)
	}
}

func TestFlappingMemberDoesNotMoveTheSize(t *testing.T) {
	d := newDriver(t, 19)
	for range 30 {
		d.lose("m05")
		d.run(8 * time.Second)
		delete(d.silent, "m05")
		d.m.Handle(d.now, MemberAlive{member("m05", 1000)})
		d.run(8 * time.Second)
		if got := d.m.View().Divisors.Zone; got != 20 {
			t.Fatalf("size %d while a member flaps, want 20", got)
		}
	}
}

func TestPlannedStopCountsAtOnce(t *testing.T) {
	d := newDriver(t, 19)
	d.m.Handle(d.now, MemberLeft{"m07", 1000})
	d.want("m07", Left)
	d.run(DefaultDetection - time.Second)
	if got := d.m.View().Divisors.Zone; got != 20 {
		t.Errorf("size %d before all have heard of a planned stop, want 20", got)
	}
	d.m.Handle(d.now, MemberLost{"m07", 1000})
	d.want("m07", Left)
	d.run(2 * time.Second)
	if got := d.m.View().Divisors.Zone; got != 19 {
		t.Errorf("size %d after a planned stop, want 19", got)
	}
	d.m.Handle(d.now, MemberAlive{member("m07", 1001)}) // a new process
	d.want("m07", Alive)
}

func TestStaleAndFutureIncarnationsAreRefused(t *testing.T) {
	d := newDriver(t, 3)
	now := uint64((wallClock + d.now) / time.Millisecond)
	d.m.Handle(d.now, MemberAlive{member("m01", now)})
	for _, event := range []Event{MemberAlive{member("m01", 1000)}, MemberLost{"m01", 1000}, MemberLeft{"m01", 1000},
		MemberAlive{member("m01", now+2*uint64(futureLeeway/time.Millisecond))}} {
		if d.m.Handle(d.now, event) {
			t.Errorf("%#v changed the view", event)
		}
	}
}

// A new instance beside a settled cluster uses no part before the others have counted it.
func TestNewInstanceWaitsUntilItIsCounted(t *testing.T) {
	m, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, m: m, silent: map[string]bool{}}
	d.run(5 * time.Second)
	if m.View().Divisors.Admitted {
		t.Error("admitted without contact to anybody")
	}
	for i := range 19 {
		d.join(fmt.Sprintf("m%02d", i), 1000)
	}
	d.run(DefaultDetection - time.Second)
	if m.View().Divisors.Admitted {
		t.Error("admitted before the others have counted it")
	}
	d.run(3 * time.Second)
	if !m.View().Divisors.Admitted {
		t.Error("not admitted after the detection time")
	}
}

// The budget of a zone is shared by its own instances: those of other zones neither count nor hold up a start.
func TestZonesAreCountedApart(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.ZoneBalancers = 30, 10
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, m: m, silent: map[string]bool{}}
	for i := range 29 {
		one := Member{Name: fmt.Sprintf("m%02d", i), Zone: []string{"a", "b", "c"}[(i+1)%3], Incarnation: 1000}
		d.members = append(d.members, one.Name)
		m.Handle(d.now, MemberAlive{one})
	}
	d.run(2 * DefaultDetection)
	if s := m.View().Divisors; s.Cluster != 30 || s.Zone != 10 || !s.Settled || !s.Admitted {
		t.Errorf("%+v, want 30 in all, 10 in the zone, settled", s)
	}
}

func TestFaultyConfigIsRefused(t *testing.T) {
	for _, c := range []Config{{}, {Self: Member{Name: "x"}, PartitionPart: 0.6}, {Self: Member{Name: "x"}, PartitionHold: time.Second}} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}
