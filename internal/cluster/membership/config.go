package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Config configures a StateMachine. A zero value of PartitionFraction or of one of the durations, except WallClock,
// selects the default below.
type Config struct {
	// Self describes the instance itself.
	Self Member
	// FleetSize is the configured number of instances; a value below 1 means 1. The divisors are not below the
	// configured sizes until the view has converged.
	FleetSize int
	// ZoneSize is the configured number of instances in this instance's zone; 0 means FleetSize.
	ZoneSize int
	// Standalone means that no peers are configured. As long as none is discovered either, the instance does not wait
	// for contact to a peer.
	Standalone bool
	// WallClock is the time since the Unix epoch at time 0 of the state machine.
	WallClock time.Duration

	// SuspicionTimeout is the minimum age at which a suspicion is confirmed. A suspicion may be confirmed earlier if
	// the suspect fails to answer probes that this instance sends (see failedProbesToConfirm). In both cases, answers
	// of other members are required too (see respondersToConfirm).
	SuspicionTimeout time.Duration
	// PauseThreshold is the longest normal gap between two ticks. A longer gap means that this process was paused.
	PauseThreshold time.Duration
	// IsolationTimeout is the time without an answer from any peer after which the instance counts as isolated.
	IsolationTimeout time.Duration
	// DetectionTime is the time within which the failure detector reports every failure, and within which every
	// member discovers a new member.
	DetectionTime time.Duration
	// MaxPartitionDuration is the longest expected network partition. The divisors count an unreachable member for this
	// long. No member is declared failed during a partition; after this time a partition counts as over.
	MaxPartitionDuration time.Duration
	// PartitionFraction is the fraction of the members above which a loss within DetectionTime counts as a partition.
	PartitionFraction float64
}

// Defaults of Config.
const (
	// DefaultSuspicionTimeout gives a member time to refute a false report. The report takes two or three gossip
	// rounds of 0.2 s to reach the member, and the refutation takes the same number of rounds to return.
	DefaultSuspicionTimeout = 3 * time.Second
	// DefaultPauseThreshold is four ticks.
	DefaultPauseThreshold = time.Second
	// DefaultIsolationTimeout tolerates heavy packet loss: with one probe per second and 40 % of the datagrams lost in
	// each direction, only 0.5 % of the intervals of this length pass without an answer.
	DefaultIsolationTimeout = 12 * time.Second
	// DefaultDetectionTime is enough for 20 members: up to 31 s of suspicion in the failure detector, if no other
	// member confirms the failure, and 14 s for probes and gossip. Package gossip replaces it with a value for the
	// configured fleet size.
	DefaultDetectionTime = 45 * time.Second
	// DefaultMaxPartitionDuration is the default of the setting partition_hold_s.
	DefaultMaxPartitionDuration = time.Hour
	// DefaultPartitionFraction is above 1/9, the fraction of the members that are in one zone if there are nine zones of
	// equal size. The loss of such a zone is an expected failure and does not count as a partition.
	DefaultPartitionFraction = 0.2
)

const (
	// maxPartitionFraction is the upper bound of PartitionFraction.
	maxPartitionFraction = 0.5
	// maxClockSkew is how far the clock of another member may be ahead of this instance's clock.
	maxClockSkew = time.Minute
)

// ConfigError reports a value of Config that is missing or out of range.
type ConfigError struct {
	// Key is the name of the setting in the section "membership" of the operator's file. The key "partition_part" of
	// PartitionFraction is not a setting of that file.
	Key string
	// Problem describes why the value is invalid.
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
		problem := fmt.Sprintf("invalid value %v: must be above 0 and at most %v", c.PartitionFraction, maxPartitionFraction)
		return &ConfigError{Key: "partition_part", Problem: problem}
	}
	if c.MaxPartitionDuration < 2*c.DetectionTime {
		problem := fmt.Sprintf("invalid value %v: must be at least %v, twice the detection time",
			c.MaxPartitionDuration.Seconds(), (2 * c.DetectionTime).Seconds())
		return &ConfigError{Key: "partition_hold_s", Problem: problem}
	}
	return nil
}
