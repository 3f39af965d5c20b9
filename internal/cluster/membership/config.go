package membership

import (
	"fmt"
	"time"
)

// Config is what a Machine starts with. Zero values have the defaults below.
type Config struct {
	Self          Member
	Balancers     int           // instances that the operator's settings name; used until a view is settled,
	ZoneBalancers int           // and those of the own zone; 0: all are
	Alone         bool          // no peers are configured: the instance waits for none
	WallClock     time.Duration // since the epoch, at the machine's time 0

	Confirm       time.Duration // a reported failure is a suspicion for so long, unless own probes confirm it before
	PauseAfter    time.Duration // a gap of this length between two ticks is a pause of the own process
	IsolatedAfter time.Duration // without any answer for so long the instance is isolated
	Detection     time.Duration // within this the detector reports every failure, and a join reaches every member
	PartitionHold time.Duration // no cut lasts longer: so long a lost member is counted, and a partition is not taken for failures
	PartitionPart float64       // more than this part of the cluster lost within Detection is a partition
}

// Defaults of Config.
const (
	DefaultConfirm       = 3 * time.Second  // a member refutes a false report within two gossip rounds of 0.2 s a hop
	DefaultPauseAfter    = time.Second      // four ticks
	DefaultIsolatedAfter = 12 * time.Second // with a probe a second and 40 % loss each way, 0.5 % of healthy spans are as silent
	DefaultDetection     = 45 * time.Second // 20 members: 31 s of suspicion without confirmations, and a round of probes
	DefaultPartitionHold = time.Hour
	DefaultPartitionPart = 0.2 // above a ninth, a zone of a region, of which a loss is expected
)

const (
	unansweredNeeded  = 2                       // own probes of a suspect without an answer confirm its failure before Config.Confirm,
	confirmLeast      = 1500 * time.Millisecond // but not before this: a refutation takes two or three gossip rounds of 0.2 s each way
	answersNeeded     = 3                       // distinct members that have to answer before a failure is confirmed,
	answersAfterWake  = 10                      // and after a pause of the own process: a round of probes
	mostPartitionPart = 0.5
	futureLeeway      = time.Minute // by which another clock may be ahead
)

func (c *Config) setDefaults() {
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
	}{{&c.Confirm, DefaultConfirm}, {&c.PauseAfter, DefaultPauseAfter}, {&c.IsolatedAfter, DefaultIsolatedAfter},
		{&c.Detection, DefaultDetection}, {&c.PartitionHold, DefaultPartitionHold}} {
		if *d.value == 0 {
			*d.value = d.standard
		}
	}
	if c.PartitionPart == 0 {
		c.PartitionPart = DefaultPartitionPart
	}
	c.Balancers = max(c.Balancers, 1)
	if c.ZoneBalancers == 0 {
		c.ZoneBalancers = c.Balancers
	}
}

func (c *Config) validate() error {
	if c.Self.Name == "" {
		return fmt.Errorf("name: is missing")
	}
	if c.PartitionPart <= 0 || c.PartitionPart > mostPartitionPart {
		return fmt.Errorf("partition_part: %v is not above 0 and up to %v", c.PartitionPart, mostPartitionPart)
	}
	if c.PartitionHold < 2*c.Detection {
		return fmt.Errorf("partition_hold_s: %v is less than %v", c.PartitionHold.Seconds(), (2 * c.Detection).Seconds())
	}
	return nil
}
