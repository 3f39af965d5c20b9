package membership

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelSegments   = 3
	addedInstances  = 6 // instances that may join after the start
	configuredExtra = 6 // configured instances that do not exist at the start
)

// Guards against overuse of a shared budget: while instances join, are killed, restart and are partitioned at random,
// the shares (1/divisor) of all live instances that are admitted must never add up to more than the whole budget. The
// model keeps the two assumptions of docs/membership.md: a partition lasts less than MaxPartitionDuration, and during a
// partition each segment keeps at least one converged instance.
func TestQuotasNeverExceedBudget(t *testing.T) {
	flag.Set("rapid.seed", "20261202")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "60")
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(t, "instances")
		m := newClusterModel(t, size, size+configuredExtra, rapid.Uint64().Draw(t, "seed"))
		m.run(2*modelDetectionTime + drawSeconds(t, 60, "settle"))
		for range rapid.IntRange(3, 14).Draw(t, "events") {
			m.applyRandomEvent(size + addedInstances)
			m.run(drawSeconds(t, 100, "seconds"))
		}
		m.run(modelPartitionDuration + 3*modelDetectionTime)
	})
}

func drawSeconds(t *rapid.T, limit int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Second
}

// applyRandomEvent draws an instance and an event and applies the event to the instance. It skips an event that would
// break an assumption of the model.
func (m *clusterModel) applyRandomEvent(maxInstances int) {
	instance := m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "which")]
	mayStop := instance.live && m.countConverged(instance.segment, instance) > 0
	mayJoin := m.countConverged(instance.segment, nil) > 0
	events := []string{"kill", "restart", "partition one", "partition half", "heal", "join", "start"}
	switch rapid.SampledFrom(events).Draw(m.t, "event") {
	case "kill":
		if mayStop {
			instance.live = false
		}
	case "restart":
		if mayStop {
			m.start(instance)
		}
	case "partition one":
		segment := rapid.IntRange(0, modelSegments-1).Draw(m.t, "segment")
		m.partition(func(other *modelInstance) bool { return other == instance }, segment)
	case "partition half":
		from := instance.segment
		half := func(other *modelInstance) bool { return other.segment == from && m.rng.IntN(2) == 0 }
		m.partition(half, (from+1)%modelSegments)
	case "heal":
		m.heal()
	case "join":
		if len(m.instances) < maxInstances && mayJoin {
			m.add(instance.segment)
		}
	case "start":
		if !instance.live && mayJoin {
			m.start(instance)
		}
	}
}
