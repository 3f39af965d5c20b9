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
	minModelReportDelay    = 5 * time.Second  // from a failure to the failure detector's report
	maxModelReportDelay    = 11 * time.Second // from a failure to the failure detector's report
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
	// partitionedAt is when the current partition began; 0 while there is none.
	partitionedAt time.Duration
	// healedAt is when the latest partition ended.
	healedAt time.Duration
	// observations holds, for each observer and subject, the state that the observer's failure detector keeps about
	// the subject.
	observations map[observationKey]*observation
}

// modelInstance is one name in the cluster. It keeps its name across restarts; each restart is a new process.
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

// observation is the state that the observer's failure detector keeps about one subject.
type observation struct {
	incarnation uint64
	alive       bool
	reportAt    time.Duration // when the pending change is reported; 0 if none is pending
	divisor     int           // the divisor that the subject announced last
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

// start starts a new process of an instance, with a new state machine.
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

// observe simulates one step of the observer's failure detector for one subject. While the observer reaches the
// subject, the detector reports a change of the subject after a short delay. Otherwise it reports a failure after a
// longer delay.
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

// announcedDivisor returns the divisor that an instance announces to the other instances, or 0 if its view has not
// converged.
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

// run advances the model by the given time and checks the invariants after each step.
func (m *clusterModel) run(span time.Duration) {
	for end := m.now + span; m.now < end; {
		m.step()
		m.checkInvariants()
	}
}

// heal ends the partition: all instances reach each other again.
func (m *clusterModel) heal() {
	m.partitionedAt = 0
	m.healedAt = m.now
	for _, instance := range m.instances {
		instance.segment = 0
	}
}

// partition moves the selected instances to a segment, unless that leaves live instances in a segment without a
// converged one.
func (m *clusterModel) partition(selected func(*modelInstance) bool, segment int) {
	if m.partitionedAt == 0 && m.now-m.healedAt <= 2*maxModelMessageDelay {
		return // the segments have not rediscovered each other yet, so a new partition would prolong the previous one
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

// countConverged counts the live instances of a segment whose view has converged, not counting except.
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

// checkInvariants fails the test if the shares (1/divisor) of the admitted instances add up to more than the whole
// budget, or if the version of a view has decreased.
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
		m.t.Fatalf("after %v the admitted shares add up to %.3f, want at most 1:%s", m.now, sum, quotas.String())
	}
}
