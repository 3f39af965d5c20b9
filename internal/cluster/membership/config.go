package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Config configures a StateMachine. Zero values of the durations and of PartitionFraction stand for the defaults
// below.
type Config struct {
	// Self describes the instance itself.
	Self Member
	// FleetSize is the configured number of instances. It is used until the view has converged.
	FleetSize int
	// ZoneSize is the configured number of instances in the own zone; 0 stands for FleetSize.
	ZoneSize int
	// Standalone reports that no peers are configured, so that the instance does not wait for any.
	Standalone bool
	// WallClock is the time since the epoch at time 0 of the state machine.
	WallClock time.Duration

	// SuspicionTimeout is how long a reported failure stays a suspicion, unless own probes confirm it sooner.
	SuspicionTimeout time.Duration
	// PauseThreshold is the gap between two ticks above which the own process counts as paused in between.
	PauseThreshold time.Duration
	// IsolationTimeout is how long no peer may answer before the instance counts as isolated.
	IsolationTimeout time.Duration
	// DetectionTime is the time within which the failure detector reports every failure, and within which every
	// member learns of a new one.
	DetectionTime time.Duration
	// MaxPartitionDuration is the longest network partition that is expected. For this long after its loss a member
	// stays counted, and members lost in a partition are not taken for failed.
	MaxPartitionDuration time.Duration
	// PartitionFraction is the fraction of the cluster whose loss within DetectionTime counts as a partition.
	PartitionFraction float64
}

// Defaults of Config.
const (
	// DefaultSuspicionTimeout leaves a member time to refute a false report: that takes two or three gossip rounds of
	// 0.2 s in each direction.
	DefaultSuspicionTimeout = 3 * time.Second
	// DefaultPauseThreshold is four ticks.
	DefaultPauseThreshold = time.Second
	// DefaultIsolationTimeout is so long that with a probe each second and a loss of 40 % of the datagrams in each
	// direction only 0.5 % of the spans of this length pass without an answer.
	DefaultIsolationTimeout = 12 * time.Second
	// DefaultDetectionTime holds for 20 members: 31 s of suspicion without confirmation, and a round of probes.
	DefaultDetectionTime = 45 * time.Second
	// DefaultMaxPartitionDuration is the default of the setting partition_hold_s.
	DefaultMaxPartitionDuration = time.Hour
	// DefaultPartitionFraction is above a ninth, one zone's part of a region: the loss of one zone is expected.
	DefaultPartitionFraction = 0.2
)

const (
	// maxPartitionFraction bounds PartitionFraction.
	maxPartitionFraction = 0.5
	// maxClockSkew is by how much the clock of another member may be ahead.
	maxClockSkew = time.Minute
)

// ConfigError reports a value of Config that is missing or out of range.
type ConfigError struct {
	// Key is the name of the value as operators write it.
	Key string
	// Problem says what is wrong with the value.
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Problem }

func (c *Config) setDefaults() {
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, DefaultSuspicionTimeout)
	c.PauseThreshold = cmp.Or(c.PauseThreshold, DefaultPauseThreshold)
	c.IsolationTimeout = cmp.Or(c.IsolationTimeout, DefaultIsolationTimeout)
	c.DetectionTime = cmp.Or(c.DetectionTime, DefaultDetectionTime)
	c.MaxPartitionDuration = cmp.Or(c.MaxPartitionDuration, DefaultMaxPartitionDuration)
	c.PartitionFraction = cmp.Or(c.PartitionFraction, DefaultPartitionFraction)
	c.FleetSize = max(c.FleetSize, 1)
	c.ZoneSize = cmp.Or(c.ZoneSize, c.FleetSize)
}

// validate returns a *ConfigError for the first value that is out of range.
func (c *Config) validate() error {
	if c.Self.Name == "" {
		return &ConfigError{Key: "name", Problem: "is missing"}
	}
	if c.PartitionFraction <= 0 || c.PartitionFraction > maxPartitionFraction {
		problem := fmt.Sprintf("%v is not above 0 and up to %v", c.PartitionFraction, maxPartitionFraction)
		return &ConfigError{Key: "partition_part", Problem: problem}
	}
	if c.MaxPartitionDuration < 2*c.DetectionTime {
		problem := fmt.Sprintf("%v is less than %v", c.MaxPartitionDuration.Seconds(), (2 * c.DetectionTime).Seconds())
		return &ConfigError{Key: "partition_hold_s", Problem: problem}
	}
	return nil
}
