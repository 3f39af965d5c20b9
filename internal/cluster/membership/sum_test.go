package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The times of the modelled cluster: a detector that reports within modelDetection, and messages that arrive within modelLag.
const (
	modelStep      = time.Second
	modelDetection = 15 * time.Second
	modelReport    = 11 * time.Second // the detector's latest report
	modelLag       = 2 * time.Second
	modelHold      = 4 * time.Minute
)

// model is a cluster of machines over a network that is cut into parts.
type model struct {
	t          *rapid.T
	rng        *rand.Rand
	now        time.Duration
	balancers  int
	instances  []*instance
	cutSince   time.Duration         // when the network was last whole; 0: it is
	wholeSince time.Duration         // when it last became whole
	known      map[[2]int]*knowledge // what one instance's detector knows of another's process
}

// instance is one name; a restart gives it a new process.
type instance struct {
	name        string
	part        int
	live        bool
	incarnation uint64
	startedAt   time.Duration
	machine     *Machine
	version     uint64
}

// knowledge is the detector's state for one ordered pair.
type knowledge struct {
	incarnation uint64
	alive       bool
	due         time.Duration // when the next change is reported; 0: none is pending
	told        BudgetDivisors
}

func newModel(t *rapid.T, instances, balancers int, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), balancers: balancers, known: map[[2]int]*knowledge{}, now: time.Second}
	for range instances {
		m.add(0)
	}
	return m
}

func (m *model) add(part int) {
	m.instances = append(m.instances, &instance{name: fmt.Sprintf("m%02d", len(m.instances)), part: part})
	m.start(m.instances[len(m.instances)-1])
}

func (m *model) start(in *instance) {
	in.live = true
	in.startedAt = m.now
	in.incarnation = uint64((wallClock + m.now) / time.Millisecond)
	machine, err := New(Config{Self: Member{Name: in.name, Zone: "a", Incarnation: in.incarnation}, Balancers: m.balancers,
		WallClock: wallClock + m.now, Detection: modelDetection, PartitionHold: modelHold, PauseAfter: 3 * modelStep})
	if err != nil {
		m.t.Fatal(err)
	}
	in.machine, in.version = machine, 0
	for pair := range m.known {
		if m.instances[pair[0]] == in {
			delete(m.known, pair)
		}
	}
}

func (m *model) reaches(from, to *instance) bool { return from.live && to.live && from.part == to.part }

// detect lets one instance's detector follow another process: with a lag where it can be reached, late where it cannot.
func (m *model) detect(i, j int) {
	from, to := m.instances[i], m.instances[j]
	k := m.known[[2]int{i, j}]
	if k == nil {
		k = &knowledge{}
		m.known[[2]int{i, j}] = k
	}
	reached := m.reaches(from, to)
	told := to.machine.View().Divisors
	news := reached && (!k.alive || k.incarnation != to.incarnation || announced(told) != announced(k.told))
	lost := !reached && k.alive
	switch {
	case !news && !lost:
		k.due = 0
	case k.due == 0 && news:
		k.due = m.now + time.Duration(m.rng.Int64N(int64(modelLag)))
	case k.due == 0:
		k.due = m.now + 5*time.Second + time.Duration(m.rng.Int64N(int64(modelReport-5*time.Second)))
	case m.now >= k.due && news:
		k.due, k.alive, k.incarnation, k.told = 0, true, to.incarnation, told
		from.machine.Handle(m.at(from), MemberAlive{Member{Name: to.name, Zone: "a", Incarnation: to.incarnation, Divisor: announced(told)}})
	case m.now >= k.due:
		k.due, k.alive = 0, false
		from.machine.Handle(m.at(from), MemberLost{to.name, k.incarnation})
	}
}

// announced is what a member tells the others as its divisor.
func announced(s BudgetDivisors) int {
	if s.Settled {
		return s.Zone
	}
	return 0
}

// at is an instance's own clock.
func (m *model) at(in *instance) time.Duration { return m.now - in.startedAt }

func (m *model) step() {
	m.now += modelStep
	if m.cutSince > 0 && m.now-m.cutSince > modelHold-2*modelDetection {
		m.heal()
	}
	for i, from := range m.instances {
		if !from.live {
			continue
		}
		for j, to := range m.instances {
			if i == j {
				continue
			}
			m.detect(i, j)
			if m.reaches(from, to) && m.rng.IntN(2) == 0 {
				from.machine.Handle(m.at(from), ProbeAnswered{to.name})
			}
		}
		from.machine.Handle(m.at(from), Tick{})
	}
}

// heal makes the network whole.
func (m *model) heal() {
	m.cutSince, m.wholeSince = 0, m.now
	for _, in := range m.instances {
		in.part = 0
	}
}

// cut moves instances to a part, unless that leaves a part without a settled one.
func (m *model) cut(moves func(*instance) bool, to int) {
	if m.cutSince == 0 && m.now-m.wholeSince <= 2*modelLag {
		return // for the parts, that have not found each other again, it would be the same cut
	}
	before := make([]int, len(m.instances))
	for i, in := range m.instances {
		before[i] = in.part
		if moves(in) {
			in.part = to
		}
	}
	for _, in := range m.instances {
		if in.live && m.settledIn(in.part, nil) == 0 {
			for i, other := range m.instances {
				other.part = before[i]
			}
			return
		}
	}
	if m.cutSince == 0 {
		m.cutSince = m.now
	}
}

// check is the law: what all live instances together may use is at most the whole, and no view goes back.
func (m *model) check() {
	sum := 0.0
	text := ""
	for _, in := range m.instances {
		if !in.live {
			continue
		}
		v := in.machine.View()
		if v.Version < in.version {
			m.t.Fatalf("%s: the view goes back from %d to %d", in.name, in.version, v.Version)
		}
		in.version = v.Version
		if v.Divisors.Admitted {
			sum += 1 / float64(v.Divisors.Zone)
		}
		text += fmt.Sprintf(" %s(part %d, size %d, admitted %v, partitioned %v)", in.name, in.part, v.Divisors.Zone, v.Divisors.Admitted, v.Partitioned)
	}
	if sum > 1+1e-9 {
		m.t.Fatalf("after %v the parts sum up to %.3f:%s", m.now, sum, text)
	}
}

func (m *model) run(span time.Duration) {
	for end := m.now + span; m.now < end; {
		m.step()
		m.check()
	}
}

// settledIn counts the live instances of a part that are settled.
func (m *model) settledIn(part int, but *instance) (n int) {
	for _, in := range m.instances {
		if in.live && in.part == part && in != but && in.machine.View().Divisors.Settled {
			n++
		}
	}
	return n
}

// Whatever joins, is killed, cut off and returns, the parts of all live instances never sum up to more than the whole.
// The model has the two assumptions of docs/membership.md: a cut lasts less than PartitionHold, and while one lasts
// each part keeps a settled instance.
func TestPartsNeverExceedTheBudget(t *testing.T) {
	flag.Set("rapid.seed", "20261202")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "60")
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 14).Draw(t, "instances")
		m := newModel(t, n, n+6, rapid.Uint64().Draw(t, "seed"))
		m.run(2*modelDetection + time.Duration(rapid.IntRange(0, 60).Draw(t, "settle"))*time.Second)
		for range rapid.IntRange(3, 14).Draw(t, "events") {
			in := m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, "which")]
			mayEnd := in.live && m.settledIn(in.part, in) > 0
			switch rapid.SampledFrom([]string{"kill", "restart", "cut", "cut half", "heal", "join", "start"}).Draw(t, "event") {
			case "kill":
				if mayEnd {
					in.live = false
				}
			case "restart":
				if mayEnd {
					m.start(in)
				}
			case "cut":
				to := rapid.IntRange(0, 2).Draw(t, "part")
				m.cut(func(other *instance) bool { return other == in }, to)
			case "cut half":
				from := in.part
				m.cut(func(other *instance) bool { return other.part == from && m.rng.IntN(2) == 0 }, (from+1)%3)
			case "heal":
				m.heal()
			case "join":
				if len(m.instances) < n+6 && m.settledIn(in.part, nil) > 0 {
					m.add(in.part)
				}
			case "start":
				if !in.live && m.settledIn(in.part, nil) > 0 {
					m.start(in)
				}
			}
			m.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
		}
		m.run(modelHold + 3*modelDetection)
	})
}
