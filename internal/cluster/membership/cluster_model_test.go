package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Times of the modelled cluster.
const (
	modelStep              = time.Second
	modelDetectionTime     = 15 * time.Second
	minModelReportDelay    = 5 * time.Second  // of the failure detector's report of a failure
	maxModelReportDelay    = 11 * time.Second // of the failure detector's report of a failure
	maxModelMessageDelay   = 2 * time.Second
	modelPartitionDuration = 4 * time.Minute
)

// clusterModel is a cluster of state machines over a network that can be partitioned into segments.
type clusterModel struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	fleetSize int
	instances []*modelInstance
	// partitionedAt is when the network was last whole; 0 while it is whole.
	partitionedAt time.Duration
	// healedAt is when the network last became whole.
	healedAt time.Duration
	// observations are what one instance's failure detector knows of another instance.
	observations map[observationKey]*observation
}

// modelInstance is one name in the cluster; a restart gives it a new process.
type modelInstance struct {
	name        string
	segment     int
	live        bool
	incarnation uint64
	startedAt   time.Duration
	machine     *StateMachine
	viewVersion uint64
}

// observationKey is a pair of indices of instances.
type observationKey struct{ observer, subject int }

// observation is the failure detector's state for one observer and one subject.
type observation struct {
	incarnation uint64
	alive       bool
	reportAt    time.Duration // when the pending change is reported; 0: none is pending
	divisor     int           // the last one that the subject announced
}

func newClusterModel(t *rapid.T, instances, fleetSize int, seed uint64) *clusterModel {
	m := &clusterModel{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		fleetSize:    fleetSize,
		observations: map[observationKey]*observation{},
		now:          time.Second,
	}
	for range instances {
		m.add(0)
	}
	return m
}

func (m *clusterModel) add(segment int) {
	instance := &modelInstance{name: fmt.Sprintf("m%02d", len(m.instances)), segment: segment}
	m.instances = append(m.instances, instance)
	m.start(instance)
}

// start gives an instance a new process.
func (m *clusterModel) start(instance *modelInstance) {
	instance.live = true
	instance.startedAt = m.now
	instance.incarnation = uint64((wallClock + m.now) / time.Millisecond)
	machine, err := New(Config{
		Self:                 Member{Name: instance.name, Zone: "a", Incarnation: instance.incarnation},
		FleetSize:            m.fleetSize,
		WallClock:            wallClock + m.now,
		DetectionTime:        modelDetectionTime,
		MaxPartitionDuration: modelPartitionDuration,
		PauseThreshold:       3 * modelStep,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	instance.machine = machine
	instance.viewVersion = 0
	for key := range m.observations {
		if m.instances[key.observer] == instance {
			delete(m.observations, key)
		}
	}
}

func (m *clusterModel) reaches(from, to *modelInstance) bool {
	return from.live && to.live && from.segment == to.segment
}

// observe lets one instance's failure detector follow another instance: it reports a change after a short delay where
// it reaches the instance, and a failure after a longer one where it does not.
func (m *clusterModel) observe(key observationKey) {
	observer, subject := m.instances[key.observer], m.instances[key.subject]
	o := m.observations[key]
	if o == nil {
		o = &observation{}
		m.observations[key] = o
	}
	reached := m.reaches(observer, subject)
	divisor := announcedDivisor(subject)
	changed := reached && (!o.alive || o.incarnation != subject.incarnation || divisor != o.divisor)
	lost := !reached && o.alive
	switch {
	case !changed && !lost:
		o.reportAt = 0
	case o.reportAt == 0 && changed:
		o.reportAt = m.now + m.randomDuration(maxModelMessageDelay)
	case o.reportAt == 0:
		o.reportAt = m.now + minModelReportDelay + m.randomDuration(maxModelReportDelay-minModelReportDelay)
	case m.now >= o.reportAt && changed:
		*o = observation{alive: true, incarnation: subject.incarnation, divisor: divisor}
		member := Member{Name: subject.name, Zone: "a", Incarnation: subject.incarnation, Divisor: divisor}
		m.handle(observer, MemberAlive{member})
	case m.now >= o.reportAt:
		o.reportAt = 0
		o.alive = false
		m.handle(observer, FailureReported{subject.name, o.incarnation})
	}
}

func (m *clusterModel) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// announcedDivisor is the divisor that an instance announces to the others; 0: none.
func announcedDivisor(instance *modelInstance) int {
	divisors := instance.machine.View().Divisors
	if divisors.Converged {
		return divisors.Zone
	}
	return 0
}

func (m *clusterModel) handle(instance *modelInstance, event Event) {
	instance.machine.Handle(m.now-instance.startedAt, event)
}

func (m *clusterModel) step() {
	m.now += modelStep
	if m.partitionedAt > 0 && m.now-m.partitionedAt > modelPartitionDuration-2*modelDetectionTime {
		m.heal()
	}
	for i, observer := range m.instances {
		if !observer.live {
			continue
		}
		for j, subject := range m.instances {
			if i == j {
				continue
			}
			m.observe(observationKey{observer: i, subject: j})
			if m.reaches(observer, subject) && m.rng.IntN(2) == 0 {
				m.handle(observer, ProbeSucceeded{subject.name})
			}
		}
		m.handle(observer, Tick{})
	}
}

// run makes steps for a span and checks the invariants after each.
func (m *clusterModel) run(span time.Duration) {
	for end := m.now + span; m.now < end; {
		m.step()
		m.checkInvariants()
	}
}

// heal makes the network whole.
func (m *clusterModel) heal() {
	m.partitionedAt = 0
	m.healedAt = m.now
	for _, instance := range m.instances {
		instance.segment = 0
	}
}

// partition moves the selected instances to a segment, unless that leaves a segment without a converged instance.
func (m *clusterModel) partition(selected func(*modelInstance) bool, segment int) {
	if m.partitionedAt == 0 && m.now-m.healedAt <= 2*maxModelMessageDelay {
		return // the segments have not found each other again: for them it would be one partition that lasts on
	}
	before := make([]int, len(m.instances))
	for i, instance := range m.instances {
		before[i] = instance.segment
		if selected(instance) {
			instance.segment = segment
		}
	}
	if !m.eachSegmentHasConvergedInstance() {
		for i, instance := range m.instances {
			instance.segment = before[i]
		}
		return
	}
	if m.partitionedAt == 0 {
		m.partitionedAt = m.now
	}
}

func (m *clusterModel) eachSegmentHasConvergedInstance() bool {
	for _, instance := range m.instances {
		if instance.live && m.countConverged(instance.segment, nil) == 0 {
			return false
		}
	}
	return true
}

// countConverged counts the live instances of a segment whose view has converged, except for one.
func (m *clusterModel) countConverged(segment int, except *modelInstance) int {
	count := 0
	for _, instance := range m.instances {
		if instance.live && instance.segment == segment && instance != except &&
			instance.machine.View().Divisors.Converged {
			count++
		}
	}
	return count
}

// checkInvariants fails the test if the admitted instances may together use more than the whole budget, or if the
// version of a view has decreased.
func (m *clusterModel) checkInvariants() {
	sum := 0.0
	var quotas strings.Builder
	for _, instance := range m.instances {
		if !instance.live {
			continue
		}
		view := instance.machine.View()
		if view.Version < instance.viewVersion {
			m.t.Fatalf("%s: the view's version decreased from %d to %d",
				instance.name, instance.viewVersion, view.Version)
		}
		instance.viewVersion = view.Version
		if view.Divisors.Admitted {
			sum += 1 / float64(view.Divisors.Zone)
		}
		fmt.Fprintf(&quotas, " %s(segment %d, divisor %d, admitted %v, partitioned %v)",
			instance.name, instance.segment, view.Divisors.Zone, view.Divisors.Admitted, view.Partitioned)
	}
	if sum > 1+1e-9 {
		m.t.Fatalf("after %v the quotas add up to %.3f:%s", m.now, sum, quotas.String())
	}
}
